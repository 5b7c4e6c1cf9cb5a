"""The datagrams that hollow planners of a cell send each other, in the planner's own format and number."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable

from stackwheel.policy import gossip
from stackwheel.scale.control import HollowPlanner
from stackwheel.scale.hollow_endpoints import HollowEndpointCache
from stackwheel.wire.http import split_address

CYCLE = 1.0  # s: `family_info.cycle` of the example configuration
MAX_DATAGRAMS_PER_CYCLE = 128  # datagrams that a planner reads a cycle; over that none are sent, see docs/fleet.md
MAX_DATAGRAMS_SENT = (
    1_000  # a second from one process: some 0.03 of a core there; what is over it is computed, not sent
)
PROXIES = 66  # of a planner, as 990,000 requests a second over 15,000 planners come from at 1 a second each
RATE = 1.0  # requests a second to each server: the payload's size does not depend on it


def datagrams_per_cycle(planners: int, servers: int) -> int:
    """What one planner of a cell sends in a cycle; the others' datagrams that it reads are as many."""
    needed = (planners - 1) * math.ceil(servers / gossip.LINES_PER_DATAGRAM)
    return needed if needed <= MAX_DATAGRAMS_PER_CYCLE else 0


def bytes_per_cycle(planners: int, servers: int) -> int:
    """The bytes of those datagrams that one planner of a cell reads in a cycle."""
    if not datagrams_per_cycle(planners, servers):
        return 0
    payloads = math.ceil(servers / gossip.LINES_PER_DATAGRAM)
    return (planners - 1) * (payloads * gossip.HEADER.size + servers * gossip.LINE.size)


class Receiver(asyncio.DatagramProtocol):
    """Counts what comes in."""

    def __init__(self, traffic: PeerTraffic) -> None:
        self.traffic = traffic

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """One datagram of a peer, read as a planner reads it."""
        try:
            gossip.decode(data)
        except gossip.MalformedGossipError:
            return
        self.traffic.datagrams_in += 1
        self.traffic.bytes_in += len(data)


class PeerTraffic:
    """Sends for all hollow planners of a process: the first of them for real, up to the bound."""

    def __init__(self) -> None:
        self.datagrams_in = self.datagrams_out = self.datagrams_computed = 0
        self.bytes_in = self.bytes_out = self.granted = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.transports: list[asyncio.DatagramTransport] = []

    async def start(self, planners: Iterable[HollowPlanner], holding: Callable[[int], HollowEndpointCache]) -> None:
        """Stand open for each planner that has peers, then send once a cycle."""
        loop = asyncio.get_running_loop()
        for planner in planners:
            if not planner.peers:
                continue
            transport, _ = await loop.create_datagram_endpoint(
                lambda: Receiver(self), local_addr=split_address(planner.listen)
            )
            self.transports.append(transport)
            self.tasks.append(asyncio.create_task(self.send_cycles(transport, planner, holding)))

    def close(self) -> None:
        """Send no more, and close all sockets."""
        for task in self.tasks:
            task.cancel()
        for transport in self.transports:
            transport.close()

    async def send_cycles(
        self,
        transport: asyncio.DatagramTransport,
        planner: HollowPlanner,
        holding: Callable[[int], HollowEndpointCache],
    ) -> None:
        """Once a cycle, send one planner's load to the others of its cell, or only count what it would send."""
        others = [split_address(peer) for peer in planner.peers]
        await asyncio.sleep(CYCLE * (planner.number % 100) / 100.0)  # as planners' cycles are not in step
        granted: bool | None = None
        while True:
            servers = list(holding(planner.number).entries)
            due = datagrams_per_cycle(len(others) + 1, len(servers))
            self.datagrams_computed += due
            if due and granted is None:
                granted = self.grant(due)
            if due and granted:
                self.send(transport, gossip.encode(PROXIES, dict.fromkeys(servers, RATE)), others)
            await asyncio.sleep(CYCLE)

    def grant(self, due: int) -> bool:
        """Whether a planner with so many datagrams a cycle sends them for real, from now on."""
        if self.granted + due > MAX_DATAGRAMS_SENT:
            return False
        self.granted += due
        return True

    def send(self, transport: asyncio.DatagramTransport, payloads: list[bytes], others: list[tuple[str, int]]) -> None:
        """Send every payload to every other planner of the cell."""
        for payload in payloads:
            for other in others:
                transport.sendto(payload, other)
                self.datagrams_out += 1
                self.bytes_out += len(payload)
