"""One trial: the world that a script describes, run step by step with every rule checked after each."""

from __future__ import annotations

import hashlib
import random
import struct
import sys
from bisect import bisect
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from loguru import logger

from stackwheel.forwarder.updates import ConfigUpdate
from stackwheel.interface import Availability, Settings
from stackwheel.rules.checker import Checker
from stackwheel.rules.invariants import BoundedCount, disagreement, level_disagreement, over_bounds
from stackwheel.rules.views import ListedEndpoint
from stackwheel.rules.violations import NOTIFICATION_DEADLINE, Limits, Rule, Violation
from stackwheel.service.config import Config
from stackwheel.trials import events
from stackwheel.trials.discovery import Call, Discovery, News, Record
from stackwheel.trials.exchange import Exchange
from stackwheel.trials.loop import Machine, VirtualLoop
from stackwheel.trials.network import Address, Network, Transport
from stackwheel.trials.planners import EPOCH, PlannerHost
from stackwheel.trials.proxies import Collector, Lines, Proxy, Request, Stream
from stackwheel.trials.relays import RelayGroup
from stackwheel.trials.script import Script, zone_of
from stackwheel.trials.servers import Outcome, Proof, Server

LOOK = 0.25  # s between looks at cold servers
BOUNDS = 5.0  # s between looks at what planners keep
ORDERED_WITHIN = 300.0  # ms: the protocol's allowance, before an order's way
LISTED_LATE = (0.2, 1.0)  # s until discovery knows of a change
CLIENT_WAIT = 0.05  # s until a client tries again
TRANSIT_SPREAD = (0.6, 1.4)  # of the mean, for a message that has left the channel
CONDITION = struct.Struct("<dI")


@dataclass(slots=True)
class Result:
    """What came of a trial."""

    seed: int
    digest: str
    verdicts: list[Violation]
    virtual_seconds: float
    steps: int
    requests: int
    service: float  # worth answered in time over worth asked for
    figures: dict[str, float] = field(default_factory=dict)

    @property
    def broken(self) -> bool:
        return bool(self.verdicts)


class Channel:
    """What a planner has ordered and proxies have not got yet: one message after the other."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.lines: deque[tuple[float, float]] = deque()  # when a message has left, its lines
        self.waiting = 0.0
        self.arrives: dict[int, float] = {}  # by proxy: its last message, so that they come in order
        self.most = 0.0

    def take(self, now: float, proxy: int, cost: float, rate: float, transit: float) -> float:
        """When a message that enters now reaches its proxy."""
        while self.lines and self.lines[0][0] <= now:
            self.waiting -= self.lines.popleft()[1]
        self.free_at = max(self.free_at, now) + cost / rate
        self.lines.append((self.free_at, cost))
        self.waiting += cost
        self.most = max(self.most, self.waiting)
        at = max(self.arrives.get(proxy, 0.0), self.free_at + transit)
        self.arrives[proxy] = at
        return at


class World:
    def __init__(
        self, script: Script, patch: Callable[[World], None] | None = None, trace: Callable[[str], None] | None = None
    ) -> None:
        self.script, self.shape = script, script.shape
        shape = self.shape
        self.trace = trace
        self.loop = VirtualLoop()  # type: ignore[abstract]
        self.chance = random.Random(f"world {script.seed}")
        self.zones = tuple(f"z{n}" for n in range(shape.zones))
        self.network = Network(self.loop, random.Random(f"network {script.seed}"), self.latency)
        self.digest = hashlib.blake2b(digest_size=16)
        self.network.seen = self.on_seen
        self.network.wrote = self.on_wrote
        self.zone_of_machine: dict[str, int] = {}
        self.graves: list[Machine] = []
        self.ever_listed: dict[str, None] = {}
        self.places = range(len(shape.classes))
        self.asked = self.answered = 0.0
        self.requests = 0
        self.counts: dict[str, int] = {}
        self.transit = 1.0  # factor of what orders take
        self.report_late, self.report_spoilt = 0.0, 0.0
        self.cold: dict[str, Server] = {}
        self.reachable_since: dict[int, float] = {}
        self.told_generation: dict[int, int] = {}
        # what the network or a process that did not read held back enters a channel at once: until then the
        # length of a planner's queue is not its doing
        self.burst_until: dict[int, float] = {}

        self.servers: dict[str, Server] = {}
        for number in range(shape.servers):
            server = Server(f"s-{number}", number, zone_of("server", number, shape), shape)
            self.servers[server.name] = server
        self.slots = list(self.servers.values())  # the present server of each place
        self.made = shape.servers
        self.outside = Machine("outside")
        self.network.settle("10.8.0.1", self.outside)
        machine = Machine("discovery")
        self.network.settle("10.2.0.1", machine)
        self.discovery = Discovery(
            self.loop,
            self.network,
            machine,
            ("10.2.0.1", 8500),
            self.zones,
            self.planner_of,
            self.told,
            self.on_written,
        )
        self.discovery.records = {s.name: self.record(s) for s in self.servers.values()}
        self.ever_listed.update(dict.fromkeys(self.servers))
        self.network.window = shape.window
        self.relays = RelayGroup(self) if shape.relays else None
        self.hosts: list[PlannerHost] = [PlannerHost(self, n) for n in range(shape.planners)]
        self.by_host = {host.machine.name: host for host in self.hosts}
        for host in self.hosts:
            self.zone_of_machine[host.machine.name] = host.number % shape.zones
        self.network.groups[("10.3.255.1", 7946)] = tuple((host.host, 7946) for host in self.hosts)
        self.channels = [Channel() for _ in self.hosts]
        settings = self.settings()
        self.checker = Checker(Limits.from_settings(settings), settings.classes, shape.zones)
        self.loop.after_step = self.after_step
        self.checked_at = -1.0
        self.proxies: list[Proxy] = []
        for number in range(shape.proxies):
            zone = zone_of("proxy", number, shape)
            self.zone_of_machine[f"proxy-{number}"] = zone
            proxy = Proxy(self, number, zone, Machine(f"proxy-{number}"))
            self.network.settle(f"10.1.{number // 250}.{number % 250 + 1}", proxy.machine)
            self.checker.proxy_started(number, zone)
            self.proxies.append(proxy)
        self.collectors: list[Collector] = []
        for zone in range(shape.zones):
            self.zone_of_machine[f"collector-{zone}"] = zone
            machine = Machine(f"collector-{zone}")
            self.network.settle(f"10.4.0.{zone + 1}", machine)
            self.collectors += [Collector(self, zone, n, machine) for n in range(shape.planners)]
        self.exchange = Exchange(self) if shape.files else None
        self.set_demand()
        if patch is not None:
            patch(self)

    # who is where

    def ms(self) -> float:
        return self.loop.now * 1000.0

    def settings(self) -> Settings:
        config = self.hosts[0].load()
        assert isinstance(config, Config), config
        return config.settings

    def latency(self, source: Machine, target: Machine) -> float:
        a, b = self.zone_of_machine.get(source.name), self.zone_of_machine.get(target.name)
        same = a is None or b is None or a == b
        return (self.shape.latency if same else self.shape.between) / 1000.0

    def planner_of(self, machine: Machine) -> int | None:
        host = self.by_host.get(machine.name)
        return host.number if host is not None else None

    def planner_address(self, planner: int) -> Address:
        return self.hosts[planner].address

    def discovery_of(self, planner: int) -> str:
        """The address at which a planner is told to look for the list."""
        return "{}:{}".format(*self.discovery.address) if self.relays is None else self.relays.addresses_of(planner)

    def records(self) -> Mapping[str, Record]:
        """What discovery holds of the planners' servers."""
        return self.discovery.records if self.relays is None else self.relays.part()

    def count(self, what: str, by: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + by

    # the digest and the rules

    def on_seen(self, end: Transport, data: bytes) -> None:
        """Bytes have been taken by one end of a connection."""
        self.digest.update(CONDITION.pack(self.loop.now, end.local[1] & 0xFFFF) + data)
        if self.relays is not None:
            self.relays.seen(end, data)
        host = self.by_host.get(end.machine.name)
        if host is None:
            return
        speaker = end.far.protocol
        if isinstance(speaker, Stream):
            self.heard_from(host, speaker, data)
        elif isinstance(speaker, Call):
            speaker.seen(len(data))

    def heard_from(self, host: PlannerHost, stream: Stream, data: bytes) -> None:
        proxy = stream.proxy
        if (
            not stream.counted
            and not stream.broken
            and proxy.stream is stream
            and not (self.between_cut(proxy, host.number))
        ):
            stream.counted = True
            self.checker.proxy_joined(proxy.number, host.number, self.ms())
        *lines, stream.taken = (stream.taken + data).split(b"\r\n")
        for line in lines:
            if (
                line.startswith(b"ACK ")
                and proxy.stream is stream
                and host.service is not None
                and (host.last_mark(proxy.number) == mark_of(line))
                and self.quiet(host, stream)
            ):
                self.compare(host, proxy)

    def quiet(self, host: PlannerHost, stream: Stream) -> bool:
        """Nothing more is on its way to a proxy, with a mark or without."""
        arrives = self.channels[host.number].arrives.get(stream.proxy.number, 0.0)
        return (
            stream.transport is not None
            and stream.transport.unread == 0
            and arrives <= self.loop.now
            and not host.unsent(stream.proxy.number)
        )

    def compare(self, host: PlannerHost, proxy: Proxy) -> None:
        """All that a planner sent has been applied: both hold the same."""
        self.count("agreements")
        believed = host.believed(proxy.number)
        if believed is None:
            return
        lines, levels, ejected = believed
        for place, wanted in lines.items():
            held = proxy.holdings.class_tables[proxy.routes[place]]
            why = disagreement(held.lines, wanted) or level_disagreement(held.level, levels[place])
            if why is not None:
                self.checker.break_rule(self.ms(), Rule.AGREES, f"class {place}: {why}", host.number, proxy.number)
        for server, out in ejected.items():
            if (server in proxy.holdings.ejected) != out:
                self.checker.break_rule(
                    self.ms(), Rule.AGREES, f"{server} ejected: {not out}, believed {out}", host.number, proxy.number
                )

    def on_wrote(self, end: Transport, data: bytes) -> None:
        if self.relays is not None:
            self.relays.wrote(end, data)
        host = self.by_host.get(end.machine.name)
        if host is not None and data.startswith(b"CONFIG") and isinstance(end.far.protocol, Stream):
            self.checker.message_written(host.number, end.far.protocol.proxy.number, self.ms())

    def after_step(self, now: float) -> None:
        if now > self.checked_at:
            self.checked_at = now
            if self.checker.deadlines:
                self.checker.advance(now * 1000.0)

    def fault(self, message: Any) -> None:
        """Something was logged as an error: no task may die, no batch fail."""
        record = message.record
        error = f": {record['exception'].value!r}" if record["exception"] else ""
        machine = self.loop.machine
        planner = self.planner_of(machine) if machine is not None else None
        self.checker.break_rule(self.ms(), Rule.UPRIGHT, record["message"][:300] + error, planner)

    # planners

    def planner_up(self, host: PlannerHost) -> None:
        self.checker.planner_ready(host.number, self.ms())
        self.reachable_since[host.number] = self.loop.now
        self.told_generation[host.number] = self.discovery.generation
        if self.relays is not None:
            self.relays.planner_up(host.number)
        for record in self.records().values():
            self.checker.endpoint_notified(host.number, self.ms(), record.name, self.listed(record))

    def planner_down(self, host: PlannerHost) -> None:
        self.checker.planner_stopped(host.number, self.ms())
        if self.exchange is not None:
            self.exchange.planner_down(host.number)
        for proxy in self.proxies:
            if proxy.stream is not None and proxy.stream.planner == host.number:
                proxy.stream.broken = True
                proxy.stream.counted = False
        self.channels[host.number] = Channel()

    def between_cut(self, proxy: Proxy, planner: int) -> bool:
        here, there = proxy.machine, self.hosts[planner].machine
        return self.network.is_cut(here, there) or self.network.is_cut(there, here)

    def streams_cut(self) -> None:
        """A cut has begun: streams across it count as left; who hears nothing any more finds that out."""
        if self.exchange is not None:
            self.exchange.cut()
        for proxy in self.proxies:
            stream = proxy.stream
            if stream is not None and self.between_cut(proxy, stream.planner):
                self.counts_left(proxy, stream)
                proxy.later(proxy.chance.uniform(0.2, 2.7), proxy.notice_cut, stream)

    def proxy_back(self, proxy: Proxy) -> None:
        host = next(h for h, m in self.network.hosts.items() if m is proxy.machine)
        self.graves.append(proxy.machine)
        proxy.machine, proxy.mind = Machine(proxy.machine.name), Machine(proxy.machine.name)
        self.network.settle(host, proxy.machine)
        self.loop.at(self.loop.now, proxy.mind, proxy.start_over)

    def counts_left(self, proxy: Proxy, stream: Stream) -> None:
        stream.counted = False
        if proxy.stream is stream or proxy.stream is None:
            self.checker.proxy_left(proxy.number, self.ms())

    # discovery

    def record(self, server: Server) -> Record:
        started = 0.0 if server.started is None else (EPOCH + server.started) * 1000.0
        return Record(
            server.name,
            f"10.9.{server.number // 250}.{server.number % 250 + 1}:80",
            server.zone,
            server.kind,
            server.state,
            started,
            server.warm_at(),
        )

    @staticmethod
    def listed(record: Record) -> ListedEndpoint:
        return ListedEndpoint(record.state, record.zone, record.kind, record.warm_at * 1000.0, record.started)

    def list_soon(self, *servers: Server) -> None:
        """Discovery hears of changes seconds late."""
        records = tuple(self.record(s) for s in servers)
        self.ever_listed.update(dict.fromkeys(r.name for r in records))
        self.loop.at(self.loop.now + self.chance.uniform(*LISTED_LATE), None, self.list_now, records)

    def list_now(self, records: tuple[Record, ...]) -> None:
        known = [r for r in records if r.state is not Availability.REMOVED or r.name in self.discovery.records]
        if known:
            self.discovery.change(known)
            if self.relays is None:
                self.watch_for_unasked(self.discovery.generation)
            else:
                self.relays.changed(known)

    def told(self, planner: int | None, news: News) -> None:
        """A planner has taken what discovery wrote."""
        if planner is None or planner not in self.checker.planners:
            return
        now, view = self.ms(), self.checker.planners[planner]
        overtaken = not news.whole and news.generation < self.told_generation.get(planner, 0)
        for record in news.records:
            listed = self.listed(record)
            if not (overtaken and view.is_outdated(record.name, listed)):
                self.checker.endpoint_notified(planner, now, record.name, listed)
        if news.whole:
            names = {record.name for record in news.records}
            for name, entry in [item for item in view.listed.items() if item[0] not in names]:
                self.checker.endpoint_notified(planner, now, name, replace(entry, availability=Availability.REMOVED))
        self.told_generation[planner] = max(news.generation, self.told_generation.get(planner, 0))

    def on_written(self, call: Call, news: News) -> None:
        """What was written counts as told after a while, whether it arrived or not, where the way is open."""
        self.loop.at(self.loop.now + NOTIFICATION_DEADLINE / 1000.0, None, self.told_at_last, call, news)

    def told_at_last(self, call: Call, news: News) -> None:
        if call.planner is None or news not in call.news or call.transport is None:
            return
        if self.can_hear(call.planner, news.written):
            self.told(call.planner, news)

    def can_hear(self, planner: int, since: float) -> bool:
        """Whether discovery has been within a planner's reach all the time since."""
        host = self.hosts[planner]
        return (
            host.running
            and not host.machine.still
            and not self.discovery.trouble
            and self.reachable_since.get(planner, 0.0) <= since
            and not self.network.is_cut(host.machine, self.discovery.machine)
            and not self.network.is_cut(self.discovery.machine, host.machine)
        )

    def watch_for_unasked(self, generation: int) -> None:
        """A planner that neither watches nor asks for as long as allowed counts as told."""
        wait = self.shape.ask_within / 1000.0 + NOTIFICATION_DEADLINE / 1000.0
        self.loop.at(self.loop.now + wait, None, self.unasked, generation, self.loop.now)

    def unasked(self, generation: int, since: float) -> None:
        for host in self.hosts:
            if (
                self.can_hear(host.number, since)
                and self.told_generation.get(host.number, 0) < generation <= self.discovery.generation
            ):
                everything = tuple(self.discovery.records.values())
                self.told(host.number, News(0, everything, True, self.discovery.generation, since))

    # orders

    def channel_takes(self, stream: Stream, order: ConfigUpdate) -> None:
        """A message's last byte has arrived: it enters its planner's channel."""
        shape, proxy = self.shape, stream.proxy
        cost = order.cost() + shape.overhead
        transit = shape.transit / 1000.0 * self.transit * self.chance.uniform(*TRANSIT_SPREAD)
        channel = self.channels[stream.planner]
        at = channel.take(self.loop.now, proxy.number, cost, shape.channel_rate, transit)
        if self.loop.now >= self.burst_until.get(stream.planner, 0.0):
            self.checker.lines_queued(stream.planner, channel.waiting, self.ms())
        self.count("messages")
        self.count("lines", order.cost())
        self.loop.at(at, proxy.mind, proxy.apply, stream, order, self.loop.now)

    # reports

    def send_report(self, machine: Machine, speaker: Lines, lines: list[str]) -> None:
        if self.report_spoilt:
            lines = [self.spoil(line) if self.chance.random() < self.report_spoilt else line for line in lines]
        if lines:
            late = self.report_late + (0.3 if isinstance(speaker, Collector) else 0.0)
            self.loop.at(self.loop.now + late, machine, speaker.say, *lines)

    def spoil(self, line: str) -> str:
        words = line.split(" ")
        place = self.chance.randrange(1, len(words))
        name = words[place].partition("=")[0]
        what = self.chance.choice(("", f"{name}=-1", f"{name}=x", f"{name}=nan", f"{name}={10**30}"))
        return " ".join(w for w in (*words[:place], what, *words[place + 1 :]) if w)

    def load_of(self, name: str) -> dict[str, float]:
        server = self.servers.get(name)
        if server is None or not self.shape.reports:
            return {}
        return {"outstanding": float(server.holds(self.loop.now))}

    def load_report(self, name: str) -> str:
        server = self.servers.get(name)
        if server is None or not self.shape.reports:
            return ""
        return f" util=inflight:{server.holds(self.loop.now)}"

    # requests

    def set_demand(self) -> None:
        """Requests a second of each proxy, from what the servers can do together."""
        capacity = sum(1000.0 * self.shape.cores * s.speed for s in self.slots)
        work = sum(c.share * c.work for c in self.shape.classes)
        total = self.shape.use * capacity / work
        weights = [0.5 + self.chance.random() for _ in self.proxies]
        for proxy, weight in zip(self.proxies, weights, strict=True):
            proxy.usual = total * weight / sum(weights)
        self.cumulate()

    def cumulate(self) -> None:
        """By proxy and class, so that one draw finds both."""
        self.sums: list[float] = []
        total = 0.0
        for proxy in self.proxies:
            for wanted in self.shape.classes:
                total += proxy.rate() * wanted.share
                self.sums.append(total)

    def next_request(self) -> None:
        total = self.sums[-1]
        if total > 0:
            place = min(bisect(self.sums, self.chance.random() * total), len(self.sums) - 1)
            number, place = divmod(place, len(self.places))
            wanted = self.shape.classes[place]
            until = self.loop.now + wanted.deadline / 1000.0 * self.chance.uniform(0.5, 1.0)
            self.asked += wanted.worth
            self.requests += 1
            request = Request(self.requests, place, self.loop.now, until, self.shape.client_retries)
            self.loop.at(self.loop.now, self.proxies[number].mind, self.proxies[number].take, request)
        self.loop.at(self.loop.now + self.chance.expovariate(max(1.0, total)), None, self.next_request)

    def try_server(self, request: Request, proxy: Proxy, name: str, until: float) -> Outcome:
        """A try leaves a proxy for a server."""
        now, wanted = self.loop.now, self.shape.classes[request.place]
        server = self.servers.get(name)
        if server is None:
            return Outcome(now + 2 * self.shape.between / 1000.0, False, Proof.NOT_SENT, None)
        way = (self.shape.latency if server.zone == proxy.zone else self.shape.between) / 1000.0
        if self.network.cuts and self.cut_off(proxy, server):
            return Outcome(until, False, Proof.UNKNOWN, None)
        work = wanted.work * self.chance.uniform(0.5, 1.5)
        outcome = server.serve(now, way, work, until, self.chance)
        if outcome.effect_at is not None:
            group = {"all": 0, "zone": server.zone, "cell": 0}[wanted.group]
            self.take_effect(request, group, proxy, server, outcome.effect_at)
        return outcome

    def cut_off(self, proxy: Proxy, server: Server) -> bool:
        here, there = proxy.machine.name, f"server-{server.slot}"
        return (here, there) in self.network.cuts or (there, here) in self.network.cuts

    def take_effect(self, request: Request, group: int, proxy: Proxy, server: Server, at: float) -> None:
        wanted = self.shape.classes[request.place]
        if wanted.effect == "by_key":
            before = self.checker.executions.get(request.number, [])
            if any(g == group and at * 1000.0 - t < wanted.key_window for g, t in before):
                return  # dropped as a repeat
        self.checker.request_executed(request.number, request.place, group, proxy.number, server.name, at * 1000.0)

    def finish(self, request: Request, proxy: Proxy, good: bool, decided: float) -> None:
        """The final answer to a client, at once; the client may come again."""
        now = self.loop.now
        self.checker.request_answered(request.number, proxy.number, min(decided, now) * 1000.0, now * 1000.0)
        self.checker.forget_request(request.number)
        wanted = self.shape.classes[request.place]
        self.digest.update(CONDITION.pack(now, request.number & 0xFFFFFFFF) + (b"+" if good else b"-"))
        if good:
            self.answered += wanted.worth * (1.0 if now - request.came <= wanted.aim / 1000.0 else 0.15)
        elif request.tries_left and now + CLIENT_WAIT < request.until:
            self.requests += 1
            again = Request(self.requests, request.place, request.came, request.until, request.tries_left - 1)
            self.loop.at(now + CLIENT_WAIT, proxy.mind, proxy.take, again)

    # servers

    def standing_table(self, zone: int, chance: random.Random) -> Sequence[str]:
        """Up to so many listed servers, drawn by chance in the zone; of all where it has none."""
        listed = [r.name for r in self.records().values() if r.state is Availability.READY]
        own = [name for name in listed if self.servers[name].zone == zone] or listed
        return chance.sample(own, min(len(own), self.shape.start_lines))

    def present(self, slot: int) -> Server:
        return self.slots[slot]

    def start_server(self, server: Server) -> None:
        server.start(self.loop.now)
        self.cold[server.name] = server
        self.list_soon(server)

    def new_server(self, like: Server) -> None:
        server = Server(f"s-{self.made}", self.made, like.zone, self.shape)
        server.slot = like.slot
        self.made += 1
        self.servers[server.name] = self.slots[server.slot] = server
        self.start_server(server)

    def look_at_cold(self) -> None:
        """What all joined proxies, as their tables say, send to cold servers that their planners know of."""
        now = self.loop.now
        for name, server in list(self.cold.items()):
            if now >= server.warm_at() or not server.alive or server.fallen:
                del self.cold[name]
                self.checker.server_warmed_up(name)
                continue
            load = sum(self.sent_to(proxy, server, now) for proxy in self.proxies)
            self.checker.warming_server_load(name, load, server.bears(now), now * 1000.0)
        self.loop.at(now + LOOK, None, self.look_at_cold)

    def sent_to(self, proxy: Proxy, server: Server, now: float) -> float:
        state = self.checker.proxies[proxy.number]
        view = self.checker.planners.get(state.planner) if state.planner is not None else None
        if view is None or not proxy.machine.alive:
            return 0.0
        known = view.listed.get(server.name)
        if known is None or known.warm_at != server.warm_at() * 1000.0:
            return 0.0
        since = max(view.listed_since[server.name], state.joined_at, view.limits_from, state.limits_from)
        if now * 1000.0 < since + ORDERED_WITHIN + 2 * self.shape.transit * self.transit:
            return 0.0  # no order could be there yet
        avoid, work = proxy.avoided(now) if proxy.kept_off else (), 0.0
        for place, wanted in enumerate(self.shape.classes):
            held = proxy.holdings.class_tables[proxy.routes[place]]
            if server.name not in held.lines or server.name in proxy.holdings.ejected:
                continue
            share = proxy.holdings.shares(proxy.routes[place], avoid).get(server.name, 0.0)
            rate = proxy.rate() * wanted.share
            if held.level is not None and self.shape.admission != "off":
                rate = min(rate, held.level[0] * (rate if self.shape.admission == "share" else 1.0))
            work += share * rate * wanted.work
        return work

    # the run

    def look_at_bounds(self) -> None:
        for host in self.hosts:
            if host.running and not host.machine.still and self.checker.planners.get(host.number) is not None:
                for why in over_bounds([BoundedCount(*figure) for figure in host.figures()]):
                    self.checker.break_rule(self.ms(), Rule.BOUNDED, why, host.number)
        self.loop.at(self.loop.now + BOUNDS, None, self.look_at_bounds)

    def begin(self) -> None:
        if self.relays is not None:
            self.relays.begin()
        for host in self.hosts:
            self.loop.at(0.0, None, host.start)
        for proxy in self.proxies:
            self.loop.at(0.05 + 0.5 * proxy.chance.random(), proxy.mind, proxy.start_over)
        for collector in self.collectors:
            self.loop.at(0.1, collector.machine, collector.dial)
            self.loop.at(1.0 + 0.1 * collector.planner, collector.machine, collector.report)
        self.loop.at(1.0, None, self.next_request)
        self.loop.at(LOOK, None, self.look_at_cold)
        self.loop.at(BOUNDS, None, self.look_at_bounds)
        for fault in self.script.faults:
            self.loop.at(fault.at, None, events.begin, self, fault)

    def run(self) -> Result:
        logger.remove()
        sink = logger.add(self.fault, level="ERROR", format="{message}", catch=False)
        tracing = (
            logger.add(
                lambda m: self.trace(  # type: ignore[misc]
                    f"{self.loop.now:9.3f} {self.loop.machine}: {m.record['message']}"
                ),
                level="DEBUG",
                format="{message}",
                catch=False,
            )
            if self.trace is not None
            else None
        )
        hook, sys.unraisablehook = sys.unraisablehook, lambda _: None  # of coroutines that are thrown away
        try:
            self.begin()
            self.loop.run_until(self.script.span)
            if self.relays is not None:
                self.relays.settle()
            for why in self.loop.faults[:3]:
                self.checker.break_rule(self.ms(), Rule.UPRIGHT, why)
            return self.result()
        finally:
            self.loop.close()
            relays = self.relays.hosts if self.relays is not None else ()
            for machine in [*self.graves, *(h.machine for h in self.hosts), *(r.machine for r in relays)]:
                machine.end_tasks()
            sys.unraisablehook = hook
            logger.remove(sink)
            if tracing is not None:
                logger.remove(tracing)

    def result(self) -> Result:
        for verdict in self.checker.violations:
            self.digest.update(str(verdict).encode())
        service = self.answered / self.asked if self.asked else 1.0
        figures = {**self.counts, "checks": self.checker.checks, "queue_most": max(c.most for c in self.channels)}
        return Result(
            self.script.seed,
            self.digest.hexdigest(),
            self.checker.violations,
            self.loop.now,
            self.loop.steps,
            self.requests,
            service,
            figures,
        )


def mark_of(line: bytes) -> int:
    text = line.partition(b" seq=")[2].partition(b" ")[0]
    return int(text) if text.isdigit() else -1


def run_script(
    script: Script, patch: Callable[[World], None] | None = None, trace: Callable[[str], None] | None = None
) -> Result:
    return World(script, patch, trace).run()
