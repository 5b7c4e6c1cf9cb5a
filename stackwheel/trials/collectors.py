"""Collectors: they pass on to a planner what the proxies of one zone met at servers."""

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

MAX_LINES_PER_REPORT = 300  # the oldest first
MAX_PENDING_LINES = 20 * MAX_LINES_PER_REPORT
REDIAL_BASE_S = 0.5  # after the connection has ended; up to 1 s more
EXTRA_DELAY_S = 0.3  # of load reports, beyond the delay of others


class Collector(LineProtocol):
    """The connection for one zone's load reports to one planner."""

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
        """The connection is open."""
        self.partial_line = b""
        self.send(f"SOURCE site={self.context.zones[self.zone]}")

    def closed(self) -> None:
        """The connection has ended; dial again after a while."""
        self.transport = None
        loop = self.context.loop
        loop.schedule_at(loop.now + REDIAL_BASE_S + self.context.random.random(), self.machine, self.dial)

    def send_load_reports(self) -> None:
        """Report, once an interval, what the planner's proxies of this zone saw of servers, at most so many lines."""
        interval_ms = self.context.shape.report_interval
        self.pending_lines.extend(
            self.report_line(name, statistics, interval_ms) for name, statistics in self.take_sums().items()
        )
        count = min(len(self.pending_lines), MAX_LINES_PER_REPORT)
        lines = [self.pending_lines.popleft() for _ in range(count)]
        if lines:
            self.reports.send(self.machine, self, lines, EXTRA_DELAY_S)
        loop = self.context.loop
        loop.schedule_at(loop.now + interval_ms / 1000.0, self.machine, self.send_load_reports)

    def take_sums(self) -> dict[str, ServerStatistics]:
        """Take the statistics of all proxies of the zone that are joined to the planner, summed by server."""
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
        """Whether a proxy has its stream to this collector's planner."""
        return proxy.stream is not None and proxy.stream.planner == self.planner.number

    def report_line(self, name: str, statistics: ServerStatistics, interval_ms: float) -> str:
        """The line that reports one server."""
        in_flight = self.fleet.in_flight(name)
        columns = "" if in_flight is None else f" util=inflight:{in_flight}"
        return (
            f"LOAD site={self.context.zones[self.zone]} target={name} "
            f"count={int(statistics.attempts)} fail={int(statistics.failures)} "
            f"mean={statistics.mean_ms():.1f} over={interval_ms:.1f}{columns}"
        )
