"""Outlier ejection: servers that fail far more often than others receive little traffic for a limited time."""

from __future__ import annotations

from stackwheel.interface import Settings
from stackwheel.policy.arithmetic import median
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.servers import ServerPool, ServerView

MIN_FAILURE_SHARE = 0.3
"""Share of failed attempts up to which a server is not ejected."""

OUTLIER_MULTIPLE = 3
"""Multiple of the median failure share up to which a server is not ejected, because its fault is one that all have."""

UNCONDITIONAL_FAILURE_SHARE = 0.8
"""Share of failed attempts above which a server is ejected regardless of its latency."""

OVERLOAD_LATENCY_MULTIPLE = 2.0
"""Multiple of the median latency of successful attempts from which failures are attributed to overload.

An overloaded server is not ejected; it gets a smaller share because of its latency.
"""

MAX_EJECTED_SHARE = 0.4
"""Maximum share of the ready servers that is ejected (panic threshold), so that the others are not overloaded."""

MIN_EJECTION_INTERVALS = 3.0
MAX_EJECTION_INTERVALS = 16.0
"""Duration of a server's first and longest ejection, in report intervals; each is twice as long as the one before."""


class OutlierEjection:
    """Ejects outliers among the ready servers, and restores them after the duration of their ejection."""

    def __init__(self, settings: Settings, pool: ServerPool, estimates: LoadEstimates) -> None:
        self.pool = pool
        self.estimates = estimates
        self.report_interval = settings.report_interval

    def update_ejections(self, now: float) -> bool:
        """Restore servers whose ejection has ended, and eject outliers, those with the most failures first.

        Returns:
            Whether a server was ejected.
        """
        ready = self.pool.ready()
        ejected = sum(1 for view in ready if view.is_ejected(now))
        median_failure_share = median([view.failure_share for view in ready if view.attempt_rate > 0])
        threshold = max(MIN_FAILURE_SHARE, OUTLIER_MULTIPLE * median_failure_share)
        any_ejected = False
        for view in sorted(ready, key=lambda view: (-view.failure_share, view.entry.server)):
            if view.is_ejected(now):
                continue
            if view.ejected_until:
                self.restore(view)
            elif (
                view.failure_share > threshold
                and self.is_outlier(view)
                and ejected + 1 <= MAX_EJECTED_SHARE * len(ready)
            ):
                self.eject(view, now)
                any_ejected = True
                ejected += 1
        return any_ejected

    def eject(self, view: ServerView, now: float) -> None:
        """Eject a server for twice as long as the last time."""
        view.ejection_intervals = min(MAX_EJECTION_INTERVALS, max(MIN_EJECTION_INTERVALS, 2 * view.ejection_intervals))
        view.ejected_until = now + view.ejection_intervals * self.report_interval

    def restore(self, view: ServerView) -> None:
        """End an ejection and reset the estimates that led to it; the server's share then grows in limited steps."""
        view.ejected_until = 0.0
        view.failure_share = 0.0
        view.latency = None
        view.success_latency = None
        view.latency_by_zone = dict.fromkeys(view.latency_by_zone, self.estimates.median_latency())

    def is_outlier(self, view: ServerView) -> bool:
        """Return whether a server's failures are attributed to the server itself and not to overload.

        This is the case if most attempts fail, if no attempt has succeeded, or if the successful attempts are fast.
        """
        if view.failure_share > UNCONDITIONAL_FAILURE_SHARE or view.success_latency is None:
            return True
        latencies = [other.success_latency for other in self.pool.views.values() if other.success_latency]
        return view.success_latency < OVERLOAD_LATENCY_MULTIPLE * median(latencies)
