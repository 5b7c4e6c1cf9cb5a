"""Simulated proxies: scripted peers that apply updates to their tables and keep the tables without a planner."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from stackwheel.forwarder.state import ForwarderState
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdateReader, InvalidUpdateError
from stackwheel.rules.violations import Rule
from stackwheel.trials.channel import UpdateChannels
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.fleet import ServerFleet
from stackwheel.trials.line_protocol import LineProtocol
from stackwheel.trials.loop import Address, Machine
from stackwheel.trials.proxy_requests import RequestForwarder
from stackwheel.trials.reports import ReportPath
from stackwheel.trials.requests import Attempts, Clients, Request

REDIAL_DELAY_RANGE_S = (0.1, 2.4)
DIAL_TIMEOUT_S = 3.0
SILENCE_DETECTION_RANGE_S = (0.2, 2.7)  # measured from the loss of the planner or of the path to it
FIRST_DIAL_DELAY_RANGE_S = (0.0, 0.3)  # measured from the start of the proxy
FIRST_REPORT_INTERVALS_RANGE = (0.3, 1.0)  # in report intervals, measured from the start of the proxy
SAME_PLANNER_SHARE = 0.7  # share of second streams that go to the planner of the first one


class PlannerStream(LineProtocol):
    """A stream of a proxy to one planner.

    Attributes:
        partial_received: Beginning of a line that the planner has received incompletely.
        counts_as_joined: Whether the checker counts the proxy as joined by this stream.
        broken: Whether the network or the proxy has broken the stream, so that the proxy counts as left.
        reset_in_next_message: Whether the proxy resets the stream in the middle of the next message.
    """

    def __init__(self, proxy: Proxy, planner: int) -> None:
        super().__init__()
        self.proxy = proxy
        self.planner = planner
        self.reader = ConfigUpdateReader()
        self.partial_received = b""
        self.counts_as_joined = False
        self.broken = False
        self.reset_in_next_message = False

    def opened(self) -> None:
        """Notify the proxy of the open connection."""
        self.proxy.stream_opened(self)

    def line_received(self, line: str) -> None:
        """Collect the lines of a message and put a complete message into the channel."""
        if line in ("PONG", "NACK"):
            return
        if self.reset_in_next_message and (" continued=1" in line or not self.reader.parts):
            self.reset_in_next_message = False
            self.proxy.break_stream(self)
            return
        try:
            update = self.reader.feed_line(line)
        except InvalidUpdateError as error:
            self.proxy.reject_update(self, str(error))
            return
        if update is not None:
            self.proxy.parts.channels.enter(self, update)

    def closed(self) -> None:
        """Notify the proxy of the end of the connection."""
        self.proxy.stream_closed(self)


@dataclass(slots=True)
class ProxyParts:
    """The parts of the simulation that proxies use.

    Attributes:
        planner_addresses: Address by planner number.
        planner_machine: Returns the current machine of a planner.
        start_reading_files: Starts the file reader of a proxy; None in trials without files.
    """

    fleet: ServerFleet
    channels: UpdateChannels
    reports: ReportPath
    clients: Clients
    attempts: Attempts
    planner_addresses: Sequence[Address]
    planner_machine: Callable[[int], Machine]
    start_reading_files: Callable[[Proxy], None] | None = field(default=None)


class Proxy:
    """A proxy with its streams, updates and reports; its forwarder handles the requests.

    Attributes:
        machine: Machine that the connections belong to; it represents the kernel.
        process: Machine of the process that applies updates and forwards requests; it may stall independently.
        state: Tables of the proxy.
        stream: The open stream to a planner, or None.
        pending_stream: The stream that is being opened, or None.
        is_new: Whether the proxy has applied no update since its start.
        demand_factor: Current demand relative to the base rate.
        base_rate: Usual rate of requests, in requests per second.
        next_planner: Number of the planner that the next dial connects to.
        reported_at: Time of the last demand report, in s.
    """

    def __init__(self, context: SimulationContext, parts: ProxyParts, number: int, zone: int) -> None:
        self.context = context
        self.parts = parts
        self.number = number
        self.zone = zone
        self.machine = Machine(f"proxy-{number}")
        self.process = Machine(f"proxy-{number}")
        self.random = random.Random(f"proxy {number} {context.script.seed}")
        self.class_names = tuple(request_class.name for request_class in context.shape.classes)
        self.state = ForwarderState(self.class_names, parts.fleet.listed_names)
        self.stream: PlannerStream | None = None
        self.pending_stream: PlannerStream | None = None
        self.is_new = True
        self.demand_factor = 1.0
        self.base_rate = 1.0
        self.next_planner = self.random.randrange(context.shape.planners)
        self.reported_at = context.loop.now
        self.forwarder = RequestForwarder(context, parts.clients, parts.attempts, self)

    def schedule(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Schedule a callback of the proxy's process after a delay in s."""
        self.context.loop.schedule_at(self.context.loop.now + delay, self.process, callback, *args)

    def rate(self) -> float:
        """Return the rate of the clients' requests, in requests per second."""
        return self.base_rate * self.demand_factor

    def receive_request(self, request: Request) -> None:
        """Pass a request of a client to the forwarder."""
        self.forwarder.receive(request)

    # Streams.

    def dial(self) -> None:
        """Dial the next planner in turn."""
        if not self.process.alive or self.pending_stream is not None:
            return
        planner = self.next_planner
        self.next_planner = (planner + 1) % self.context.shape.planners
        stream = PlannerStream(self, planner)
        self.pending_stream = stream
        self.context.network.dial(self.machine, self.parts.planner_addresses[planner], stream)
        self.schedule(DIAL_TIMEOUT_S, self.dial_timed_out, stream)

    def dial_timed_out(self, stream: PlannerStream) -> None:
        """Abandon a dial that did not complete in time."""
        if self.pending_stream is stream:
            self.pending_stream = None
            self.redial()

    def redial(self) -> None:
        """Schedule another dial."""
        self.schedule(self.random.uniform(*REDIAL_DELAY_RANGE_S), self.dial_without_stream)

    def dial_without_stream(self) -> None:
        """Dial unless the proxy has a stream."""
        if self.stream is None:
            self.dial()

    def stream_opened(self, stream: PlannerStream) -> None:
        """Replace the current stream with one that has been opened, and subscribe on it."""
        if self.pending_stream is stream:
            self.pending_stream = None
        elif stream.transport is not None:  # the dial has been abandoned
            stream.broken = True
            stream.transport.abort()
            return
        previous = self.stream
        self.stream = stream
        if previous is not None and previous.transport is not None:
            previous.broken = True
            previous.transport.abort()
        zone = self.context.zones[self.zone]
        stream.send(f"SUBSCRIBE id={self.number} site={zone} rps={self.rate():.1f} new={int(self.is_new)}")

    def stream_closed(self, stream: PlannerStream) -> None:
        """Dial again after the end of a stream, whichever side ended it."""
        if self.pending_stream is stream:
            self.pending_stream = None
            self.redial()
        elif self.stream is stream:
            self.stream = None
            if stream.broken:
                self.count_as_left(stream)
            self.redial()

    def count_as_left(self, stream: PlannerStream) -> None:
        """Count the proxy as left in the checker because a stream is broken, unless another stream replaced it."""
        stream.counts_as_joined = False
        if self.stream is stream or self.stream is None:
            self.context.checker.proxy_left(self.number, self.context.now_ms())

    def break_stream(self, stream: PlannerStream) -> None:
        """Reset a stream and count the proxy as left."""
        stream.broken = True
        self.count_as_left(stream)
        if stream.transport is not None:
            stream.transport.reset()

    def make_half_open(self, noticed_after: float) -> None:
        """Make the stream half open; the proxy detects it after `noticed_after` s, the planner is not notified."""
        stream = self.stream
        if stream is None or stream.transport is None:
            return
        stream.broken = True
        stream.transport.half_open = True
        stream.transport.peer.half_open = True
        self.count_as_left(stream)
        self.schedule(noticed_after, self.abandon_dead_stream, stream)

    def planner_vanished(self, planner: int) -> None:
        """Schedule the detection of a planner's machine that ended without resetting its connections."""
        if self.stream is not None and self.stream.planner == planner:
            self.schedule(self.random.uniform(*SILENCE_DETECTION_RANGE_S), self.abandon_dead_stream, self.stream)

    def path_cut(self, stream: PlannerStream) -> None:
        """Count the proxy as left because the stream's path is cut, and schedule the detection of the cut."""
        self.count_as_left(stream)
        self.schedule(self.random.uniform(*SILENCE_DETECTION_RANGE_S), self.abandon_cut_stream, stream)

    def abandon_dead_stream(self, stream: PlannerStream) -> None:
        """Abandon a dead stream and dial another planner."""
        if self.stream is stream and stream.transport is not None:
            self.stream = None
            stream.transport.abandon()
            self.redial()

    def abandon_cut_stream(self, stream: PlannerStream) -> None:
        """Abandon the stream if its path is cut in both directions; a cut of one direction is not detected."""
        planner_machine = self.parts.planner_machine(stream.planner)
        network = self.context.network
        receives_nothing = network.is_cut(planner_machine, self.machine)
        if self.stream is stream and receives_nothing and network.is_cut(self.machine, planner_machine):
            stream.broken = True
            self.abandon_dead_stream(stream)

    def open_second_stream(self, delay: float) -> None:
        """Open a second stream while bytes sent on the first one are still in transit, for `delay` s."""
        first = self.stream
        if first is None or first.transport is None:
            return
        planner_end = first.transport.peer
        planner_end.last_arrival = max(planner_end.last_arrival, self.context.loop.now + delay)
        first.send(*self.take_demand_reports())
        if self.random.random() < SAME_PLANNER_SHARE:
            self.next_planner = first.planner
        self.dial()

    # Incarnations.

    def stop(self) -> None:
        """End the process and reset its connections."""
        self.stream = None
        self.pending_stream = None
        self.context.checker.proxy_left(self.number, self.context.now_ms())
        self.context.network.kill(self.machine)
        self.context.loop.kill(self.process)

    def start_new_incarnation(self) -> None:
        """Start a new process on new machines at the same address."""
        host = self.context.network.host_of(self.machine)
        self.context.retired_machines.append(self.machine)
        name = self.machine.name
        self.machine = Machine(name)
        self.process = Machine(name)
        self.context.network.assign_host(host, self.machine)
        self.context.loop.schedule_at(self.context.loop.now, self.process, self.start)

    def start(self) -> None:
        """Start with only the standing table, and schedule the first dial and report or start the file reader."""
        self.stream = None
        self.pending_stream = None
        self.is_new = True
        self.state = ForwarderState(self.class_names, self.parts.fleet.listed_names)
        self.state.install_standing_table(self.parts.fleet.standing_table(self.zone, self.random))
        self.forwarder.reset()
        self.report_served_classes()
        if self.parts.start_reading_files is not None:
            self.parts.start_reading_files(self)
            return
        self.schedule(self.random.uniform(*FIRST_DIAL_DELAY_RANGE_S), self.dial_without_stream)
        first_report_ms = self.random.uniform(*FIRST_REPORT_INTERVALS_RANGE) * self.context.shape.report_interval
        self.schedule(first_report_ms / 1000.0, self.send_demand_reports, self.process)

    # Updates.

    def reject_update(self, stream: PlannerStream, reason: str) -> None:
        """Report an invalid update as a violation by the planner and abort the stream."""
        self.context.checker.report_violation(self.context.now_ms(), Rule.USABLE, reason, stream.planner, self.number)
        if stream.transport is not None:
            stream.transport.abort()
        self.stream_closed(stream)

    def apply(self, stream: PlannerStream, update: ConfigUpdate, entered_at: float) -> None:
        """Apply an update that arrives from the channel as a whole, and acknowledge it."""
        if self.stream is not stream or stream.transport is None or stream.transport.closing:
            return
        try:
            self.state.apply(update)
        except InvalidUpdateError as error:
            self.reject_update(stream, str(error))
            return
        self.is_new = False
        self.context.checker.record_event(
            self.context.now_ms(),
            f"applied {update.cost()} lines",
            f"proxy-{self.number}",
            f"planner-{stream.planner}",
        )
        self.report_served_classes()
        took_ms = (self.context.loop.now - entered_at) * 1000.0
        for nonce in update.nonces():
            stream.send(f"ACK id={self.number} seq={nonce} ms={took_ms:.1f}")

    def report_served_classes(self) -> None:
        """Report to the checker which request classes have servers."""
        now = self.context.now_ms()
        for class_index, name in enumerate(self.class_names):
            self.context.checker.record_class_availability(
                self.number, class_index, not self.state.has_no_servers(name), now
            )

    # Reports.

    def take_demand_reports(self) -> list[str]:
        """Return the lines that report the demand since the last report."""
        now = self.context.loop.now
        window_ms = max(1.0, (now - self.reported_at) * 1000.0)
        self.reported_at = now
        return [
            f"RATE id={self.number} lane={demand.class_name} count={demand.requests} "
            f"fail={demand.unserved} over={window_ms:.1f}"
            for demand in self.forwarder.take_demand()
        ]

    def send_demand_reports(self, process: Machine) -> None:
        """Send a demand report and schedule the next one, unless `process` is no longer the current process."""
        if process is not self.process:
            return
        if self.stream is not None:
            self.parts.reports.send(self.machine, self.stream, self.take_demand_reports())
        self.schedule(self.context.shape.report_interval / 1000.0, self.send_demand_reports, process)
