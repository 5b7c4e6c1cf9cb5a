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

from stackwheel.balance import PEERS_MOST
from stackwheel.scale.accounting import Channel
from stackwheel.scale.bench import READY_POLL_SECONDS, READY_SECONDS, Bench, BenchError, address_of, started
from stackwheel.scale.design_size import REQUESTS_PER_PROXY
from stackwheel.scale.planner_settings import PlannerSettings, RequestClassSettings
from stackwheel.scale.points import Point
from stackwheel.scale.ports import HOST, free_port
from stackwheel.scale.proxies import CYCLE_MS, HollowCollector, HollowProxy, ProxySettings
from stackwheel.scale.surroundings import ListFeed, PeerPlanners, ProbedServers
from stackwheel.service.config import CONFIG_VARIABLE
from stackwheel.wire.http import split_address

ROUTES = ("read", "write")
ZONE_LOST_AFTER = 1.5  # s from the span's start
SPARE_SOCKETS = 256
SOCKETS_MOST = 15_000  # of 20,000 descriptors a process


def bench_settings(point: Point) -> PlannerSettings:
    """The planner's tier, at a point of a sweep."""
    return PlannerSettings(
        zones=[f"zone-{number:02d}" for number in range(point.zones)],
        kinds=["m1"],
        classes=[RequestClassSettings("read"), RequestClassSettings("write", worth=5.0, effect="once")],
        proxies=point.proxies,
        planners=point.planners,
        cross_zone=0.1,
        cycle=CYCLE_MS,
        message_cap=12,
        cold=17000.0,
        cold_share=0.2,
    )


def planner_config(point: Point, listen: str, discovery: str, peers: PeerPlanners, seed: int) -> dict[str, object]:
    """ROUTER_CONFIG of the planner under test: number 0 of its tier."""
    own = f"{HOST}:{free_port(socket.SOCK_DGRAM)}"
    return {
        "name": "planner-0",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": min(SOCKETS_MOST, point.proxies + SPARE_SOCKETS)},
        "peer_listen": own,
        "peers": [own, *(end.address() for end in peers.ends)],
        "peers_all": peers.everyone.address(),
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
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="stackwheel-scale-"))
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(config))
            process = await stack.enter_async_context(started((), {CONFIG_VARIABLE: str(path)}))
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

    def cancel(self) -> None:
        super().cancel()
        for proxy in self.proxies:
            proxy.close()

    def served(self) -> bool:
        return all(proxy.holds_table() for proxy in self.proxies)

    def disturb(self) -> None:
        if self.point.changes:
            self.keep(self.change(self.point.changes))
        if self.point.zone_lost:
            self.keep(self.lose_zone())

    def orders(self) -> int:
        return sum(proxy.state.orders for proxy in self.proxies)

    async def lose_zone(self) -> None:
        """The first zone's servers leave at once, some time into the span."""
        assert self.feed is not None
        await asyncio.sleep(ZONE_LOST_AFTER)
        self.feed.lose(self.point.zone(0))


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
