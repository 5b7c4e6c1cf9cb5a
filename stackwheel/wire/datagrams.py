"""Exchange of gossip datagrams between planners; the sender of a datagram is identified by its source address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from stackwheel import interface
from stackwheel.wire.http import split_address

MAX_DATAGRAM_BYTES = 256
"""Maximum size of a gossip message in the protocol."""

UNSET_ADDRESS = ":0"
"""Placeholder for a group address that is not configured."""


class GossipProtocol(asyncio.DatagramProtocol):
    """The gossip socket of a planner.

    Attributes:
        peers: gossip addresses of all planners by planner index, including this planner.
        index_by_address: planner indexes by gossip address.
        group_address: address that delivers a datagram to all planners.
    """

    def __init__(
        self,
        peers: Sequence[str],
        group_address: str,
        planner_index: int,
        post: Callable[[interface.GossipReceived], None],
    ) -> None:
        """Create the protocol of the planner with index `planner_index`; `post` is called with datagrams from peers."""
        self.planner_index = planner_index
        self.post = post
        self.update_peers(peers, group_address)
        self.transport: asyncio.DatagramTransport | None = None

    def update_peers(self, peers: Sequence[str], group_address: str) -> None:
        """Replace the gossip addresses; an empty `group_address` means that no group address is configured."""
        self.peers = [split_address(peer) for peer in peers]
        self.index_by_address = {peer: index for index, peer in enumerate(self.peers)}
        self.group_address = split_address(group_address or UNSET_ADDRESS)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Store the transport, which is needed to send datagrams."""
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Post a datagram from another planner; drops oversized datagrams and those from unknown addresses."""
        sender = self.index_by_address.get(address[:2])
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log_dropped(data, address, f"larger than {MAX_DATAGRAM_BYTES} bytes")
        elif sender is None:
            self._log_dropped(data, address, "sender is not a configured peer")
        elif sender != self.planner_index:
            self.post(interface.GossipReceived(sender, data))

    def error_received(self, error: Exception) -> None:
        """Log a datagram that could not be delivered, for example because a peer is down; it is not sent again."""
        logger.debug("gossip not delivered: reason={}", error)

    def send(self, payload: bytes, peer: int | None) -> None:
        """Send a datagram to the planner with index `peer`, or to all planners if `peer` is None."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            self._log_not_sent(payload, peer, f"larger than {MAX_DATAGRAM_BYTES} bytes")
        elif peer is not None and not 0 <= peer < len(self.peers):
            self._log_not_sent(payload, peer, f"not one of {len(self.peers)} configured peers")
        elif self.transport is not None:
            self.transport.sendto(payload, self.group_address if peer is None else self.peers[peer])

    def _log_dropped(self, data: bytes, address: tuple[str, int], reason: str) -> None:
        host, port = address[:2]
        logger.warning("gossip dropped: address={}:{} bytes={} reason={}", host, port, len(data), reason)

    def _log_not_sent(self, payload: bytes, peer: int | None, reason: str) -> None:
        logger.error("gossip not sent: planner={} bytes={} reason={}", peer, len(payload), reason)
