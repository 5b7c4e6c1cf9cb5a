"""Messages between planners: datagrams whose sender is told by its address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from stackwheel import interface as face
from stackwheel.wire.http import split_address

MOST_BYTES = 256  # of a datagram


class Datagrams(asyncio.DatagramProtocol):
    def __init__(
        self, peers: Sequence[str], everyone: str, own: int, post: Callable[[face.GossipReceived], None]
    ) -> None:
        self.own, self.post = own, post
        self.readdress(peers, everyone)
        self.transport: asyncio.DatagramTransport | None = None

    def readdress(self, peers: Sequence[str], everyone: str) -> None:
        self.peers = [split_address(peer) for peer in peers]
        self.numbers = {peer: number for number, peer in enumerate(self.peers)}
        self.everyone = split_address(everyone or ":0")

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        sender = self.numbers.get(address[:2])
        if len(data) > MOST_BYTES or sender is None:
            logger.warning("datagram of {} bytes from {}:{} dropped", len(data), *address[:2])
        elif sender != self.own:
            self.post(face.GossipReceived(sender, data))

    def error_received(self, error: Exception) -> None:
        logger.debug("datagram not delivered: {}", error)  # a peer that is down: nothing to do

    def send(self, payload: bytes, peer: int | None) -> None:
        if len(payload) > MOST_BYTES or (peer is not None and not 0 <= peer < len(self.peers)):
            logger.error("datagram of {} bytes to peer {} not sent", len(payload), peer)
        elif self.transport is not None:
            self.transport.sendto(payload, self.everyone if peer is None else self.peers[peer])
