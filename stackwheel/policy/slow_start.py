"""Slow start: available capacity of recently started servers, and conditions under which they get no requests."""

from __future__ import annotations

from stackwheel.interface import EndpointEntry, Settings
from stackwheel.policy.arithmetic import clamp

WARMING_LOAD_SHARE = 0.22
"""Maximum load of a warming server, as a share of the load above which it is overloaded.

The margin prevents several planners from overloading a server together when it returns.
"""

MIN_REPORTED_SHARE = 0.3
"""Minimum share of the demand that load reports have to cover for the state of the warm servers to be known."""

EXCLUSION_LATENCY_MULTIPLE = 1.75
"""Multiple of the lowest latency above which proxies may soon avoid all warm servers."""


class SlowStart:
    """Slow start according to the settings.

    Attributes:
        min_share: share of its full capacity that a server has when it starts.
        duration_ms: time until a started server has its full capacity.
        warming_utilization: maximum load of a warming server, as a multiple of its available capacity.
        proxies_avoid_servers: whether proxies avoid servers after consecutive failures.
    """

    def __init__(self, settings: Settings) -> None:
        self.min_share = settings.slow_start_min_share
        self.duration_ms = settings.slow_start_duration
        self.warming_utilization = WARMING_LOAD_SHARE * settings.overload_multiple
        self.proxies_avoid_servers = settings.consecutive_failure_limit > 0

    def available_share(self, entry: EndpointEntry, now: float) -> float:
        """Return the share of its full capacity that a server has; 1 if it is warm."""
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
        """Return whether warming servers get no requests of classes that also have warm servers.

        This is the case while load reports cover too little of the traffic for the state of the warm servers to be
        known. It is also the case while these are slow and proxies avoid servers after consecutive failures, because
        all traffic could then move to the warming servers.

        Args:
            reported_per_s: attempts per second according to load reports.
            demand_per_s: requests per second that proxies receive.
            admitted_share: share of these requests that is not shed.
            median_latency_ms: median latency of the servers.
            lowest_ms: lowest median latency so far.
        """
        has_too_few_reports = reported_per_s < MIN_REPORTED_SHARE * admitted_share * demand_per_s
        is_slow = median_latency_ms > EXCLUSION_LATENCY_MULTIPLE * lowest_ms
        return has_too_few_reports or (self.proxies_avoid_servers and is_slow)
