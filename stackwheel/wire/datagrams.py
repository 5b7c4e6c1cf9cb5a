"""Gossip between planners as datagrams; a sender is known by its address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from stackwheel import interface as face
from stackwheel.wire.http import split_address

MAX_DATAGRAM_BYTES = 256
"""The protocol's limit on one gossip message."""

NO_ADDRESS = ":0"
"""Stands for a group address that is not configured."""


class GossipProtocol(asyncio.DatagramProtocol):
    """The datagram socket of one planner.

    Attributes:
        peers: addresses of all planners, this one included, by their numbers.
        numbers: the numbers by address.
        group_address: where a datagram reaches all planners.
    """

    def __init__(
        self,
        peers: Sequence[str],
        group_address: str,
        planner_number: int,
        post: Callable[[face.GossipReceived], None],
    ) -> None:
        """Make the protocol of planner `planner_number`; `post` gets what its peers send."""
        self.planner_number = planner_number
        self.post = post
        self.update_peers(peers, group_address)
        self.transport: asyncio.DatagramTransport | None = None

    def update_peers(self, peers: Sequence[str], group_address: str) -> None:
        """Use the addresses of a configuration; an empty `group_address` stands for none."""
        self.peers = [split_address(peer) for peer in peers]
        self.numbers = {peer: number for number, peer in enumerate(self.peers)}
        self.group_address = split_address(group_address or NO_ADDRESS)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Keep the transport; datagrams can be sent from now on."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Post a datagram of another planner; one of unknown origin or over the limit is dropped."""
        sender = self.numbers.get(address[:2])
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log_dropped(data, address, "too large")
        elif sender is None:
            self._log_dropped(data, address, "unknown sender")
        elif sender != self.planner_number:
            self.post(face.GossipReceived(sender, data))

    def error_received(self, error: Exception) -> None:
        """Log a datagram that could not be delivered: a peer is down, and there is nothing to do."""
        logger.debug("gossip not delivered: reason={}", error)

    def send(self, payload: bytes, peer: int | None) -> None:
        """Send a datagram to the planner of that number, or to all where it is None."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            self._log_not_sent(payload, peer, "too large")
        elif peer is not None and not 0 <= peer < len(self.peers):
            self._log_not_sent(payload, peer, "unknown planner")
        elif self.transport is not None:
            self.transport.sendto(payload, self.group_address if peer is None else self.peers[peer])

    def _log_dropped(self, data: bytes, address: tuple[str, int], reason: str) -> None:
        host, port = address[:2]
        logger.warning("gossip dropped: address={}:{} bytes={} reason={}", host, port, len(data), reason)

    def _log_not_sent(self, payload: bytes, peer: int | None, reason: str) -> None:
        logger.error("gossip not sent: planner={} bytes={} reason={}", peer, len(payload), reason)
