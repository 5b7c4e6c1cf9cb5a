"""Estimates from load reports: latency, attempt rate, failures and a server's own load, and how they fade."""

from __future__ import annotations

import math

from stackwheel.interface import HealthCheckOutcome, HealthCheckResult, LoadReport, Settings
from stackwheel.policy.arithmetic import MAX_RATE_PER_S, clamp, exponential_average, median
from stackwheel.policy.servers import ServerPool, ServerView, ZoneReport

RATE_GAIN = 0.5
"""Step of an attempt rate or a load figure to its newest value."""

LATENCY_HALF_GAIN_ATTEMPTS = 10.0
"""Attempts in a report that move a latency half of the way."""

FAILURE_HALF_GAIN_ATTEMPTS = 8.0
"""Attempts in a report that move the share of failures half of the way."""

FAILURE_LATENCY_OBJECTIVES = 2.0
"""A failed attempt counts as an answer this late, in latency objectives: a quick error must not attract load."""

UNCONFIRMED_LATENCY_GAIN = 0.1
"""A slot's drift of a server that no valid report confirms, to the median latency of all servers."""

UNCONFIRMED_ZONE_GAIN = 0.2
"""The same of one zone's figures, to the server's own latency; its rate falls by as much."""

QUICK_LATENCY_MULTIPLE = 1.3
"""Answers within so many times the quickest median latency show no load."""

LOWEST_LATENCY_DRIFT = 0.01
"""A slot's rise of the quickest latency, so that an old record is forgotten."""

REPORT_VALIDITY_WINDOWS = 2.0
"""Windows for which a report is valid: the next one may come that late."""

REPORT_WINDOW_GAIN = 0.05
"""Step of the average report window to the newest."""

MAX_REPORT_WINDOW_MS = 1e6
"""Longer windows count as this."""


class LoadEstimates:
    """Keeps every server's averages; what nobody confirms drifts to the average of all."""

    def __init__(self, settings: Settings, pool: ServerPool) -> None:
        self.pool = pool
        self.load_columns = settings.load_columns
        objectives = sum(wanted.latency_objective for wanted in settings.classes)
        self.mean_objective_ms = objectives / max(1, len(settings.classes))
        self.lowest_latency = 0.0
        """The lowest that the median latency has been, in ms; 0 before the first slot with reports."""
        self.mean_report_window = 0.0
        """Average window of a load report, in ms."""

    def record(self, report: LoadReport, now: float) -> bool:
        """Take in a load report; False where it is of no use."""
        view = self.pool.views.get(report.server)
        attempts = report.attempts
        if view is None or attempts <= 0 or not 0 < report.window < math.inf:
            return False
        self.mean_report_window = exponential_average(
            self.mean_report_window, min(report.window, MAX_REPORT_WINDOW_MS), REPORT_WINDOW_GAIN
        )
        failed = min(report.failures, attempts) / attempts
        failure_ms = FAILURE_LATENCY_OBJECTIVES * self.mean_objective_ms
        success_ms = clamp(report.mean_latency, 0.0, failure_ms)
        latency = success_ms * (1 - failed) + failure_ms * failed
        gain = attempts / (attempts + LATENCY_HALF_GAIN_ATTEMPTS)
        zone = report.zone
        view.latency = exponential_average(view.latency, latency, gain)
        view.latency_by_zone[zone] = exponential_average(view.latency_by_zone.get(zone), latency, gain)
        rate = min(MAX_RATE_PER_S, attempts * 1000.0 / report.window)
        view.attempt_rates[zone] = exponential_average(view.attempt_rates.get(zone), rate, RATE_GAIN)
        view.failure_share = exponential_average(
            view.failure_share, failed, attempts / (attempts + FAILURE_HALF_GAIN_ATTEMPTS)
        )
        if failed < 1.0:
            view.success_latency = exponential_average(view.success_latency, success_ms, gain)
        self.record_load(view, report.load)
        if failed < 1.0 and success_ms < QUICK_LATENCY_MULTIPLE * self.lowest_latency:
            latency = success_ms  # what is lost beside quick answers is no sign of load
        valid_until = now + REPORT_VALIDITY_WINDOWS * report.window
        view.zone_reports[zone] = ZoneReport(valid_until, latency, rate, rate * (1 - failed))
        return True

    def record_load(self, view: ServerView, load: tuple[float, ...]) -> None:
        """Take in a server's own figures, in the order of the settings' load columns."""
        stated = zip(self.load_columns, load, strict=False)
        usable = {column: figure for column, figure in stated if 0 <= figure < math.inf}
        view.load.update(
            {column: exponential_average(view.load.get(column), figure, RATE_GAIN) for column, figure in usable.items()}
        )

    def record_health_check(self, result: HealthCheckResult, now: float) -> None:
        """Take in a health check that brought load figures, or showed that the server takes no more."""
        view = self.pool.views.get(result.server)
        if view is None:
            return
        is_saturated = result.outcome in (HealthCheckOutcome.REJECTED, HealthCheckOutcome.TIMEOUT)
        if result.load or is_saturated:
            view.is_saturated = is_saturated
            view.load_checked_at = now
            self.record_load(view, result.load)

    def median_latency(self) -> float:
        """Median latency of the servers in ms; half of the latency objective before any report."""
        known = [view.latency for view in self.pool.views.values() if view.latency]
        return median(known) or 0.5 * self.mean_objective_ms

    def decay_unconfirmed(self, median_latency_ms: float, now: float) -> None:
        """Move figures without a valid report towards the median: silence is neither health nor a failure."""
        for view in self.pool.views.values():
            reports = {zone: report for zone, report in view.zone_reports.items() if report.valid_until > now}
            view.zone_reports = reports
            if not reports and view.latency is not None:
                view.latency = exponential_average(view.latency, median_latency_ms, UNCONFIRMED_LATENCY_GAIN)
            for zone, latency in view.latency_by_zone.items():
                if zone not in reports:
                    view.attempt_rates[zone] *= 1 - UNCONFIRMED_ZONE_GAIN
                    target = view.latency or median_latency_ms
                    view.latency_by_zone[zone] = exponential_average(latency, target, UNCONFIRMED_ZONE_GAIN)

    def update_lowest_latency(self, median_latency_ms: float) -> None:
        """Follow the lowest median latency."""
        known = self.lowest_latency
        self.lowest_latency = min(median_latency_ms, known * (1 + LOWEST_LATENCY_DRIFT)) if known else median_latency_ms
