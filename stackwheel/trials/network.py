"""A network between machines: connections, datagrams, and what goes wrong with them.

A connection's bytes arrive in order, late, in pieces or run together, are blocked while the path is cut, and wait
where the reader does not read. All random numbers come from the generator handed in.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from stackwheel.trials.loop import Address, Machine, VirtualLoop, do_nothing
from stackwheel.trials.transport import (
    RECEIVE_WINDOW,
    ConnectionEnd,
    ConnectionProtocol,
    DatagramTransport,
    Listener,
    Piece,
    Transport,
)

CONNECT_RETRY_S = (1.0, 3.0, 7.0)  # after a first attempt that met silence: the usual doubling
REORDER_DELAY_S = 0.02  # by which a reordered datagram comes later than it would, at most
UNKNOWN_HOST = "127.0.0.1"
FIRST_PORT = 20000  # of those who connect
PORT_COUNT = 40000


@dataclass(slots=True)
class Conditions:
    """The present conditions on the network; a script changes them."""

    latency_factor: float = 1.0
    fragmented: float = 0.0  # share of writes that arrive in pieces
    lost: float = 0.0  # share of datagrams
    duplicated: float = 0.0
    reordered: float = 0.0


class DatagramSocket(NamedTuple):
    """Who receives the datagrams of an address."""

    machine: Machine
    protocol: Any


class Dial(NamedTuple):
    """An attempt to connect; asyncio's caller waits on `opened`, a scripted peer's protocol is notified."""

    machine: Machine
    address: Address
    protocol: Any
    opened: asyncio.Future[Any] | None

    @property
    def cancelled(self) -> bool:
        """Whether nobody waits for it any more."""
        return self.opened is not None and self.opened.cancelled()

    def refuse(self) -> None:
        """Notify the caller that nobody listens."""
        error = ConnectionRefusedError("connection refused")
        if self.opened is None:
            self.protocol.connection_lost(error)
        elif not self.opened.done():
            self.opened.set_exception(error)


class Network:
    """Machines by address, the connections between them and the conditions that hold.

    Attributes:
        machines: By host: which incarnation has the address now, or had it last.
        cuts: From one machine's name to another's: how many cuts lie there.
        vanished: Machines that ended without resetting their connections.
        on_received: Called with an end and the bytes that its protocol takes.
        on_written: Called with an end and the bytes that were written at it.
    """

    def __init__(
        self, loop: VirtualLoop, generator: random.Random, latency: Callable[[Machine, Machine], float]
    ) -> None:
        self.loop = loop
        self.random = generator
        self.latency = latency
        self.conditions = Conditions()
        self.receive_window = RECEIVE_WINDOW
        self.listeners: dict[Address, Listener] = {}
        self.datagram_sockets: dict[Address, DatagramSocket] = {}
        self.multicast_groups: dict[Address, tuple[Address, ...]] = {}
        self.machines: dict[str, Machine] = {}
        self.cuts: dict[tuple[str, str], int] = {}
        self.transports: dict[Transport, None] = {}
        self.ports_used = 0
        self.vanished: dict[Machine, None] = {}
        self.on_received: Callable[[Transport, bytes], None] = do_nothing
        self.on_written: Callable[[Transport, bytes], None] = do_nothing
        loop.network = self

    # Machines.

    def place(self, host: str, machine: Machine) -> None:
        """Give a machine an address."""
        self.machines[host] = machine

    def host_of(self, machine: Machine) -> str:
        """The address of a machine."""
        return next((host for host, placed in self.machines.items() if placed is machine), UNKNOWN_HOST)

    def kill(self, machine: Machine, resets_connections: bool = True) -> None:
        """End a process; without resets its connections stay open and silent at their other ends."""
        self.loop.kill(machine)
        for address in [address for address, listener in self.listeners.items() if listener.machine is machine]:
            del self.listeners[address]
        for address in [address for address, socket in self.datagram_sockets.items() if socket.machine is machine]:
            del self.datagram_sockets[address]
        if not resets_connections:
            self.vanished[machine] = None
        for transport in [transport for transport in self.transports if transport.machine is machine]:
            transport.mark_dead()
            if resets_connections:
                self.deliver(transport.peer, ConnectionEnd(ConnectionResetError("reset by peer")))

    def reset_vanished(self, machine: Machine) -> None:
        """A machine that vanished is back, as another: what still speaks to the old one is reset."""
        self.vanished.pop(machine, None)
        for transport in [transport for transport in self.transports if transport.peer.machine is machine]:
            self.deliver(transport, ConnectionEnd(ConnectionResetError("reset by peer")))

    # Cuts.

    def is_cut(self, source: Machine, target: Machine) -> bool:
        """Whether nothing passes from one machine to another."""
        return bool(self.cuts) and (source.name, target.name) in self.cuts

    def is_cut_between(self, one: Machine, other: Machine) -> bool:
        """Whether something does not pass between two machines."""
        return self.is_cut(one, other) or self.is_cut(other, one)

    def cut(self, source: str, target: str) -> None:
        """Cut the path from one machine to another."""
        self.cuts[source, target] = self.cuts.get((source, target), 0) + 1

    def heal(self, source: str, target: str) -> None:
        """Remove a cut; what waited behind it goes on, unless another cut lies on the same path."""
        left = self.cuts.get((source, target), 0) - 1
        if left > 0:
            self.cuts[source, target] = left
            return
        self.cuts.pop((source, target), None)
        on_path = [
            transport
            for transport in self.transports
            if transport.machine.name == target and transport.peer.machine.name == source
        ]
        for transport in on_path:
            blocked = list(transport.blocked_pieces)
            transport.blocked_pieces = deque()
            for piece in blocked:
                self.deliver(transport, piece)

    # Connections.

    def listen(
        self, machine: Machine, address: Address, protocol_factory: Callable[[], ConnectionProtocol] | None = None
    ) -> Listener:
        """Accept connections at an address.

        Raises:
            OSError: Somebody listens there already.
        """
        if address in self.listeners:
            raise OSError(f"{address[0]}:{address[1]} is taken")
        listener = Listener(machine, self.loop, protocol_factory)
        self.listeners[address] = listener
        listener.close = lambda: self.stop_listening(address, listener)
        return listener

    def stop_listening(self, address: Address, listener: Listener) -> None:
        """Accept nothing more; what is open stays so."""
        if self.listeners.get(address) is listener:
            del self.listeners[address]

    def dial(
        self, machine: Machine, address: Address, protocol: Any, opened: asyncio.Future[Any] | None = None
    ) -> None:
        """Connect; asyncio's caller waits on `opened`, a scripted peer is notified by its protocol."""
        self.try_connect(Dial(machine, address, protocol, opened), 0)

    def try_connect(self, dial: Dial, retries: int) -> None:
        """Try to connect; silence is met with retries as a kernel makes them."""
        if dial.cancelled:
            return
        target = self.machines.get(dial.address[0])
        if target is None or target in self.vanished or self.is_cut_between(dial.machine, target):
            self.retry_connect(dial, retries)
            return
        delay = self.delay(dial.machine, target)
        listener = self.listeners.get(dial.address)
        if listener is None:
            self.loop.schedule_at(self.loop.now + 2 * delay, dial.machine, dial.refuse)
            return
        near, far = self.open_transports(dial, listener)
        # The kernel takes the connection in, whether its process is stalled or not.
        self.loop.schedule_at(self.loop.now + delay, None, self.accept_by_kernel, listener, far)
        self.loop.schedule_at(self.loop.now + 2 * delay, dial.machine, self.connected, near, dial)

    def retry_connect(self, dial: Dial, retries: int) -> None:
        """Nothing came back: try again later, or notify a scripted peer that there is no answer."""
        if retries < len(CONNECT_RETRY_S):
            at = self.loop.now + CONNECT_RETRY_S[retries]
            self.loop.schedule_at(at, dial.machine, self.try_connect, dial, retries + 1)
        elif dial.opened is None:
            error = TimeoutError("no answer")
            self.loop.schedule_at(self.loop.now, dial.machine, dial.protocol.connection_lost, error)

    def open_transports(self, dial: Dial, listener: Listener) -> tuple[Transport, Transport]:
        """Make the two ends of a connection: the caller's and the listener's."""
        self.ports_used += 1
        local = (self.host_of(dial.machine), FIRST_PORT + self.ports_used % PORT_COUNT)
        near = Transport(self, dial.machine, local, dial.address)
        far = Transport(self, listener.machine, dial.address, local)
        near.peer = far
        far.peer = near
        self.transports[near] = None
        self.transports[far] = None
        return near, far

    def accept_by_kernel(self, listener: Listener, transport: Transport) -> None:
        """A connection has reached the listener's machine."""
        if listener.machine.alive:
            self.loop.schedule_at(self.loop.now, listener.machine, listener.accept, transport)
        else:
            transport.reset()

    @staticmethod
    def connected(transport: Transport, dial: Dial) -> None:
        """The answer of the listener's machine has reached the caller."""
        if dial.cancelled:
            transport.abort()
            return
        if transport.lost:
            dial.refuse()
            return
        transport.protocol = dial.protocol
        dial.protocol.connection_made(transport)
        if dial.opened is not None:
            dial.opened.set_result((transport, dial.protocol))
        transport.resume_reading()

    def forget(self, transport: Transport) -> None:
        """An end is closed."""
        self.transports.pop(transport, None)

    def schedule(self, transport: Transport, callback: Callable[..., object], *args: object) -> None:
        """Run a callback of the end's machine at the present time."""
        self.loop.schedule_at(self.loop.now, transport.machine, callback, *args)

    def delay(self, source: Machine, target: Machine) -> float:
        """Draw how long something takes from one machine to another, in s."""
        return self.latency(source, target) * self.conditions.latency_factor * (0.5 + self.random.random())

    def send(self, sender: Transport, data: bytes) -> None:
        """Put bytes on their way to the sender's peer, in pieces at times."""
        self.on_written(sender, data)
        receiver = sender.peer
        receiver.unread_bytes += len(data)
        if not receiver.peer_paused and receiver.unread_bytes - self.receive_window > sender.high_water:
            receiver.peer_paused = True
            sender.protocol.pause_writing()
        fragmented = self.conditions.fragmented
        if fragmented and len(data) > 1 and self.random.random() < fragmented:
            first = self.random.randrange(1, len(data))
            self.deliver(receiver, data[:first])
            self.deliver(receiver, data[first:])
        else:
            self.deliver(receiver, data)

    def deliver(self, receiver: Transport, piece: Piece) -> None:
        """Put something on its way to an end, behind what is on its way already."""
        if receiver.lost:
            if self.is_answered_with_reset(receiver, piece):
                self.deliver(receiver.peer, ConnectionEnd(ConnectionResetError("reset by peer")))
            return
        delay = self.delay(receiver.peer.machine, receiver.machine)
        receiver.last_arrival = max(receiver.last_arrival, self.loop.now + delay)
        self.loop.schedule_at(receiver.last_arrival, receiver.machine, receiver.arrive, piece)

    def is_answered_with_reset(self, receiver: Transport, piece: Piece) -> bool:
        """Whether the machine of an abandoned end resets who still writes to it."""
        return (
            receiver.abandoned
            and not receiver.peer.closing
            and not receiver.half_open
            and not isinstance(piece, ConnectionEnd)
            and not self.is_cut_between(receiver.machine, receiver.peer.machine)
        )

    # Datagrams.

    def bind(self, machine: Machine, address: Address, protocol: Any) -> tuple[DatagramTransport, Any]:
        """Open a datagram socket."""
        transport = DatagramTransport(self, machine, address)
        self.datagram_sockets[address] = DatagramSocket(machine, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def send_datagram(self, sender: DatagramTransport, data: bytes, address: Address) -> None:
        """Send a datagram, unless it is lost; at times twice or late."""
        target = self.machines.get(address[0])
        conditions = self.conditions
        if target is None or self.is_cut(sender.machine, target) or self.random.random() < conditions.lost:
            return
        copies = 1 + (self.random.random() < conditions.duplicated)
        for _ in range(copies):
            late = REORDER_DELAY_S * self.random.random() * (self.random.random() < conditions.reordered)
            at = self.loop.now + self.delay(sender.machine, target) + late
            self.loop.schedule_at(at, target, self.receive_datagram, data, sender.local, address)

    def receive_datagram(self, data: bytes, source: Address, address: Address) -> None:
        """A datagram has arrived at its target's machine."""
        if address in self.datagram_sockets:
            self.datagram_sockets[address].protocol.datagram_received(data, source)
