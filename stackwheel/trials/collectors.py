"""Collectors: they report to a planner how servers answered the proxies of one zone."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from stackwheel.trials.context import SimulationContext
from stackwheel.trials.fleet import ServerFleet
from stackwheel.trials.line_protocol import LineProtocol
from stackwheel.trials.loop import Machine
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.proxy_requests import ServerStatistics
from stackwheel.trials.reports import ReportPath

MAX_LINES_PER_REPORT = 300
MAX_PENDING_LINES = 20 * MAX_LINES_PER_REPORT
MIN_REDIAL_DELAY_S = 0.5  # The actual delay is longer by a random time of up to 1 s.
LOAD_REPORT_DELAY_S = 0.3  # Delay of load reports in addition to the delay of all reports.


class Collector(LineProtocol):
    """A connection that sends the load reports of one zone to one planner.

    Attributes:
        pending_lines: Lines that are not sent yet, the oldest first.
    """

    def __init__(
        self,
        context: SimulationContext,
        fleet: ServerFleet,
        reports: ReportPath,
        proxies: Sequence[Proxy],
        machine: Machine,
        zone: int,
        planner: PlannerHost,
    ) -> None:
        super().__init__()
        self.context = context
        self.fleet = fleet
        self.reports = reports
        self.proxies = proxies
        self.machine = machine
        self.zone = zone
        self.planner = planner
        self.pending_lines: deque[str] = deque(maxlen=MAX_PENDING_LINES)

    def dial(self) -> None:
        """Connect to the planner."""
        self.context.network.dial(self.machine, self.planner.address, self)

    def opened(self) -> None:
        """Send the first line of the connection, which names the zone."""
        self.partial_line = b""
        self.send(f"SOURCE site={self.context.zones[self.zone]}")

    def closed(self) -> None:
        """Schedule the next dial after the connection has ended."""
        self.transport = None
        loop = self.context.loop
        loop.schedule_at(loop.now + MIN_REDIAL_DELAY_S + self.context.random.random(), self.machine, self.dial)

    def send_load_reports(self) -> None:
        """Send a load report of at most `MAX_LINES_PER_REPORT` lines and schedule the next one."""
        interval_ms = self.context.shape.report_interval
        self.pending_lines.extend(
            self.report_line(name, statistics, interval_ms)
            for name, statistics in self.take_statistics_by_server().items()
        )
        count = min(len(self.pending_lines), MAX_LINES_PER_REPORT)
        lines = [self.pending_lines.popleft() for _ in range(count)]
        if lines:
            self.reports.send(self.machine, self, lines, LOAD_REPORT_DELAY_S)
        loop = self.context.loop
        loop.schedule_at(loop.now + interval_ms / 1000.0, self.machine, self.send_load_reports)

    def take_statistics_by_server(self) -> dict[str, ServerStatistics]:
        """Return and reset the statistics of the zone's proxies that are joined to the planner, summed by server."""
        sums: dict[str, ServerStatistics] = {}
        for proxy in self.proxies:
            if proxy.zone != self.zone or not proxy.forwarder.statistics or not self.is_joined_to_planner(proxy):
                continue
            for name, statistics in proxy.forwarder.take_statistics().items():
                total = sums.setdefault(name, ServerStatistics())
                total.attempts += statistics.attempts
                total.failures += statistics.failures
                total.total_ms += statistics.total_ms
        return sums

    def is_joined_to_planner(self, proxy: Proxy) -> bool:
        """Return whether a proxy has its stream to the planner of this collector."""
        return proxy.stream is not None and proxy.stream.planner == self.planner.number

    def report_line(self, name: str, statistics: ServerStatistics, interval_ms: float) -> str:
        """Return the line of a load report for one server."""
        in_flight = self.fleet.in_flight(name)
        columns = "" if in_flight is None else f" util=inflight:{in_flight}"
        return (
            f"LOAD site={self.context.zones[self.zone]} target={name} "
            f"count={int(statistics.attempts)} fail={int(statistics.failures)} "
            f"mean={statistics.mean_ms():.1f} over={interval_ms:.1f}{columns}"
        )
