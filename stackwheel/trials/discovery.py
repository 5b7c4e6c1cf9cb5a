"""The simulated discovery service: it serves the complete endpoint list and watches, with faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from stackwheel.interface import Availability
from stackwheel.trials.discovery_records import LoggedChange, SentUpdate, ServerRecord, encode_list, list_document
from stackwheel.trials.loop import Address, Machine, VirtualLoop, do_nothing
from stackwheel.trials.network import Network
from stackwheel.trials.transport import Transport

HEARTBEAT_INTERVAL_S = 2.0
CALL_DURATION_S = 0.002
MAX_GENERATIONS_BEHIND = 200  # watches further behind are sent the complete list
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
LIST_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
FAULTS_THAT_END_CALLS = ("refuse", "503", "silence")


def return_no_planner(_: Machine) -> int | None:
    """Return None, as for a machine without a planner; the default of `Discovery.planner_of`."""
    return None


class DiscoveryCall:
    """A connection to the discovery service.

    Attributes:
        watching: Whether the connection is an open watch.
        answered: Whether the request has been received completely.
        was_watch: Whether the connection is or was a watch.
        bytes_written: Number of bytes of the response written so far.
        bytes_received: Number of bytes of the response that the caller has received.
        pending_updates: Updates that were written and that the caller has not received completely.
        planner: Number of the planner that calls; None for other callers.
        caller: Name of the calling machine.
        delayed_until: Time until which changes on this watch are delayed, in s.
    """

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.transport: Transport | None = None
        self.request_head = bytearray()
        self.watching = False
        self.answered = False
        self.was_watch = False
        self.bytes_written = 0
        self.bytes_received = 0
        self.pending_updates: deque[SentUpdate] = deque()
        self.planner: int | None = None
        self.caller = ""
        self.delayed_until = 0.0

    def connection_made(self, transport: Any) -> None:
        """Register the connection and its caller."""
        self.transport = transport
        self.planner = self.discovery.planner_of(transport.peer.machine)
        self.caller = transport.peer.machine.name
        self.discovery.calls[self] = None

    def data_received(self, data: bytes) -> None:
        """Collect the request head and schedule the response when it is complete."""
        self.request_head += data
        if not self.answered and b"\r\n\r\n" in self.request_head:
            self.answered = True
            target = self.request_head.split(b" ", 2)[1].decode()
            self.discovery.enqueue_call(self, target)

    def eof_received(self) -> bool | None:
        """Close the connection when the caller sends no more data."""
        return None

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection from the open connections of the service."""
        self.discovery.calls.pop(self, None)
        self.watching = False

    def pause_writing(self) -> None:
        """Do nothing; the simulated service ignores flow control."""

    def resume_writing(self) -> None:
        """Do nothing; the simulated service ignores flow control."""

    def write(self, data: bytes) -> None:
        """Write bytes of the response."""
        assert self.transport is not None
        self.bytes_written += len(data)
        self.transport.write(data)

    def write_chunk(self, body: bytes) -> None:
        """Write one chunk of the response to a watch."""
        self.write(b"%x\r\n%b\r\n" % (len(body), body))

    def send_update(self, records: Sequence[ServerRecord], complete: bool, generation: int) -> None:
        """Send a complete list or a change on a watch."""
        self.write_chunk(self.discovery.encode(records, complete, generation))
        self.record_update(records, complete, generation)

    def record_update(self, records: Sequence[ServerRecord], complete: bool, generation: int) -> None:
        """Record an update that the last written bytes contain."""
        update = SentUpdate(self.bytes_written, tuple(records), complete, generation, self.discovery.loop.now)
        self.pending_updates.append(update)
        self.discovery.on_sent(self, update)

    def received(self, count: int) -> None:
        """Count bytes that the caller has received, and call `on_received` for each completely received update."""
        self.bytes_received += count
        while self.pending_updates and self.pending_updates[0].end_offset <= self.bytes_received:
            self.discovery.on_received(self.planner, self.pending_updates.popleft())


class Discovery:
    """The discovery service, with the endpoint list and the open connections of planners and relays.

    Attributes:
        records: By name: the listed servers.
        generation: Current generation of the endpoint list.
        log: The changes of all generations since the service started its numbering.
        busy_until: Time at which the service has answered all requests received so far, in s.
        fault: Current fault: `refuse`, `503`, `silence`, `late`, or empty.
        fault_delay: Delay of changes during the fault `late`, in s.
        keeps_order: Whether a delayed change also delays all changes after it.
        delayed_until: Time at which the last delayed change is sent, in s.
        watch_delays: By machine name: delay of the changes that are sent to it, in s; heartbeats are not delayed.
        unreadable: Names of the servers whose entries are sent in an invalid form.
        planner_of: Returns the number of the planner on a machine, or None.
        on_sent: Called with a call and each update that was written on it.
        on_received: Called with a caller's planner number and each update that the caller has received completely.
    """

    def __init__(
        self, loop: VirtualLoop, network: Network, machine: Machine, address: Address, zones: Sequence[str]
    ) -> None:
        self.loop = loop
        self.network = network
        self.machine = machine
        self.address = address
        self.zones = zones
        self.records: dict[str, ServerRecord] = {}
        self.generation = 1
        self.log: list[LoggedChange] = []
        self.calls: dict[DiscoveryCall, None] = {}
        self.busy_until = 0.0
        self.fault = ""
        self.fault_delay = 0.0
        self.keeps_order = False
        self.delayed_until = 0.0
        self.watch_delays: dict[str, float] = {}
        self.unreadable: dict[str, None] = {}
        self.planner_of: Callable[[Machine], int | None] = return_no_planner
        self.on_sent: Callable[[DiscoveryCall, SentUpdate], None] = do_nothing
        self.on_received: Callable[[int | None, SentUpdate], None] = do_nothing
        self.listen()
        self.send_heartbeats()

    # Address and availability of the service.

    def listen(self) -> None:
        """Accept connections at the current address."""
        if self.address not in self.network.listeners:
            self.network.listen(self.machine, self.address, lambda: DiscoveryCall(self))

    def stop_listening(self) -> None:
        """Accept no more connections; open connections stay open."""
        self.network.listeners.pop(self.address, None)

    def end_calls(self) -> None:
        """Close all open connections."""
        for call in list(self.calls):
            if call.transport is not None:
                call.transport.abort()

    def move(self, address: Address, close_after: float) -> None:
        """Move the service to another address; connections to the old address are closed after `close_after` s."""
        self.stop_listening()
        old_calls = list(self.calls)

        def end_old_calls() -> None:
            """Close the connections that were open at the time of the move."""
            for call in old_calls:
                if call in self.calls and call.transport is not None:
                    call.transport.abort()

        self.loop.schedule_at(self.loop.now + close_after, self.machine, end_old_calls)
        self.address = address
        if self.fault != "refuse":
            self.listen()

    def set_fault(self, mode: str, delay: float) -> None:
        """Begin a fault, or end the current one if the mode is empty; `delay` is in s."""
        self.fault = mode
        self.fault_delay = delay
        if mode in FAULTS_THAT_END_CALLS:
            self.end_calls()
        if mode == "refuse":
            self.stop_listening()
        else:
            self.listen()

    # The endpoint list and its changes.

    def change(self, records: Sequence[ServerRecord]) -> None:
        """Apply changes to the endpoint list and send them on all watches, with a delay during the fault `late`."""
        self.generation += 1
        for record in records:
            self.log.append(LoggedChange(self.generation, record, self.records.get(record.name)))
            self.records[record.name] = record
            if record.availability is Availability.REMOVED:
                del self.records[record.name]
        delay = self.fault_delay if self.fault == "late" else 0.0
        is_delayed = self.keeps_order and self.delayed_until > self.loop.now
        if not delay and not is_delayed:
            self.notify_watches(tuple(records), self.generation)
            return
        at = self.loop.now + delay
        self.delayed_until = max(self.delayed_until, at)
        at = self.delayed_until if self.keeps_order else at
        self.loop.schedule_at(at, self.machine, self.notify_watches, tuple(records), self.generation)

    def notify_watches(self, records: tuple[ServerRecord, ...], generation: int) -> None:
        """Send a change on all watches, with a delay on those to machines in `watch_delays`."""
        for call in [call for call in self.calls if call.watching]:
            delay = self.watch_delays.get(call.caller, 0.0) if self.watch_delays else 0.0
            if delay or call.delayed_until > self.loop.now:
                call.delayed_until = max(call.delayed_until, self.loop.now + delay)
                self.loop.schedule_at(call.delayed_until, self.machine, self.send_delayed, call, records, generation)
            else:
                call.send_update(records, False, generation)

    @staticmethod
    def send_delayed(call: DiscoveryCall, records: tuple[ServerRecord, ...], generation: int) -> None:
        """Send a delayed change if the watch is still open."""
        if call.watching:
            call.send_update(records, False, generation)

    def send_older_state(self, restored_after: float, concerns: Callable[[str], bool] | None = None) -> None:
        """Send the state before the last change on all watches, in its older generation, and later the current state.

        Args:
            restored_after: Delay in s until the current state is sent.
            concerns: Returns whether changes of a server are considered; all are if it is None.
        """
        last = next(
            (change.generation for change in reversed(self.log) if concerns is None or concerns(change.record.name)),
            None,
        )
        if last is None:
            return
        changes = [change for change in self.log if change.generation == last]
        older = tuple(change.previous for change in changes if change.previous is not None)
        if older:
            self.notify_watches(older, max(0, last - 1))
            newer = tuple(change.record for change in changes)
            self.loop.schedule_at(
                self.loop.now + restored_after, self.machine, self.notify_watches, newer, self.generation
            )

    def send_again(self, names: Sequence[str]) -> tuple[ServerRecord, ...]:
        """Send the last state of some servers on all watches in a new generation; return the records sent."""
        latest = {change.record.name: change.record for change in self.log if change.record.name in names}
        latest |= {name: self.records[name] for name in names if name in self.records}
        records = tuple(latest.values())
        self.generation += 1
        self.log += [LoggedChange(self.generation, record, record) for record in records]
        self.notify_watches(records, self.generation)
        return records

    def restart_generations(self, first: int = 1) -> None:
        """Restart the numbering of generations and close all connections."""
        self.generation = first
        self.log = []
        self.end_calls()

    def send_heartbeats(self) -> None:
        """Send an empty line on all watches and schedule the next heartbeat."""
        for call in [call for call in self.calls if call.watching]:
            call.write_chunk(b"\r\n")
        self.loop.schedule_at(self.loop.now + HEARTBEAT_INTERVAL_S, self.machine, self.send_heartbeats)

    # Responses to the requests of planners and relays.

    def enqueue_call(self, call: DiscoveryCall, target: str) -> None:
        """Schedule the response to a request after those to all earlier requests."""
        if self.fault == "silence":
            return
        self.busy_until = max(self.busy_until, self.loop.now) + CALL_DURATION_S
        self.loop.schedule_at(self.busy_until, self.machine, self.answer, call, target)

    def answer(self, call: DiscoveryCall, target: str) -> None:
        """Answer a request with the complete list or with a watch, according to its target."""
        assert call.transport is not None
        if call not in self.calls:
            return
        if self.fault == "503":
            call.write(UNAVAILABLE_RESPONSE)
            call.transport.abort()
        elif "follow=1" in target:
            self.begin_watch(call, int(target.rpartition("since=")[2]) if "since=" in target else 0)
        else:
            records = tuple(self.records.values())
            body = self.encode(records, True, self.generation)
            call.write(LIST_RESPONSE_HEAD % len(body) + body)
            call.record_update(records, True, self.generation)
            call.transport.abort()

    def begin_watch(self, call: DiscoveryCall, since: int) -> None:
        """Open a watch with the changes since a generation, or with the complete list if they are not available."""
        call.write(WATCH_RESPONSE_HEAD)
        call.watching = True
        call.was_watch = True
        if self.can_resume_from(since):
            latest = {change.record.name: change.record for change in self.log if change.generation > since}
            call.send_update(tuple(latest.values()), False, self.generation)
        else:
            call.send_update(tuple(self.records.values()), True, self.generation)

    def can_resume_from(self, since: int) -> bool:
        """Return whether a watch can resume from a generation.

        The log must contain all later changes, of at most `MAX_GENERATIONS_BEHIND` generations.
        """
        return (
            0 < since <= self.generation
            and self.generation - since <= MAX_GENERATIONS_BEHIND
            and (not self.log or since >= self.log[0].generation - 1)
        )

    def encode(self, records: Sequence[ServerRecord], complete: bool, generation: int) -> bytes:
        """Encode a complete list or a change as one line."""
        return encode_list(list_document(records, complete, generation, self.zones, self.unreadable))
