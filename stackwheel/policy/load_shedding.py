"""Load shedding: the share of demand that servers cannot answer in time, and the corresponding admission levels."""

from __future__ import annotations

import math

from stackwheel.interface import AdmissionLevel, Retry, Settings
from stackwheel.policy.arithmetic import clamp, median
from stackwheel.policy.demand import MIN_DEMAND_PER_S, DemandTracker
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.peer_planners import PeerPlanners
from stackwheel.policy.proxies import ProxyView
from stackwheel.policy.servers import ServerPool, ZoneReport
from stackwheel.policy.tables import Table

# Detection of overload
SLOW_LATENCY_OBJECTIVES = 0.3
"""Median latency above which servers count as overloaded, as a share of the mean latency objective."""

SLOW_LATENCY_MULTIPLE = 1.7
"""Median latency above which servers count as overloaded, as a multiple of the lowest latency.

Both this limit and `SLOW_LATENCY_OBJECTIVES` have to be exceeded.
"""

HEALTH_CHECK_VALIDITY_INTERVALS = 3.0
"""Number of report intervals for which the load figures of a health check are used."""

# Share of demand to shed
ADMITTED_UTILIZATION = 0.92
"""Share of the available capacity up to which demand is admitted.

If servers report their utilization, it always applies to their known capacity. While latency indicates overload, it
also applies to the rate of answered requests.
"""

SHED_GAIN = 0.5
"""Smoothing factor, per slot, by which the shed share approaches the share of unanswered requests during overload."""

SHED_RECOVERY_GAIN = 0.2
"""Fraction of the shed share plus `SHED_RECOVERY_OFFSET` by which the shed share falls in a slot without overload."""

SHED_RECOVERY_OFFSET = 0.1
"""Number that is added to the shed share to compute its reduction, so that it reaches 0 in a few slots."""

MAX_SHED_SHARE = 0.95
"""Maximum share of all demand that is shed; the rest is needed to detect the end of the overload."""

# Admission levels
MIN_ADMITTED_SHARE = 0.05
"""Minimum admitted share of a class, which is needed to detect the end of the overload."""

ADMIT_ALL_SHARE = 0.99
"""Admitted share from which a class is admitted completely."""

NO_RATE_LIMIT_PER_S = 1e6
"""Admission level without a limit in admission mode "rate", requests per second per proxy."""

LEVEL_CHANGE_SHARE = 0.1
"""Relative change of an admission level up to which the change is not sent."""

RETRY_MODE = Retry.ONCE_IF_NOT_EXECUTED
"""Retry mode of all classes; it is safe without idempotency and limits the load from retries during overload.

Retries after any failure doubled the load just when there were too few servers.
"""


class LoadShedding:
    """Determines the share of demand to shed and the admission level of each class.

    Classes with the lowest priority weight are shed first.

    Attributes:
        limits_rate: whether admission levels are rates instead of shares.
        priority_weights: priority weights of the classes.
        health_check_validity_ms: time for which the load figures of a health check are used.
        shed_share: share of the demand of all classes that is shed.
    """

    def __init__(
        self,
        settings: Settings,
        pool: ServerPool,
        proxies: dict[int, ProxyView],
        demand: DemandTracker,
        peers: PeerPlanners,
        estimates: LoadEstimates,
    ) -> None:
        self.pool = pool
        self.proxies = proxies
        self.demand = demand
        self.peers = peers
        self.estimates = estimates
        self.limits_rate = settings.admission_mode == "rate"
        self.priority_weights = [requirements.priority_weight for requirements in settings.classes]
        self.health_check_validity_ms = HEALTH_CHECK_VALIDITY_INTERVALS * settings.report_interval
        self.shed_share = 0.0

    def update(self, now: float) -> None:
        """Update the shed share, once per slot.

        Demand beyond the known capacity is shed, and during overload also the share of unanswered requests.
        """
        reports = [
            report
            for view in self.pool.views.values()
            if not view.is_ejected(now)
            for report in view.zone_reports.values()
        ]
        # The newest reports show the end of an overload sooner than moving averages.
        answered = sum(report.answers_per_s for report in reports)
        demand = max(MIN_DEMAND_PER_S, self.demand.total_rate(now))
        slow_ms = max(
            SLOW_LATENCY_OBJECTIVES * self.estimates.mean_objective_ms,
            SLOW_LATENCY_MULTIPLE * self.estimates.lowest_latency,
        )
        if self.traffic_latency(reports, now) > slow_ms:
            self.shed_share += SHED_GAIN * max(0.0, 1.0 - ADMITTED_UTILIZATION * answered / demand - self.shed_share)
        else:
            self.shed_share -= SHED_RECOVERY_GAIN * (SHED_RECOVERY_OFFSET + self.shed_share)
        excess_share = 1.0 - ADMITTED_UTILIZATION * self.known_capacity(now) / demand
        self.shed_share = clamp(max(0.0, self.shed_share), excess_share, MAX_SHED_SHARE)

    def traffic_latency(self, reports: list[ZoneReport], now: float) -> float:
        """Return the median latency of the traffic, ms, from recent health checks or else from valid load reports."""
        checked_after = now - self.health_check_validity_ms
        checked = [view for view in self.pool.ready() if view.load_checked_at > checked_after]
        if checked:
            # The latency of a server follows from its outstanding requests and its capacity.
            return median(
                [
                    math.inf
                    if view.is_saturated
                    else view.load.get("outstanding", 0.0)
                    * 1000.0
                    / (view.capacity * self.pool.available_share(view, now))
                    for view in checked
                ]
            )
        return median([report.latency_ms for report in reports], [report.attempts_per_s for report in reports])

    def known_capacity(self, now: float) -> float:
        """Return the capacity of servers that are not ejected, less their load from peer planners, requests per second.

        It is infinite if no server reports its utilization.
        """
        usable = [view for view in self.pool.ready() if not view.is_ejected(now)]
        if not any("utilization" in view.load for view in usable):
            return math.inf
        return sum(
            max(0.0, view.capacity * self.pool.available_share(view, now) - self.peers.peer_rate(view, now))
            for view in usable
        )

    def admitted_shares(self, now: float) -> list[float]:
        """Return the admitted share of each class; classes with equal priority weights have equal shares."""
        demand = self.demand.rates_by_class(now)
        shed_rate = self.shed_share * sum(demand)
        return [self.admitted_share(weight, demand, shed_rate) for weight in self.priority_weights]

    def admitted_share(self, weight: float, demand: list[float], shed_rate: float) -> float:
        """Return the admitted share of the classes with one priority weight.

        Args:
            weight: the priority weight.
            demand: requests per second by class.
            shed_rate: requests per second to shed from all classes.
        """
        by_weight = list(zip(self.priority_weights, demand, strict=True))
        lower_rate = sum(rate for other, rate in by_weight if other < weight)
        equal_rate = sum(rate for other, rate in by_weight if other == weight)
        if not equal_rate > 0:
            return 1.0
        shed_from_weight = shed_rate - (1 - MIN_ADMITTED_SHARE) * lower_rate
        return 1.0 - clamp(shed_from_weight, 0.0, (1 - MIN_ADMITTED_SHARE) * equal_rate) / equal_rate

    def levels(self, table: Table, admitted: list[float]) -> dict[int, AdmissionLevel]:
        """Return the target admission levels of a table by class.

        Args:
            table: the table.
            admitted: admitted share of each class.
        """
        return {
            request_class: AdmissionLevel(self.level(table.zone, request_class, admitted[request_class]), RETRY_MODE)
            for request_class in table.classes
        }

    def level(self, zone: int, request_class: int, share: float) -> float:
        """Return the admission level of a class in a zone: a share, or a rate per proxy, as set by the admission mode.

        Args:
            zone: index of the zone.
            request_class: index of the class.
            share: admitted share of the class.
        """
        if not self.limits_rate:
            return share if share < ADMIT_ALL_SHARE else 1.0
        if share >= ADMIT_ALL_SHARE:
            return NO_RATE_LIMIT_PER_S
        return rate_limit_per_proxy(
            [proxy.demand[request_class] for proxy in self.proxies.values() if proxy.zone == zone], share
        )


def rate_limit_per_proxy(rates: list[float], share: float) -> float:
    """Return the rate limit per proxy that admits a share of all requests; it reduces the largest rates first.

    Args:
        rates: requests per second of the proxies.
        share: share of their sum that is admitted.
    """
    remaining_rate = share * sum(rates)
    ascending = sorted(rates)
    for index, rate in enumerate(ascending):
        remaining_proxies = len(ascending) - index
        if rate * remaining_proxies >= remaining_rate:
            return remaining_rate / remaining_proxies
        remaining_rate -= rate
    return max(ascending, default=NO_RATE_LIMIT_PER_S)


def level_differs(new: AdmissionLevel, old: AdmissionLevel | None) -> bool:
    """Return whether an admission level differs enough to be sent, or starts or stops limiting requests."""
    if old is None or new.retry != old.retry or (new.admitted == 1.0) != (old.admitted == 1.0):
        return True
    return abs(new.admitted - old.admitted) > LEVEL_CHANGE_SHARE * max(new.admitted, old.admitted)
