"""The simulated discovery service: the complete list, watches, and what goes wrong with both."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from stackwheel.interface import Availability
from stackwheel.trials.discovery_records import LoggedChange, SentUpdate, ServerRecord, encode_list, list_document
from stackwheel.trials.loop import Address, Machine, VirtualLoop, do_nothing
from stackwheel.trials.network import Network
from stackwheel.trials.transport import Transport

HEARTBEAT_INTERVAL_S = 2.0  # an empty line so often on a watch while nothing changes
CALL_DURATION_S = 0.002  # calls are handled one after another
MAX_GENERATIONS_BEHIND = 200  # of a watch before it gets the complete list
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
LIST_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
FAULTS_THAT_END_CALLS = ("refuse", "503", "silence")


def no_planner(_: Machine) -> int | None:
    """No machine is a planner's."""
    return None


class DiscoveryCall:
    """One connection to discovery.

    Attributes:
        watching: It is sent changes.
        was_watch: It is or was a watch.
        pending_updates: What was sent and the caller has not received in full.
        planner: The planner that calls, if it is one.
        caller: The name of the calling machine.
        delayed_until: When the last change that is sent late on it has been sent, in s.
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
        """The connection is open."""
        self.transport = transport
        self.planner = self.discovery.planner_of(transport.peer.machine)
        self.caller = transport.peer.machine.name
        self.discovery.calls[self] = None

    def data_received(self, data: bytes) -> None:
        """Bytes of the request have arrived."""
        self.request_head += data
        if not self.answered and b"\r\n\r\n" in self.request_head:
            self.answered = True
            target = self.request_head.split(b" ", 2)[1].decode()
            self.discovery.take_call(self, target)

    def eof_received(self) -> bool | None:
        """The caller writes no more: the connection ends."""
        return None

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        self.discovery.calls.pop(self, None)
        self.watching = False

    def pause_writing(self) -> None:
        """Discovery writes on whether the caller reads or not."""

    def resume_writing(self) -> None:
        """Discovery writes on whether the caller reads or not."""

    def write(self, data: bytes) -> None:
        """Write bytes of the answer."""
        assert self.transport is not None
        self.bytes_written += len(data)
        self.transport.write(data)

    def write_chunk(self, body: bytes) -> None:
        """Write one chunk of a watch's answer."""
        self.write(b"%x\r\n%b\r\n" % (len(body), body))

    def send_update(self, records: Sequence[ServerRecord], complete: bool, generation: int) -> None:
        """Send a list or a change on a watch."""
        self.write_chunk(self.discovery.encode(records, complete, generation))
        self.note_sent(records, complete, generation)

    def note_sent(self, records: Sequence[ServerRecord], complete: bool, generation: int) -> None:
        """Note what the bytes written last hold."""
        update = SentUpdate(self.bytes_written, tuple(records), complete, generation, self.discovery.loop.now)
        self.pending_updates.append(update)
        self.discovery.on_sent(self, update)

    def received(self, count: int) -> None:
        """The caller has taken bytes of the answer."""
        self.bytes_received += count
        while self.pending_updates and self.pending_updates[0].end_offset <= self.bytes_received:
            self.discovery.on_received(self.planner, self.pending_updates.popleft())


class Discovery:
    """The endpoint list as it is sent; `change` brings it forward.

    Attributes:
        records: By name: the servers listed now.
        log: What each generation changed.
        free_at: When the call that is handled now is done, in s.
        fault: `refuse`, `503`, `silence`, `late`, or empty.
        fault_delay: By how much changes are late, in s.
        ordered_delays: What is sent late delays what is sent after it.
        delayed_until: When the last change that was sent late has been sent, in s.
        watch_delays: By machine: changes are sent to it so late, in s; empty lines come in time.
        unreadable: Servers whose entries nobody can read.
        planner_of: The number of the planner on a machine.
        on_sent: Called with each update that was written, and the call that it was written on.
        on_received: Called with each update that a caller has received in full, and its planner.
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
        self.free_at = 0.0
        self.fault = ""
        self.fault_delay = 0.0
        self.ordered_delays = False
        self.delayed_until = 0.0
        self.watch_delays: dict[str, float] = {}
        self.unreadable: dict[str, None] = {}
        self.planner_of: Callable[[Machine], int | None] = no_planner
        self.on_sent: Callable[[DiscoveryCall, SentUpdate], None] = do_nothing
        self.on_received: Callable[[int | None, SentUpdate], None] = do_nothing
        self.listen()
        self.send_heartbeats()

    # Where it answers, and whether.

    def listen(self) -> None:
        """Accept calls."""
        if self.address not in self.network.listeners:
            self.network.listen(self.machine, self.address, lambda: DiscoveryCall(self))

    def stop_listening(self) -> None:
        """Accept no more calls; what is open stays so."""
        self.network.listeners.pop(self.address, None)

    def end_calls(self) -> None:
        """End all connections."""
        for call in list(self.calls):
            if call.transport is not None:
                call.transport.abort()

    def move(self, address: Address, close_after: float) -> None:
        """Answer elsewhere; the old address accepts nothing more and ends what is open after `close_after` s."""
        self.stop_listening()
        old_calls = list(self.calls)

        def end_old_calls() -> None:
            """Abort the calls that were open at the move."""
            for call in old_calls:
                if call in self.calls and call.transport is not None:
                    call.transport.abort()

        self.loop.schedule_at(self.loop.now + close_after, self.machine, end_old_calls)
        self.address = address
        if self.fault != "refuse":
            self.listen()

    def set_fault(self, mode: str, delay: float) -> None:
        """Begin a fault, or end it with an empty mode."""
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
        """Change the list; watches are notified, late if that is the fault."""
        self.generation += 1
        for record in records:
            self.log.append(LoggedChange(self.generation, record, self.records.get(record.name)))
            self.records[record.name] = record
            if record.availability is Availability.REMOVED:
                del self.records[record.name]
        delay = self.fault_delay if self.fault == "late" else 0.0
        must_wait = self.ordered_delays and self.delayed_until > self.loop.now
        if not delay and not must_wait:
            self.notify_watches(tuple(records), self.generation)
            return
        at = self.loop.now + delay
        self.delayed_until = max(self.delayed_until, at)
        at = self.delayed_until if self.ordered_delays else at
        self.loop.schedule_at(at, self.machine, self.notify_watches, tuple(records), self.generation)

    def notify_watches(self, records: tuple[ServerRecord, ...], generation: int) -> None:
        """Send a change on all watches, late on those that lag."""
        for call in [call for call in self.calls if call.watching]:
            delay = self.watch_delays.get(call.caller, 0.0) if self.watch_delays else 0.0
            if delay or call.delayed_until > self.loop.now:
                call.delayed_until = max(call.delayed_until, self.loop.now + delay)
                self.loop.schedule_at(call.delayed_until, self.machine, self.send_delayed, call, records, generation)
            else:
                call.send_update(records, False, generation)

    @staticmethod
    def send_delayed(call: DiscoveryCall, records: tuple[ServerRecord, ...], generation: int) -> None:
        """Send a delayed change, if the watch is still open."""
        if call.watching:
            call.send_update(records, False, generation)

    def send_older_state(self, restored_after: float, concerns: Callable[[str], bool] | None = None) -> None:
        """Send watches the state before the last change again, in its generation, and the present one later.

        Args:
            restored_after: Seconds until the present state is sent.
            concerns: Whether changes of a server count as the last change; all do where it is not given.
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
        """Send watches the last state of some servers in a new generation; return the records sent."""
        latest = {change.record.name: change.record for change in self.log if change.record.name in names}
        latest |= {name: self.records[name] for name in names if name in self.records}
        records = tuple(latest.values())
        self.generation += 1
        self.log += [LoggedChange(self.generation, record, record) for record in records]
        self.notify_watches(records, self.generation)
        return records

    def restart_generations(self, first: int = 1) -> None:
        """Count generations anew; all watches end."""
        self.generation = first
        self.log = []
        self.end_calls()

    def send_heartbeats(self) -> None:
        """Send an empty line on all watches, again and again."""
        for call in [call for call in self.calls if call.watching]:
            call.write_chunk(b"\r\n")
        self.loop.schedule_at(self.loop.now + HEARTBEAT_INTERVAL_S, self.machine, self.send_heartbeats)

    # Calls.

    def take_call(self, call: DiscoveryCall, target: str) -> None:
        """A request is complete: it is answered after those before it."""
        if self.fault == "silence":
            return
        self.free_at = max(self.free_at, self.loop.now) + CALL_DURATION_S
        self.loop.schedule_at(self.free_at, self.machine, self.answer, call, target)

    def answer(self, call: DiscoveryCall, target: str) -> None:
        """Answer a request by its target: the complete list once, or a watch."""
        assert call.transport is not None
        if call not in self.calls:
            return
        if self.fault == "503":
            call.write(UNAVAILABLE)
            call.transport.abort()
        elif "follow=1" in target:
            self.begin_watch(call, int(target.rpartition("since=")[2]) if "since=" in target else 0)
        else:
            records = tuple(self.records.values())
            body = self.encode(records, True, self.generation)
            call.write(LIST_HEAD % len(body) + body)
            call.note_sent(records, True, self.generation)
            call.transport.abort()

    def begin_watch(self, call: DiscoveryCall, since: int) -> None:
        """Answer a watch with what has changed since a generation, or with the complete list."""
        call.write(WATCH_HEAD)
        call.watching = True
        call.was_watch = True
        if self.knows_changes_since(since):
            latest = {change.record.name: change.record for change in self.log if change.generation > since}
            call.send_update(tuple(latest.values()), False, self.generation)
        else:
            call.send_update(tuple(self.records.values()), True, self.generation)

    def knows_changes_since(self, since: int) -> bool:
        """Whether the log holds all changes after a generation, and they are few enough."""
        return (
            0 < since <= self.generation
            and self.generation - since <= MAX_GENERATIONS_BEHIND
            and (not self.log or since >= self.log[0].generation - 1)
        )

    def encode(self, records: Sequence[ServerRecord], complete: bool, generation: int) -> bytes:
        """Encode a list or a change as one line."""
        return encode_list(list_document(records, complete, generation, self.zones, self.unreadable))
