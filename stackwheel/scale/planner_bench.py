"""Bench of a planner: one real planner process between stand-ins for all of its connections."""

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
from stackwheel.scale.target_size import PROXY_REQUESTS_PER_S
from stackwheel.service.config import CONFIG_VARIABLE
from stackwheel.wire.http import split_address

REQUEST_CLASSES = ("read", "write")
ZONE_LOSS_DELAY_S = 1.5  # Time from the start of the measured span.
SPARE_SOCKETS = 256  # Sockets in addition to one for each proxy.
MAX_SOCKETS = 15_000  # leaves file descriptors for other uses; the limit of a process is 20,000


def bench_settings(point: Point) -> PlannerSettings:
    """Return the planner settings for a point of a sweep."""
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
    """Return the configuration file of the planner under test, which is number 0 of its peer planners."""
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
    """One planner process and stand-ins for discovery, proxies, collectors, peer planners and servers."""

    def __init__(self, point: Point, seed: int) -> None:
        super().__init__(seed)
        self.point = point
        self.proxies: list[HollowProxy] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """Yield the process once it is ready and its proxies have started; on exit, end it and all stand-ins."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.cancel_tasks)
            servers = await asyncio.start_server(FakeServers(self.counters[Channel.HEALTH_CHECKS]).serve, HOST, 0)
            stack.callback(servers.close)
            entries = self.point.entries(listen_address(servers))
            self.discovery = FakeDiscovery(entries, self.counters[Channel.LIST])
            discovery_server = await asyncio.start_server(self.discovery.serve, HOST, 0)
            stack.callback(discovery_server.close)
            names = [entry.instance_id for entry in entries]
            peers = FakePeerPlanners(names, MAX_DATAGRAMS_PER_INTERVAL, self.counters[Channel.PEERS])
            stack.callback(peers.close)
            await peers.open(self.point.planners - 1)
            config = planner_config(
                self.point, f"{HOST}:{free_port()}", listen_address(discovery_server), peers, self.seed
            )
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="stackwheel-scale-"))
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(config))
            process = await stack.enter_async_context(stackwheel_process((), {CONFIG_VARIABLE: str(path)}))
            await wait_until_ready(str(config["listen"]), process)
            self.start_proxies(str(config["listen"]), names)
            self.start_task(peers.run(split_address(str(config["peer_listen"]))))
            yield process

    def start_proxies(self, address: str, names: Sequence[str]) -> None:
        """Start the proxies and the collectors that connect to the planner under test."""
        settings = ProxySettings(address, REQUEST_CLASSES, frozenset(names), PROXY_REQUESTS_PER_S)
        random = Random(self.seed)
        streams = self.counters[Channel.STREAMS]
        reports = self.counters[Channel.COLLECTORS]
        for number in range(self.point.proxies):
            zone = self.point.zone(number)
            proxy = HollowProxy(number, zone, settings, streams, Random(random.getrandbits(64)))
            self.proxies.append(proxy)
            self.start_task(proxy.run())
        requested = names[: self.point.requests]  # collectors report only servers that received requests
        for index in range(self.point.zones):
            zone = self.point.zone(index)
            servers = requested[index :: self.point.zones]
            collector = HollowCollector(zone, address, servers, reports, Random(random.getrandbits(64)))
            self.start_task(collector.run())

    def cancel_tasks(self) -> None:
        """Cancel the tasks of all stand-ins and reset the streams of the proxies."""
        super().cancel_tasks()
        for proxy in self.proxies:
            proxy.close()

    def all_clients_served(self) -> bool:
        """Return whether every proxy has a server for every request class."""
        return all(proxy.has_tables() for proxy in self.proxies)

    def start_list_changes(self) -> None:
        """Start the changes of the endpoint list and the loss of a zone that the point specifies."""
        if self.point.changes:
            self.start_task(self.change_list(self.point.changes))
        if self.point.zone_lost:
            self.start_task(self.lose_zone())

    def updates_received(self) -> int:
        """Return the number of updates that all proxies have received."""
        return sum(proxy.state.updates for proxy in self.proxies)

    async def lose_zone(self) -> None:
        """Remove all servers of the first zone at once, `ZONE_LOSS_DELAY_S` after the start of the span."""
        assert self.discovery is not None
        await asyncio.sleep(ZONE_LOSS_DELAY_S)
        self.discovery.remove_zone(self.point.zone(0))


async def wait_until_ready(address: str, process: asyncio.subprocess.Process) -> None:
    """Wait until the planner answers a PING.

    Raises:
        BenchError: the planner ended or did not answer within `START_TIMEOUT_S`.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline and process.returncode is None:
        if await answers_ping(address, START_TIMEOUT_S):
            return
        await asyncio.sleep(START_POLL_INTERVAL_S)
    raise BenchError(f"planner at {address} ended or did not answer a PING within {START_TIMEOUT_S:g} s")
