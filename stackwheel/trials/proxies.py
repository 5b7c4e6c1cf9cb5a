"""Proxies as scripted peers: they follow their tables, keep them without a planner, and judge no server."""

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

REDIAL_DELAY_S = (0.1, 2.4)  # after a break is noticed
DIAL_TIMEOUT_S = 3.0  # without an open connection until a dial counts as failed
NOTICE_SILENCE_S = (0.2, 2.7)  # until a proxy finds by itself that its stream is dead
START_DELAY_S = (0.0, 0.3)  # from a proxy's start to its first dial
FIRST_REPORT = (0.3, 1.0)  # of the report interval, from a proxy's start to its first report
SAME_PLANNER_SHARE = 0.7  # of second streams that go to the planner of the first


class PlannerStream(LineProtocol):
    """A proxy's stream to one planner.

    Attributes:
        partial_received: Of a line that the planner has taken in part.
        counts_as_joined: For the rules.
        broken: By the network or its own proxy: it counts as left.
        reset_in_next_message: It breaks in the middle of the next message.
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
        """The connection is open."""
        self.proxy.stream_opened(self)

    def line_received(self, line: str) -> None:
        """Collect the lines of a message; a complete one enters the channel."""
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
        """The connection has ended."""
        self.proxy.stream_closed(self)


@dataclass(slots=True)
class ProxyParts:
    """What proxies use of the rest of a simulation.

    Attributes:
        planner_addresses: By planner.
        planner_machine: The machine that a planner runs on now.
        start_reading_files: Starts a proxy that is sent files in place of streams, where there are files.
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
    """A proxy: its streams, updates and reports; its requests are the forwarder's.

    Attributes:
        machine: What its connections belong to: the kernel.
        process: What applies and forwards: it may be stalled while the kernel still takes bytes.
        state: Its tables, as the forwarder's law has them.
        is_new: It has applied no update since its start.
        demand_factor: Of its usual demand.
        base_rate: Its usual requests a second.
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
        """Run something of its process after a delay in s."""
        self.context.loop.schedule_at(self.context.loop.now + delay, self.process, callback, *args)

    def rate(self) -> float:
        """Requests a second that clients make."""
        return self.base_rate * self.demand_factor

    def receive_request(self, request: Request) -> None:
        """A request arrives."""
        self.forwarder.receive(request)

    # Streams.

    def dial(self) -> None:
        """Connect to the next planner in turn."""
        if not self.process.alive or self.pending_stream is not None:
            return
        planner = self.next_planner
        self.next_planner = (planner + 1) % self.context.shape.planners
        stream = PlannerStream(self, planner)
        self.pending_stream = stream
        self.context.network.dial(self.machine, self.parts.planner_addresses[planner], stream)
        self.schedule(DIAL_TIMEOUT_S, self.dial_timed_out, stream)

    def dial_timed_out(self, stream: PlannerStream) -> None:
        """Give a dial up that has not come through."""
        if self.pending_stream is stream:
            self.pending_stream = None
            self.redial()

    def redial(self) -> None:
        """Dial again after a while."""
        self.schedule(self.random.uniform(*REDIAL_DELAY_S), self.dial_without_stream)

    def dial_without_stream(self) -> None:
        """Dial unless there is a stream."""
        if self.stream is None:
            self.dial()

    def stream_opened(self, stream: PlannerStream) -> None:
        """A dial has come through: the stream replaces the one before it."""
        if self.pending_stream is stream:
            self.pending_stream = None
        elif stream.transport is not None:  # given up meanwhile
            stream.broken = True
            stream.transport.abort()
            return
        former = self.stream
        self.stream = stream
        if former is not None and former.transport is not None:
            former.broken = True
            former.transport.abort()
        zone = self.context.zones[self.zone]
        stream.send(f"SUBSCRIBE id={self.number} site={zone} rps={self.rate():.1f} new={int(self.is_new)}")

    def stream_closed(self, stream: PlannerStream) -> None:
        """A stream has ended, by whomever."""
        if self.pending_stream is stream:
            self.pending_stream = None
            self.redial()
        elif self.stream is stream:
            self.stream = None
            if stream.broken:
                self.count_as_left(stream)
            self.redial()

    def count_as_left(self, stream: PlannerStream) -> None:
        """A stream is broken: for the rules the proxy has left, unless another stream has replaced it."""
        stream.counts_as_joined = False
        if self.stream is stream or self.stream is None:
            self.context.checker.proxy_left(self.number, self.context.now_ms())

    def break_stream(self, stream: PlannerStream) -> None:
        """The stream is reset; at once the proxy counts as left."""
        stream.broken = True
        self.count_as_left(stream)
        if stream.transport is not None:
            stream.transport.reset()

    def make_half_open(self, noticed_after: float) -> None:
        """The stream is half open from now on; neither end is notified."""
        stream = self.stream
        if stream is None or stream.transport is None:
            return
        stream.broken = True
        stream.transport.half_open = True
        stream.transport.peer.half_open = True
        self.count_as_left(stream)
        self.schedule(noticed_after, self.notice_dead_stream, stream)

    def planner_vanished(self, planner: int) -> None:
        """The planner's machine vanished without resets: after a while the proxy notices."""
        if self.stream is not None and self.stream.planner == planner:
            self.schedule(self.random.uniform(*NOTICE_SILENCE_S), self.notice_dead_stream, self.stream)

    def path_cut(self, stream: PlannerStream) -> None:
        """A cut lies on the stream's path: the proxy counts as left, and notices after a while."""
        self.count_as_left(stream)
        self.schedule(self.random.uniform(*NOTICE_SILENCE_S), self.notice_cut, stream)

    def notice_dead_stream(self, stream: PlannerStream) -> None:
        """Find the stream dead, and look for another planner."""
        if self.stream is stream and stream.transport is not None:
            self.stream = None
            stream.transport.abandon()
            self.redial()

    def notice_cut(self, stream: PlannerStream) -> None:
        """Find the stream dead where nothing arrives; a proxy that still hears its planner notices nothing."""
        planner_machine = self.parts.planner_machine(stream.planner)
        network = self.context.network
        hears_nothing = network.is_cut(planner_machine, self.machine)
        if self.stream is stream and hears_nothing and network.is_cut(self.machine, planner_machine):
            stream.broken = True
            self.notice_dead_stream(stream)

    def open_second_stream(self, delay: float) -> None:
        """Open a new stream while what was sent on the old one is still on its way, for `delay` s."""
        former = self.stream
        if former is None or former.transport is None:
            return
        planner_end = former.transport.peer
        planner_end.last_arrival = max(planner_end.last_arrival, self.context.loop.now + delay)
        former.send(*self.take_demand_reports())
        if self.random.random() < SAME_PLANNER_SHARE:
            self.next_planner = former.planner
        self.dial()

    # Incarnations.

    def stop(self) -> None:
        """End the process; its connections are reset."""
        self.stream = None
        self.pending_stream = None
        self.context.checker.proxy_left(self.number, self.context.now_ms())
        self.context.network.kill(self.machine)
        self.context.loop.kill(self.process)

    def start_new_incarnation(self) -> None:
        """Start again on new machines at the same address."""
        host = self.context.network.host_of(self.machine)
        self.context.retired_machines.append(self.machine)
        name = self.machine.name
        self.machine = Machine(name)
        self.process = Machine(name)
        self.context.network.assign_host(host, self.machine)
        self.context.loop.schedule_at(self.context.loop.now, self.process, self.start)

    def start(self) -> None:
        """Begin with only the standing table."""
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
        self.schedule(self.random.uniform(*START_DELAY_S), self.dial_without_stream)
        first_report_ms = self.random.uniform(*FIRST_REPORT) * self.context.shape.report_interval
        self.schedule(first_report_ms / 1000.0, self.send_demand_reports, self.process)

    # Updates.

    def reject_update(self, stream: PlannerStream, reason: str) -> None:
        """An update can't be used: the stream is reset, and the planner is to blame."""
        self.context.checker.report_violation(self.context.now_ms(), Rule.USABLE, reason, stream.planner, self.number)
        if stream.transport is not None:
            stream.transport.abort()
        self.stream_closed(stream)

    def apply(self, stream: PlannerStream, update: ConfigUpdate, entered_at: float) -> None:
        """A message has come out of the channel: all of it is applied, or nothing."""
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
        """Let the checker know for which classes there are servers."""
        now = self.context.now_ms()
        for class_index, name in enumerate(self.class_names):
            self.context.checker.lines_changed(self.number, class_index, not self.state.has_no_servers(name), now)

    # Reports.

    def take_demand_reports(self) -> list[str]:
        """The lines that report the requests since the last report."""
        now = self.context.loop.now
        window_ms = max(1.0, (now - self.reported_at) * 1000.0)
        self.reported_at = now
        return [
            f"RATE id={self.number} lane={demand.class_name} count={demand.requests} "
            f"fail={demand.unserved} over={window_ms:.1f}"
            for demand in self.forwarder.take_demand()
        ]

    def send_demand_reports(self, process: Machine) -> None:
        """Report once an interval, as long as the process is the one that began to."""
        if process is not self.process:
            return
        if self.stream is not None:
            self.parts.reports.send(self.machine, self.stream, self.take_demand_reports())
        self.schedule(self.context.shape.report_interval / 1000.0, self.send_demand_reports, process)
