"""Slow start: the capacity that a recently started server surely has, and when it gets no requests."""

from __future__ import annotations

from stackwheel.interface import EndpointEntry, Settings
from stackwheel.policy.arithmetic import clamp

WARMING_LOAD_SHARE = 0.22
"""Of `overload_multiple`: a warming server's load stays under this multiple of its present capacity.

Several planners that see a server return at once must not overload it together.
"""

MIN_REPORTED_SHARE = 0.3
"""Of the demand: while load reports cover less, the state of the warm servers is unknown; warming ones get nothing."""

EXCLUSION_LATENCY_MULTIPLE = 1.75
"""Times the quickest latency: slower than this, proxies may soon avoid all warm servers."""


class SlowStart:
    """How far servers have warmed up by now, by the settings' slow start."""

    def __init__(self, settings: Settings) -> None:
        self.min_share = settings.slow_start_min_share
        self.duration_ms = settings.slow_start_duration
        self.warming_utilization = WARMING_LOAD_SHARE * settings.overload_multiple
        self.proxies_avoid_servers = settings.consecutive_failure_limit > 0

    def available_share(self, entry: EndpointEntry, now: float) -> float:
        """The share of its full capacity that a server surely has by now; 1 once it is warm."""
        if entry.started_at <= 0 or self.duration_ms <= 0:
            return 1.0
        progress = clamp((now - entry.started_at) / self.duration_ms, 0.0, 1.0)
        return self.min_share + (1.0 - self.min_share) * progress

    def excludes_warming(
        self,
        reported_per_s: float,
        demand_per_s: float,
        admitted_share: float,
        median_latency_ms: float,
        lowest_ms: float,
    ) -> bool:
        """Whether warming servers get nothing while a class has warm ones.

        That is so while load reports cover too little of the traffic to tell how the warm servers are, and while those
        are slow and proxies avoid servers after consecutive failures: all traffic would turn to the warming ones.

        Args:
            reported_per_s: attempts a second that load reports count.
            demand_per_s: requests a second that proxies get.
            admitted_share: of those, the part that is not shed.
            median_latency_ms: median latency of the servers.
            lowest_ms: the lowest it has been.
        """
        too_few_reports = reported_per_s < MIN_REPORTED_SHARE * admitted_share * demand_per_s
        slow = median_latency_ms > EXCLUSION_LATENCY_MULTIPLE * lowest_ms
        return too_few_reports or (self.proxies_avoid_servers and slow)
