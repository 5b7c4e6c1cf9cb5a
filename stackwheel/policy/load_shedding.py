"""Load shedding: the share of demand that no server could answer in time, and the admission levels that shed it."""

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

# when answers count as slow
SLOW_LATENCY_OBJECTIVES = 0.3
"""Of the mean latency objective: half of the traffic slower than this ..."""

SLOW_LATENCY_MULTIPLE = 1.7
"""... and than this many times the quickest latency: queues are forming, and the excess is shed."""

HEALTH_CHECK_VALIDITY_INTERVALS = 3.0
"""Report intervals for which the load that a health check brought counts."""

# how much is shed
ADMITTED_UTILIZATION = 0.92
"""Of known capacity, or of what is being answered: what is admitted while servers are saturated."""

SHED_GAIN = 0.5
"""Step of the shed share to what is not answered, in a slow slot."""

SHED_RECOVERY_GAIN = 0.2
"""Of the shed share, and SHED_RECOVERY_OFFSET more: what is admitted again in a slot of quick answers."""

SHED_RECOVERY_OFFSET = 0.1

MAX_SHED_SHARE = 0.95
"""Of all demand; some has to come through to tell when the overload is over."""

# admission
MIN_ADMITTED_SHARE = 0.05
"""Of a class, for the same reason."""

ADMIT_ALL_SHARE = 0.99
"""From here on a class is admitted in full."""

NO_RATE_LIMIT_PER_S = 1e6
"""Requests a second and proxy: a level that limits nothing, where admission is stated as a rate."""

LEVEL_CHANGE_SHARE = 0.1
"""Of a level: a smaller change is not sent."""

RETRY_MODE = Retry.ONCE_IF_NOT_EXECUTED
"""Safe for any class; a retry after any failure doubled the work just when servers were short."""


class LoadShedding:
    """Keeps the share of demand to shed, and turns it into levels by class: the lowest priority weight is shed first.

    Attributes:
        shed_share: of all demand, by priority weight.
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
        self.priority_weights = [wanted.priority_weight for wanted in settings.classes]
        self.health_check_validity_ms = HEALTH_CHECK_VALIDITY_INTERVALS * settings.report_interval
        self.shed_share = 0.0

    def update(self, now: float) -> None:
        """A slot's step: shed what is beyond known capacity, and while half of the traffic is slow the unanswered."""
        reports = [
            report
            for view in self.pool.views.values()
            if not view.is_ejected(now)
            for report in view.zone_reports.values()
        ]
        answered = sum(report.answers_per_s for report in reports)  # an average would lag the end of an overload
        demand = max(MIN_DEMAND_PER_S, self.demand.total_rate(now))
        slow_ms = max(
            SLOW_LATENCY_OBJECTIVES * self.estimates.mean_objective_ms,
            SLOW_LATENCY_MULTIPLE * self.estimates.lowest_latency,
        )
        if self.traffic_latency(reports, now) > slow_ms:
            self.shed_share += SHED_GAIN * max(0.0, 1.0 - ADMITTED_UTILIZATION * answered / demand - self.shed_share)
        else:
            self.shed_share -= SHED_RECOVERY_GAIN * (SHED_RECOVERY_OFFSET + self.shed_share)
        beyond_capacity = 1.0 - ADMITTED_UTILIZATION * self.known_capacity(now) / demand
        self.shed_share = clamp(max(0.0, self.shed_share), beyond_capacity, MAX_SHED_SHARE)

    def traffic_latency(self, reports: list[ZoneReport], now: float) -> float:
        """Latency of half of the traffic in ms: by fresh health checks if there are any, else by valid reports."""
        oldest = now - self.health_check_validity_ms
        checked = [view for view in self.pool.ready() if view.load_checked_at > oldest]
        if checked:  # what waits there now, in time at its capacity
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
        """Requests a second that servers which are not ejected have left for us; infinite where none reports use."""
        usable = [view for view in self.pool.ready() if not view.is_ejected(now)]
        if not any("utilization" in view.load for view in usable):
            return math.inf
        return sum(
            max(0.0, view.capacity * self.pool.available_share(view, now) - self.peers.peer_rate(view, now))
            for view in usable
        )

    def admitted_shares(self, now: float) -> list[float]:
        """The share of each class that is admitted: the lowest priority weight is shed first, equal ones alike."""
        demand = self.demand.rates_by_class(now)
        to_shed = self.shed_share * sum(demand)
        return [self.admitted_share(weight, demand, to_shed) for weight in self.priority_weights]

    def admitted_share(self, weight: float, demand: list[float], to_shed: float) -> float:
        """The share admitted of the classes of one priority weight.

        Args:
            weight: the priority weight.
            demand: requests a second, by class.
            to_shed: requests a second to shed of all classes.
        """
        by_weight = list(zip(self.priority_weights, demand, strict=True))
        lesser = sum(rate for other, rate in by_weight if other < weight)
        equal = sum(rate for other, rate in by_weight if other == weight)
        if not equal > 0:
            return 1.0
        cut = to_shed - (1 - MIN_ADMITTED_SHARE) * lesser
        return 1.0 - clamp(cut, 0.0, (1 - MIN_ADMITTED_SHARE) * equal) / equal

    def levels(self, table: Table, admitted: list[float]) -> dict[int, AdmissionLevel]:
        """The levels that a table should have, by class.

        Args:
            table: the table.
            admitted: as `admitted_shares` returns them.
        """
        return {
            request_class: AdmissionLevel(self.level(table.zone, request_class, admitted[request_class]), RETRY_MODE)
            for request_class in table.classes
        }

    def level(self, zone: int, request_class: int, share: float) -> float:
        """A class's level in a zone: a share, or a rate for each proxy where the settings say so."""
        if not self.limits_rate:
            return share if share < ADMIT_ALL_SHARE else 1.0
        if share >= ADMIT_ALL_SHARE:
            return NO_RATE_LIMIT_PER_S
        return rate_limit_per_proxy(
            [proxy.demand[request_class] for proxy in self.proxies.values() if proxy.zone == zone], share
        )


def rate_limit_per_proxy(rates: list[float], share: float) -> float:
    """The rate for each proxy under which a share of all is admitted: large callers are cut first."""
    budget = share * sum(rates)
    ordered = sorted(rates)
    for position, rate in enumerate(ordered):
        remaining = len(ordered) - position
        if rate * remaining >= budget:
            return budget / remaining
        budget -= rate
    return max(ordered, default=NO_RATE_LIMIT_PER_S)


def level_differs(new: AdmissionLevel, old: AdmissionLevel | None) -> bool:
    """Whether a level has to be sent: it was never sent, moved by a tenth, or begins or ends to limit."""
    if old is None or new.retry != old.retry or (new.admitted == 1.0) != (old.admitted == 1.0):
        return True
    return abs(new.admitted - old.admitted) > LEVEL_CHANGE_SHARE * max(new.admitted, old.admitted)
