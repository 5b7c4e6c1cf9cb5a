"""The policy: every decision and every tuned value of the planner, in reading order.

Types: `stackwheel/interface.py`. Each slot it spreads every zone's demand per class over servers by spare
capacity weighted down by delay plus cost, moves tables a step, sends what moved; what rules need at once.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from stackwheel import interface as face
from stackwheel import peers
from stackwheel.interface import Action, EndpointEntry, Event, Retry, Server, Settings

# Estimates
SMOOTHING, EVIDENCE = 0.5, 10.0  # step of a rate or load to its newest; tries for half an answer time
FADE, ZONE_FADE = 0.1, 0.2  # a slot's drift of what nobody confirms: to all servers' average, to its server's
ERROR_AIMS, PEER_LIFE, EXPECTED = 2.0, 3.0, 8.0  # of an error; cycles a peer's, a join's figures count for
TARGET_USE, LEAST_USE = 0.7, 0.45  # the design's; the fleet is never taken to be less used than
CAPACITY_GAIN, LEVEL_RISE = 0.15, 0.03  # step to a new figure; by which it rises in a slot of quick answers
CALM_SPAN, CALM_DRIFT = 1.3, 0.01  # quick: within so many times the quickest, which is forgotten by this
# Spread, tables and health
COST_V, SCORE_POWER = 30.0, 3.0  # V: aims of delay that one unit of cross-zone price is worth
USES, ROUNDS, LEAST_ROOM, PLACED = (TARGET_USE, 0.85, 1.0), 4, 0.02, 1e-6  # fillings; least room; is none
COLD_USE, HEARD, JAM_SLOW = 0.22, 0.3, 1.75  # cold: most, of fall_multiple; kept out: traffic heard, slowness
STEP, WORTH_SENDING = 0.2, 0.1  # the design's: most a weight moves in a slot; least that is sent
OVERWEIGHT, LEAST_SHARE = 1.2, 0.005  # of its share: a cold or ejected line over it is urgent; least line
EJECT_AT, EJECT_TRIES, DEAD, CROWDED = 0.3, 8.0, 0.8, 2.0  # failures over tries; dead; slow by load
PANIC_SHARE, TRICKLE, HOLD, HOLD_MOST = 0.4, 0.05, 3.0, 16.0  # ejected: most, even share left, cycles up to
PACE, PACE_SPAN = 0.4, 2.0  # of the stated rate, for changes; cycles of it for one zone's in one go
BUSY, FULL, DELTA_MESSAGES = 0.25, 0.8, 0.6  # of the backlog: add to no queue over; nor beyond; of the cap
FIRST_BY, FIRST_LEAST, GROW, AGAIN = 0.4, 4, 0.05, 0.1  # of the grace; lines; of the backlog; of a cycle
CLOSE = 0.1  # of the drain grace: what comes sooner after a message to a proxy waits for the next
HEADS, LACKING, DRY = 5.0, 0.1, 0.8  # heads' worth of lines in a message; of a table unsent: first; at once
SLOWEST, SILENT, MARKS = 0.2, 1.0, 1 << 16  # of its rate, once nothing is heard for so many cycles; marks
LATE_SPAN, SPAN_GAIN = 4.0, 0.05  # cycles of reports so late that probes are worth it; step to a new span
PROBES, LOOKED, HOLDS = 0.06, 3.0, 2.0  # a request; cycles that a probe counts for; windows, a report
SLOW_AIMS, SLOW_CALM, FULL_USE = 0.3, 1.7, 0.92  # half of the traffic as slow; of what is answered
SHED_GAIN, SHED_BACK, SHED_MOST = 0.5, 0.2, 0.95  # step to there; share back in a calm slot; limit
LEAST_LEVEL, ALL, NO_LIMIT = 0.05, 0.99, 1e6  # least share let in; what counts as all; no rate limit
FURTHER_TRY = Retry.ONCE_IF_NOT_EXECUTED  # safe for any class; after any failure it doubled the work under strain
PEERS_MOST, ASK_MOST = 128, 0.4  # messages of peers in a cycle; of the time to ask again in
SLOT_TOKEN, LIST_TOKEN, HELD_TOKEN, NOW, COLD, SOON, NEW, LATER = 1 << 32, 2 << 32, 3 << 32, *range(5)
Key = tuple[int, int]  # zone and class: what a table is for
Rates = dict[Server, float]
Move = tuple[int, float, int, Server, float]  # how long it may wait; less the more; a table's place; weight


@dataclass(slots=True)
class ServerView:
    entry: EndpointEntry
    capacity: float = 0.0  # requests a second when warm
    rates: dict[int, float] = field(default_factory=dict)  # tries a second of our proxies, by their zone
    delay: dict[int, float] = field(default_factory=dict)  # answer time by zone, errors counted as slow ones
    answer: float | None = None  # the same over all zones
    good: float | None = None  # mean time of good answers alone
    failing: float = 0.0  # share of tries
    load: dict[str, float] = field(default_factory=dict)  # its own report
    heard: dict[int, tuple[float, float, float, float]] = field(default_factory=dict)  # as in take_report
    ejected_until: float = 0.0
    hold: float = 0.0
    draw: float = 1.0  # of its own, for thin lines
    asked_at: float = -math.inf  # when it was last probed
    looked_at: float = -math.inf  # and told its load, or
    full: bool = False  # that it takes no more

    @property
    def rate(self) -> float:
        return sum(self.rates.values())

    @property
    def size(self) -> float:
        return self.entry.weight if 1 / NO_LIMIT < self.entry.weight < NO_LIMIT else 1.0


@dataclass(slots=True)
class Table:
    """A shared table: what the slot steers to and what the proxies have been sent."""

    number: int
    zone: int
    places: tuple[int, ...]  # of the classes that share it, as they may go to the same servers
    members: list[Server] = field(default_factory=list)  # of a short table: the servers that it may hold
    shares: Rates = field(default_factory=dict)
    sent: Rates = field(default_factory=dict)
    levels: dict[int, face.AdmissionLevel] = field(default_factory=dict)  # by class

    def scale(self) -> float:  # of the weights sent to the shares wanted, over lines that stay
        both = [s for s in self.sent if s in self.shares]
        return sum(self.sent[s] for s in both) / (sum(self.shares[s] for s in both) or math.inf) or 1.0


@dataclass(slots=True, eq=False)
class Group:
    """The tables that some proxies of a zone use together, written to in one message each."""

    tables: list[Table]
    written: float = -math.inf  # when changes last went to all of them
    users: dict[int, float] = field(default_factory=dict)  # proxies and the demand each came with

    def lines(self) -> int:
        return sum(len(table.sent) + 1 + len(table.places) for table in self.tables)


@dataclass(slots=True)
class ProxyView:
    zone: int
    demand: list[float]  # by class, of the seconds that had any
    due: list[float]  # expected of classes that it has not told of
    joined: float = 0.0
    group: Group = field(default_factory=lambda: Group([]))  # none of ours yet


class Outbox:
    """Owns the channel: its queue, as acknowledgements show it, each proxy's messages, what still fits."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.backlog, self.marks = settings, settings.queue_limit or math.inf, 0
        self.queued = self.at = self.heard_at = 0.0
        self.head = settings.message_overhead + 1.0  # with the mark
        self.pace = PACE * settings.channel_rate / 1000.0  # lines a millisecond for changes
        self.allowance = self.span = PACE_SPAN * settings.report_interval * self.pace
        self.crowd = self.span / PACE_SPAN / (HEADS * self.head)  # of one group: else most lines are heads
        self.written: dict[int, list[float]] = {}  # when messages went to a proxy, whatever stream it had
        self.unacked: dict[int, tuple[float, dict[int, float]]] = {}  # by mark: when sent, lines by proxy

    def advance(self, now: float, proxies: dict[int, ProxyView]) -> None:
        owed = ((p, at) for at, lines in self.unacked.values() for p in lines)
        owing = any(p in proxies and proxies[p].joined <= at for p, at in owed)
        if not owing or now > self.heard_at + SILENT * self.settings.report_interval:  # else acknowledgements tell
            self.queued -= min(self.queued, (now - self.at) / 1000.0 * self.settings.channel_rate * SLOWEST)
        self.allowance, self.at = min(self.span, self.allowance + (now - self.at) * self.pace), now

    def acknowledge(self, proxy: int, mark: int) -> None:  # messages leave in order
        if mark in self.unacked:
            self.unacked = dict(itertools.dropwhile(lambda item: item[0] != mark, self.unacked.items()))
            self.unacked[mark][1].pop(proxy, None)
            self.queued, self.heard_at = sum(sum(owed.values()) for _, owed in self.unacked.values()), self.at

    def room(self, lines: dict[int, int], share: float) -> float:
        return self.backlog * share - self.queued - sum(lines.values()) - len(lines) * self.head

    def may_write(self, proxy: int, share: float, apart: float = 0.0) -> bool:
        recent = [at for at in self.written.get(proxy, []) if at > self.at - self.settings.message_window]
        self.written[proxy], cap = recent, self.settings.message_cap
        spread = not recent or self.at - recent[-1] >= apart
        return not cap or (spread and len(recent) + 1 <= max(1.0, cap * share))

    def apart(self) -> float:  # of changes on the rest of the cap: else the next drain waits for its end
        return self.settings.message_window / max(1.0, self.settings.message_cap * (1 - DELTA_MESSAGES) + 1)

    def charge(self, lines: dict[int, int]) -> list[Action]:  # the mark tells when they have arrived
        if not lines:
            return []
        cost = sum(lines.values()) + len(lines) * self.head
        self.written.update({number: [*self.written.get(number, []), self.at] for number in lines})
        self.heard_at = self.heard_at if any(owed for _, owed in self.unacked.values()) else self.at
        self.queued, self.marks = self.queued + cost, (self.marks + 1) % MARKS
        self.unacked[self.marks] = self.at, {number: count + self.head for number, count in lines.items()}
        return [face.AttachNonce(self.marks, False)]


class Planner:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random, self.outbox = settings, random.Random(seed), Outbox(settings)
        self.places = range(len(settings.classes))
        bounds = [(c.allowed_zones, c.allowed_kinds, c.zone_local) for c in settings.classes]
        self.alike = [tuple(p for p in self.places if bounds[p] == one) for one in dict.fromkeys(bounds)]
        self.mean_aim = sum(c.latency_objective for c in settings.classes) / max(1, len(settings.classes))
        self.now, self.slot, self.slot_at = 0.0, 0, -math.inf
        self.reported = self.urgent = self.held = False  # figures came; a line must go at once; it waits
        self.actions: list[Action] = []
        self.lines: dict[int, int] = {}  # written in this reply, by proxy
        self.servers: dict[Server, ServerView] = {}
        self.proxies: dict[int, ProxyView] = {}
        self.waiting: dict[int, None] = {}  # proxies that have no tables of ours
        self.groups: dict[int, dict[int, list[Group]]] = {}  # by zone and lines of a short table; 0: whole
        self.goals: dict[Key, Rates] = {}  # of the last spread
        self.peers: dict[int, tuple[float, int, Rates]] = {}  # when heard, proxies, and what they send where
        self.shed = self.level = self.calm = self.counted = 0.0
        self.failures, self.part, self.again, self.span = 0, 1.0, 0.0, 0.0  # calls; our part; next try
        self.flow: dict[Key, list[float]] = {}  # requests told of since the last count; a second, by counts

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        starting, self.now, self.actions, self.lines = self.slot_at == -math.inf, now, [], {}
        self.outbox.advance(now, self.proxies)
        if self.settings.key_range_count:  # tables there belong to slices, which this policy does not serve
            return []
        self.actions += [face.WatchEndpoints()] if starting and self.settings.endpoint_list_on_request else []
        due = [self.take(event) for event in events].count(True) > 0 or starting
        if due or (self.reported and now - self.slot_at >= 0.6 * self.settings.report_interval):
            self.run_slot()
        elif (self.urgent or (self.held and now >= self.again)) and self.outbox.room(self.lines, BUSY) > 0:
            if self.urgent:  # once for its cause: a step each batch that finds no room is no capped step
                self.move_tables()
            self.send_changes()
        self.bind_joined()
        return self.actions + self.outbox.charge(self.lines)

    def take(self, event: Event) -> bool:  # true if the slot timer fired
        match event:
            case face.EndpointUpdate():
                self.take_list(event)
            case face.LoadReport():
                self.take_report(event)
            case face.DemandReport():
                self.take_demand(event)
            case face.ProxyJoined(proxy, zone, rate, _):
                each = [bounded(rate, 0.0, NO_LIMIT) / max(1, len(self.places)) for _ in self.places]
                self.proxies[proxy] = ProxyView(zone, each, [*each], self.now)
                self.waiting[proxy] = None
            case face.ProxyLeft(proxy) if proxy in self.proxies:
                self.waiting.pop(proxy, None)
                gone = self.proxies.pop(proxy)
                gone.group.users.pop(proxy, None)
                for told, rate, due in zip(self.told(gone.zone), gone.demand, gone.due, strict=True):
                    told[1] = max(0.0, told[1] - rate * (not due))
            case face.HealthCheckResult(server, outcome, _, load) if server in self.servers:
                view, full = (
                    self.servers[server],
                    outcome in (face.HealthCheckOutcome.REJECTED, face.HealthCheckOutcome.TIMEOUT),
                )
                if load or full:
                    view.full, view.looked_at = full, self.now
                    self.take_load(view, load)
            case face.Acknowledged(proxy, mark, _):
                self.outbox.acknowledge(proxy, mark)
            case face.GossipReceived(sender, payload) if (found := peers.unpack(payload)) is not None:
                sent = {**self.peers.get(sender, (0.0, 0, {}))[2], **found[1]} if found[0] else {}
                self.peers[sender] = self.now, found[0], {s: x for s, x in sent.items() if s in self.servers}
            case face.TimerFired(token) if token == LIST_TOKEN:
                self.actions.append(face.WatchEndpoints())
        return event == face.TimerFired(SLOT_TOKEN + self.slot)

    def take_list(self, update: face.EndpointUpdate) -> None:
        """Follow the list; a server it drops is gone, unless only draining binds: then health judges it."""
        if update.kind is face.UpdateKind.FAILED:
            self.failures += 1  # all may ask at once: each time waits longer, by its own draw
            wait = self.settings.report_interval * 2 ** min(9, self.failures - 1) * (0.5 + self.random.random())
            self.actions.append(face.SetTimer(min(ASK_MOST * self.settings.list_poll_deadline, wait), LIST_TOKEN))
            return
        self.failures, entries = 0, {entry.server: entry for entry in update.entries}
        gone = {s for s, entry in entries.items() if entry.availability is face.Availability.REMOVED}
        for entry in [entry for s, entry in entries.items() if s not in gone]:
            self.take_entry(entry)
        if update.kind is not face.UpdateKind.DELTA:
            gone |= self.servers.keys() - entries.keys()
        for server in [s for s in self.servers if s in gone and not self.settings.removal_is_advisory]:
            del self.servers[server]
            self.urgent = True

    def take_entry(self, entry: EndpointEntry) -> None:
        known = self.servers.setdefault(entry.server, ServerView(entry, draw=self.random.uniform(0.05, 1.0)))
        if entry.started_at > known.entry.started_at:  # same id, new process: what was measured no longer holds
            self.servers[entry.server] = ServerView(entry, known.capacity, known.rates, draw=known.draw)
        self.urgent |= (entry.started_at, entry.availability) != (known.entry.started_at, known.entry.availability)
        self.servers[entry.server].entry = entry

    def ready(self) -> list[ServerView]:
        return [v for v in self.servers.values() if v.entry.availability is face.Availability.READY]

    def open_to(self, place: int, zone: int | None = None) -> list[ServerView]:
        wanted = self.settings.classes[place]
        return [
            view
            for view in self.ready()
            if (not wanted.allowed_zones or view.entry.zone in wanted.allowed_zones)
            and (not wanted.allowed_kinds or view.entry.kind in wanted.allowed_kinds)
            and (not wanted.zone_local or zone in (None, view.entry.zone))
        ]

    def warmth(self, view: ServerView) -> float:  # the share of its capacity that it surely has by now
        if view.entry.started_at <= 0 or self.settings.slow_start_duration <= 0:
            return 1.0
        age = bounded((self.now - view.entry.started_at) / self.settings.slow_start_duration, 0.0, 1.0)
        return self.settings.slow_start_min_share + (1.0 - self.settings.slow_start_min_share) * age

    def ejected(self, view: ServerView) -> bool:
        return view.ejected_until > self.now

    def sound(self, view: ServerView) -> bool:  # fit to take any share at once, while it is ready
        return self.warmth(view) >= 1.0 and not self.ejected(view)

    def take_report(self, report: face.LoadReport) -> None:  # an error counts as slow
        view, tries = self.servers.get(report.server), report.attempts
        if view is None or tries <= 0 or not 0 < report.window < math.inf:
            return
        self.reported, bad = True, min(report.failures, tries) / tries
        self.span = blend(self.span, min(report.window, 1e6), SPAN_GAIN)
        slow = ERROR_AIMS * self.mean_aim
        good = bounded(report.mean_latency, 0.0, slow)
        answer, gain = good * (1 - bad) + slow * bad, tries / (tries + EVIDENCE)
        view.answer = blend(view.answer, answer, gain)
        view.delay[report.zone] = blend(view.delay.get(report.zone), answer, gain)
        seen = min(NO_LIMIT, tries * 1000.0 / report.window)
        view.rates[report.zone] = blend(view.rates.get(report.zone), seen, SMOOTHING)
        view.failing = blend(view.failing, bad, tries / (tries + EJECT_TRIES))
        if bad < 1.0:
            view.good = blend(view.good, good, gain)
        self.take_load(view, report.load)
        if bad < 1.0 and good < CALM_SPAN * self.calm:  # what is lost beside quick answers is no sign of load
            answer = good
        view.heard[report.zone] = self.now + HOLDS * report.window, answer, seen, seen * (1 - bad)

    def take_load(self, view: ServerView, load: tuple[float, ...]) -> None:
        told = zip(self.settings.load_columns, load, strict=False)
        view.load.update({n: blend(view.load.get(n), x, SMOOTHING) for n, x in told if 0 <= x < math.inf})

    def take_demand(self, report: face.DemandReport) -> None:
        proxy, place = self.proxies.get(report.proxy), report.request_class
        if proxy is not None and 0 < report.window < math.inf and place in self.places:
            came = min(NO_LIMIT, report.requests * 1000.0 / report.window)
            proxy.demand[place] = blend(proxy.demand[place], came, 0.5)
            told, self.counted = self.told(proxy.zone)[place], self.counted or self.now - report.window
            told[:], proxy.due[place] = [told[0] + report.requests, told[1] + proxy.due[place]], 0.0

    def told(self, zone: int) -> list[list[float]]:
        return [self.flow.setdefault((zone, place), [0.0, 0.0]) for place in self.places]

    def demand(self, zone: int | None = None) -> list[float]:  # by class; silence is none, a join its promise
        new = self.now - EXPECTED * self.settings.report_interval
        due = [p.due for p in self.proxies.values() if zone in (None, p.zone) and p.joined > new]
        rates = [[rate for _, rate in self.told(z)] for z in range(self.settings.zones) if zone in (None, z)]
        return [sum(by_class) for by_class in zip(*rates, *due, strict=True)]

    def run_slot(self) -> None:
        told, self.reported, self.slot, self.slot_at = self.reported, False, self.slot + 1, self.now
        if told:
            self.update_estimates()
            self.judge_health()
            self.set_shedding()
            late = self.span > LATE_SPAN * self.settings.report_interval  # else reports tell as well, for nothing
            if late and self.settings.health_checks_enabled and "outstanding" in self.settings.load_columns:
                self.probe()
        if told or not self.proxies:  # who has none says so, else its part of what is cold lies idle
            self.tell_peers()
        self.forget_groups()
        self.move_tables()
        self.send_changes()
        self.actions.append(face.SetTimer(1.25 * self.settings.report_interval, SLOT_TOKEN + self.slot))

    def update_estimates(self) -> None:
        usual, since, self.counted = self.usual_answer(), self.now - self.counted, self.now
        for told in self.flow.values():
            told[:] = 0.0, blend(told[1], told[0] * 1000.0 / max(1.0, since), SMOOTHING)
        for view in self.servers.values():
            view.heard = {zone: heard for zone, heard in view.heard.items() if heard[0] > self.now}
            if not view.heard and view.answer is not None:  # silence is no health and no death
                view.answer = blend(view.answer, usual, FADE)
            for zone in [z for z in view.delay if z not in view.heard]:
                view.rates[zone] *= 1 - ZONE_FADE
                view.delay[zone] = blend(view.delay[zone], view.answer or usual, ZONE_FADE)
        self.learn_level(usual)
        self.expect_capacity()
        for view in [v for v in self.servers.values() if self.warmth(v) >= 1.0 and v.rate > 0]:
            self.learn_capacity(view, usual)

    def usual_answer(self) -> float:
        return median([v.answer for v in self.servers.values() if v.answer]) or 0.5 * self.mean_aim

    def learn_level(self, usual: float) -> None:  # load over target use, rising while answers stay quick
        ready = self.ready()
        load = sum(v.rate * (1 - v.failing) + self.others_rate(v) for v in ready)  # refused tries are no load
        load /= max(1.0, sum(v.size for v in ready))
        self.calm = min(usual, self.calm * (1 + CALM_DRIFT)) if self.calm else usual
        self.level *= 1 + LEVEL_RISE * (usual < CALM_SPAN * self.calm)
        self.level = bounded(self.level, load / TARGET_USE, load / LEAST_USE)

    def expect_capacity(self) -> None:  # who is not measured yet counts as its kind's average by listed size
        guess = sum(self.demand()) * self.settings.planner_count / TARGET_USE
        guess /= max(1.0, sum(v.size for v in self.servers.values()))
        kinds: dict[int, list[float]] = {}
        for view in [v for v in self.servers.values() if v.rate > 0 and v.capacity > 0]:
            kinds.setdefault(view.entry.kind, []).append(view.capacity / view.size)
        for view in [v for v in self.servers.values() if v.capacity <= 0 or v.rate <= 0]:
            alike = kinds.get(view.entry.kind) or [guess]
            view.capacity = max(1e-3, view.size * sum(alike) / len(alike))

    def learn_capacity(self, view: ServerView, usual: float) -> None:
        if "utilization" in view.load:
            seen = (view.rate + self.others_rate(view)) / bounded(view.load["utilization"], 0.1, 1.0)
        else:
            seen = self.level * view.size * bounded(usual / max(1e-3, view.answer or usual), 0.5, 1.5)
        view.capacity = blend(view.capacity, seen, CAPACITY_GAIN)

    def fresh_peers(self) -> list[tuple[float, int, Rates]]:
        return [told for told in self.peers.values() if told[0] > self.now - PEER_LIFE * self.settings.report_interval]

    def others_rate(self, view: ServerView) -> float:
        """What other planners' proxies send there: from peers, else from the server's own load report."""
        fresh = self.fresh_peers()
        heard = sum(rates.get(view.entry.server, 0.0) for _, _, rates in fresh)
        if len(fresh) >= self.settings.planner_count - 1:
            return heard
        total = view.rate * self.settings.planner_count
        if "outstanding" in view.load and view.answer is not None:
            total = view.load["outstanding"] * 1000.0 / max(1.0, view.answer)
        return max(heard, total - view.rate)

    def tell_peers(self) -> None:  # what we send to each server, none left out
        told = peers.pack(len(self.proxies), {s: v.rate for s, v in self.servers.items()})
        others = self.settings.planner_count - 1 if self.settings.gossip_enabled else 0
        if 0 < others * len(told) <= PEERS_MOST:  # what each would have to read
            self.actions += [face.SendGossip(payload) for payload in told]

    def probe(self) -> None:  # the longest unseen first: reports come late
        used = {s for group in self.all_groups() for t in group.tables for s in t.sent if s in self.servers}
        budget = int(min(len(used), PROBES * sum(self.demand()) * self.settings.report_interval / 1000.0))
        for server in sorted(used, key=lambda s: (self.servers[s].asked_at, s))[:budget]:
            self.servers[server].asked_at = self.now
            self.actions.append(face.StartHealthCheck(server))

    def judge_health(self) -> None:  # never past the panic share
        ready = self.ready()
        out = sum(1 for v in ready if self.ejected(v))
        usual = median([v.failing for v in ready if v.rate > 0])
        for view in sorted(ready, key=lambda v: (-v.failing, v.entry.server)):
            if view.ejected_until and not self.ejected(view):  # back: the slot's steps let it in slowly
                view.ejected_until, view.failing, view.answer, view.good = 0.0, 0.0, None, None
                view.delay = dict.fromkeys(view.delay, self.usual_answer())
            elif (
                not self.ejected(view)
                and view.failing > max(EJECT_AT, 3 * usual)
                and self.sick(view)
                and out + 1 <= PANIC_SHARE * len(ready)
            ):
                view.hold = min(HOLD_MOST, max(HOLD, 2 * view.hold))
                view.ejected_until = self.now + view.hold * self.settings.report_interval
                self.urgent = True
                out += 1

    def sick(self, view: ServerView) -> bool:  # its good answers are quick: the crowded just get less
        return (
            view.failing > DEAD
            or view.good is None
            or view.good < CROWDED * median([v.good for v in self.servers.values() if v.good])
        )

    def spread(self) -> dict[Key, Rates]:
        """Each zone's demand per class over servers, as requests a second: the design's mechanism."""
        heard, own = self.fresh_peers(), max(1e-3, sum(self.demand()))
        part = own / (own + sum(sum(rates.values()) for _, _, rates in heard))
        joined = len(self.proxies) + sum(proxies for _, proxies, _ in heard)
        self.part = part * min(1.0, joined / self.settings.proxy_count)  # the unheard count as their average
        present = {s: v.capacity * self.warmth(v) for s, v in self.servers.items()}
        rank = {
            p: (len(self.open_to(p)), c.latency_objective, c.priority_weight)
            for p, c in enumerate(self.settings.classes)
        }
        keys = [(zone, place) for place in self.places for zone in sorted(self.groups)]
        pull = {key: self.attraction(*key) for key in keys}
        left = {(zone, place): max(1e-3, self.demand(zone)[place]) for zone, place in keys}
        placed = {key: dict.fromkeys(pull[key], 0.0) for key in keys}
        for use in USES:
            used = {s: sum(rates.get(s, 0.0) for rates in placed.values()) for s in self.servers}
            room = {s: max(0.0, self.room(v, present[s], use) - used[s]) for s, v in self.servers.items()}
            for first in sorted(set(rank.values())):  # least choice, then least time; equals together
                for _ in range(ROUNDS):
                    if mine := [key for key in keys if rank[key[1]] == first and left[key] > PLACED]:
                        fill(mine, left, pull, room, placed)
        for key in keys:  # all demand is placed: the excess spreads by capacity, over warm servers if any
            able = [s for s in placed[key] if self.sound(self.servers[s])]
            able = able or [s for s in placed[key] if not self.ejected(self.servers[s])] or list(placed[key])
            total = sum(present[s] for s in able)
            placed[key].update({s: placed[key][s] + left[key] * present[s] / total for s in able})
        return placed

    def room(self, view: ServerView, present: float, use: float) -> float:
        """What we may send there before it is used beyond `use`; of a cold one's lower limit our part."""
        if self.warmth(view) < 1.0:
            return self.part * min(use, COLD_USE * self.settings.overload_multiple) * present
        return max(LEAST_ROOM * present, use * present - self.others_rate(view))

    def attraction(self, zone: int, place: int) -> Rates:
        """The score, answer time in aims plus V times the cross-zone price, as a weight falling with it."""
        found, jam, usual = {}, self.jammed(place, zone), self.usual_answer()
        for view in self.open_to(place, zone):
            if not jam or self.warmth(view) >= 1.0:
                cost = self.settings.cross_zone_cost if view.entry.zone != zone else 0.0
                score = 1.0 + view.delay.get(zone, view.answer or usual) / self.mean_aim + COST_V * cost
                found[view.entry.server] = 0.0 if self.ejected(view) else score**-SCORE_POWER
        return found

    def jammed(self, place: int, zone: int) -> bool:  # cold ones stay out, all turned to them by strikes
        warm = [v for v in self.open_to(place, zone) if self.warmth(v) >= 1.0]
        slow = self.usual_answer() > JAM_SLOW * min(self.calm, SLOW_AIMS * self.mean_aim)
        unheard = sum(v.rate for v in self.servers.values()) < HEARD * (1 - self.shed) * sum(self.demand())
        return bool(warm) and (unheard or (self.settings.consecutive_failure_limit > 0 and slow))

    def move_tables(self) -> None:
        """Move every table a capped step towards the spread; what is cold or fails jumps to its safe goal."""
        self.expect_capacity()
        self.goals, ready = self.spread(), self.ready()
        for size, groups in [found for sizes in self.groups.values() for found in sizes.items()]:
            self.move_groups(size, groups, ready)

    def move_table(self, table: Table, goal: Rates, ready: list[ServerView]) -> None:
        jump = {v.entry.server for v in ready if not table.sent or not self.sound(v)}
        stay = sum(share for s, share in table.shares.items() if s in goal and s not in jump)
        rest = max(0.0, 1.0 - sum(x for s, x in goal.items() if s in jump)) / max(LEAST_SHARE, stay)
        held = {v.entry.server: rest * table.shares.get(v.entry.server, 0.0) for v in ready}
        for server, old in held.items():
            new = goal.get(server, 0.0)
            most = math.inf if server in jump else STEP * max(old, new)
            held[server] = old + bounded(new - old, -most, most)
        table.shares = {s: share for s, share in held.items() if share >= LEAST_SHARE or s in goal}

    def move_groups(self, size: int, groups: list[Group], ready: list[ServerView]) -> None:
        """Short tables together hold what is most wanted of a zone, and each of them some that are sound."""
        rows = [g.tables for g in groups]
        for tables in zip(*rows, strict=True) if size else [[table] for row in rows for table in row]:
            goals = [self.goals[tables[0].zone, place] for place in tables[0].places]
            rates = {s: sum(goal.get(s, 0.0) for goal in goals) for s in (v.entry.server for v in ready)}
            wanted = self.as_shares({s: r for s, r in rates.items() if r > 0 or (not size and s in goals[0])})
            if not size:
                self.move_table(tables[0], wanted, ready)
                continue
            missing = wanted.keys() - {s for table in tables for s in table.members}
            fits = 2 * size * len(groups) - sum(len(table.members) for table in tables)
            for server in sorted(missing, key=lambda s: (-wanted[s], s))[: max(0, fits)]:
                min(tables, key=lambda t: sum(wanted.get(s, 0.0) for s in t.members)).members.append(server)
            for table in tables:
                table.members = [s for s in table.members if s in wanted]
                others = [s for s in wanted if s not in table.members and self.sound(self.servers[s])]
                lacking = FIRST_LEAST - sum(self.sound(self.servers[s]) for s in table.members)
                table.members += self.random.sample(others, min(len(others), max(0, lacking)))
                self.move_table(table, self.as_shares({s: wanted[s] for s in table.members}), ready)

    def as_shares(self, placed: Rates) -> Rates:
        """Shares of a table; the ejected keep a trickle to be judged by, a draw decides on thin lines."""
        total, trickle = sum(placed.values()) or 1.0, TRICKLE / max(1, len(placed))
        views = {s: self.servers[s] for s in placed}
        shares = {s: trickle if self.ejected(views[s]) else rate / total for s, rate in placed.items()}
        return {
            s: max(share, LEAST_SHARE) if self.sound(views[s]) else share
            for s, share in shares.items()
            if self.ejected(views[s]) or share >= LEAST_SHARE * views[s].draw
        } or shares

    def send_changes(self) -> None:
        """What went leaves all tables before anything else is sent; the least lately written go first."""
        if self.waiting and self.lines_each(1) < 0:  # for so long that it is the changes' turn to wait
            self.bind_joined()
        self.urgent, self.held, self.again = False, False, self.now + AGAIN * self.settings.report_interval
        ready = {view.entry.server for view in self.ready()}
        groups = sorted(self.all_groups(), key=lambda group: group.written)
        for group in [g for g in groups if g.users and any(s not in ready for t in g.tables for s in t.sent)]:
            self.send_group(group, list(group.users), True)
        self.actions += [face.SetTimer(AGAIN * self.settings.report_interval, HELD_TOKEN)] if self.held else []
        strict = self.held or bool(self.waiting)
        for group in groups:
            self.send_group(group, list(group.users), strict)

    def send_group(self, group: Group, users: list[int], strict: bool) -> None:
        """Send a group in one message what must not wait, then the largest moves, as many as fit."""
        tables, each, head, settings = group.tables, max(1, len(users)), self.outbox.head, self.settings
        moves = sorted(
            move
            for place, table in enumerate(tables)
            for move in self.moves(place, table)
            if not strict or move[0] <= COLD
        )
        levels = [self.wanted_levels(table) for table in tables]
        news = sum(
            1
            for table, wanted in zip(tables, levels, strict=True)
            for place, level in wanted.items()
            if differs(level, table.levels.get(place))
        )
        pressing = sum(1 for move in moves if move[0] < NEW)
        lacks = any(move[0] == NEW for move in moves)  # it takes what of the channel nobody else does
        spent = self.outbox.allowance <= 0 and not (lacks and self.outbox.room(self.lines, BUSY / 2) > 0)
        usual = 0.0 if strict or spent else max(head, self.outbox.span / each - head)
        full = self.outbox.room(self.lines, FULL) / each - head - news
        most = int(bounded(max(pressing, usual), 0, max(0, full)))
        since = self.now - group.written  # for what rules need there is a reserve of the cap
        share = 1.0 if moves and moves[0][0] <= COLD and since >= self.outbox.apart() else DELTA_MESSAGES
        close = settings.message_cap and self.slot_at < self.now and 0 < since < CLOSE * settings.drain_grace
        fits = (
            full > 0
            and not close
            and self.outbox.room(self.lines, BUSY) > 0
            and all(self.outbox.may_write(u, share) for u in users if u not in self.lines)
        )
        chosen = moves[:most] if fits else []
        self.held |= lacks or (news > 0 and not fits) or sum(1 for move in chosen if move[0] < NEW) < pressing
        if chosen or (news and fits and not strict):
            for place, table in enumerate(tables):
                self.write(table, users, {s: w for _, _, at, s, w in chosen if at == place}, levels[place])
            self.outbox.allowance -= each * (head + len(chosen)) if usual else 0.0
            group.written = self.now if chosen else group.written

    def moves(self, place: int, table: Table) -> list[Move]:
        """Lines that moved by over a tenth: the unsafe, what lacks, then the largest."""
        scale, ready, found = table.scale(), {v.entry.server: v for v in self.ready()}, []
        lacking = sum(x for s, x in table.shares.items() if s not in table.sent)
        first = SOON if lacking > DRY else NEW if lacking > LACKING else LATER
        for server in dict.fromkeys([*table.shares, *table.sent]):
            new, old = scale * table.shares.get(server, 0.0), table.sent.get(server, 0.0)
            sound = server in ready and self.sound(ready[server])
            if abs(new - old) > WORTH_SENDING * max(new, old) or (old > 0) != (new > 0):
                unsafe = NOW if server not in ready else COLD if self.warmth(ready[server]) < 1.0 else SOON
                wait = first if old == 0 else LATER if sound or old <= OVERWEIGHT * new else unsafe
                found.append((wait, -abs(new - old), place, server, new))
        return found

    def write(self, table: Table, users: list[int], changes: Rates, levels: dict[int, face.AdmissionLevel]) -> None:
        orders: list[Action] = [face.SetWeight(table.number, s, weight) for s, weight in changes.items()]
        table.sent = {s: weight for s, weight in {**table.sent, **changes}.items() if weight > 0}
        for place, level in levels.items():
            if differs(level, table.levels.get(place)):
                table.levels[place] = level
                orders.append(face.SetAdmission(table.number, (place,), *level))
        self.actions += orders
        self.lines.update({user: self.lines.get(user, 0) + len(orders) for user in users if orders})

    def bind_joined(self) -> None:
        """A proxy that joined gets its zone's tables in place of those it holds; the busiest first."""
        late = self.waiting and self.lines_each(1) < 0  # else many at once, as each look costs
        if not self.waiting or self.outbox.room(self.lines, BUSY if late else BUSY - GROW) < 0:
            return None if self.waiting or self.held else self.grow_tables()
        waiting = [
            (-sum(self.proxies[n].demand), n)
            for n in self.waiting
            if self.outbox.may_write(n, DELTA_MESSAGES) or self.outbox.may_write(n, 1.0, self.outbox.apart())
        ]
        self.lay_tables({self.proxies[number].zone for _, number in waiting})
        each = self.lines_each(len(waiting))
        for _, number in sorted(waiting):
            if not self.bind(number, self.group_for(self.proxies[number], each), BUSY):
                return

    def lines_each(self, crowd: int) -> float:  # if all are to have tables in their part of the drain grace
        waited = self.now - min(self.proxies[number].joined for number in self.waiting)
        left = max(0.0, FIRST_BY * self.settings.drain_grace - waited)
        return left / 1000.0 * self.settings.channel_rate / max(1, crowd) - self.outbox.head

    def group_for(self, proxy: ProxyView, each: float) -> Group:  # short tables in a crowd
        whole = min(self.groups[proxy.zone][0], key=lambda group: len(group.users))
        if each >= whole.lines():
            return whole if len(whole.users) < self.outbox.crowd else self.deal(proxy.zone, 0, 1)[0]
        size = 4 ** (max(FIRST_LEAST, int(each) - 1 - len(self.places)).bit_length() - 1 >> 1)
        if size not in self.groups[proxy.zone]:
            self.deal(proxy.zone, size, max(1, round(max(len(t.shares) for t in whole.tables) / size)))
        return min(self.groups[proxy.zone][size], key=lambda group: sum(group.users.values()))

    def deal(self, zone: int, size: int, count: int) -> list[Group]:  # deals a zone's servers out
        used = {table.number for group in self.all_groups() for table in group.tables}
        free = (number for number in itertools.count() if number not in used)
        sets = self.alike if size or self.crowded() else [(place,) for place in self.places]
        found = [Group([Table(next(free), zone, places) for places in sets]) for _ in range(count)]
        self.groups[zone].setdefault(size, []).extend(found)
        self.move_groups(size, found, self.ready())
        for table in [table for group in found for table in group.tables]:
            self.write(table, [], table.shares, self.wanted_levels(table))
        return found

    def crowded(self) -> bool:  # the channel can't replace a whole table for each class in the drain grace
        mine = self.settings.proxy_count / self.settings.planner_count * len(self.places) * len(self.ready())
        return 1000.0 * mine > self.settings.channel_rate * self.settings.drain_grace

    def all_groups(self) -> list[Group]:
        return [g for _, sizes in sorted(self.groups.items()) for some in sizes.values() for g in some]

    def bind(self, number: int, group: Group, share: float) -> bool:
        lines, proxy = group.lines(), self.proxies[number]
        if min(self.outbox.room(self.lines, share), self.outbox.room(self.lines, FULL) - lines) < 0:
            return False
        self.actions += [face.AssignTable(number, table.number, table.places) for table in group.tables]
        proxy.group.users.pop(number, None)
        self.lines[number], proxy.group, group.users[number] = lines, group, sum(proxy.demand)
        self.waiting.pop(number, None)
        return True

    def grow_tables(self) -> None:
        if self.outbox.room(self.lines, GROW) < 0:
            return
        short = [
            (-sum(p.demand), number)
            for number, p in self.proxies.items()
            if p.group not in self.groups[p.zone][0] and self.outbox.may_write(number, DELTA_MESSAGES)
        ]
        all(self.bind(n, self.group_for(self.proxies[n], math.inf), GROW) for _, n in sorted(short))

    def forget_groups(self) -> None:  # short tables unused, whole ones too many, zones without proxies
        zones, before = {proxy.zone for proxy in self.proxies.values()}, self.all_groups()
        for zone, sizes in self.groups.items():
            for size, groups in sizes.items():
                used = [group for group in groups if group.users]
                sizes[size] = groups if size and used else used or groups[: zone in zones and not size]
            self.groups[zone] = {size: groups for size, groups in sizes.items() if groups}
        self.groups = {zone: sizes for zone, sizes in self.groups.items() if sizes}
        kept = self.all_groups()
        self.actions += [face.ClearTable(t.number) for g in before if g not in kept for t in g.tables]

    def lay_tables(self, zones: set[int]) -> None:  # of zones that had none, in one spread
        if new := zones - self.groups.keys():
            self.groups.update({zone: {} for zone in new})
            self.move_tables()
            for zone in sorted(new):
                self.deal(zone, 0, 1)

    def set_shedding(self) -> None:
        """Shed what is beyond known capacity, and while half of the traffic is slow what is not answered."""
        met = [heard for v in self.servers.values() if not self.ejected(v) for heard in v.heard.values()]
        middle = median([answer for _, answer, _, _ in met], [tries for _, _, tries, _ in met])
        seen = [v for v in self.ready() if v.looked_at > self.now - LOOKED * self.settings.report_interval]
        if seen:  # what waits there now, in time at its capacity
            middle = median(
                [
                    math.inf if v.full else v.load.get("outstanding", 0.0) * 1000.0 / (v.capacity * self.warmth(v))
                    for v in seen
                ]
            )
        answered = sum(rate for _, _, _, rate in met)  # by the newest reports: an average lags a jam's end
        demand = max(1e-3, sum(self.demand()))
        if middle > max(SLOW_AIMS * self.mean_aim, SLOW_CALM * self.calm):
            self.shed += SHED_GAIN * max(0.0, 1.0 - FULL_USE * answered / demand - self.shed)
        else:
            self.shed -= SHED_BACK * (0.1 + self.shed)
        self.shed = bounded(max(0.0, self.shed), 1.0 - FULL_USE * self.known_capacity() / demand, SHED_MOST)

    def known_capacity(self) -> float:  # what is left for us, where use is reported
        sound = [v for v in self.ready() if not self.ejected(v)]
        spare = sum(max(0.0, v.capacity * self.warmth(v) - self.others_rate(v)) for v in sound)
        return spare if any("utilization" in v.load for v in sound) else math.inf

    def admitted(self, place: int) -> float:  # the share let in: the least worth goes first, equals alike
        worth, demand = [wanted.priority_weight for wanted in self.settings.classes], self.demand()
        lesser = sum(rate for other, rate in zip(worth, demand, strict=True) if other < worth[place])
        equal = sum(rate for other, rate in zip(worth, demand, strict=True) if other == worth[place])
        cut = self.shed * sum(demand) - (1 - LEAST_LEVEL) * lesser
        return 1.0 - bounded(cut, 0.0, (1 - LEAST_LEVEL) * equal) / equal if equal > 0 else 1.0

    def wanted_levels(self, table: Table) -> dict[int, face.AdmissionLevel]:
        return {place: face.AdmissionLevel(self.wanted_level(table.zone, place), FURTHER_TRY) for place in table.places}

    def wanted_level(self, zone: int, place: int) -> float:
        share, by_rate = self.admitted(place), self.settings.admission_mode == "rate"
        if share >= ALL or not by_rate:
            return share if share < ALL else NO_LIMIT if by_rate else 1.0
        return rate_cap([p.demand[place] for p in self.proxies.values() if p.zone == zone], share)


def fill(
    keys: list[Key], left: dict[Key, float], pull: dict[Key, Rates], room: Rates, placed: dict[Key, Rates]
) -> None:
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


def bounded(value: float, low: float, high: float) -> float:
    return min(high, max(low, value)) if value == value else low  # no number counts as low


def blend(old: float | None, new: float, gain: float) -> float:
    return new if old is None else old + gain * (new - old)  # the first figure counts whole


def median(values: list[float], weights: list[float] | None = None) -> float:  # 0 of nothing
    pairs = sorted(zip(values, weights or [1.0] * len(values), strict=True))
    left = 0.5 * sum(weight for _, weight in pairs)
    for value, weight in pairs:
        left -= weight
        if left < 0:
            return value
    return 0.0


def differs(new: face.AdmissionLevel, old: face.AdmissionLevel | None) -> bool:
    return (
        old is None
        or new[1] != old[1]
        or (new[0] == 1.0) != (old[0] == 1.0)
        or abs(new[0] - old[0]) > WORTH_SENDING * max(new[0], old[0])
    )


def rate_cap(rates: list[float], share: float) -> float:  # at each, large callers cut first
    budget, ordered = share * sum(rates), sorted(rates)
    for place, rate in enumerate(ordered):
        if rate * (len(ordered) - place) >= budget:
            return budget / (len(ordered) - place)
        budget -= rate
    return max(ordered, default=NO_LIMIT)
