"""Estimates from load reports: latency, attempt rate, failures and load figures of servers.

Estimates without a valid (recent) load report approach the median of all servers from slot to slot.
"""

from __future__ import annotations

import math

from stackwheel.interface import HealthCheckOutcome, HealthCheckResult, LoadReport, Settings
from stackwheel.policy.arithmetic import MAX_RATE_PER_S, clamp, exponential_average, median
from stackwheel.policy.demand import DemandTracker
from stackwheel.policy.plausibility import MAX_GROWTH, FigureLimiter, limit_figure, rate_allowance
from stackwheel.policy.servers import ServerPool, ServerView, ZoneReport

RATE_GAIN = 0.5
"""Smoothing factor of attempt rates and load figures, per report."""

LATENCY_HALF_GAIN_ATTEMPTS = 10.0
"""Number of attempts in a report with which the smoothing factor of the latency is 0.5."""

FAILURE_HALF_GAIN_ATTEMPTS = 8.0
"""Number of attempts in a report with which the smoothing factor of the failure share is 0.5."""

FAILURE_LATENCY_OBJECTIVES = 2.0
"""Assumed latency of a failed attempt, in latency objectives, so that fast errors do not attract load."""

UNCONFIRMED_LATENCY_GAIN = 0.1
"""Smoothing factor, per slot, by which the latency of a server without a valid report approaches the median latency."""

UNCONFIRMED_ZONE_GAIN = 0.2
"""Smoothing factor, per slot, of the estimates of a server for a zone whose proxies have sent no valid report.

The latency for the zone approaches the server's latency over all zones, and the attempt rate of the zone approaches 0.
"""

QUICK_LATENCY_MULTIPLE = 1.3
"""Multiple of the lowest median latency below which latency does not indicate load."""

LOWEST_LATENCY_DRIFT = 0.01
"""Relative increase of the lowest median latency per slot, so that it adapts to a permanent change of the latency."""

REPORT_VALIDITY_WINDOWS = 2.0
"""Time for which a report is valid, as a multiple of its window; the next report may come that late."""

REPORT_WINDOW_GAIN = 0.05
"""Smoothing factor of the mean report window, per report."""

EXPECTED_WINDOW_INTERVALS = 4.0
"""Minimum expected window of a report, in report intervals; what a report covers adds up while reports are delayed."""

MAX_UTILIZATION = 2.0
"""Maximum utilization with which a report counts; reports are noisy, so that a busy server may report more than 1."""

MAX_STALL_GROWTH = 16.0
"""Maximum ratio of another load figure to the expected one; a server that stalls collects requests within a report."""

STALL_ALLOWANCE = 64.0
"""Amount by which such a load figure may exceed the maximum ratio; requests, for the columns that count them."""


class LoadEstimates:
    """Updates the moving averages of all servers; averages without recent reports approach the median of all servers.

    Attributes:
        mean_objective_ms: mean latency objective of the request classes.
        lowest_latency: lowest median latency so far, ms; 0 before the first slot with reports.
        mean_report_window: moving average of the windows of load reports, ms.
        even_shares: results of `even_share` in this slot, by zone; few reports need them.
        median_loads: results of `median_load` in this slot, by load column; few reports need them.
    """

    def __init__(self, settings: Settings, pool: ServerPool, demand: DemandTracker, limiter: FigureLimiter) -> None:
        self.pool = pool
        self.demand = demand
        self.limiter = limiter
        self.min_expected_window = EXPECTED_WINDOW_INTERVALS * settings.report_interval
        self.rate_allowance = rate_allowance(settings.report_interval)
        self.even_shares: dict[int, float] = {}
        self.load_columns = settings.load_columns
        self.median_loads: dict[str, float] = {}
        objectives = sum(requirements.latency_objective for requirements in settings.classes)
        self.mean_objective_ms = objectives / max(1, len(settings.classes))
        self.lowest_latency = 0.0
        self.mean_report_window = 0.0

    def record(self, report: LoadReport, now: float) -> bool:
        """Update the averages with a load report, and return whether it is usable."""
        view = self.pool.views.get(report.server)
        attempts = report.attempts
        if view is None or attempts <= 0 or not 0 < report.window < math.inf:
            return False
        window_ms = limit_figure(report.window, max(self.min_expected_window, self.mean_report_window))
        self.mean_report_window = exponential_average(self.mean_report_window, window_ms, REPORT_WINDOW_GAIN)
        reported_rate = attempts * 1000.0 / report.window
        rate = min(MAX_RATE_PER_S, self.limit_rate(view, report.zone, reported_rate, now))
        failed_share = min(report.failures, attempts) / attempts
        failure_ms = FAILURE_LATENCY_OBJECTIVES * self.mean_objective_ms
        success_ms = clamp(report.mean_latency, 0.0, failure_ms)
        latency = success_ms * (1 - failed_share) + failure_ms * failed_share
        counted_attempts = attempts * (rate / reported_rate)
        gain = counted_attempts / (counted_attempts + LATENCY_HALF_GAIN_ATTEMPTS)
        zone = report.zone
        view.latency = exponential_average(view.latency, latency, gain)
        view.latency_by_zone[zone] = exponential_average(view.latency_by_zone.get(zone), latency, gain)
        view.attempt_rates[zone] = exponential_average(view.attempt_rates.get(zone), rate, RATE_GAIN)
        view.failure_share = exponential_average(
            view.failure_share, failed_share, counted_attempts / (counted_attempts + FAILURE_HALF_GAIN_ATTEMPTS)
        )
        if failed_share < 1.0:
            view.success_latency = exponential_average(view.success_latency, success_ms, gain)
        self.record_load(view, report.load)
        if failed_share < 1.0 and success_ms < QUICK_LATENCY_MULTIPLE * self.lowest_latency:
            latency = success_ms  # failures do not indicate load while the other attempts are fast
        valid_until = now + REPORT_VALIDITY_WINDOWS * window_ms
        view.zone_reports[zone] = ZoneReport(valid_until, latency, rate, rate * (1 - failed_share))
        return True

    def limit_rate(self, view: ServerView, zone: int, reported_rate: float, now: float) -> float:
        """Return the reported attempts per second of a zone's proxies at a server, limited to what is plausible.

        The expected rate is that of the earlier reports, or an even share of the zone's demand if that is higher.
        """
        usual_rate = MAX_GROWTH * view.attempt_rates.get(zone, 0.0) + self.rate_allowance
        if reported_rate <= usual_rate:
            return reported_rate
        highest = MAX_GROWTH * self.even_share(zone, now) + self.rate_allowance
        return self.limiter.limit(reported_rate, max(usual_rate, highest))

    def even_share(self, zone: int, now: float) -> float:
        """Return the demand of a zone in this slot, divided by the number of ready servers, requests per second."""
        if zone not in self.even_shares:
            demand = sum(self.demand.rates_by_class(now, zone))
            self.even_shares[zone] = demand / max(1, len(self.pool.ready()))
        return self.even_shares[zone]

    def record_load(self, view: ServerView, load: tuple[float, ...]) -> None:
        """Update the load figures of a server; they are in the order of the load columns in the settings."""
        for column, reported in zip(self.load_columns, load, strict=False):
            if 0 <= reported < math.inf:
                figure = self.limit_load(view, column, reported)
                view.load[column] = exponential_average(view.load.get(column), figure, RATE_GAIN)

    def limit_load(self, view: ServerView, column: str, reported: float) -> float:
        """Return a load figure that a server reports, limited to what is plausible.

        The expected figure is that of the server's earlier reports, or the median of all servers if that is higher.
        """
        if column == "utilization":
            return self.limiter.limit(reported, MAX_UTILIZATION)
        usual_load = MAX_STALL_GROWTH * view.load.get(column, 0.0) + STALL_ALLOWANCE
        if reported <= usual_load:
            return reported
        highest = MAX_STALL_GROWTH * self.median_load(column) + STALL_ALLOWANCE
        return self.limiter.limit(reported, max(usual_load, highest))

    def median_load(self, column: str) -> float:
        """Return the median of a load figure over the servers that have reported it."""
        if column not in self.median_loads:
            loads = [view.load[column] for view in self.pool.views.values() if column in view.load]
            self.median_loads[column] = median(loads)
        return self.median_loads[column]

    def record_health_check(self, result: HealthCheckResult, now: float) -> None:
        """Update a server after a health check that returned load figures or showed that the server is saturated."""
        view = self.pool.views.get(result.server)
        if view is None:
            return
        is_saturated = result.outcome in (HealthCheckOutcome.REJECTED, HealthCheckOutcome.TIMEOUT)
        if result.load or is_saturated:
            view.is_saturated = is_saturated
            view.load_checked_at = now
            self.record_load(view, result.load)

    def median_latency(self) -> float:
        """Return the median latency of the servers, ms; half of the mean objective if no latency is known."""
        latencies = [view.latency for view in self.pool.views.values() if view.latency]
        return median(latencies) or 0.5 * self.mean_objective_ms

    def decay_unconfirmed(self, median_latency_ms: float, now: float) -> None:
        """Remove expired reports, and move latencies without a valid report towards the median of all servers."""
        self.even_shares.clear()
        self.median_loads.clear()
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
        """Update the lowest median latency, once per slot."""
        lowest = self.lowest_latency
        self.lowest_latency = (
            min(median_latency_ms, lowest * (1 + LOWEST_LATENCY_DRIFT)) if lowest else median_latency_ms
        )
