"""A network between machines: connections, datagrams, and what goes wrong with them.

A connection's bytes arrive in order, late, in pieces or run together, are held while the way is cut, and wait
where the reader does not read. All chance comes from the generator handed in.
"""

from __future__ import annotations

import asyncio
import random
from asyncio import BaseProtocol
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from stackwheel.trials.loop import Machine, VirtualLoop

Address = tuple[str, int]

WINDOW = 128 * 1024  # bytes under way or unread before the writer's own buffer fills, as in a kernel
HIGH, LOW = 64 * 1024, 16 * 1024  # of a writer's buffer: asyncio's own marks
SYN_AGAIN = (1.0, 3.0, 7.0)  # s after a first try that met silence: the usual doubling
DATAGRAM_LATE = 0.02  # s a reordered datagram comes later than it would


class Answers(Protocol):
    """What a connection's end tells: asyncio's protocols, and the scripted peers'."""

    def connection_made(self, transport: Any) -> None: ...

    def data_received(self, data: bytes) -> None: ...

    def eof_received(self) -> bool | None: ...

    def connection_lost(self, exc: Exception | None) -> None: ...


class Ending:
    """Stands in the stream of bytes for its end."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error


Piece = bytes | Ending


@dataclass(slots=True)
class Conditions:
    """What holds on the network for now; a script changes it."""

    factor: float = 1.0  # of latency
    pieces: float = 0.0  # share of writes that arrive in pieces
    lost: float = 0.0  # of datagrams
    doubled: float = 0.0
    reordered: float = 0.0


class Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: Network, machine: Machine, local: Address, remote: Address) -> None:
        super().__init__()
        self.network, self.machine, self.local, self.remote = network, machine, local, remote
        self.far: Transport = self
        self.protocol: Any = None
        self.closing = self.lost = self.paused = False
        self.waiting: deque[Piece] = deque()  # arrived, but not taken: the reader pauses
        self.held: deque[Piece] = deque()  # on the way to this end, behind a cut
        self.last = 0.0  # when the last byte so far arrives here
        self.unread = 0  # bytes written to this end that it has not taken
        self.writing_paused = False  # at the other end, for this one's sake
        self.dropped = False
        self.swallow = False  # half open: nothing written to this end arrives any more
        self.high, self.low = HIGH, LOW  # of the buffer for writes at this end

    def attend(self, protocol: Any) -> tuple[Transport, Any]:
        """Give the end of an accepted connection its protocol."""
        self.protocol = protocol
        protocol.connection_made(self)
        self.network.loop.at(self.network.loop.now, self.machine, self.resume_reading)
        return self, protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def get_protocol(self) -> BaseProtocol:
        return self.protocol  # type: ignore[no-any-return]

    def set_protocol(self, protocol: BaseProtocol) -> None:
        self.protocol = protocol

    def is_closing(self) -> bool:
        return self.closing

    def is_reading(self) -> bool:
        return not self.paused

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        while self.waiting and not self.paused and not self.lost:
            self.take(self.waiting.popleft())

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Only the mark at 0 is heard, and means that each write waits until the kernel has taken it all."""
        if high == 0:
            self.high = self.low = 0

    def get_write_buffer_size(self) -> int:
        return max(0, self.far.unread - self.network.window)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low, self.high

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self.closing and data:
            self.network.send(self, bytes(data))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self.closing:
            self.network.deliver(self.far, Ending(None))

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        """End at once; what has left the buffer still arrives."""
        if self.closing:
            return
        self.closing = True
        self.network.deliver(self.far, Ending(ConnectionResetError("reset by peer")))
        self.network.soon(self, self.lose, None)

    def reset(self, error: Exception | None = None) -> None:
        """The connection breaks under both ends."""
        for end in (self, self.far):
            if not end.closing:
                end.closing = True
                self.network.soon(end, end.lose, error or ConnectionResetError("connection reset"))

    def drop(self) -> None:
        """This end is given up without a sign; who still writes to it is reset, once that can pass."""
        self.network.forget(self)
        self.closing = self.lost = self.dropped = True

    def lose(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.closing = self.lost = True
        self.network.forget(self)
        self.waiting.clear()
        self.held.clear()
        if self.protocol is not None:
            self.protocol.connection_lost(error)

    def arrive(self, piece: Piece) -> None:
        if self.lost or self.swallow:
            return
        if self.held or self.network.is_cut(self.far.machine, self.machine):
            self.held.append(piece)
        elif self.paused or self.protocol is None or self.waiting:
            self.waiting.append(piece)
        else:
            self.take(piece)

    def take(self, piece: Piece) -> None:
        if isinstance(piece, Ending):
            if piece.error is not None:
                self.lose(piece.error)
            elif not self.protocol.eof_received():
                self.abort()
            return
        self.unread -= len(piece)
        if self.writing_paused and self.unread - self.network.window <= self.far.low:
            self.writing_paused = False
            self.network.soon(self.far, self.far.protocol.resume_writing)
        if not self.closing:
            self.network.seen(self, piece)
            self.protocol.data_received(piece)


class Listener:
    """Takes connections in: by a factory at once, or one by one as a process accepts them."""

    def __init__(self, machine: Machine, loop: VirtualLoop, make: Callable[[], Answers] | None = None) -> None:
        self.machine, self.loop, self.make = machine, loop, make
        self.close: Callable[[], None] = lambda: None
        self.queue: deque[Transport] = deque()
        self.waiter: asyncio.Future[None] | None = None

    def come(self, end: Transport) -> None:
        if self.make is not None:
            end.attend(self.make())
            return
        self.queue.append(end)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def serve(self, make: Callable[[], Answers]) -> Listener:
        """Be an asyncio server, as far as one that is served by tasks is asked for."""
        self.make = make
        return self

    async def take(self) -> tuple[Transport, Address]:
        while not self.queue:
            self.waiter = self.loop.create_future()
            await self.waiter
        end = self.queue.popleft()
        return end, end.remote


class DatagramEnd(asyncio.DatagramTransport):
    def __init__(self, network: Network, machine: Machine, local: Address) -> None:
        super().__init__()
        self.network, self.machine, self.local = network, machine, local

    def sendto(self, data: Any, addr: Any = None) -> None:
        if self.machine.alive:
            for target in self.network.groups.get(addr, (addr,)):
                self.network.throw(self, bytes(data), target)

    def is_closing(self) -> bool:
        return not self.machine.alive

    def close(self) -> None:
        pass

    def abort(self) -> None:
        pass


class Network:
    def __init__(self, loop: VirtualLoop, chance: random.Random, latency: Callable[[Machine, Machine], float]) -> None:
        self.loop, self.chance, self.latency = loop, chance, latency
        self.now = Conditions()
        self.window = WINDOW
        self.listeners: dict[Address, Listener] = {}
        self.datagrams: dict[Address, tuple[Machine, Any]] = {}
        self.groups: dict[Address, tuple[Address, ...]] = {}
        self.hosts: dict[str, Machine] = {}  # by address: who lives there now, or did last
        self.cuts: dict[tuple[str, str], int] = {}  # from one machine's name to another's
        self.ends: dict[Transport, None] = {}
        self.ports = 0
        self.vanished: dict[Machine, None] = {}  # gone without a sign
        self.seen: Callable[[Transport, bytes], None] = lambda end, data: None
        self.wrote: Callable[[Transport, bytes], None] = lambda end, data: None
        loop.network = self

    # machines

    def settle(self, host: str, machine: Machine) -> None:
        self.hosts[host] = machine

    def kill(self, machine: Machine, sign: bool = True) -> None:
        """End a process; without a sign its connections stay open and quiet at their other ends."""
        self.loop.kill(machine)
        for address in [a for a, listener in self.listeners.items() if listener.machine is machine]:
            del self.listeners[address]
        for address in [a for a, (owner, _) in self.datagrams.items() if owner is machine]:
            del self.datagrams[address]
        if not sign:
            self.vanished[machine] = None
        for end in [end for end in self.ends if end.machine is machine]:
            end.closing = end.lost = True
            self.forget(end)
            if sign:
                self.deliver(end.far, Ending(ConnectionResetError("reset by peer")))

    def return_of(self, machine: Machine) -> None:
        """A machine that vanished is back, as another: what still speaks to the old one is reset."""
        self.vanished.pop(machine, None)
        for end in [end for end in self.ends if end.far.machine is machine]:
            self.deliver(end, Ending(ConnectionResetError("reset by peer")))

    # cuts

    def is_cut(self, source: Machine, target: Machine) -> bool:
        return bool(self.cuts) and (source.name, target.name) in self.cuts

    def cut(self, source: str, target: str) -> None:
        self.cuts[source, target] = self.cuts.get((source, target), 0) + 1

    def heal(self, source: str, target: str) -> None:
        """What waited behind a cut goes on, unless another cut lies on the same way."""
        left = self.cuts.get((source, target), 0) - 1
        if left > 0:
            self.cuts[source, target] = left
            return
        self.cuts.pop((source, target), None)
        for end in [e for e in self.ends if e.machine.name == target and e.far.machine.name == source]:
            held, end.held = list(end.held), deque()
            for piece in held:
                self.deliver(end, piece)

    # connections

    def listen(self, machine: Machine, address: Address, make: Callable[[], Answers] | None = None) -> Listener:
        if address in self.listeners:
            raise OSError(f"{address[0]}:{address[1]} is taken")
        self.listeners[address] = listener = Listener(machine, self.loop, make)
        listener.close = lambda: self.shut(address, listener)
        return listener

    def shut(self, address: Address, listener: Listener) -> None:
        """Accept nothing more; what is open stays so."""
        if self.listeners.get(address) is listener:
            del self.listeners[address]

    def dial(
        self, machine: Machine, address: Address, protocol: Any, opened: asyncio.Future[Any] | None = None
    ) -> None:
        """Connect; asyncio's caller waits on `opened`, a scripted peer hears connection_made or _lost."""
        self.syn(machine, address, protocol, opened, 0)

    def syn(
        self, machine: Machine, address: Address, protocol: Any, opened: asyncio.Future[Any] | None, tries: int
    ) -> None:
        target = self.hosts.get(address[0])
        if opened is not None and opened.cancelled():
            return
        quiet = (
            target is None or target in self.vanished or (self.is_cut(machine, target) or self.is_cut(target, machine))
        )
        if target is None or quiet:
            if tries < len(SYN_AGAIN):
                self.loop.at(
                    self.loop.now + SYN_AGAIN[tries], machine, self.syn, machine, address, protocol, opened, tries + 1
                )
            elif opened is None:
                self.loop.at(self.loop.now, machine, protocol.connection_lost, TimeoutError("no answer"))
            return
        way = self.delay(machine, target)
        listener = self.listeners.get(address)
        if listener is None:
            self.loop.at(self.loop.now + 2 * way, machine, self.refused, protocol, opened)
            return
        self.ports += 1
        host = next((h for h, m in self.hosts.items() if m is machine), "127.0.0.1")
        local = (host, 20000 + self.ports % 40000)
        near = Transport(self, machine, local, address)
        far = Transport(self, listener.machine, address, local)
        near.far, far.far = far, near
        self.ends[near] = self.ends[far] = None
        # the kernel takes it in, whether its process stands still or not
        self.loop.at(self.loop.now + way, None, self.taken_in, listener, far)
        self.loop.at(self.loop.now + 2 * way, machine, self.made, near, protocol, opened)

    def taken_in(self, listener: Listener, end: Transport) -> None:
        if listener.machine.alive:
            self.loop.at(self.loop.now, listener.machine, listener.come, end)
        else:
            end.reset()

    @staticmethod
    def refused(protocol: Any, opened: asyncio.Future[Any] | None) -> None:
        error = ConnectionRefusedError("connection refused")
        if opened is None:
            protocol.connection_lost(error)
        elif not opened.done():
            opened.set_exception(error)

    @staticmethod
    def made(end: Transport, protocol: Any, opened: asyncio.Future[Any] | None) -> None:
        if opened is not None and opened.cancelled():
            end.abort()
            return
        if end.lost:
            Network.refused(protocol, opened)
            return
        end.protocol = protocol
        protocol.connection_made(end)
        if opened is not None:
            opened.set_result((end, protocol))
        end.resume_reading()

    def forget(self, end: Transport) -> None:
        self.ends.pop(end, None)

    def soon(self, end: Transport, call: Callable[..., object], *args: object) -> None:
        self.loop.at(self.loop.now, end.machine, call, *args)

    def delay(self, source: Machine, target: Machine) -> float:
        return self.latency(source, target) * self.now.factor * (0.5 + self.chance.random())

    def send(self, end: Transport, data: bytes) -> None:
        self.wrote(end, data)
        far = end.far
        far.unread += len(data)
        if not far.writing_paused and far.unread - self.window > end.high:
            far.writing_paused = True
            end.protocol.pause_writing()
        if self.now.pieces and len(data) > 1 and self.chance.random() < self.now.pieces:
            first = self.chance.randrange(1, len(data))
            self.deliver(far, data[:first])
            self.deliver(far, data[first:])
        else:
            self.deliver(far, data)

    def deliver(self, end: Transport, piece: Piece) -> None:
        """Put something on its way to an end, behind what is on its way already."""
        if end.lost:
            if (
                end.dropped
                and not end.far.closing
                and not end.swallow
                and not isinstance(piece, Ending)
                and not (self.is_cut(end.machine, end.far.machine) or self.is_cut(end.far.machine, end.machine))
            ):
                self.deliver(end.far, Ending(ConnectionResetError("reset by peer")))
            return
        way = self.delay(end.far.machine, end.machine)
        end.last = max(end.last, self.loop.now + way)
        self.loop.at(end.last, end.machine, end.arrive, piece)

    # datagrams

    def bind(self, machine: Machine, address: Address, protocol: Any) -> tuple[DatagramEnd, Any]:
        end = DatagramEnd(self, machine, address)
        self.datagrams[address] = machine, protocol
        protocol.connection_made(end)
        return end, protocol

    def throw(self, end: DatagramEnd, data: bytes, address: Address) -> None:
        target = self.hosts.get(address[0])
        if target is None or self.is_cut(end.machine, target) or self.chance.random() < self.now.lost:
            return
        for _ in range(1 + (self.chance.random() < self.now.doubled)):
            late = DATAGRAM_LATE * self.chance.random() * (self.chance.random() < self.now.reordered)
            self.loop.at(
                self.loop.now + self.delay(end.machine, target) + late, target, self.catch, data, end.local, address
            )

    def catch(self, data: bytes, source: Address, address: Address) -> None:
        if address in self.datagrams:
            self.datagrams[address][1].datagram_received(data, source)
