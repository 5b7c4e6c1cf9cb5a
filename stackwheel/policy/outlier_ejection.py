"""Outlier ejection: a server that fails far more than the others is left a trickle for some time."""

from __future__ import annotations

from stackwheel.interface import Settings
from stackwheel.policy.arithmetic import median
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.servers import ServerPool, ServerView

MIN_FAILURE_SHARE = 0.3
"""Of attempts: a server that fails less often is no outlier."""

OUTLIER_MULTIPLE = 3
"""Times the median share of failures: one that fails less often has the fault that all have."""

UNCONDITIONAL_FAILURE_SHARE = 0.8
"""Of attempts: over this a server is ejected whatever its answers' latency."""

OVERLOAD_LATENCY_MULTIPLE = 2.0
"""Times the median latency of good answers: slower ones show load, and such a server just gets less."""

MAX_EJECTED_SHARE = 0.4
"""Of the ready servers (the panic threshold): beyond it an ejection would overload the others."""

MIN_EJECTION_INTERVALS = 3.0
MAX_EJECTION_INTERVALS = 16.0
"""Report intervals of a first ejection, and of the longest; each one lasts twice as long as the last."""


class OutlierEjection:
    """Judges the ready servers once a slot."""

    def __init__(self, settings: Settings, pool: ServerPool, estimates: LoadEstimates) -> None:
        self.pool = pool
        self.estimates = estimates
        self.report_interval = settings.report_interval

    def update_ejections(self, now: float) -> bool:
        """Take back servers whose time is over and eject outliers, the worst first; whether any was ejected."""
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
        """Leave a server a trickle, for twice as long as the last time."""
        view.ejection_intervals = min(MAX_EJECTION_INTERVALS, max(MIN_EJECTION_INTERVALS, 2 * view.ejection_intervals))
        view.ejected_until = now + view.ejection_intervals * self.report_interval

    def restore(self, view: ServerView) -> None:
        """Forget what a server was ejected for; the slots' capped steps give it its share back."""
        view.ejected_until = 0.0
        view.failure_share = 0.0
        view.latency = None
        view.success_latency = None
        view.latency_by_zone = dict.fromkeys(view.latency_by_zone, self.estimates.median_latency())

    def is_outlier(self, view: ServerView) -> bool:
        """Whether a server that fails is at fault itself: its good answers are quick, or there are hardly any."""
        if view.failure_share > UNCONDITIONAL_FAILURE_SHARE or view.success_latency is None:
            return True
        known = [other.success_latency for other in self.pool.views.values() if other.success_latency]
        return view.success_latency < OVERLOAD_LATENCY_MULTIPLE * median(known)
