"""One real planner's process between stand-ins: its configuration, its start, all that speaks with it, its end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from random import Random

from stackwheel.policy.peer_planners import MAX_DATAGRAMS_PER_INTERVAL
from stackwheel.scale.accounting import Channel
from stackwheel.scale.bench import READY_POLL_SECONDS, READY_SECONDS, Bench, BenchError, address_of, started
from stackwheel.scale.fake_environment import FakeDiscovery, FakePeerPlanners, FakeServers
from stackwheel.scale.planner_settings import PlannerSettings, RequestClassSettings
from stackwheel.scale.points import Point
from stackwheel.scale.ports import HOST, free_port
from stackwheel.scale.proxies import CYCLE_MS, HollowCollector, HollowProxy, ProxySettings
from stackwheel.scale.target_size import REQUESTS_PER_PROXY
from stackwheel.service.config import VARIABLE
from stackwheel.wire.http import split_address

ROUTES = ("read", "write")
ZONE_LOST_AFTER = 1.5  # s from the span's start
SPARE_SOCKETS = 256
MAX_SOCKETS = 15_000  # of 20,000 descriptors a process


def bench_settings(point: Point) -> PlannerSettings:
    """The planner's tier, at a point of a sweep."""
    return PlannerSettings(
        zones=[f"zone-{number:02d}" for number in range(point.zones)],
        kinds=["m1"],
        classes=[RequestClassSettings("read"), RequestClassSettings("write", priority_weight=5.0, idempotency="once")],
        proxies=point.proxies,
        planners=point.planners,
        cross_zone_cost=0.1,
        report_interval=CYCLE_MS,
        message_cap=12,
        slow_start_duration=17000.0,
        slow_start_min_share=0.2,
    )


def planner_config(point: Point, listen: str, discovery: str, peers: FakePeerPlanners, seed: int) -> dict[str, object]:
    """ROUTER_CONFIG of the planner under test: number 0 of its tier."""
    own = f"{HOST}:{free_port(socket.SOCK_DGRAM)}"
    return {
        "name": "planner-0",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": min(MAX_SOCKETS, point.proxies + SPARE_SOCKETS)},
        "peer_listen": own,
        "peers": [own, *(end.address() for end in peers.ends)],
        "peers_all": peers.broadcast_end.address(),
        "settings": bench_settings(point).document(),
    }


class PlannerBench(Bench):
    """One planner's process, with discovery, proxies, collectors, peers and servers that answer probes."""

    def __init__(self, point: Point, seed: int) -> None:
        super().__init__(seed)
        self.point = point
        self.proxies: list[HollowProxy] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """The process, ready, with its proxies joined; ended with all that was started, whatever happens."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.cancel)
            probed = await asyncio.start_server(FakeServers(self.counters[Channel.PROBES]).serve, HOST, 0)
            stack.callback(probed.close)
            entries = self.point.entries(address_of(probed))
            self.feed = FakeDiscovery(entries, self.counters[Channel.LIST])
            discovery = await asyncio.start_server(self.feed.serve, HOST, 0)
            stack.callback(discovery.close)
            names = [entry.instance_id for entry in entries]
            peers = FakePeerPlanners(names, MAX_DATAGRAMS_PER_INTERVAL, self.counters[Channel.PEERS])
            stack.callback(peers.close)
            await peers.open(self.point.planners - 1)
            config = planner_config(self.point, f"{HOST}:{free_port()}", address_of(discovery), peers, self.seed)
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="stackwheel-scale-"))
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(config))
            process = await stack.enter_async_context(started((), {VARIABLE: str(path)}))
            await ready(str(config["listen"]), process)
            self.join(str(config["listen"]), names)
            self.start_task(peers.run(split_address(str(config["peer_listen"]))))
            yield process

    def join(self, address: str, names: Sequence[str]) -> None:
        """Start the proxies and the collectors of the planner under test."""
        settings = ProxySettings(address, ROUTES, frozenset(names), REQUESTS_PER_PROXY)
        random = Random(self.seed)
        streams = self.counters[Channel.STREAMS]
        reports = self.counters[Channel.COLLECTORS]
        for number in range(self.point.proxies):
            zone = self.point.zone(number)
            proxy = HollowProxy(number, zone, settings, streams, Random(random.getrandbits(64)))
            self.proxies.append(proxy)
            self.start_task(proxy.run())
        met = names[: self.point.requests]
        for place in range(self.point.zones):
            own = met[place :: self.point.zones]
            collector = HollowCollector(self.point.zone(place), address, own, reports, Random(random.getrandbits(64)))
            self.start_task(collector.run())

    def cancel(self) -> None:
        """End all stand-ins, and reset the proxies' streams."""
        super().cancel()
        for proxy in self.proxies:
            proxy.close()

    def all_served(self) -> bool:
        """Whether every proxy holds a server for every class."""
        return all(proxy.holds_table() for proxy in self.proxies)

    def start_disturbances(self) -> None:
        """Begin the changes of the list, and the loss of a zone, that the point asks for."""
        if self.point.changes:
            self.start_task(self.change(self.point.changes))
        if self.point.zone_lost:
            self.start_task(self.lose_zone())

    def updates_received(self) -> int:
        """Messages that came to all proxies so far."""
        return sum(proxy.state.updates for proxy in self.proxies)

    async def lose_zone(self) -> None:
        """The first zone's servers leave at once, some time into the span."""
        assert self.feed is not None
        await asyncio.sleep(ZONE_LOST_AFTER)
        self.feed.remove_zone(self.point.zone(0))


async def ready(address: str, process: asyncio.subprocess.Process) -> None:
    """Wait for the first PONG; BenchError if it does not come."""
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
        await asyncio.sleep(READY_POLL_SECONDS)
    raise BenchError(f"planner at {address} was not ready within {READY_SECONDS:g} s")
