"""The bench of a planner: one real planner's process between stand-ins for all that it is connected with."""

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
from stackwheel.scale.bench import (
    START_POLL_INTERVAL_S,
    START_TIMEOUT_S,
    Bench,
    BenchError,
    listen_address,
    stackwheel_process,
)
from stackwheel.scale.fake_environment import FakeDiscovery, FakePeerPlanners, FakeServers
from stackwheel.scale.ping import answers_ping
from stackwheel.scale.planner_settings import PlannerSettings, RequestClassSettings
from stackwheel.scale.points import Point
from stackwheel.scale.ports import HOST, free_port
from stackwheel.scale.proxies import REPORT_INTERVAL_MS, HollowCollector, HollowProxy, ProxySettings
from stackwheel.scale.target_size import REQUESTS_PER_PROXY
from stackwheel.service.config import CONFIG_VARIABLE
from stackwheel.wire.http import split_address

ROUTES = ("read", "write")
ZONE_LOST_AFTER = 1.5  # s from the start of the measured span
SPARE_SOCKETS = 256  # beside those of the proxies
MAX_SOCKETS = 15_000  # of the 20,000 descriptors of a process


def bench_settings(point: Point) -> PlannerSettings:
    """The settings of the planner's tier, at a point of a sweep."""
    return PlannerSettings(
        zones=[f"zone-{number:02d}" for number in range(point.zones)],
        kinds=["m1"],
        classes=[RequestClassSettings("read"), RequestClassSettings("write", priority_weight=5.0, idempotency="once")],
        proxies=point.proxies,
        planners=point.planners,
        cross_zone_cost=0.1,
        report_interval=REPORT_INTERVAL_MS,
        message_cap=12,
        slow_start_duration=17000.0,
        slow_start_min_share=0.2,
    )


def planner_config(point: Point, listen: str, discovery: str, peers: FakePeerPlanners, seed: int) -> dict[str, object]:
    """The configuration of the planner under test, which is number 0 of its tier."""
    peer_listen = f"{HOST}:{free_port(socket.SOCK_DGRAM)}"
    return {
        "name": "planner-0",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": min(MAX_SOCKETS, point.proxies + SPARE_SOCKETS)},
        "peer_listen": peer_listen,
        "peers": [peer_listen, *(peer.address() for peer in peers.sockets)],
        "peers_all": peers.broadcast_socket.address(),
        "settings": bench_settings(point).document(),
    }


class PlannerBench(Bench):
    """One planner's process, with discovery, proxies, collectors, peers and servers that answer health checks."""

    def __init__(self, point: Point, seed: int) -> None:
        super().__init__(seed)
        self.point = point
        self.proxies: list[HollowProxy] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """The process, ready, with its proxies started; on exit it is ended together with all stand-ins."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.cancel_tasks)
            servers = await asyncio.start_server(FakeServers(self.counters[Channel.HEALTH_CHECKS]).serve, HOST, 0)
            stack.callback(servers.close)
            entries = self.point.entries(listen_address(servers))
            self.discovery = FakeDiscovery(entries, self.counters[Channel.LIST])
            discovery = await asyncio.start_server(self.discovery.serve, HOST, 0)
            stack.callback(discovery.close)
            names = [entry.instance_id for entry in entries]
            peers = FakePeerPlanners(names, MAX_DATAGRAMS_PER_INTERVAL, self.counters[Channel.PEERS])
            stack.callback(peers.close)
            await peers.open(self.point.planners - 1)
            config = planner_config(self.point, f"{HOST}:{free_port()}", listen_address(discovery), peers, self.seed)
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="stackwheel-scale-"))
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(config))
            process = await stack.enter_async_context(stackwheel_process((), {CONFIG_VARIABLE: str(path)}))
            await wait_until_ready(str(config["listen"]), process)
            self.start_proxies(str(config["listen"]), names)
            self.start_task(peers.run(split_address(str(config["peer_listen"]))))
            yield process

    def start_proxies(self, address: str, names: Sequence[str]) -> None:
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
        requested = names[: self.point.requests]  # a server that has had no request has no report
        for index in range(self.point.zones):
            zone = self.point.zone(index)
            servers = requested[index :: self.point.zones]
            collector = HollowCollector(zone, address, servers, reports, Random(random.getrandbits(64)))
            self.start_task(collector.run())

    def cancel_tasks(self) -> None:
        """End the tasks of all stand-ins, and reset the proxies' streams."""
        super().cancel_tasks()
        for proxy in self.proxies:
            proxy.close()

    def all_clients_served(self) -> bool:
        """Whether every proxy has a server for every request class."""
        return all(proxy.has_tables() for proxy in self.proxies)

    def start_list_changes(self) -> None:
        """Begin the changes of the list, and the loss of a zone, that the point asks for."""
        if self.point.changes:
            self.start_task(self.change_list(self.point.changes))
        if self.point.zone_lost:
            self.start_task(self.lose_zone())

    def updates_received(self) -> int:
        """Updates that all proxies together have received so far."""
        return sum(proxy.state.updates for proxy in self.proxies)

    async def lose_zone(self) -> None:
        """Remove all servers of the first zone at once, some time into the span."""
        assert self.discovery is not None
        await asyncio.sleep(ZONE_LOST_AFTER)
        self.discovery.remove_zone(self.point.zone(0))


async def wait_until_ready(address: str, process: asyncio.subprocess.Process) -> None:
    """Wait until the planner answers a PING; BenchError if it does not in time, or ends."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end and process.returncode is None:
        if await answers_ping(address, START_TIMEOUT_S):
            return
        await asyncio.sleep(START_POLL_INTERVAL_S)
    raise BenchError(f"planner at {address} was not ready within {START_TIMEOUT_S:g} s")
