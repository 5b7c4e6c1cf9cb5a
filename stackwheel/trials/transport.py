"""Transports of simulated connections and datagram sockets, used by asyncio and by scripted peers."""

from __future__ import annotations

import asyncio
from asyncio import BaseProtocol
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from stackwheel.trials.loop import Address, Machine, VirtualLoop, do_nothing

RECEIVE_WINDOW_BYTES = 128 * 1024  # unread bytes beyond the window fill the write buffer of the sender
HIGH_WATER_BYTES = 64 * 1024  # asyncio's default
LOW_WATER_BYTES = 16 * 1024  # asyncio's default


class ConnectionProtocol(Protocol):
    """Callbacks of one end of a connection, implemented by asyncio's protocols and by scripted peers."""

    def connection_made(self, transport: Any) -> None:
        """Handle the opening of the connection."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""

    def eof_received(self) -> bool | None:
        """Handle the end of the peer's data; a true result keeps this end open for writing."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""


class ConnectionEnd:
    """Marker in the sequence of sent pieces for the end of the data, with an error if the connection was reset."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error


Piece = bytes | ConnectionEnd


class TransportNetwork(Protocol):
    """The part of the simulated network that transports use."""

    loop: VirtualLoop
    receive_window: int
    multicast_groups: dict[Address, tuple[Address, ...]]
    on_received: Callable[[Transport, bytes], None]

    def is_cut(self, source: Machine, target: Machine) -> bool:
        """Return whether the path from one machine to another is cut."""

    def send(self, sender: Transport, data: bytes) -> None:
        """Send bytes to the sender's peer."""

    def deliver(self, receiver: Transport, piece: Piece) -> None:
        """Schedule the arrival of a piece at the receiving end."""

    def remove_transport(self, transport: Transport) -> None:
        """Remove a closed end from the open transports."""

    def schedule(self, transport: Transport, callback: Callable[..., object], *args: object) -> None:
        """Schedule a callback of the transport's machine at the current time."""

    def send_datagram(self, sender: DatagramTransport, data: bytes, address: Address) -> None:
        """Send a datagram to one address."""


class Transport(asyncio.Transport):
    """One end of a connection.

    Attributes:
        peer: The transport of the other end.
        closing: Whether writing has ended at this end.
        lost: Whether the connection has ended at this end.
        paused: Whether reading is paused.
        pieces: Pieces that have arrived and are not read yet.
        blocked_pieces: Pieces sent to this end that a cut blocks.
        last_arrival: Arrival time of the last piece sent to this end, in s.
        unread_bytes: Number of bytes written to this end and not read yet.
        peer_paused: Whether the peer's protocol has paused writing because this end does not read.
        abandoned: Whether this end was discarded without notifying the peer.
        half_open: Whether pieces sent to this end are lost.
    """

    def __init__(self, network: TransportNetwork, machine: Machine, local: Address, remote: Address) -> None:
        super().__init__()
        self.network = network
        self.machine = machine
        self.local = local
        self.remote = remote
        self.peer: Transport = self
        self.protocol: Any = None
        self.closing = False
        self.lost = False
        self.paused = False
        self.pieces: deque[Piece] = deque()
        self.blocked_pieces: deque[Piece] = deque()
        self.last_arrival = 0.0
        self.unread_bytes = 0
        self.peer_paused = False
        self.abandoned = False
        self.half_open = False
        self.high_water = HIGH_WATER_BYTES
        self.low_water = LOW_WATER_BYTES

    def attach(self, protocol: Any) -> tuple[Transport, Any]:
        """Attach a protocol to the transport of an accepted connection."""
        self.protocol = protocol
        protocol.connection_made(self)
        self.network.loop.schedule_at(self.network.loop.now, self.machine, self.resume_reading)
        return self, protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the address of this end (`sockname`) or of the other end (`peername`)."""
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def get_protocol(self) -> BaseProtocol:
        """Return the protocol of this end."""
        return self.protocol  # type: ignore[no-any-return]  # scripted peers do not derive from BaseProtocol

    def set_protocol(self, protocol: BaseProtocol) -> None:
        """Replace the protocol of this end."""
        self.protocol = protocol

    def is_closing(self) -> bool:
        """Return whether the transport is closed or closing, so that nothing more can be written."""
        return self.closing

    def is_reading(self) -> bool:
        """Return whether reading is not paused."""
        return not self.paused

    def pause_reading(self) -> None:
        """Pause reading; pieces that arrive are queued."""
        self.paused = True

    def resume_reading(self) -> None:
        """Resume reading, beginning with the queued pieces."""
        self.paused = False
        while self.pieces and not self.paused and not self.lost:
            self.read_piece(self.pieces.popleft())

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set both watermarks to 0 if `high` is 0, so that writers pause until the buffer is empty; ignore others."""
        if high == 0 and not low:
            self.high_water = 0
            self.low_water = 0

    def get_write_buffer_size(self) -> int:
        """Return the number of unread bytes beyond the peer's receive window."""
        return max(0, self.peer.unread_bytes - self.network.receive_window)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and the high watermark, in bytes."""
        return self.low_water, self.high_water

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the peer."""
        if not self.closing and data:
            self.network.send(self, bytes(data))

    def can_write_eof(self) -> bool:
        """Return True: half-closing is supported."""
        return True

    def write_eof(self) -> None:
        """Send the end of the data to the peer; this end stays open for reading."""
        if not self.closing:
            self.network.deliver(self.peer, ConnectionEnd(None))

    def close(self) -> None:
        """Close the connection as `abort` does."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; pieces that were sent before still arrive."""
        if self.closing:
            return
        self.closing = True
        self.network.deliver(self.peer, ConnectionEnd(ConnectionResetError("reset by peer")))
        self.network.schedule(self, self.finish, None)

    def reset(self, error: Exception | None = None) -> None:
        """Reset the connection at both ends."""
        for end in (self, self.peer):
            if not end.closing:
                end.closing = True
                self.network.schedule(end, end.finish, error or ConnectionResetError("connection reset"))

    def abandon(self) -> None:
        """Discard this end without notifying the peer; the peer is reset when a later write reaches this end."""
        self.network.remove_transport(self)
        self.closing = True
        self.lost = True
        self.abandoned = True

    def mark_dead(self) -> None:
        """Close this end without notifying its protocol, because its process has ended."""
        self.closing = True
        self.lost = True
        self.network.remove_transport(self)

    def finish(self, error: Exception | None) -> None:
        """End the connection at this end and notify the protocol once."""
        if self.lost:
            return
        self.closing = True
        self.lost = True
        self.network.remove_transport(self)
        self.pieces.clear()
        self.blocked_pieces.clear()
        if self.protocol is not None:
            self.protocol.connection_lost(error)

    def arrive(self, piece: Piece) -> None:
        """Process a piece that reaches this end: read it, queue it if reading is paused, or block it behind a cut."""
        if self.lost or self.half_open:
            return
        if self.blocked_pieces or self.network.is_cut(self.peer.machine, self.machine):
            self.blocked_pieces.append(piece)
        elif self.paused or self.protocol is None or self.pieces:
            self.pieces.append(piece)
        else:
            self.read_piece(piece)

    def read_piece(self, piece: Piece) -> None:
        """Pass a piece to the protocol."""
        if isinstance(piece, ConnectionEnd):
            if piece.error is not None:
                self.finish(piece.error)
            elif not self.protocol.eof_received():
                self.abort()
            return
        self.unread_bytes -= len(piece)
        if self.peer_paused and self.unread_bytes - self.network.receive_window <= self.peer.low_water:
            self.peer_paused = False
            self.network.schedule(self.peer, self.peer.protocol.resume_writing)
        if not self.closing:
            self.network.on_received(self, piece)
            self.protocol.data_received(piece)


class Listener:
    """A listening socket: it passes connections to a protocol factory, or queues them until a task accepts them."""

    def __init__(
        self, machine: Machine, loop: VirtualLoop, protocol_factory: Callable[[], ConnectionProtocol] | None = None
    ) -> None:
        self.machine = machine
        self.loop = loop
        self.protocol_factory = protocol_factory
        self.close: Callable[[], None] = do_nothing
        self.queue: deque[Transport] = deque()
        self.waiter: asyncio.Future[None] | None = None

    def accept(self, transport: Transport) -> None:
        """Pass an incoming connection to the protocol factory, or queue it."""
        if self.protocol_factory is not None:
            transport.attach(self.protocol_factory())
            return
        self.queue.append(transport)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def serve(self, protocol_factory: Callable[[], ConnectionProtocol]) -> Listener:
        """Set the protocol factory; return the listener in place of the asyncio server."""
        self.protocol_factory = protocol_factory
        return self

    async def accepted(self) -> tuple[Transport, Address]:
        """Wait for the next connection; return its transport and its remote address."""
        while not self.queue:
            self.waiter = self.loop.create_future()
            await self.waiter
        transport = self.queue.popleft()
        return transport, transport.remote


class DatagramTransport(asyncio.DatagramTransport):
    """A datagram socket."""

    def __init__(self, network: TransportNetwork, machine: Machine, local: Address) -> None:
        super().__init__()
        self.network = network
        self.machine = machine
        self.local = local

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram to an address, or to all members of a multicast group."""
        if self.machine.alive:
            for target in self.network.multicast_groups.get(addr, (addr,)):
                self.network.send_datagram(self, bytes(data), target)

    def is_closing(self) -> bool:
        """Return whether the machine has ended."""
        return not self.machine.alive

    def close(self) -> None:
        """Do nothing; the socket closes when its machine ends."""

    def abort(self) -> None:
        """Do nothing; the socket closes when its machine ends."""
