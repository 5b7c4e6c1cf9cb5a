"""A simulated network between machines, with connections, datagrams and faults.

The bytes of a connection arrive in order and with a delay, possibly fragmented. They are blocked while the path is
cut, and queued while the receiver does not read. All random numbers are drawn from the given generator.
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
    RECEIVE_WINDOW_BYTES,
    ConnectionEnd,
    ConnectionProtocol,
    DatagramTransport,
    Listener,
    Piece,
    Transport,
)

CONNECT_RETRY_DELAYS_S = (1.0, 3.0, 7.0)  # TCP retransmits an unanswered SYN with exponential backoff
MAX_REORDER_DELAY_S = 0.02
UNKNOWN_HOST = "127.0.0.1"
FIRST_EPHEMERAL_PORT = 20000
EPHEMERAL_PORT_COUNT = 40000


@dataclass(slots=True)
class Conditions:
    """Current conditions of the network; faults change them.

    Attributes:
        latency_factor: Factor of all latencies.
        fragmented: Share of writes that arrive in two pieces.
        lost: Share of datagrams that are lost.
        duplicated: Share of datagrams that arrive twice.
        reordered: Share of datagrams that are delayed, so that later ones may overtake them.
    """

    latency_factor: float = 1.0
    fragmented: float = 0.0
    lost: float = 0.0
    duplicated: float = 0.0
    reordered: float = 0.0


class DatagramSocket(NamedTuple):
    """The machine and the protocol that receive the datagrams of an address."""

    machine: Machine
    protocol: Any


class Dial(NamedTuple):
    """An attempt to connect; its result is set on `opened`, or passed to the protocol where `opened` is None."""

    machine: Machine
    address: Address
    protocol: Any
    opened: asyncio.Future[Any] | None

    @property
    def cancelled(self) -> bool:
        """Whether the caller has cancelled the attempt."""
        return self.opened is not None and self.opened.cancelled()

    def refuse(self) -> None:
        """Notify the caller that the connection was refused."""
        error = ConnectionRefusedError("connection refused")
        if self.opened is None:
            self.protocol.connection_lost(error)
        elif not self.opened.done():
            self.opened.set_exception(error)


class Network:
    """The machines, the connections between them and the current network conditions.

    Attributes:
        machines: By host: the machine that has the address now, or had it last.
        cuts: By names of the sending and the receiving machine: number of cuts on that path.
        vanished: Machines that ended without resetting their connections.
        on_received: Called with a transport and the bytes that its protocol is about to receive.
        on_written: Called with a transport and the bytes that were written to it.
    """

    def __init__(
        self, loop: VirtualLoop, generator: random.Random, latency: Callable[[Machine, Machine], float]
    ) -> None:
        self.loop = loop
        self.random = generator
        self.latency = latency
        self.conditions = Conditions()
        self.receive_window = RECEIVE_WINDOW_BYTES
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

    def assign_host(self, host: str, machine: Machine) -> None:
        """Assign a host address to a machine."""
        self.machines[host] = machine

    def host_of(self, machine: Machine) -> str:
        """Return the host address of a machine, or `UNKNOWN_HOST` if it has none."""
        return next((host for host, assigned in self.machines.items() if assigned is machine), UNKNOWN_HOST)

    def kill(self, machine: Machine, resets_connections: bool = True) -> None:
        """End a process; without resets, the peers of its connections are not notified."""
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
        """Reset the remaining connections to a machine that vanished, because its successor has started."""
        self.vanished.pop(machine, None)
        for transport in [transport for transport in self.transports if transport.peer.machine is machine]:
            self.deliver(transport, ConnectionEnd(ConnectionResetError("reset by peer")))

    # Cuts of paths between machines.

    def is_cut(self, source: Machine, target: Machine) -> bool:
        """Return whether the path from one machine to another is cut."""
        return bool(self.cuts) and (source.name, target.name) in self.cuts

    def is_cut_between(self, one: Machine, other: Machine) -> bool:
        """Return whether the path between two machines is cut in at least one direction."""
        return self.is_cut(one, other) or self.is_cut(other, one)

    def cut(self, source: str, target: str) -> None:
        """Add a cut to the path from one machine to another."""
        self.cuts[source, target] = self.cuts.get((source, target), 0) + 1

    def heal(self, source: str, target: str) -> None:
        """Remove a cut; blocked pieces are delivered if it was the last cut of the path."""
        remaining = self.cuts.get((source, target), 0) - 1
        if remaining > 0:
            self.cuts[source, target] = remaining
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
            OSError: The address already has a listener.
        """
        if address in self.listeners:
            raise OSError(f"address already in use: {address[0]}:{address[1]}")
        listener = Listener(machine, self.loop, protocol_factory)
        self.listeners[address] = listener
        listener.close = lambda: self.stop_listening(address, listener)
        return listener

    def stop_listening(self, address: Address, listener: Listener) -> None:
        """Accept no more connections at an address; open connections stay open."""
        if self.listeners.get(address) is listener:
            del self.listeners[address]

    def dial(
        self, machine: Machine, address: Address, protocol: Any, opened: asyncio.Future[Any] | None = None
    ) -> None:
        """Open a connection; the result is set on `opened`, or passed to the protocol where `opened` is None."""
        self.try_connect(Dial(machine, address, protocol, opened), 0)

    def try_connect(self, dial: Dial, retries: int) -> None:
        """Try to connect; without an answer, retry with the delays of a TCP implementation."""
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
        # The kernel accepts the connection even if the process is stalled.
        self.loop.schedule_at(self.loop.now + delay, None, self.accept_by_kernel, listener, far)
        self.loop.schedule_at(self.loop.now + 2 * delay, dial.machine, self.connected, near, dial)

    def retry_connect(self, dial: Dial, retries: int) -> None:
        """Schedule the next attempt after one without an answer; after the last, notify a scripted peer."""
        if retries < len(CONNECT_RETRY_DELAYS_S):
            at = self.loop.now + CONNECT_RETRY_DELAYS_S[retries]
            self.loop.schedule_at(at, dial.machine, self.try_connect, dial, retries + 1)
        elif dial.opened is None:
            error = TimeoutError("connection timed out")
            self.loop.schedule_at(self.loop.now, dial.machine, dial.protocol.connection_lost, error)

    def open_transports(self, dial: Dial, listener: Listener) -> tuple[Transport, Transport]:
        """Create the two transports of a connection: the caller's and the listener's."""
        self.ports_used += 1
        local = (self.host_of(dial.machine), FIRST_EPHEMERAL_PORT + self.ports_used % EPHEMERAL_PORT_COUNT)
        near = Transport(self, dial.machine, local, dial.address)
        far = Transport(self, listener.machine, dial.address, local)
        near.peer = far
        far.peer = near
        self.transports[near] = None
        self.transports[far] = None
        return near, far

    def accept_by_kernel(self, listener: Listener, transport: Transport) -> None:
        """Pass a connection that has reached the listener's machine to the listener; reset it if the machine ended."""
        if listener.machine.alive:
            self.loop.schedule_at(self.loop.now, listener.machine, listener.accept, transport)
        else:
            transport.reset()

    @staticmethod
    def connected(transport: Transport, dial: Dial) -> None:
        """Complete a dial when the answer of the listener's machine reaches the caller."""
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

    def remove_transport(self, transport: Transport) -> None:
        """Remove a closed end from the open transports."""
        self.transports.pop(transport, None)

    def schedule(self, transport: Transport, callback: Callable[..., object], *args: object) -> None:
        """Schedule a callback of the transport's machine at the current time."""
        self.loop.schedule_at(self.loop.now, transport.machine, callback, *args)

    def delay(self, source: Machine, target: Machine) -> float:
        """Draw the delay from one machine to another, in s."""
        return self.latency(source, target) * self.conditions.latency_factor * (0.5 + self.random.random())

    def send(self, sender: Transport, data: bytes) -> None:
        """Send bytes to the sender's peer, in two pieces if the write is drawn to be fragmented."""
        self.on_written(sender, data)
        receiver = sender.peer
        receiver.unread_bytes += len(data)
        if not receiver.peer_paused and receiver.unread_bytes - self.receive_window > sender.high_water:
            receiver.peer_paused = True
            sender.protocol.pause_writing()
        fragmented = self.conditions.fragmented
        if fragmented and len(data) > 1 and self.random.random() < fragmented:
            split = self.random.randrange(1, len(data))
            self.deliver(receiver, data[:split])
            self.deliver(receiver, data[split:])
        else:
            self.deliver(receiver, data)

    def deliver(self, receiver: Transport, piece: Piece) -> None:
        """Schedule the arrival of a piece at the receiving end, after all pieces sent before it."""
        if receiver.lost:
            if self.is_answered_with_reset(receiver, piece):
                self.deliver(receiver.peer, ConnectionEnd(ConnectionResetError("reset by peer")))
            return
        delay = self.delay(receiver.peer.machine, receiver.machine)
        receiver.last_arrival = max(receiver.last_arrival, self.loop.now + delay)
        self.loop.schedule_at(receiver.last_arrival, receiver.machine, receiver.arrive, piece)

    def is_answered_with_reset(self, receiver: Transport, piece: Piece) -> bool:
        """Return whether a piece that is sent to a closed end causes a reset of the sender."""
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
        """Send a datagram to one address; it may be lost, duplicated or reordered."""
        target = self.machines.get(address[0])
        conditions = self.conditions
        if target is None or self.is_cut(sender.machine, target) or self.random.random() < conditions.lost:
            return
        copies = 1 + (self.random.random() < conditions.duplicated)
        for _ in range(copies):
            reorder_delay = MAX_REORDER_DELAY_S * self.random.random() * (self.random.random() < conditions.reordered)
            at = self.loop.now + self.delay(sender.machine, target) + reorder_delay
            self.loop.schedule_at(at, target, self.receive_datagram, data, sender.local, address)

    def receive_datagram(self, data: bytes, source: Address, address: Address) -> None:
        """Pass an arrived datagram to the socket of its address, if there is one."""
        if address in self.datagram_sockets:
            self.datagram_sockets[address].protocol.datagram_received(data, source)
