"""Datagrams between the hollow planners of a cell, in the format and number of those of real planners."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable

from stackwheel.policy import gossip
from stackwheel.scale.control import HollowPlanner
from stackwheel.scale.hollow_endpoints import HollowEndpointCache
from stackwheel.wire.http import split_address

REPORT_INTERVAL_S = 1.0  # Equal to `family_info.cycle` of the example configuration.
# No datagrams are sent in a cell whose planners would have to read more of them; see docs/fleet.md.
MAX_DATAGRAMS_PER_INTERVAL = 128
# Limit per second for one process. Datagrams above it are counted but not sent.
MAX_DATAGRAMS_SENT = 1_000
PROXIES_PER_PLANNER = 66  # 990,000 proxies divided by 15,000 planners.
REQUESTS_PER_SECOND_PER_SERVER = 1.0  # The size of a datagram does not depend on it.


def datagrams_per_interval(planners: int, servers: int) -> int:
    """Return the number of datagrams that each planner of a cell sends, and reads, in a report interval.

    Args:
        planners: number of planners of the cell.
        servers: number of servers of the cell.
    """
    needed = (planners - 1) * math.ceil(servers / gossip.MAX_LINES_PER_DATAGRAM)
    return needed if needed <= MAX_DATAGRAMS_PER_INTERVAL else 0


def bytes_per_interval(planners: int, servers: int) -> int:
    """Return the bytes of the datagrams that each planner of a cell reads in a report interval.

    Args:
        planners: number of planners of the cell.
        servers: number of servers of the cell.
    """
    if not datagrams_per_interval(planners, servers):
        return 0
    payloads = math.ceil(servers / gossip.MAX_LINES_PER_DATAGRAM)
    return (planners - 1) * (payloads * gossip.HEADER.size + servers * gossip.LINE.size)


class CountingDatagramReceiver(asyncio.DatagramProtocol):
    """Counts the valid datagrams that a hollow planner receives."""

    def __init__(self, traffic: PeerTraffic) -> None:
        self.traffic = traffic

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:  # noqa: ARG002 - signature of asyncio
        """Count a datagram of a peer if it is well-formed."""
        try:
            gossip.decode(data)
        except gossip.MalformedGossipError:
            return
        self.traffic.datagrams_in += 1
        self.traffic.bytes_in += len(data)


class PeerTraffic:
    """Sends the datagrams of all hollow planners of a process up to a limit, and counts those above it.

    Attributes:
        datagrams_in: received datagrams.
        datagrams_out: sent datagrams.
        datagrams_computed: datagrams that real planners would send, whether or not they were sent.
        bytes_in: bytes of received datagrams.
        bytes_out: bytes of sent datagrams.
        reserved_datagrams: datagrams per interval of the planners that send, at most `MAX_DATAGRAMS_SENT`.
        tasks: sending tasks, one for each planner with peers.
        transports: sockets, one for each planner with peers.
    """

    def __init__(self) -> None:
        self.datagrams_in = 0
        self.datagrams_out = 0
        self.datagrams_computed = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.reserved_datagrams = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.transports: list[asyncio.DatagramTransport] = []

    async def start(
        self, planners: Iterable[HollowPlanner], endpoints_of: Callable[[int], HollowEndpointCache]
    ) -> None:
        """Open a socket for each planner that has peers, and start sending.

        Args:
            planners: planners of the process.
            endpoints_of: returns the endpoint cache of a planner by its number.
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
        """Stop sending and close all sockets."""
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
        """Send one planner's load to its peers once per report interval, or only count the datagrams."""
        others = [split_address(peer) for peer in planner.peers]
        # Like those of real planners, the intervals of hollow planners do not start at the same time.
        await asyncio.sleep(REPORT_INTERVAL_S * (planner.number % 100) / 100.0)
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
        """Reserve `count` datagrams per interval for a planner; return False if the process would exceed its limit."""
        if self.reserved_datagrams + count > MAX_DATAGRAMS_SENT:
            return False
        self.reserved_datagrams += count
        return True

    def send(self, transport: asyncio.DatagramTransport, payloads: list[bytes], others: list[tuple[str, int]]) -> None:
        """Send every payload to every peer and count the datagrams."""
        for payload in payloads:
            for other in others:
                transport.sendto(payload, other)
                self.datagrams_out += 1
                self.bytes_out += len(payload)
