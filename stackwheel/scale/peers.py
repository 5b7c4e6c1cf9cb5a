"""The datagrams that hollow planners of a cell send each other, in a planner's format and number."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable

from stackwheel.policy import gossip
from stackwheel.scale.control import HollowPlanner
from stackwheel.scale.hollow_endpoints import HollowEndpointCache
from stackwheel.wire.http import split_address

REPORT_INTERVAL_S = 1.0  # s: `family_info.cycle` of the example configuration
MAX_DATAGRAMS_PER_INTERVAL = 128  # that a planner reads; if more were needed none are sent, see docs/fleet.md
MAX_DATAGRAMS_SENT = 1_000  # a second from one process, some 0.03 of its core; those over it are computed, not sent
PROXIES_PER_PLANNER = 66  # of a planner: 990,000 requests a second over 15,000 planners, at 1 a second of each proxy
REQUESTS_PER_SECOND_PER_SERVER = 1.0  # requests a second to each server: the size of a datagram does not depend on it


def datagrams_per_interval(planners: int, servers: int) -> int:
    """The datagrams that one planner of a cell sends in a report interval; it reads as many."""
    needed = (planners - 1) * math.ceil(servers / gossip.MAX_LINES_PER_DATAGRAM)
    return needed if needed <= MAX_DATAGRAMS_PER_INTERVAL else 0


def bytes_per_interval(planners: int, servers: int) -> int:
    """The bytes of the datagrams that one planner of a cell reads in a report interval."""
    if not datagrams_per_interval(planners, servers):
        return 0
    payloads = math.ceil(servers / gossip.MAX_LINES_PER_DATAGRAM)
    return (planners - 1) * (payloads * gossip.HEADER.size + servers * gossip.LINE.size)


class CountingDatagramReceiver(asyncio.DatagramProtocol):
    """Counts the datagrams that a hollow planner receives."""

    def __init__(self, traffic: PeerTraffic) -> None:
        self.traffic = traffic

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:  # noqa: ARG002 - asyncio calls it so
        """Count a datagram of a peer if a planner can read it."""
        try:
            gossip.decode(data)
        except gossip.MalformedGossipError:
            return
        self.traffic.datagrams_in += 1
        self.traffic.bytes_in += len(data)


class PeerTraffic:
    """The datagrams of all hollow planners of a process: sent up to a bound, beyond it only counted."""

    def __init__(self) -> None:
        self.datagrams_in = 0
        self.datagrams_out = 0
        self.datagrams_computed = 0  # that the planners would send by their formula, sent or not
        self.bytes_in = 0
        self.bytes_out = 0
        self.reserved_datagrams = 0  # datagrams an interval of the planners that send
        self.tasks: list[asyncio.Task[None]] = []
        self.transports: list[asyncio.DatagramTransport] = []

    async def start(
        self, planners: Iterable[HollowPlanner], endpoints_of: Callable[[int], HollowEndpointCache]
    ) -> None:
        """Open a socket for each planner that has peers, and begin to send.

        Args:
            planners: of the process.
            endpoints_of: the endpoint cache of a planner by its number.
        """
        loop = asyncio.get_running_loop()
        for planner in planners:
            if not planner.peers:
                continue
            transport, _ = await loop.create_datagram_endpoint(
                lambda: CountingDatagramReceiver(self), local_addr=split_address(planner.listen)
            )
            self.transports.append(transport)
            self.tasks.append(asyncio.create_task(self.send_periodically(transport, planner, endpoints_of)))

    def close(self) -> None:
        """Stop sending, and close all sockets."""
        for task in self.tasks:
            task.cancel()
        for transport in self.transports:
            transport.close()

    async def send_periodically(
        self,
        transport: asyncio.DatagramTransport,
        planner: HollowPlanner,
        endpoints_of: Callable[[int], HollowEndpointCache],
    ) -> None:
        """Once a report interval, send one planner's load to its peers, or only count the datagrams."""
        others = [split_address(peer) for peer in planner.peers]
        await asyncio.sleep(
            REPORT_INTERVAL_S * (planner.number % 100) / 100.0
        )  # real planners' intervals are not in phase either
        may_send: bool | None = None
        while True:
            servers = list(endpoints_of(planner.number).entries)
            count = datagrams_per_interval(len(others) + 1, len(servers))
            self.datagrams_computed += count
            if count and may_send is None:
                may_send = self.reserve_datagrams(count)
            if count and may_send:
                self.send(
                    transport,
                    gossip.encode(PROXIES_PER_PLANNER, dict.fromkeys(servers, REQUESTS_PER_SECOND_PER_SERVER)),
                    others,
                )
            await asyncio.sleep(REPORT_INTERVAL_S)

    def reserve_datagrams(self, count: int) -> bool:
        """Whether a planner may send `count` datagrams in each interval; the process's planners share the bound."""
        if self.reserved_datagrams + count > MAX_DATAGRAMS_SENT:
            return False
        self.reserved_datagrams += count
        return True

    def send(self, transport: asyncio.DatagramTransport, payloads: list[bytes], others: list[tuple[str, int]]) -> None:
        """Send every payload to every peer."""
        for payload in payloads:
            for other in others:
                transport.sendto(payload, other)
                self.datagrams_out += 1
                self.bytes_out += len(payload)
