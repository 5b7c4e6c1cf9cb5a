"""The ends of simulated connections and datagram sockets, as asyncio and scripted peers use them."""

from __future__ import annotations

import asyncio
from asyncio import BaseProtocol
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from stackwheel.trials.loop import Address, Machine, VirtualLoop, do_nothing

RECEIVE_WINDOW = 128 * 1024  # bytes under way or unread before the writer's own buffer fills, as in a kernel
HIGH_WATER = 64 * 1024  # bytes in a writer's buffer: asyncio's own mark
LOW_WATER = 16 * 1024  # bytes: asyncio's own mark


class ConnectionProtocol(Protocol):
    """What a connection's end is notified of: asyncio's protocols, and the scripted peers'."""

    def connection_made(self, transport: Any) -> None:
        """The connection is open."""

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""

    def eof_received(self) -> bool | None:
        """The other end writes no more; true keeps this one open."""

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""


class ConnectionEnd:
    """Stands in the stream of bytes for its end."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error


Piece = bytes | ConnectionEnd


class Wire(Protocol):
    """What transports need of the network."""

    loop: VirtualLoop
    receive_window: int
    multicast_groups: dict[Address, tuple[Address, ...]]
    on_received: Callable[[Transport, bytes], None]

    def is_cut(self, source: Machine, target: Machine) -> bool:
        """Whether nothing passes from one machine to another."""

    def send(self, sender: Transport, data: bytes) -> None:
        """Put bytes on their way to the sender's peer."""

    def deliver(self, receiver: Transport, piece: Piece) -> None:
        """Put something on its way to an end."""

    def forget(self, transport: Transport) -> None:
        """An end is closed."""

    def schedule(self, transport: Transport, callback: Callable[..., object], *args: object) -> None:
        """Run a callback of the end's machine at the present time."""

    def send_datagram(self, sender: DatagramTransport, data: bytes, address: Address) -> None:
        """Send a datagram to one address."""


class Transport(asyncio.Transport):
    """One end of a connection.

    Attributes:
        peer: The other end.
        pieces: What has arrived and was not taken: the reader pauses.
        blocked_pieces: What is on the way to this end, behind a cut.
        last_arrival: When the last byte so far arrives here, in s.
        unread_bytes: Bytes written to this end that it has not taken.
        peer_paused: The peer's writing is paused for this end's sake.
        abandoned: Given up without a sign.
        half_open: Nothing written to this end arrives any more.
    """

    def __init__(self, wire: Wire, machine: Machine, local: Address, remote: Address) -> None:
        super().__init__()
        self.wire = wire
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
        self.high_water = HIGH_WATER
        self.low_water = LOW_WATER

    def attach(self, protocol: Any) -> tuple[Transport, Any]:
        """Give the end of an accepted connection its protocol."""
        self.protocol = protocol
        protocol.connection_made(self)
        self.wire.loop.schedule_at(self.wire.loop.now, self.machine, self.resume_reading)
        return self, protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The addresses of the two ends."""
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def get_protocol(self) -> BaseProtocol:
        """The protocol that is notified."""
        return self.protocol  # type: ignore[no-any-return]  # scripted peers are no BaseProtocol

    def set_protocol(self, protocol: BaseProtocol) -> None:
        """Notify another protocol from here on."""
        self.protocol = protocol

    def is_closing(self) -> bool:
        """Whether nothing more can be written."""
        return self.closing

    def is_reading(self) -> bool:
        """Whether the reader takes what arrives."""
        return not self.paused

    def pause_reading(self) -> None:
        """Leave what arrives in the receive window."""
        self.paused = True

    def resume_reading(self) -> None:
        """Take what has arrived meanwhile."""
        self.paused = False
        while self.pieces and not self.paused and not self.lost:
            self.take(self.pieces.popleft())

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Only marks of 0 count: each write then waits until the kernel has taken all."""
        if high == 0 and not low:
            self.high_water = 0
            self.low_water = 0

    def get_write_buffer_size(self) -> int:
        """Bytes beyond the peer's receive window."""
        return max(0, self.peer.unread_bytes - self.wire.receive_window)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Low- and high-water mark, in bytes."""
        return self.low_water, self.high_water

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the peer."""
        if not self.closing and data:
            self.wire.send(self, bytes(data))

    def can_write_eof(self) -> bool:
        """Half-closing is supported."""
        return True

    def write_eof(self) -> None:
        """Tell the peer that no more bytes follow."""
        if not self.closing:
            self.wire.deliver(self.peer, ConnectionEnd(None))

    def close(self) -> None:
        """End at once."""
        self.abort()

    def abort(self) -> None:
        """End at once; what has left the buffer still arrives."""
        if self.closing:
            return
        self.closing = True
        self.wire.deliver(self.peer, ConnectionEnd(ConnectionResetError("reset by peer")))
        self.wire.schedule(self, self.finish, None)

    def reset(self, error: Exception | None = None) -> None:
        """Break the connection under both ends."""
        for end in (self, self.peer):
            if not end.closing:
                end.closing = True
                self.wire.schedule(end, end.finish, error or ConnectionResetError("connection reset"))

    def abandon(self) -> None:
        """Give this end up without a sign; who still writes to it is reset, once that can pass."""
        self.wire.forget(self)
        self.closing = True
        self.lost = True
        self.abandoned = True

    def mark_dead(self) -> None:
        """Close this end without notifying its protocol: its process is gone."""
        self.closing = True
        self.lost = True
        self.wire.forget(self)

    def finish(self, error: Exception | None) -> None:
        """Notify the protocol of the end, once."""
        if self.lost:
            return
        self.closing = True
        self.lost = True
        self.wire.forget(self)
        self.pieces.clear()
        self.blocked_pieces.clear()
        if self.protocol is not None:
            self.protocol.connection_lost(error)

    def arrive(self, piece: Piece) -> None:
        """Something has reached this end's machine."""
        if self.lost or self.half_open:
            return
        if self.blocked_pieces or self.wire.is_cut(self.peer.machine, self.machine):
            self.blocked_pieces.append(piece)
        elif self.paused or self.protocol is None or self.pieces:
            self.pieces.append(piece)
        else:
            self.take(piece)

    def take(self, piece: Piece) -> None:
        """Hand something to the protocol."""
        if isinstance(piece, ConnectionEnd):
            if piece.error is not None:
                self.finish(piece.error)
            elif not self.protocol.eof_received():
                self.abort()
            return
        self.unread_bytes -= len(piece)
        if self.peer_paused and self.unread_bytes - self.wire.receive_window <= self.peer.low_water:
            self.peer_paused = False
            self.wire.schedule(self.peer, self.peer.protocol.resume_writing)
        if not self.closing:
            self.wire.on_received(self, piece)
            self.protocol.data_received(piece)


class Listener:
    """Accepts connections: by a protocol factory at once, or one by one as a process asks for them."""

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
        """A connection has come in."""
        if self.protocol_factory is not None:
            transport.attach(self.protocol_factory())
            return
        self.queue.append(transport)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def serve(self, protocol_factory: Callable[[], ConnectionProtocol]) -> Listener:
        """Be an asyncio server, as far as one that is served by tasks needs to be."""
        self.protocol_factory = protocol_factory
        return self

    async def accepted(self) -> tuple[Transport, Address]:
        """Wait for the next connection and the address that it comes from."""
        while not self.queue:
            self.waiter = self.loop.create_future()
            await self.waiter
        transport = self.queue.popleft()
        return transport, transport.remote


class DatagramTransport(asyncio.DatagramTransport):
    """A datagram socket."""

    def __init__(self, wire: Wire, machine: Machine, local: Address) -> None:
        super().__init__()
        self.wire = wire
        self.machine = machine
        self.local = local

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram to an address, or to all of a multicast group."""
        if self.machine.alive:
            for target in self.wire.multicast_groups.get(addr, (addr,)):
                self.wire.send_datagram(self, bytes(data), target)

    def is_closing(self) -> bool:
        """Whether its machine is dead."""
        return not self.machine.alive

    def close(self) -> None:
        """Nothing to do: the socket ends with its machine."""

    def abort(self) -> None:
        """Nothing to do: the socket ends with its machine."""
