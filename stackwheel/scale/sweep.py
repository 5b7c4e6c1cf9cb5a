"""Measures one real planner between stand-ins, size by size: start, settle, count over a span, end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import platform
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field, replace
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Any

from stackwheel.balance import PEERS_MOST
from stackwheel.scale.accounting import AccountingError, Channel, ProcessUsage, Traffic, TrafficCounters, read_usage
from stackwheel.scale.proxies import CYCLE_MS, HollowCollector, HollowProxy, ProxySettings, until
from stackwheel.scale.slopes import (
    ChannelRates,
    HeldOut,
    Machine,
    Repeat,
    Sweep,
    Usage,
    fit_all,
    held_out,
    highest,
    mean_usage,
    predict,
)
from stackwheel.scale.surroundings import HOST, ListEntry, ListFeed, PeerPlanners, ProbedServers
from stackwheel.wire.http import split_address

ROUTES = ("read", "write")
MEAN_REQUESTS = 471  # a second of a service: 990,000 over 2,100; each is met by one server, and reported from there
REQUESTS_PER_PROXY = 15.0  # a second
SECOND = 1.0
ZONE_LOST_AFTER = 1.5  # s from the span's start
READY_SECONDS = 20.0  # from the process's start to its first PONG; 0.8 s is usual with 48,000 servers
TABLES_SECONDS = 8.0  # from joining until every proxy holds a table, before the span begins anyway
SETTLE_SECONDS = 2.0  # after that: two cycles of reports, so that whole tables follow short ones
MEASURE_SECONDS = 60.0  # beyond the span, for one repeat from start to end
SPARE_SOCKETS = 256
SOCKETS_MOST = 15_000  # of 20,000 descriptors a process


class SweepError(RuntimeError):
    """A planner that did not start, or ended in a run."""


@dataclass(frozen=True, slots=True)
class Point:
    """The sizes that one planner is measured at."""

    servers: int = 128
    zones: int = 1
    proxies: int = 32
    planners: int = 1
    changes: float = 0.0  # of the list, a second
    zone_lost: bool = False  # all servers of the first zone leave during the span
    requests: int = MEAN_REQUESTS  # a second that collectors report on: no more servers a cycle can have met one

    def entries(self, probe_address: str) -> list[ListEntry]:
        """The list: names as in the fleet, zones in turn."""
        return [ListEntry(f"svc-0001-{number:08x}", probe_address, self.zone(number)) for number in range(self.servers)]

    def zone(self, number: int) -> str:
        return f"zone-{number % self.zones:02d}"


@dataclass(frozen=True, slots=True)
class Timing:
    """How long a point is measured."""

    span: float  # s
    settle: float = SETTLE_SECONDS


@dataclass(frozen=True, slots=True)
class Plan:
    """One sweep: which size, which values, the one held out, and what stands meanwhile."""

    variable: str
    sizes: tuple[int, ...]
    held_out: int
    base: Point
    jobs: int  # points measured side by side: few, as they share the machine

    def points(self, size: int) -> Point:
        """The point at a size of the swept variable."""
        changed: dict[str, Any] = {FIELDS.get(self.variable, self.variable): size}
        return replace(self.base, **changed)


FIELDS = {"list": "servers"}  # sweeps that are named otherwise than the field they change

PLANS = (
    Plan("servers", (32, 64, 128, 256), 512, Point(), 3),
    Plan("list", (250, 500, 1_000, 2_000), 4_000, Point(zones=20, proxies=5), 2),
    Plan("zones", (2, 4, 8, 16), 32, Point(servers=256, proxies=32), 3),
    Plan("proxies", (8, 16, 32, 64), 128, Point(servers=23), 3),
    Plan("planners", (2, 4, 8, 16), 32, Point(servers=23), 3),
    Plan("changes", (1, 2, 4, 8), 16, Point(servers=256), 3),
)
MEAN_CELL = Point(servers=23, zones=2, proxies=5, planners=7)
SERVICE_PART = Point(servers=51, zones=2, proxies=5, planners=16, requests=1056)  # 16 planners' part of a large one
LARGEST_CELL = Point(servers=512, zones=2, proxies=44, planners=16, requests=512)  # both limits of the plan file
WHOLE_LIST = Point(servers=48_000, zones=85, proxies=5)  # a mean service's planner, without cells
DIRECT = {
    "mean cell": MEAN_CELL,
    "mean cell, one request a proxy": replace(MEAN_CELL, proxies=66),
    "mean cell, zone lost": replace(MEAN_CELL, zone_lost=True),
    "part of the largest service": SERVICE_PART,
    "part of the largest service, zone lost": replace(SERVICE_PART, zone_lost=True),
    "largest cell": LARGEST_CELL,
    "largest cell, zone lost": replace(LARGEST_CELL, zone_lost=True),
    "whole list": WHOLE_LIST,
    "whole list, zone lost": replace(WHOLE_LIST, zone_lost=True),
}
DIRECT_JOBS = 2


def planner_config(point: Point, listen: str, discovery: str, peers: PeerPlanners, seed: int) -> dict[str, object]:
    """ROUTER_CONFIG of the planner under test: number 0 of its tier."""
    own = f"{HOST}:{free_port(datagrams=True)}"
    service = {"deadline": 1200.0, "group": "all", "key_ttl": 5000.0, "target": 500.0}
    return {
        "name": "planner-0",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": min(SOCKETS_MOST, point.proxies + SPARE_SOCKETS)},
        "peer_listen": own,
        "peers": [own, *(end.address() for end in peers.ends)],
        "peers_all": peers.everyone.address(),
        "settings": {
            "me": 0,
            "instances": point.planners,
            "zone": 0,
            "zones": [f"zone-{number:02d}" for number in range(point.zones)],
            "kinds": ["m1"],
            "tick": 2.0,
            "weight_kind": "off",
            "discovery": "on_request",
            "load_report": {"columns": ["outstanding"], "source": "inline"},
            "bounds": {"peers": True, "probes": True},
            "deductions": {"cross_zone": 0.1},
            "services": [
                {"name": "read", "worth": 1.0, "effect": "repeatable", **service},
                {"name": "write", "worth": 5.0, "effect": "once", **service},
            ],
            "family_info": {
                "agents": point.proxies,
                "backlog": 4500.0,
                "channel_rate": 3000.0,
                "cycle": CYCLE_MS,
                "exclusive": False,
                "key_ranges": 0,
                "lb_method": "two",
                "level_kind": "share",
                "messages_over": 10000.0,
                "overhead": 4.0,
                "strikes": 0,
                "transit": 150.0,
                "try_factor": 0.8,
                "unserved_max": 7000.0,
                "update_cap": 12,
                "usual_how": 1,
                "zone_bound": [False, False],
            },
            "obligations": {
                "ask_within": 10000.0,
                "cold": 17000.0,
                "cold_share": 0.2,
                "drain_grace": 3000.0,
                "fall_multiple": 4.0,
                "only_draining_binds": False,
                "overload_for": 3000.0,
            },
        },
    }


def free_port(datagrams: bool = False) -> int:
    """A port that nobody holds now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM) as found:
        found.bind((HOST, 0))
        return int(found.getsockname()[1])


@dataclass(slots=True)
class Bench:
    """One planner's process with everything it speaks to."""

    point: Point
    seed: int
    counters: TrafficCounters = field(default_factory=TrafficCounters)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    proxies: list[HollowProxy] = field(default_factory=list)
    feed: ListFeed = field(init=False)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """The process, ready, with its proxies joined; ended with all that was started, whatever happens."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.cancel)
            probed = await asyncio.start_server(ProbedServers(self.counters[Channel.PROBES]).serve, HOST, 0)
            stack.callback(probed.close)
            entries = self.point.entries(address_of(probed))
            self.feed = ListFeed(entries, self.counters[Channel.LIST])
            discovery = await asyncio.start_server(self.feed.serve, HOST, 0)
            stack.callback(discovery.close)
            names = [entry.instance_id for entry in entries]
            peers = PeerPlanners(names, PEERS_MOST, self.counters[Channel.PEERS])
            stack.callback(peers.close)
            await peers.open(self.point.planners - 1)
            config = planner_config(self.point, f"{HOST}:{free_port()}", address_of(discovery), peers, self.seed)
            process = await stack.enter_async_context(started(config))
            await ready(str(config["listen"]), process)
            self.join(str(config["listen"]), names)
            self.keep(peers.run(split_address(str(config["peer_listen"]))))
            yield process

    def join(self, address: str, names: Sequence[str]) -> None:
        settings = ProxySettings(address, ROUTES, frozenset(names), REQUESTS_PER_PROXY)
        random = Random(self.seed)
        streams, reports = self.counters[Channel.STREAMS], self.counters[Channel.COLLECTORS]
        for number in range(self.point.proxies):
            zone = self.point.zone(number)
            proxy = HollowProxy(number, zone, settings, streams, Random(random.getrandbits(64)))
            self.proxies.append(proxy)
            self.keep(proxy.run())
        met = names[: self.point.requests]
        for place in range(self.point.zones):
            own = met[place :: self.point.zones]
            collector = HollowCollector(self.point.zone(place), address, own, reports, Random(random.getrandbits(64)))
            self.keep(collector.run())

    def keep(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def cancel(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for proxy in self.proxies:
            proxy.close()

    async def change(self) -> None:
        """Changes at the point's rate, until cancelled."""
        while True:
            await asyncio.sleep(1.0 / self.point.changes)
            self.feed.change()

    async def lose_zone(self) -> None:
        """The first zone's servers leave at once, in the middle of the span's first seconds."""
        await asyncio.sleep(ZONE_LOST_AFTER)
        self.feed.lose(self.point.zone(0))

    def served(self) -> bool:
        return all(proxy.holds_table() for proxy in self.proxies)


def address_of(server: asyncio.Server) -> str:
    """Where a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


@contextlib.asynccontextmanager
async def started(config: dict[str, object]) -> AsyncIterator[asyncio.subprocess.Process]:
    """`python -m stackwheel` with that configuration; killed and waited for at the end."""
    with tempfile.TemporaryDirectory(prefix="stackwheel-scale-") as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        environment = {**os.environ, "ROUTER_CONFIG": str(path), "STACKWHEEL_LOG": "ERROR"}
        environment.pop("STACKWHEEL_OPERATORS", None)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "stackwheel", env=environment, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            yield process
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def ready(address: str, process: asyncio.subprocess.Process) -> None:
    """Wait for the first PONG; SweepError if it does not come."""
    host, port = split_address(address)
    end = time.monotonic() + READY_SECONDS
    while time.monotonic() < end and process.returncode is None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(b"PING\r\n")
                if await asyncio.wait_for(reader.readline(), READY_SECONDS) == b"PONG\r\n":
                    return
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.02)
    raise SweepError(f"planner at {address} was not ready within {READY_SECONDS:g} s")


async def measure(point: Point, timing: Timing, seed: int, size: float) -> Repeat:
    """One repeat at one point; SweepError if the planner ends meanwhile or the repeat takes far too long."""
    try:
        async with asyncio.timeout(MEASURE_SECONDS + timing.span):
            return await measure_within(point, timing, seed, size)
    except TimeoutError:
        raise SweepError(f"not measured within {MEASURE_SECONDS + timing.span:g} s: {point}") from None


async def measure_within(point: Point, timing: Timing, seed: int, size: float) -> Repeat:
    bench = Bench(point, seed)
    async with bench.running() as process:
        await until(bench.served, TABLES_SECONDS)
        await asyncio.sleep(timing.settle)
        listed = bench.counters[Channel.LIST].bytes_in
        if point.changes:
            bench.keep(bench.change())
        if point.zone_lost:
            bench.keep(bench.lose_zone())
        try:
            seconds = await sample(process.pid, bench.counters, timing.span)
        except AccountingError as error:
            raise SweepError(f"planner ended while it was measured at {point}: {error}") from None
        first, last = seconds[0], seconds[-1]
        span = last.at - first.at
        counted = last.traffic.since(first.traffic)
        peak = highest([usage_between(one, other) for one, other in pairwise(seconds)])
        channels = {channel.value: channel_rates(one, span) for channel, one in counted.channels.items()}
        load, orders = os.getloadavg()[0], sum(proxy.state.orders for proxy in bench.proxies)
        return Repeat(size, usage_between(first, last), round(span, 3), peak, channels, round(load, 2), listed, orders)


@dataclass(frozen=True, slots=True)
class Reading:
    """A process and its traffic at a moment of the monotonic clock, in seconds."""

    at: float
    process: ProcessUsage
    traffic: TrafficCounters


async def sample(pid: int, counters: TrafficCounters, span: float) -> list[Reading]:
    """Readings once a second over a span, first and last included."""
    found = [Reading(time.monotonic(), read_usage(pid), counters.reading())]
    end = found[0].at + span
    while (left := end - time.monotonic()) > 0:
        await asyncio.sleep(min(SECOND, left))
        found.append(Reading(time.monotonic(), read_usage(pid), counters.reading()))
    return found


def channel_rates(traffic: Traffic, span: float) -> ChannelRates:
    """A channel's traffic a second."""
    counts = (traffic.bytes_in, traffic.bytes_out, traffic.messages_in, traffic.messages_out)
    return ChannelRates(*(round(count / span, 2) for count in counts))


def usage_between(before: Reading, after: Reading) -> Usage:
    """Rates between two readings. Memory is that of the later."""
    span, counted = after.at - before.at, after.traffic.since(before.traffic)
    control, data = list(counted.control()), list(counted.data_path())
    rates = {
        f"{name}_{field}": round(sum(getattr(one, field) for one in group) / span, 2)
        for name, group in (("control", control), ("data", data))
        for field in ("bytes_in", "bytes_out", "messages_in", "messages_out")
    }
    core = (after.process.cpu_seconds - before.process.cpu_seconds) / span
    return Usage(core=round(core, 6), rss_mb=round(after.process.rss_mb, 2), **rates)


async def repeats_of(
    points: Sequence[tuple[float, Point]],
    timing: Timing,
    repeats: int,
    seed: int,
    jobs: int,
    tell: Callable[[str], None],
) -> list[Repeat]:
    """All repeats of all points, so many side by side, in the order of sizes."""
    turn = asyncio.Semaphore(jobs)

    async def one(size: float, point: Point, repeat: int) -> Repeat:
        async with turn:
            found = await measure(point, timing, seed + repeat, size)
        tell(f"{size:g}, repeat {repeat + 1}: {found.usage.core:.4f} core, {found.usage.rss_mb:.0f} MB")
        return found

    return list(await asyncio.gather(*(one(s, p, r) for r in range(repeats) for s, p in points)))


async def run_sweep(plan: Plan, timing: Timing, repeats: int, seed: int, tell: Callable[[str], None]) -> Sweep:
    """Measure the sizes, fit, predict the held-out size, and only then measure that."""
    tell(f"planner against {plan.variable}")
    points = [(float(size), plan.points(size)) for size in plan.sizes]
    measured = await repeats_of(points, timing, repeats, seed, plan.jobs, tell)
    fits = fit_all(measured)
    predicted = predict(fits, plan.held_out)
    tell(f"predicted at {plan.held_out}: {predicted['core']:.4f} core, {predicted['rss_mb']:.0f} MB")
    beyond = [(float(plan.held_out), plan.points(plan.held_out))]
    found = held_out(predicted, await repeats_of(beyond, timing, repeats, seed, plan.jobs, tell))
    tell(told_error(found))
    fixed = {key: float(value) for key, value in field_values(plan).items()}
    return Sweep("planner", plan.variable, fixed, measured, fits, found)


def field_values(plan: Plan) -> dict[str, float]:
    """What stands while a plan's variable is swept."""
    swept = FIELDS.get(plan.variable, plan.variable)
    names = ("servers", "zones", "proxies", "planners", "changes")
    return {name: getattr(plan.base, name) for name in names if name != swept}


def told_error(found: HeldOut) -> str:
    """Prediction beside measurement, in a line."""
    measured = mean_usage(found.repeats)
    return (
        f"measured at {found.size:g}: {measured.core:.4f} core ({found.error['core']:+.0%} of the prediction), "
        f"{measured.rss_mb:.0f} MB ({found.error['rss_mb']:+.0%})"
    )


async def run_all(
    plans: Sequence[Plan], direct: Sequence[str], timing: Timing, repeats: int, seed: int, tell: Callable[[str], None]
) -> tuple[list[Sweep], dict[str, list[Repeat]]]:
    """All sweeps, one after the other, and the points that are measured as such."""
    sweeps = [await run_sweep(plan, timing, repeats, seed, tell) for plan in plans]
    found: dict[str, list[Repeat]] = {}
    for name in direct:
        tell(name)
        points = [(float(DIRECT[name].servers), DIRECT[name])]
        found[name] = await repeats_of(points, timing, repeats, seed, DIRECT_JOBS, tell)
    return sweeps, found


def this_machine() -> Machine:
    """What it is measured on."""
    return Machine(os.cpu_count() or 1, platform.python_version(), f"{platform.system()} {platform.release()}")
