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

# Estimates (shares of a value, per slot)
SMOOTHING = 0.3  # how far a rate or a load figure moves towards the newest report
EVIDENCE = 10.0  # tries after which a report counts for half of an answer time
FADE, ZONE_FADE = 0.1, 0.2  # how far an estimate nobody confirms drifts to the average of all, of its server
ERROR_AIMS = 2.0  # an error counts as an answer this many aims late
TARGET_USE = 0.7  # the design's: what share of capacity is filled before demand moves on
CAPACITY_GAIN = 0.15
CLEAN = 0.05  # share of failures up to which served rate over use is believed
LEAST_USE = 0.45  # the fleet is never taken to be less used than this
LEVEL_RISE = 0.03  # capacity rises by this a slot while answers take under CALM_SPAN times the quickest
CALM_SPAN, CALM_DRIFT = 1.3, 0.01
PEER_LIFE = 3.0  # cycles for which a peer's figures count

# Spread
COST_V = 30.0  # V: aims of delay that one unit of cross-zone price is worth
SCORE_POWER = 3.0
COLD_USE = 0.22  # of fall_multiple times what a cold server can do: the most it is given
JAM = 0.2  # share of tries failing at warm servers
JAM_MARGIN = 2.4  # times its full capacity that a server must bear to be let in during a jam
USES = (TARGET_USE, 0.85, 1.0)  # filled in turn: what exceeds the target still goes where there is most room
LEAST_ROOM = 0.02  # of what a server can do, whatever others send there
ROUNDS = 4  # of filling spare capacity before the rest counts as excess
STEP = 0.2  # the design's: the most a weight moves in a slot, of itself or its target
WORTH_SENDING = 0.1  # the design's: a line goes out when it moved by more than this
LEAST_SHARE = 0.005  # lines under this share of a table are left out

# Health
EJECT_AT = 0.3  # share of failures, over ...
EJECT_TRIES = 8.0  # ... about so many tries
DEAD = 0.8  # share of failures that ejects however slow the rest
CROWDED = 2.0  # times the usual time of good answers: failing by load, not by sickness
PANIC_SHARE = 0.4  # of the servers open to a class: never eject more
TRICKLE = 0.05  # of an even share, while ejected
HOLD_CYCLES = 3.0  # an ejection lasts so long at first, twice as long each time again
HOLD_MOST = 16.0

# Channel (shares of the backlog limit, of the stated rate and of the message cap)
PACE = 0.4  # of the rate, for changes
DELTA_BACKLOG = 0.4
JOIN_BACKLOG = 0.8
DELTA_MESSAGES = 0.6
SLOWEST = 0.2  # the queue is modelled as if the channel ran at this share of its rate

# Admission
SLOW_AIMS = 0.4  # more than half of the traffic slower than this many aims: overload
SLOW_CALM = 2.0  # ... and than so many times the quickest the fleet has been
FULL_USE = 0.92  # of known capacity, or of what is answered under overload: more demand than that is shed
SHED_GAIN = 0.5  # of the way there in a slot
SHED_BACK = 0.2  # of what is shed comes back in a calm slot
SHED_MOST = 0.8
LEAST_LEVEL = 0.05
FURTHER_TRY = Retry.ONCE_IF_UNTRIED  # where a second run does no harm
NO_LIMIT = 1e6  # requests a second at one proxy

PEER_LINE = struct.Struct(">6sH")
PEER_LINES = 32  # what fits in one message
SLOT_TOKEN, LIST_TOKEN = 1 << 32, 2 << 32
Key = tuple[int, int]  # zone and class: what a table is for


@dataclass(slots=True)
class ServerView:
    """What this planner knows of a server."""

    entry: ServerEntry
    capacity: float = 0.0  # requests a second when warm
    rates: dict[int, float] = field(default_factory=dict)  # tries a second of our proxies, by their zone
    good: float | None = None  # mean time of good answers alone
    answer: float | None = None  # mean answer time, errors counted as slow ones
    delay: dict[int, float] = field(default_factory=dict)  # the same by the proxies' zone
    heard: set[int] = field(default_factory=set)  # zones that reported since the last slot
    failing: float = 0.0  # share of tries
    load: dict[str, float] = field(default_factory=dict)
    ejected_until: float = 0.0
    hold: float = 0.0

    @property
    def rate(self) -> float:
        return sum(self.rates.values())

    def answer_time(self, otherwise: float) -> float:
        return otherwise if self.answer is None else self.answer


@dataclass(slots=True)
class Table:
    """A shared table: what the slot steers to and what the proxies have been sent."""

    number: int
    zone: int
    place: int  # of the class
    shares: dict[Server, float] = field(default_factory=dict)
    sent: dict[Server, float] = field(default_factory=dict)
    level: tuple[float, Retry] | None = None

    def scale(self) -> float:
        both = [s for s in self.sent if s in self.shares]
        shares = sum(self.shares[s] for s in both)
        return sum(self.sent[s] for s in both) / shares if shares > 0 else 1.0


@dataclass(slots=True)
class ProxyView:
    zone: int
    demand: list[float]  # by class
    written: list[float] = field(default_factory=list)  # when messages went out
    bound: bool = False


class Outbox:
    """Owns the channel: models its queue and each proxy's messages, and says what still fits."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.queued = 0.0
        self.at = 0.0

    def advance(self, now: float) -> None:
        gone = (now - self.at) / 1000.0 * self.settings.channel_rate * SLOWEST
        self.queued, self.at = max(0.0, self.queued - gone), now

    def fits(self, lines: float, share: float) -> bool:
        return not self.settings.backlog or self.queued + lines <= self.settings.backlog * share

    def may_write(self, proxy: ProxyView, share: float) -> bool:
        cap = self.settings.message_cap
        proxy.written = [at for at in proxy.written if at > self.at - self.settings.message_window]
        return not cap or len(proxy.written) + 1 <= max(1.0, cap * share)

    def charge(self, proxies: dict[int, ProxyView], lines: dict[int, int]) -> None:
        for number, count in lines.items():
            self.queued += count + self.settings.overhead
            proxies[number].written.append(self.at)


class Planner:
    """One planner instance: events in, actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.lines: dict[int, int] = {}  # written in this reply, by proxy
        self.servers: dict[Server, ServerView] = {}
        self.proxies: dict[int, ProxyView] = {}
        self.tables: dict[tuple[int, int], Table] = {}
        self.peers: dict[int, tuple[float, dict[Server, float]]] = {}
        self.urgent: dict[Server, None] = {}  # servers whose lines must be right at once
        self.outbox = Outbox(settings)
        self.slot = 0
        self.slot_at = -math.inf
        self.reported = False
        self.shed = 0.0
        self.level = self.calm = 0.0
        self.slices: dict[int, dict[Server, float]] = {}
        self.mean_aim = sum(c.aim for c in settings.classes) / max(1, len(settings.classes))

    # --- events -------------------------------------------------------------------------------------

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in a batch, act at once on what the rules hang on, and run the slot when it is due."""
        starting, self.now = self.slot_at == -math.inf, now
        self.actions, self.lines = [], {}
        self.outbox.advance(now)
        due = starting
        if starting and self.settings.list_on_request:
            self.actions.append(face.Subscribe())
        for event in events:
            due = self.take(event) or due
        if self.settings.slices:
            self.keep_slices()
        else:
            if due or (self.reported and now - self.slot_at >= 0.6 * self.settings.cycle):
                self.run_slot(first=starting)
            self.withdraw_and_guard()
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
                even = bounded(rate, 0.0, NO_LIMIT) / max(1, len(self.settings.classes))
                self.proxies[proxy] = ProxyView(zone, [even] * len(self.settings.classes))
            case face.ProxyLeft(proxy):
                self.proxies.pop(proxy, None)
            case face.PeerMessage(sender, payload):
                self.peers[sender] = (self.now, read_peer(payload))
            case face.TimerFired(token):
                if token == LIST_TOKEN:
                    self.actions.append(face.Subscribe())
                return token == SLOT_TOKEN + self.slot
            case face.SliceGranted(table, granted):
                self.slices.pop(table, None)
                if granted:
                    self.slices[table] = {}
            case face.SliceLine(table, server, weight):
                self.slices.setdefault(table, {})[server] = weight
        return False

    # --- the server list ----------------------------------------------------------------------------

    def take_list(self, update: face.ServerList) -> None:
        if update.scope is face.ListScope.FAILED:
            wait = self.settings.cycle * (0.5 + self.random.random())
            self.actions.append(face.SetTimer(wait, LIST_TOKEN))
            return
        for entry in update.entries:
            self.take_entry(entry)
        if update.scope is not face.ListScope.CHANGES and not self.settings.only_draining_binds:
            listed = {entry.server for entry in update.entries}
            for server in [s for s in self.servers if s not in listed]:
                self.drop(server)

    def take_entry(self, entry: ServerEntry) -> None:
        known = self.servers.get(entry.server)
        if entry.availability is face.Availability.GONE:
            if not self.settings.only_draining_binds:
                self.drop(entry.server)
        elif known is None:
            self.servers[entry.server] = ServerView(entry)
        else:
            if entry.started > known.entry.started:  # same id, new process: nothing measured holds any more
                self.servers[entry.server] = ServerView(entry, known.capacity, known.rates)
                self.urgent[entry.server] = None
            if entry.availability is not known.entry.availability:
                self.urgent[entry.server] = None
            self.servers[entry.server].entry = entry

    def drop(self, server: Server) -> None:
        if self.servers.pop(server, None):
            self.urgent[server] = None

    def ready(self) -> list[ServerView]:
        return [v for v in self.servers.values() if v.entry.availability is face.Availability.READY]

    def open_to(self, view: ServerView, place: int, zone: int) -> bool:
        wanted, entry = self.settings.classes[place], view.entry
        return (
            entry.availability is face.Availability.READY
            and (not wanted.open_zones or entry.zone in wanted.open_zones)
            and (not wanted.open_kinds or entry.kind in wanted.open_kinds)
            and (not wanted.zone_bound or entry.zone == zone)
        )

    def warmth(self, view: ServerView) -> float:
        """The share of its capacity that a server surely has by now."""
        if view.entry.started <= 0 or self.settings.cold_time <= 0:
            return 1.0
        age = bounded((self.now - view.entry.started) / self.settings.cold_time, 0.0, 1.0)
        return self.settings.cold_share + (1.0 - self.settings.cold_share) * age

    # --- reports ------------------------------------------------------------------------------------

    def take_report(self, report: face.ServerReport) -> None:
        view = self.servers.get(report.server)
        if view is None or report.tries <= 0 or not 0 < report.window < math.inf:
            return
        self.reported = True
        failures = min(report.failures, report.tries)
        slow = ERROR_AIMS * self.mean_aim  # an error counts as a slow answer: failing fast attracts nothing
        good = bounded(report.mean_time, 0.0, slow)
        answer = (good * (report.tries - failures) + slow * failures) / report.tries
        gain = report.tries / (report.tries + EVIDENCE)
        view.answer = answer + (1 - gain) * (view.answer_time(answer) - answer)
        view.delay[report.zone] = answer + (1 - gain) * (view.delay.get(report.zone, answer) - answer)
        view.heard.add(report.zone)
        seen = report.tries * 1000.0 / report.window
        view.rates[report.zone] = seen + (1 - SMOOTHING) * (view.rates.get(report.zone, 0.0) - seen)
        gain = report.tries / (report.tries + EJECT_TRIES)
        view.failing += gain * (failures / report.tries - view.failing)
        if failures < report.tries:
            view.good = good + (1 - gain) * ((good if view.good is None else view.good) - good)
        for name, value in zip(self.settings.load_columns, report.load, strict=False):
            if 0 <= value < math.inf:
                before = view.load.get(name, value)
                view.load[name] = before + SMOOTHING * (value - before)

    def take_demand(self, report: face.DemandReport) -> None:
        proxy = self.proxies.get(report.proxy)
        if proxy is None or not 0 < report.window < math.inf or report.request_class >= len(proxy.demand):
            return
        seen = report.requests * 1000.0 / report.window
        proxy.demand[report.request_class] += 0.5 * (seen - proxy.demand[report.request_class])

    # --- the slot -----------------------------------------------------------------------------------

    def run_slot(self, first: bool) -> None:
        if self.reported:
            self.update_estimates()
            self.judge_health()
            self.set_shedding()
            self.tell_peers()
        elif first or not any(view.rate for view in self.servers.values()):
            self.expect_capacity()
        self.reported = False
        self.move_tables()
        self.send_changes()
        for table in self.tables.values():
            self.urgent.update(dict.fromkeys(self.overweight(table)))
        self.slot += 1
        self.slot_at = self.now
        self.actions.append(face.SetTimer(1.25 * self.settings.cycle, SLOT_TOKEN + self.slot))

    def update_estimates(self) -> None:
        usual = self.usual_delay()
        for view in self.servers.values():
            if not view.heard and view.answer is not None:  # silence is no health and no death
                view.answer += FADE * (usual - view.answer)
            for zone in view.delay.keys() - view.heard:
                view.rates[zone] *= 1 - ZONE_FADE
                view.delay[zone] += ZONE_FADE * (view.answer_time(usual) - view.delay[zone])
            view.heard.clear()
        self.learn_level(usual)
        self.expect_capacity()
        for view in self.servers.values():
            if self.warmth(view) >= 1.0 and view.rate > 0:
                self.learn_capacity(view, usual)

    def usual_delay(self) -> float:
        heard = [view.answer for view in self.servers.values() if view.answer is not None]
        return median(heard) if heard else 0.5 * self.mean_aim

    def expect_capacity(self) -> None:
        """Give servers not yet measured what servers of their kind have, by listed size."""
        sizes = max(1.0, sum(size_of(v) for v in self.servers.values()))
        guess = sum(self.demand()) * self.settings.planners / TARGET_USE / sizes
        for view in self.servers.values():
            if view.capacity <= 0 or view.rate <= 0:
                peers = [v.capacity / size_of(v) for v in self.servers.values()
                         if v.entry.kind == view.entry.kind and v.rate > 0 and v.capacity > 0]
                view.capacity = max(1e-3, size_of(view) * (sum(peers) / len(peers) if peers else guess))

    def learn_capacity(self, view: ServerView, usual: float) -> None:
        """Served rate over use where use is reported, else by how its answer time compares."""
        total = view.rate + self.others_rate(view)
        use = view.load.get("utilization")
        if use is not None:
            heard = total / bounded(use, 0.1, 1.0)
            if view.failing > CLEAN:  # a sick server's quick errors must not look like capacity
                heard = min(heard, view.capacity)
        else:
            compared = bounded(usual / max(1e-3, view.answer_time(usual)), 0.5, 1.5)
            heard = self.level * size_of(view) * compared
        view.capacity += CAPACITY_GAIN * (heard - view.capacity)

    def learn_level(self, usual: float) -> None:
        """Capacity per listed size of the fleet: load over target use, rising while answers stay quick."""
        ready = self.ready()
        load = sum(v.rate + self.others_rate(v) for v in ready) / max(1.0, sum(size_of(v) for v in ready))
        self.calm = min(usual, self.calm * (1 + CALM_DRIFT)) if self.calm else usual
        if usual < CALM_SPAN * self.calm:
            self.level *= 1 + LEVEL_RISE
        self.level = bounded(self.level, load / TARGET_USE, load / LEAST_USE)

    def others_rate(self, view: ServerView) -> float:
        """What other planners' proxies send there: from peers, else from the server's own load report."""
        since = self.now - PEER_LIFE * self.settings.cycle
        fresh = [rates for at, rates in self.peers.values() if at > since]
        heard = sum(rates.get(view.entry.server, 0.0) for rates in fresh)
        if len(fresh) >= self.settings.planners - 1:
            return heard
        if "outstanding" in view.load and view.answer is not None:
            total = view.load["outstanding"] * 1000.0 / max(1.0, view.answer_time(1.0))
        elif "utilization" in view.load:
            total = view.load["utilization"] * view.capacity
        else:
            total = view.rate * self.settings.planners
        return max(heard, total - view.rate)

    def tell_peers(self) -> None:
        if self.settings.peers_allowed and self.settings.planners > 1:
            known = sorted(((-v.rate, s) for s, v in self.servers.items() if v.rate > 0))[:PEER_LINES]
            lines = [PEER_LINE.pack(server, min(65535, round(-rate * 10))) for rate, server in known]
            self.actions.append(face.TellPeers(b"".join(lines)))

    # --- health -------------------------------------------------------------------------------------

    def judge_health(self) -> None:
        """Eject servers that keep failing while most do not; never past the panic share."""
        ready = self.ready()
        out = sum(1 for v in ready if self.ejected(v))
        usual = median([v.failing for v in ready if v.rate > 0])
        for view in sorted(ready, key=lambda v: (-v.failing, v.entry.server)):
            bad = view.failing > max(EJECT_AT, 3 * usual) and self.sick(view)
            if bad and not self.ejected(view) and out + 1 <= PANIC_SHARE * len(ready):
                view.hold = min(HOLD_MOST, max(HOLD_CYCLES, 2 * view.hold))
                view.ejected_until = self.now + view.hold * self.settings.cycle
                self.urgent[view.entry.server] = None
                out += 1
            elif view.ejected_until and not self.ejected(view):
                view.ejected_until = view.failing = 0.0
                view.answer = view.good = None
                view.delay = dict.fromkeys(view.delay, self.usual_delay())

    def sick(self, view: ServerView) -> bool:
        """Failing while its good answers are as quick as others': a crowded server answers slowly instead,
        and gets less by its score; ejecting it would only crowd the rest."""
        usual = median([v.good for v in self.servers.values() if v.good is not None])
        return view.failing > DEAD or view.good is None or view.good < CROWDED * usual

    def ejected(self, view: ServerView) -> bool:
        return view.ejected_until > self.now

    # --- the spread ---------------------------------------------------------------------------------

    def spread(self) -> dict[tuple[int, int], dict[Server, float]]:
        """Each zone's demand per class over servers, as requests a second: the design's mechanism."""
        usual = self.usual_delay()
        present = {s: v.capacity * self.warmth(v) for s, v in self.servers.items()}
        zones = sorted({table.zone for table in self.tables.values()})
        order = self.by_openness()
        pull = {(z, p): self.attraction(z, p, usual) for p in order for z in zones if (z, p) in self.tables}
        left = {(z, p): max(1e-3, self.demand(z)[p]) for z, p in pull}
        placed = {key: dict.fromkeys(pull[key], 0.0) for key in pull}
        used = dict.fromkeys(self.servers, 0.0)
        for use in USES:
            room = {s: max(0.0, self.room(v, present[s], use) - used[s]) for s, v in self.servers.items()}
            for place in order:
                for _ in range(ROUNDS):
                    fill([key for key in pull if key[1] == place], left, pull, room, used, placed)
        for key in pull:
            self.place_excess(left[key], placed[key], present)
        return placed

    def by_openness(self) -> list[int]:
        """Classes by how few servers are open to them: who has least choice is placed first."""
        choice = [sum(1 for v in self.servers.values() if self.open_to(v, place, v.entry.zone))
                  for place in range(len(self.settings.classes))]
        return sorted(range(len(choice)), key=lambda place: (choice[place], place))

    def room(self, view: ServerView, present: float, use: float) -> float:
        """What we may send there before it is used beyond `use`; cold servers have a lower limit."""
        if self.warmth(view) < 1.0:
            use = min(use, TARGET_USE, COLD_USE * self.settings.fall_multiple)
        return max(LEAST_ROOM * present, use * present - self.others_rate(view))

    def attraction(self, zone: int, place: int, usual: float) -> dict[Server, float]:
        found = {}
        jam = self.jammed(place, zone)
        for server, view in self.servers.items():
            if self.open_to(view, place, zone) and not (jam and self.warmth(view) < jam):
                delay = view.delay.get(zone, view.answer_time(usual))
                cost = self.settings.cross_zone_price if view.entry.zone != zone else 0.0
                score = 1.0 + delay / self.mean_aim + COST_V * cost
                found[server] = score**-SCORE_POWER if not self.ejected(view) else 0.0
        return found

    def jammed(self, place: int, zone: int) -> float:
        """Proxies that avoid failing servers all turn to a fresh one: in a jam the coldest are not let in.

        Acts where proxies judge by strikes and much of the traffic fails. The warmth wanted, else 0."""
        warm = [v for v in self.servers.values() if self.open_to(v, place, zone) and self.warmth(v) >= 1.0]
        failing = sum(v.failing * v.rate for v in warm)
        jam = self.settings.strikes > 0 and failing > JAM * sum(v.rate for v in warm) > 0
        return JAM_MARGIN / max(1.0, self.settings.fall_multiple) if jam else 0.0

    def demand(self, zone: int | None = None) -> list[float]:
        """Requests a second by class, of all joined proxies or of a zone's."""
        mine = [p.demand for p in self.proxies.values() if zone in (None, p.zone)]
        return [sum(rates) for rates in zip(*mine, strict=True)] or [0.0] * len(self.settings.classes)

    def place_excess(self, left: float, placed: dict[Server, float], present: dict[Server, float]) -> None:
        """All demand is placed: what found no room spreads by capacity, warm servers first."""
        if left <= 1e-9:
            return
        sound = [s for s in placed if not self.ejected(self.servers[s])]
        able = [s for s in sound if self.warmth(self.servers[s]) >= 1.0] or sound or list(placed)
        total = sum(present[s] for s in able)
        for server in able:
            placed[server] += left * present[server] / total

    # --- tables -------------------------------------------------------------------------------------

    def move_tables(self) -> None:
        """Move every table a capped step towards the spread."""
        goals = self.spread()
        for key, table in self.tables.items():
            goal = self.as_shares(goals[key])
            for server in [*goal, *(s for s in table.shares if s not in goal)]:
                old, new = table.shares.get(server, 0.0), goal.get(server, 0.0)
                most = STEP * max(old, new)
                view = self.servers.get(server)
                if view is None or server in self.urgent or not table.sent or self.warmth(view) < 1.0:
                    most = 1.0  # what is cold or gone has a goal that is safe, or must be, at once
                table.shares[server] = old + bounded(new - old, -most, most)
            table.shares = {s: w for s, w in table.shares.items() if w >= LEAST_SHARE or s in goal}

    def as_shares(self, placed: dict[Server, float]) -> dict[Server, float]:
        total = sum(placed.values())
        even = 1.0 / max(1, len(placed))
        shares = {s: rate / total for s, rate in placed.items()} if total > 0 else dict.fromkeys(placed, even)
        kept = {s: w for s, w in shares.items() if w >= LEAST_SHARE}
        for server in placed:
            if self.ejected(self.servers[server]):
                kept[server] = TRICKLE * even
        return kept

    def changed_lines(self, table: Table, only: Iterable[Server] | None = None) -> list[face.SetWeight]:
        """Lines that moved by over a tenth, on the scale of those that stay: only proportions count."""
        scale = table.scale()
        names = dict.fromkeys([*table.shares, *table.sent]) if only is None else only
        changes = []
        for server in names:
            new, old = scale * table.shares.get(server, 0.0), table.sent.get(server, 0.0)
            if abs(new - old) > WORTH_SENDING * max(new, old) or (old > 0) != (new > 0):
                changes.append(face.SetWeight(table.number, server, new))
        return changes

    def overweight(self, table: Table) -> list[Server]:
        """Cold servers that hold more of a table than is safe, since other lines left it."""
        cold = [s for s in table.sent if s in self.servers and self.warmth(self.servers[s]) < 1.0]
        return [s for s in cold if table.sent[s] > 1.2 * table.scale() * table.shares.get(s, 0.0)]

    def members(self, table: Table) -> list[int]:
        return [n for n, p in self.proxies.items() if p.zone == table.zone and p.bound]

    def send_changes(self) -> None:
        """Send what moved, most moved tables first, within the pace and the message cap."""
        budget = PACE * self.settings.channel_rate * self.settings.cycle / 1000.0
        for table in self.tables.values():
            users = self.members(table)
            changes = self.changed_lines(table)
            level = self.wanted_level(table)
            cost = len(users) * (len(changes) + 1 + self.settings.overhead)
            writable = all(self.outbox.may_write(self.proxies[u], DELTA_MESSAGES) for u in users)
            if not writable or cost > budget or not self.outbox.fits(cost, DELTA_BACKLOG):
                continue
            if changes or differs(level, table.level):
                budget -= cost
                self.write_lines(table, users, changes)
                self.write_level(table, users, level)

    def write_lines(self, table: Table, users: list[int], changes: list[face.SetWeight]) -> None:
        table.sent.update((change.server, change.weight) for change in changes)
        table.sent = {server: weight for server, weight in table.sent.items() if weight > 0}
        self.order(users, *changes)

    def order(self, users: list[int], *actions: Action) -> None:
        self.actions += actions
        for user in users:
            self.lines[user] = self.lines.get(user, 0) + len(actions)

    def withdraw_and_guard(self) -> None:
        """Lines of servers that drained, went, restarted or were ejected change at once in every table."""
        if not self.urgent:
            return
        self.urgent.update(dict.fromkeys(s for s, v in self.servers.items() if self.warmth(v) < 1.0))
        self.expect_capacity()
        self.move_tables()
        waiting = False
        reserve = 1.0 if self.slot_at == self.now else DELTA_MESSAGES  # short of messages: wait for the slot
        for table in self.tables.values():
            users = self.members(table)
            lost = all(server not in table.shares or server in self.urgent for server in table.sent)
            changes = self.changed_lines(table, None if lost else self.urgent)
            quiet = [u for u in users if u not in self.lines]  # others get a message in this reply anyway
            if changes and all(self.outbox.may_write(self.proxies[u], reserve) for u in quiet):
                self.write_lines(table, users, changes)
            else:
                waiting = waiting or bool(changes)
        if not waiting:
            self.urgent.clear()

    def bind_joined(self) -> None:
        """A proxy that joined gets its zone's whole tables, which replace the standing ones."""
        for number, proxy in self.proxies.items():
            if proxy.bound:
                continue
            tables = [self.table_for(proxy.zone, place) for place in range(len(self.settings.classes))]
            lines = sum(len(table.sent) + 2 for table in tables)
            if not self.outbox.fits(lines + sum(self.lines.values()), JOIN_BACKLOG):
                return
            for table in tables:
                self.actions.append(face.AssignTable(number, table.number, (table.place,)))
            self.lines[number] = lines
            proxy.bound = True

    def table_for(self, zone: int, place: int) -> Table:
        table = self.tables.get((zone, place))
        if table is None:
            table = Table(zone * len(self.settings.classes) + place, zone, place)
            self.tables[zone, place] = table
            self.expect_capacity()
            self.move_tables()
            self.write_lines(table, [], self.changed_lines(table))
            self.write_level(table, [], self.wanted_level(table))
        return table

    # --- admission and further tries ----------------------------------------------------------------

    def set_shedding(self) -> None:
        """Shed more while most of the traffic meets slow answers, less as soon as it does not."""
        sound = [v for v in self.servers.values() if v.answer is not None and not self.ejected(v)]
        middle = median([v.answer_time(0.0) for v in sound], [v.rate for v in sound])
        demand = max(1e-3, sum(self.demand()))
        if middle > max(SLOW_AIMS * self.mean_aim, SLOW_CALM * self.calm):
            answered = sum(v.rate * (1.0 - v.failing) for v in self.servers.values())
            goal = 1.0 - FULL_USE * answered / demand
            self.shed += SHED_GAIN * max(0.0, goal - self.shed)
        else:
            self.shed -= SHED_BACK * (0.1 + self.shed)
        least = bounded(1.0 - FULL_USE * self.known_capacity() / demand, 0.0, SHED_MOST)
        self.shed = bounded(self.shed, least, SHED_MOST)

    def known_capacity(self) -> float:
        """What the fleet can still do for us, where use is reported; without limit elsewhere."""
        ready = self.ready()
        if not ready or any("utilization" not in v.load for v in ready if v.rate > 0):
            return math.inf
        return sum(max(0.0, v.capacity * self.warmth(v) - self.others_rate(v)) for v in ready)

    def admitted(self, place: int) -> float:
        """The share of a class let in: the least worth goes first."""
        demand = self.demand()
        cut = self.shed * sum(demand)
        for k in sorted(range(len(demand)), key=lambda k: (self.settings.classes[k].worth, k)):
            refused = min(cut, (1 - LEAST_LEVEL) * demand[k])
            cut -= refused
            if k == place:
                return 1.0 - refused / demand[k] if demand[k] > 0 else 1.0
        return 1.0

    def wanted_level(self, table: Table) -> tuple[float, Retry]:
        share = self.admitted(table.place)
        level = 1.0 if share > 0.99 else share
        if self.settings.admission == "rate":
            rates = [p.demand[table.place] for p in self.proxies.values() if p.zone == table.zone]
            level = NO_LIMIT if share > 0.99 else rate_cap(rates, share)
        return level, self.safe_retry(table.place)

    def safe_retry(self, place: int) -> Retry:
        """A further try after any failure only where a second run does no harm, and not under overload."""
        wanted = self.settings.classes[place]
        covered = wanted.effect == "by_key" and wanted.group == "all" and wanted.key_window >= wanted.deadline
        if (wanted.effect == "repeatable" or covered) and self.shed <= 0:
            return FURTHER_TRY
        return Retry.ONCE_IF_UNTRIED

    def write_level(self, table: Table, users: list[int], level: tuple[float, Retry]) -> None:
        if differs(level, table.level):
            table.level = level
            self.order(users, face.SetAdmission(table.number, (table.place,), *level))

    # --- sites with slices --------------------------------------------------------------------------

    def keep_slices(self) -> None:
        """A slice keeps its server while that is ready; else it goes to the ready server with fewest."""
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


Rates = dict[Server, float]


def fill(keys: list[Key], left: dict[Key, float], pull: dict[Key, Rates], room: Rates, used: Rates,
         placed: dict[Key, Rates]) -> None:
    """One round: each zone asks in proportion to room times attraction, servers grant up to their room."""
    asked: dict[Server, float] = {}
    asks: dict[Key, dict[Server, float]] = {}
    for key in keys:
        weight = {s: room[s] * a for s, a in pull[key].items()}
        total = sum(weight.values())
        asks[key] = {s: left[key] * w / total for s, w in weight.items()} if total > 0 else {}
        for server, rate in asks[key].items():
            asked[server] = asked.get(server, 0.0) + rate
    granted = {s: min(1.0, room[s] / rate) if rate > 0 else 0.0 for s, rate in asked.items()}
    for key, wishes in asks.items():
        for server, rate in wishes.items():
            placed[key][server] += rate * granted[server]
            left[key] -= rate * granted[server]
    for server, rate in asked.items():
        room[server] -= rate * granted[server]
        used[server] += rate * granted[server]


def bounded(value: float, low: float, high: float) -> float:
    """Clamp; what is no number counts as the low end."""
    return min(high, max(low, value)) if value == value else low


def median(values: list[float], weights: list[float] | None = None) -> float:
    """The value with half of the weight at or below it; 0 of nothing."""
    pairs = sorted(zip(values, weights or [1.0] * len(values), strict=True))
    left = 0.5 * sum(weight for _, weight in pairs)
    for value, weight in pairs:
        left -= weight
        if left < 0:
            return value
    return 0.0


def size_of(view: ServerView) -> float:
    return view.entry.size if 0 < view.entry.size < math.inf else 1.0


def differs(new: tuple[float, Retry], old: tuple[float, Retry] | None) -> bool:
    return old is None or new[1] != old[1] or abs(new[0] - old[0]) > WORTH_SENDING * max(new[0], old[0])


def rate_cap(rates: list[float], share: float) -> float:
    """The limit at each proxy that lets in this share of the rates together, large callers cut first."""
    budget, ordered = share * sum(rates), sorted(rates)
    for place, rate in enumerate(ordered):
        rest = len(ordered) - place
        if rate * rest >= budget:
            return budget / rest
        budget -= rate
    return max(ordered, default=NO_LIMIT)


def read_peer(payload: bytes) -> dict[Server, float]:
    whole = len(payload) - len(payload) % PEER_LINE.size
    return {Server(server): rate / 10 for server, rate in PEER_LINE.iter_unpack(payload[:whole])}
