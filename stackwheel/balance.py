"""The policy: every decision and every tuned value of the planner, in reading order.

The types, events and actions it speaks in are in `stackwheel/interface.py`. Each slot it turns last slot's
reports into estimates, spreads every zone's demand per class over servers in proportion to spare capacity
weighted down by a delay-plus-cost score, moves the shared zone-and-class tables a capped step towards that,
and sends what moved. Drains, losses, restarts and joins do not wait for the slot.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

from stackwheel import interface as face
from stackwheel.interface import Action, Event, Retry, Server, ServerEntry, Settings

# Estimates
SMOOTHING, EVIDENCE = 0.5, 10.0  # step of a rate or load to its newest; tries for half an answer time
FADE, ZONE_FADE = 0.1, 0.2  # a slot's drift of what nobody confirms: to all servers' average, to its server's
ERROR_AIMS = 2.0  # an error counts as an answer that took so many aims
PEER_LIFE = 3.0  # cycles for which a peer's figures count
TARGET_USE, LEAST_USE = 0.7, 0.45  # the design's; the fleet is never taken to be less used than
CAPACITY_GAIN, CLEAN = 0.15, 0.05  # step to a new figure; failures up to which served over use is believed
LEVEL_RISE, CALM_SPAN = 0.03, 1.3  # capacity rises a slot while answers are within this of the quickest
CALM_DRIFT = 0.01  # by which the quickest is forgotten
# Spread and tables
COST_V, SCORE_POWER = 30.0, 3.0  # V: aims of delay that one unit of cross-zone price is worth
USES = (TARGET_USE, 0.85, 1.0)  # filled in turn: what exceeds the target still goes where there is most room
ROUNDS, LEAST_ROOM = 4, 0.02  # fillings up to one use; of what a server can do, whatever others send there
COLD_USE = 0.22  # of fall_multiple times what a cold server can do: the most it is given
JAM, HEARD, JAM_SLOW = 0.2, 0.3, 1.5  # tries failing, traffic heard, quickest times: keep cold servers out
STEP = 0.2  # the design's: the most a weight moves in a slot, of itself or its target
WORTH_SENDING = 0.1  # the design's: a line goes out when it moved by more than this
OVERWEIGHT = 1.2  # times its wanted share that a cold server may hold until the next slot
LEAST_SHARE = 0.005  # lines under this share of a table are left out
# Health
EJECT_AT, EJECT_TRIES, DEAD, CROWDED = 0.3, 8.0, 0.8, 2.0  # failures over tries; dead; slow by load
PANIC_SHARE = 0.4  # of the ready servers: never eject more
TRICKLE, HOLD, HOLD_MOST = 0.05, 3.0, 16.0  # of an even share, while ejected; for cycles, doubled up to
# Channel
PACE = 0.4  # of the stated rate, for changes
DELTA_BACKLOG, JOIN_BACKLOG, DELTA_MESSAGES = 0.4, 0.8, 0.6  # of the backlog limit; of the message cap
SLOWEST = 0.2  # the queue is modelled as if the channel ran at this share of its rate
# Admission
SLOW_AIMS, SLOW_CALM = 0.3, 1.7  # half of the traffic slower than so many aims and quickest times
FULL_USE = 0.92  # of known capacity, or of what is answered under overload: more demand than that is shed
SHED_GAIN, SHED_BACK, SHED_MOST = 0.5, 0.2, 0.95  # step to there; share back in a calm slot; limit
LEAST_LEVEL, ALL, NO_LIMIT = 0.05, 0.99, 1e6  # least share let in; what counts as all; no rate limit
FURTHER_TRY = Retry.ONCE_IF_UNTRIED  # safe for any class; after any failure it doubled the work under strain
PEER_LINE, PEER_LINES = struct.Struct(">6sH"), 32  # a server, tenths of requests a second
SLOT_TOKEN, LIST_TOKEN = 1 << 32, 2 << 32
Key = tuple[int, int]  # zone and class: what a table is for
Rates = dict[Server, float]


@dataclass(slots=True)
class ServerView:
    """What this planner knows of a server."""

    entry: ServerEntry
    capacity: float = 0.0  # requests a second when warm
    rates: dict[int, float] = field(default_factory=dict)  # tries a second of our proxies, by their zone
    delay: dict[int, float] = field(default_factory=dict)  # answer time by zone, errors counted as slow ones
    answer: float | None = None  # the same over all zones
    good: float | None = None  # mean time of good answers alone
    failing: float = 0.0  # share of tries
    load: dict[str, float] = field(default_factory=dict)  # its own report
    heard: set[int] = field(default_factory=set)  # zones that reported since the last slot
    ejected_until: float = 0.0
    hold: float = 0.0

    @property
    def rate(self) -> float:
        return sum(self.rates.values())

    @property
    def size(self) -> float:
        return self.entry.size if 0 < self.entry.size < math.inf else 1.0


@dataclass(slots=True)
class Table:
    """A shared table: what the slot steers to and what the proxies have been sent."""

    number: int
    zone: int
    place: int  # of the class
    shares: Rates = field(default_factory=dict)
    sent: Rates = field(default_factory=dict)
    level: face.Level | None = None

    def scale(self) -> float:
        """Of the weights sent to the shares wanted, over lines that stay: only proportions count."""
        both = [s for s in self.sent if s in self.shares]
        return sum(self.sent[s] for s in both) / (sum(self.shares[s] for s in both) or math.inf) or 1.0


@dataclass(slots=True)
class ProxyView:
    zone: int
    demand: list[float]  # by class
    written: list[float] = field(default_factory=list)  # when messages went out
    bound: bool = False


class Outbox:
    """Owns the channel: models its queue and each proxy's messages, and says what still fits."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.queued, self.at = settings, 0.0, 0.0

    def advance(self, now: float) -> None:
        gone = (now - self.at) / 1000.0 * self.settings.channel_rate * SLOWEST
        self.queued, self.at = max(0.0, self.queued - gone), now

    def fits(self, lines: float, share: float) -> bool:
        return not self.settings.backlog or self.queued + lines <= self.settings.backlog * share

    def may_write(self, proxy: ProxyView, share: float) -> bool:
        proxy.written = [at for at in proxy.written if at > self.at - self.settings.message_window]
        cap = self.settings.message_cap
        return not cap or len(proxy.written) + 1 <= max(1.0, cap * share)

    def charge(self, proxies: dict[int, ProxyView], lines: dict[int, int]) -> None:
        for number, count in lines.items():
            self.queued += count + self.settings.overhead
            proxies[number].written.append(self.at)


class Planner:
    """One planner instance: events in, actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random, self.outbox = settings, random.Random(seed), Outbox(settings)
        self.places = range(len(settings.classes))
        self.mean_aim = sum(c.aim for c in settings.classes) / max(1, len(settings.classes))
        self.now, self.slot, self.slot_at, self.reported = 0.0, 0, -math.inf, False
        self.actions: list[Action] = []
        self.lines: dict[int, int] = {}  # written in this reply, by proxy
        self.servers: dict[Server, ServerView] = {}
        self.proxies: dict[int, ProxyView] = {}
        self.tables: dict[Key, Table] = {}
        self.slices: dict[int, Rates] = {}
        self.peers: dict[int, tuple[float, Rates]] = {}  # when heard, and what they send where
        self.urgent: dict[Server, None] = {}  # servers whose lines must be right at once
        self.met: list[tuple[float, float, float]] = []  # this slot's answer times, rates, rates answered
        self.shed = self.level = self.calm = 0.0

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in a batch, act at once on what the rules hang on, and run the slot when it is due."""
        starting, self.now, self.actions, self.lines = self.slot_at == -math.inf, now, [], {}
        self.outbox.advance(now)
        self.actions += [face.Subscribe()] if starting and self.settings.list_on_request else []
        due = [self.take(event) for event in events].count(True) > 0 or starting
        if self.settings.slices:
            self.slot_at = now
            self.keep_slices()
        else:
            if due or (self.reported and now - self.slot_at >= 0.6 * self.settings.cycle):
                self.run_slot()
            self.write_urgent()
            self.bind_joined()
        self.outbox.charge(self.proxies, self.lines)
        return self.actions

    def take(self, event: Event) -> bool:
        """Update what is known; true if the slot timer fired."""
        match event:
            case face.ServerList():
                self.take_list(event)
            case face.ServerReport():
                self.take_report(event)
            case face.DemandReport():
                self.take_demand(event)
            case face.ProxyJoined(proxy, zone, rate, _):
                self.proxies[proxy] = ProxyView(zone, [bounded(rate, 0.0, NO_LIMIT) / max(1, len(self.places))
                                                       for _ in self.places])
            case face.ProxyLeft(proxy):
                self.proxies.pop(proxy, None)
            case face.PeerMessage(sender, payload):
                self.peers[sender] = (self.now, read_peer(payload))
            case face.SliceGranted(table, granted):
                self.slices[table] = {}
                if not granted:
                    del self.slices[table]
            case face.SliceLine(table, server, weight):
                self.slices.setdefault(table, {})[server] = weight
            case face.TimerFired(token) if token == LIST_TOKEN:
                self.actions.append(face.Subscribe())
        return event == face.TimerFired(SLOT_TOKEN + self.slot)

    def take_list(self, update: face.ServerList) -> None:
        """Follow the list; a server it drops is gone, unless only draining binds: then health judges it."""
        if update.scope is face.ListScope.FAILED:
            self.actions.append(face.SetTimer(self.settings.cycle * (0.5 + self.random.random()), LIST_TOKEN))
            return
        for entry in update.entries:
            if entry.availability is not face.Availability.GONE:
                self.take_entry(entry)
        gone = {entry.server for entry in update.entries if entry.availability is face.Availability.GONE}
        if update.scope is not face.ListScope.CHANGES:
            gone |= self.servers.keys() - {entry.server for entry in update.entries}
        for server in [s for s in self.servers if s in gone and not self.settings.only_draining_binds]:
            del self.servers[server]
            self.urgent[server] = None

    def take_entry(self, entry: ServerEntry) -> None:
        known = self.servers.setdefault(entry.server, ServerView(entry))
        if entry.started > known.entry.started:  # same id, new process: what was measured no longer holds
            self.servers[entry.server] = ServerView(entry, known.capacity, known.rates)
        if entry.started > known.entry.started or entry.availability is not known.entry.availability:
            self.urgent[entry.server] = None
        self.servers[entry.server].entry = entry

    def ready(self) -> list[ServerView]:
        return [v for v in self.servers.values() if v.entry.availability is face.Availability.READY]

    def open_to(self, place: int, zone: int | None = None) -> list[ServerView]:
        """Ready servers that may serve a class, from a zone where that matters."""
        wanted = self.settings.classes[place]
        return [view for view in self.ready()
                if (not wanted.open_zones or view.entry.zone in wanted.open_zones)
                and (not wanted.open_kinds or view.entry.kind in wanted.open_kinds)
                and (not wanted.zone_bound or zone in (None, view.entry.zone))]

    def warmth(self, view: ServerView) -> float:
        """The share of its capacity that a server surely has by now."""
        if view.entry.started <= 0 or self.settings.cold_time <= 0:
            return 1.0
        age = bounded((self.now - view.entry.started) / self.settings.cold_time, 0.0, 1.0)
        return self.settings.cold_share + (1.0 - self.settings.cold_share) * age

    def ejected(self, view: ServerView) -> bool:
        return view.ejected_until > self.now

    def take_report(self, report: face.ServerReport) -> None:
        """Count an error as a slow answer, so that failing fast attracts nothing."""
        view, tries = self.servers.get(report.server), report.tries
        if view is None or tries <= 0 or not 0 < report.window < math.inf:
            return
        self.reported, bad = True, min(report.failures, tries) / tries
        slow = ERROR_AIMS * self.mean_aim
        good = bounded(report.mean_time, 0.0, slow)
        answer, gain = good * (1 - bad) + slow * bad, tries / (tries + EVIDENCE)
        view.answer = blend(view.answer, answer, gain)
        view.delay[report.zone] = blend(view.delay.get(report.zone), answer, gain)
        seen = tries * 1000.0 / report.window
        view.rates[report.zone] = blend(view.rates.get(report.zone), seen, SMOOTHING)
        view.failing = blend(view.failing, bad, tries / (tries + EJECT_TRIES))
        if bad < 1.0:
            view.good = blend(view.good, good, gain)
        for name, value in zip(self.settings.load_columns, report.load, strict=False):
            if 0 <= value < math.inf:
                view.load[name] = blend(view.load.get(name), value, SMOOTHING)
        view.heard.add(report.zone)
        if not self.ejected(view):
            self.met.append((answer, seen, seen * (1 - bad)))

    def take_demand(self, report: face.DemandReport) -> None:
        proxy, place = self.proxies.get(report.proxy), report.request_class
        if proxy is not None and 0 < report.window < math.inf and place in self.places:
            proxy.demand[place] = blend(proxy.demand[place], report.requests * 1000.0 / report.window, 0.5)

    def demand(self, zone: int | None = None) -> list[float]:
        """Requests a second by class, of all joined proxies or of a zone's."""
        mine = [p.demand for p in self.proxies.values() if zone in (None, p.zone)]
        return [sum(rates) for rates in zip(*mine, strict=True)] or [0.0] * len(self.places)

    def run_slot(self) -> None:
        if self.reported:
            self.update_estimates()
            self.judge_health()
            self.set_shedding()
            self.tell_peers()
        self.reported = False
        self.move_tables()
        self.send_changes()
        for table in self.tables.values():
            self.urgent.update(dict.fromkeys(self.overweight(table)))
        self.slot, self.slot_at = self.slot + 1, self.now
        self.actions.append(face.SetTimer(1.25 * self.settings.cycle, SLOT_TOKEN + self.slot))

    def update_estimates(self) -> None:
        usual = self.usual_answer()
        for view in self.servers.values():
            if not view.heard and view.answer is not None:  # silence is no health and no death
                view.answer = blend(view.answer, usual, FADE)
            for zone in [z for z in view.delay if z not in view.heard]:
                view.rates[zone] *= 1 - ZONE_FADE
                view.delay[zone] = blend(view.delay[zone], view.answer or usual, ZONE_FADE)
            view.heard.clear()
        self.learn_level(usual)
        self.expect_capacity()
        for view in self.servers.values():
            if self.warmth(view) >= 1.0 and view.rate > 0:
                self.learn_capacity(view, usual)

    def usual_answer(self) -> float:
        return median([v.answer for v in self.servers.values() if v.answer]) or 0.5 * self.mean_aim

    def learn_level(self, usual: float) -> None:
        """Capacity per listed size of the fleet: load over target use, rising while answers stay quick."""
        ready = self.ready()
        load = sum(v.rate * (1 - v.failing) + self.others_rate(v) for v in ready)  # refused tries are no load
        load /= max(1.0, sum(v.size for v in ready))
        self.calm = min(usual, self.calm * (1 + CALM_DRIFT)) if self.calm else usual
        if usual < CALM_SPAN * self.calm:
            self.level *= 1 + LEVEL_RISE
        self.level = bounded(self.level, load / TARGET_USE, load / LEAST_USE)

    def expect_capacity(self) -> None:
        """Servers not yet measured count as their kind's average by listed size, at first as all alike."""
        known = [v for v in self.servers.values() if v.rate > 0 and v.capacity > 0]
        sizes = max(1.0, sum(v.size for v in self.servers.values()))
        guess = sum(self.demand()) * self.settings.planners / TARGET_USE / sizes
        for view in self.servers.values():
            if view.capacity <= 0 or view.rate <= 0:
                alike = [v.capacity / v.size for v in known if v.entry.kind == view.entry.kind]
                view.capacity = max(1e-3, view.size * (sum(alike) / len(alike) if alike else guess))

    def learn_capacity(self, view: ServerView, usual: float) -> None:
        """Served rate over use where use is reported, else by how its answer time compares."""
        if "utilization" in view.load:
            seen = (view.rate + self.others_rate(view)) / bounded(view.load["utilization"], 0.1, 1.0)
            if view.failing > CLEAN:  # a sick server's quick errors must not look like capacity
                seen = min(seen, view.capacity)
        else:
            seen = self.level * view.size * bounded(usual / max(1e-3, view.answer or usual), 0.5, 1.5)
        view.capacity = blend(view.capacity, seen, CAPACITY_GAIN)

    def others_rate(self, view: ServerView) -> float:
        """What other planners' proxies send there: from peers, else from the server's own load report."""
        since = self.now - PEER_LIFE * self.settings.cycle
        fresh = [rates for at, rates in self.peers.values() if at > since]
        heard = sum(rates.get(view.entry.server, 0.0) for rates in fresh)
        if len(fresh) >= self.settings.planners - 1:
            return heard
        if "outstanding" in view.load and view.answer is not None:
            total = view.load["outstanding"] * 1000.0 / max(1.0, view.answer)
        elif "utilization" in view.load:
            total = view.load["utilization"] * view.capacity
        else:
            total = view.rate * self.settings.planners
        return max(heard, total - view.rate)

    def tell_peers(self) -> None:
        if self.settings.peers_allowed and self.settings.planners > 1:
            known = sorted((-v.rate, s) for s, v in self.servers.items() if v.rate > 0)[:PEER_LINES]
            lines = [PEER_LINE.pack(server, min(65535, round(-rate * 10))) for rate, server in known]
            self.actions.append(face.TellPeers(b"".join(lines)))

    def judge_health(self) -> None:
        """Eject servers that keep failing while most do not; never past the panic share."""
        ready = self.ready()
        out = sum(1 for v in ready if self.ejected(v))
        usual = median([v.failing for v in ready if v.rate > 0])
        for view in sorted(ready, key=lambda v: (-v.failing, v.entry.server)):
            if view.ejected_until and not self.ejected(view):  # back: the slot's steps let it in slowly
                view.ejected_until, view.failing, view.answer, view.good = 0.0, 0.0, None, None
                view.delay = dict.fromkeys(view.delay, self.usual_answer())
            elif (not self.ejected(view) and view.failing > max(EJECT_AT, 3 * usual) and self.sick(view)
                  and out + 1 <= PANIC_SHARE * len(ready)):
                view.hold = min(HOLD_MOST, max(HOLD, 2 * view.hold))
                view.ejected_until = self.now + view.hold * self.settings.cycle
                self.urgent[view.entry.server] = None
                out += 1

    def sick(self, view: ServerView) -> bool:
        """Failing while its good answers are as quick as others': a crowded server answers slowly instead,
        and gets less by its score; ejecting it would only crowd the rest."""
        usual = median([v.good for v in self.servers.values() if v.good])
        return view.failing > DEAD or view.good is None or view.good < CROWDED * usual

    def spread(self) -> dict[Key, Rates]:
        """Each zone's demand per class over servers, as requests a second: the design's mechanism."""
        present = {s: v.capacity * self.warmth(v) for s, v in self.servers.items()}
        order = sorted(self.places, key=lambda p: (len(self.open_to(p)), p))  # least choice first
        keys = sorted(self.tables, key=lambda key: (order.index(key[1]), key[0]))
        pull = {key: self.attraction(*key) for key in keys}
        left = {(zone, place): max(1e-3, self.demand(zone)[place]) for zone, place in keys}
        placed = {key: dict.fromkeys(pull[key], 0.0) for key in keys}
        used = dict.fromkeys(self.servers, 0.0)
        for use in USES:
            room = {s: max(0.0, self.room(v, present[s], use) - used[s]) for s, v in self.servers.items()}
            for place in order:
                for _ in range(ROUNDS):
                    fill([key for key in keys if key[1] == place], left, pull, room, used, placed)
        for key in keys:
            self.place_excess(left[key], placed[key], present)
        return placed

    def room(self, view: ServerView, present: float, use: float) -> float:
        """What we may send there before it is used beyond `use`; cold servers have a lower limit."""
        if self.warmth(view) < 1.0:
            use = min(use, TARGET_USE, COLD_USE * self.settings.fall_multiple)
        return max(LEAST_ROOM * present, use * present - self.others_rate(view))

    def attraction(self, zone: int, place: int) -> Rates:
        """The score, answer time in aims plus V times the cross-zone price, as a weight falling with it."""
        found, jam, usual = {}, self.jammed(place, zone), self.usual_answer()
        for view in self.open_to(place, zone):
            if not jam or self.warmth(view) >= 1.0:
                cost = self.settings.cross_zone_price if view.entry.zone != zone else 0.0
                score = 1.0 + view.delay.get(zone, view.answer or usual) / self.mean_aim + COST_V * cost
                found[view.entry.server] = 0.0 if self.ejected(view) else score**-SCORE_POWER
        return found

    def jammed(self, place: int, zone: int) -> bool:
        """Proxies that avoid failing servers all turn to a fresh one: in a jam no cold one is let in.

        Acts where proxies judge by strikes and much of the traffic fails at warm servers, or answers are
        slow, as reports come late; and anywhere until a fair part is heard, as a start may be into a jam."""
        warm = [v for v in self.open_to(place, zone) if self.warmth(v) >= 1.0]
        failing = sum(v.failing * v.rate for v in warm) > JAM * sum(v.rate for v in warm)
        slow = self.usual_answer() > JAM_SLOW * min(self.calm, SLOW_AIMS * self.mean_aim)
        unheard = sum(v.rate for v in self.servers.values()) < HEARD * (1 - self.shed) * sum(self.demand())
        return bool(warm) and (unheard or (self.settings.strikes > 0 and (failing or slow)))

    def place_excess(self, left: float, placed: Rates, present: Rates) -> None:
        """All demand is placed: what found no room spreads by capacity, over warm servers if any."""
        sound = [s for s in placed if not self.ejected(self.servers[s])]
        able = [s for s in sound if self.warmth(self.servers[s]) >= 1.0] or sound or list(placed)
        total = sum(present[s] for s in able)
        for server in able:
            placed[server] += left * present[server] / total

    def move_tables(self) -> None:
        """Move every table a capped step towards the spread."""
        self.expect_capacity()
        goals = self.spread()
        for key, table in self.tables.items():
            goal = self.as_shares(goals[key])
            jump = {v.entry.server for v in self.ready() if self.warmth(v) < 1.0 or not table.sent}
            jump.update(self.urgent)  # what is cold or fails has a goal that is safe, or must be, at once
            stay = sum(share for s, share in table.shares.items() if s in goal and s not in jump) or math.inf
            rest = (1.0 - sum(share for s, share in goal.items() if s in jump)) / stay
            held = {v.entry.server: rest * table.shares.get(v.entry.server, 0.0) for v in self.ready()}
            for server, old in held.items():
                new = goal.get(server, 0.0)
                most = math.inf if server in jump else STEP * max(old, new)
                held[server] = old + bounded(new - old, -most, most)
            table.shares = {s: share for s, share in held.items() if share >= LEAST_SHARE or s in goal}

    def as_shares(self, placed: Rates) -> Rates:
        """Shares of a table; an ejected server keeps a trickle, by which its return is judged."""
        total, trickle = sum(placed.values()) or 1.0, TRICKLE / max(1, len(placed))
        out = {s for s in placed if self.ejected(self.servers[s])}
        shares = {s: trickle if s in out else rate / total for s, rate in placed.items()}
        return {s: share for s, share in shares.items() if share >= LEAST_SHARE or s in out}

    def changed_lines(self, table: Table) -> Rates:
        """Lines that moved by over a tenth, with the weights to send."""
        scale, changes = table.scale(), {}
        for server in dict.fromkeys([*table.shares, *table.sent]):
            new, old = scale * table.shares.get(server, 0.0), table.sent.get(server, 0.0)
            if abs(new - old) > WORTH_SENDING * max(new, old) or (old > 0) != (new > 0):
                changes[server] = new
        return changes

    def overweight(self, table: Table) -> list[Server]:
        """Cold servers that hold more of a table than is safe, since other lines left it."""
        most = OVERWEIGHT * table.scale()
        heavy = [s for s, weight in table.sent.items() if weight > most * table.shares.get(s, 0.0)]
        return [s for s in heavy if s in self.servers and self.warmth(self.servers[s]) < 1.0]

    def users(self, table: Table) -> list[int]:
        return [number for number, p in self.proxies.items() if p.zone == table.zone and p.bound]

    def may_write(self, users: list[int], share: float) -> bool:
        return all(self.outbox.may_write(self.proxies[u], share) for u in users if u not in self.lines)

    def send_changes(self) -> None:
        """Send what moved, within the pace, the backlog and a share of the message cap."""
        budget = PACE * self.settings.channel_rate * self.settings.cycle / 1000.0
        for table in self.tables.values():
            users, changes, level = self.users(table), self.changed_lines(table), self.wanted_level(table)
            cost = len(users) * (len(changes) + 1 + self.settings.overhead)
            fits = cost <= budget and self.outbox.fits(cost, DELTA_BACKLOG)
            if fits and self.may_write(users, DELTA_MESSAGES):
                budget -= cost if changes else 0.0
                self.write(table, users, changes, level)

    def write_urgent(self) -> None:
        """Lines of servers that drained, went, restarted or were ejected change at once in every table.

        Near the message cap they wait for the slot, which is well within the grace."""
        if not self.urgent:
            return
        self.move_tables()
        share, waiting = 1.0 if self.slot_at == self.now else DELTA_MESSAGES, False
        for table in self.tables.values():
            users, changes = self.users(table), self.changed_lines(table)
            if changes and self.may_write(users, share):
                self.write(table, users, changes)
            elif changes:
                waiting = True
        if not waiting:
            self.urgent.clear()

    def write(self, table: Table, users: list[int], changes: Rates, level: face.Level | None = None) -> None:
        """Order lines, and the level where it differs, of a table."""
        orders: list[Action] = [face.SetWeight(table.number, s, weight) for s, weight in changes.items()]
        table.sent = {s: weight for s, weight in {**table.sent, **changes}.items() if weight > 0}
        if level and differs(level, table.level):
            table.level = level
            orders.append(face.SetAdmission(table.number, (table.place,), *level))
        self.actions += orders
        for user in users if orders else []:
            self.lines[user] = self.lines.get(user, 0) + len(orders)

    def bind_joined(self) -> None:
        """A proxy that joined gets its zone's whole tables, which replace the standing ones."""
        for number, proxy in [(n, p) for n, p in self.proxies.items() if not p.bound]:
            tables = [self.table_for((proxy.zone, place)) for place in self.places]
            lines = sum(len(table.sent) + 2 for table in tables)
            if not self.outbox.fits(lines + sum(self.lines.values()), JOIN_BACKLOG):
                return
            self.actions += [face.AssignTable(number, table.number, (table.place,)) for table in tables]
            self.lines[number], proxy.bound = lines, True

    def table_for(self, key: Key) -> Table:
        if key not in self.tables:
            self.tables[key] = table = Table(key[0] * len(self.places) + key[1], *key)
            self.move_tables()
            self.write(table, [], self.changed_lines(table), self.wanted_level(table))
        return self.tables[key]

    def set_shedding(self) -> None:
        """Shed what is beyond known capacity, and while half of the traffic is slow what is not answered."""
        middle = median([line[0] for line in self.met], [line[1] for line in self.met])
        answered = sum(line[2] for line in self.met)  # in this slot alone: an average lags a jam's end
        demand = max(1e-3, sum(self.demand()))
        if middle > max(SLOW_AIMS * self.mean_aim, SLOW_CALM * self.calm):
            self.shed += SHED_GAIN * max(0.0, 1.0 - FULL_USE * answered / demand - self.shed)
        else:
            self.shed -= SHED_BACK * (0.1 + self.shed)
        self.met.clear()
        least = bounded(1.0 - FULL_USE * self.known_capacity() / demand, 0.0, SHED_MOST)
        self.shed = bounded(self.shed, least, SHED_MOST)

    def known_capacity(self) -> float:
        """What the fleet can still do for us, where use is reported; without limit elsewhere."""
        sound = [v for v in self.ready() if not self.ejected(v)]
        if not any("utilization" in v.load for v in sound):
            return math.inf
        return sum(max(0.0, v.capacity * self.warmth(v) - self.others_rate(v)) for v in sound)

    def admitted(self, place: int) -> float:
        """The share of a class let in: the least worth goes first."""
        demand = self.demand()
        cut = self.shed * sum(demand)
        for lesser in sorted(self.places, key=lambda p: (self.settings.classes[p].worth, p)):
            refused = min(cut, (1 - LEAST_LEVEL) * demand[lesser])
            cut -= refused
            if lesser == place and demand[place] > 0:
                return 1.0 - refused / demand[place]
        return 1.0

    def wanted_level(self, table: Table) -> face.Level:
        share = self.admitted(table.place)
        level = share if share < ALL else 1.0
        if self.settings.admission == "rate":
            rates = [p.demand[table.place] for p in self.proxies.values() if p.zone == table.zone]
            level = rate_cap(rates, share) if share < ALL else NO_LIMIT
        return level, FURTHER_TRY

    def keep_slices(self) -> None:
        """Sites with slices: one keeps its server while that is ready; else it goes to who has fewest."""
        held = dict.fromkeys(sorted(view.entry.server for view in self.ready()), 0)
        for server in [s for lines in self.slices.values() for s in lines if s in held]:
            held[server] += 1
        for number, lines in self.slices.items():
            if held and not any(server in held for server in lines):
                chosen = min(held, key=lambda s: (held[s], s))
                held[chosen] += 1
                self.actions.append(face.SetWeight(number, chosen, 1.0))
                if not self.settings.exclusive:
                    self.actions += [face.SetWeight(number, s, 0.0) for s in lines]
                self.slices[number] = {chosen: 1.0}


def fill(keys: list[Key], left: dict[Key, float], pull: dict[Key, Rates], room: Rates, used: Rates,
         placed: dict[Key, Rates]) -> None:
    """One round: each zone asks in proportion to room times attraction, servers grant up to their room."""
    asks: dict[Key, Rates] = {}
    asked = dict.fromkeys(room, 0.0)
    for key in keys:
        weights = {s: room[s] * a for s, a in pull[key].items()}
        total = sum(weights.values()) or math.inf
        asks[key] = {s: left[key] * weight / total for s, weight in weights.items()}
        for server, rate in asks[key].items():
            asked[server] += rate
    granted = {s: min(1.0, room[s] / rate) if rate > 0 else 0.0 for s, rate in asked.items()}
    for key, wishes in asks.items():
        for server, rate in wishes.items():
            placed[key][server] += rate * granted[server]
            left[key] -= rate * granted[server]
            room[server] -= rate * granted[server]
            used[server] += rate * granted[server]


def bounded(value: float, low: float, high: float) -> float:
    return min(high, max(low, value)) if value == value else low  # no number counts as low


def blend(old: float | None, new: float, gain: float) -> float:
    """Move an estimate towards a new figure; the first figure counts whole."""
    return new if old is None else old + gain * (new - old)


def median(values: list[float], weights: list[float] | None = None) -> float:
    """The value with half of the weight at or below it; 0 of nothing."""
    pairs = sorted(zip(values, weights or [1.0] * len(values), strict=True))
    left = 0.5 * sum(weight for _, weight in pairs)
    for value, weight in pairs:
        left -= weight
        if left < 0:
            return value
    return 0.0


def differs(new: face.Level, old: face.Level | None) -> bool:
    if old is None or new[1] != old[1] or (new[0] == 1.0) != (old[0] == 1.0):
        return True
    return abs(new[0] - old[0]) > WORTH_SENDING * max(new[0], old[0])


def rate_cap(rates: list[float], share: float) -> float:
    """The limit at each proxy that lets in this share of the rates together, large callers cut first."""
    budget, ordered = share * sum(rates), sorted(rates)
    for place, rate in enumerate(ordered):
        if rate * (len(ordered) - place) >= budget:
            return budget / (len(ordered) - place)
        budget -= rate
    return max(ordered, default=NO_LIMIT)


def read_peer(payload: bytes) -> Rates:
    whole = len(payload) - len(payload) % PEER_LINE.size
    return {Server(server): rate / 10 for server, rate in PEER_LINE.iter_unpack(payload[:whole])}
