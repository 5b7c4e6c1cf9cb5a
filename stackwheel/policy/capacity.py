"""Capacity estimates: requests per second that each server can process when it is warm (after its slow start).

The unit capacity is the capacity per unit of nominal size, which is the weight of a server in the endpoint list.
"""

from __future__ import annotations

from stackwheel.interface import Settings
from stackwheel.policy.arithmetic import clamp, exponential_average, median
from stackwheel.policy.demand import DemandTracker
from stackwheel.policy.estimates import QUICK_LATENCY_MULTIPLE, LoadEstimates
from stackwheel.policy.peer_planners import PeerPlanners
from stackwheel.policy.plausibility import limit_figure
from stackwheel.policy.servers import ServerPool, ServerView

TARGET_UTILIZATION = 0.7
"""Utilization up to which demand is allocated in the first stage, and maximum assumed for a fleet that reports none."""

MIN_FLEET_UTILIZATION = 0.45
"""Minimum utilization that is assumed for a fleet that reports none."""

CAPACITY_GAIN = 0.15
"""Smoothing factor of capacity estimates, per slot."""

UNIT_CAPACITY_GROWTH = 0.03
"""Relative increase of the unit capacity per slot with low latency, which shows that servers have spare capacity."""

MIN_CAPACITY_PER_S = 1e-3
"""Minimum capacity that is assumed for a server, requests per second; greater than 0, which means unknown."""

MIN_UTILIZATION = 0.1
"""Utilization that replaces lower reported values, which are too low to estimate a capacity from."""

MIN_LATENCY_FACTOR = 0.5
MAX_LATENCY_FACTOR = 1.5
"""Bounds of the ratio of the median latency to a server's latency, by which its estimated capacity is multiplied."""


class CapacityEstimates:
    """Estimates capacities from the reported utilization of servers, or else from latency and the load of all servers.

    Attributes:
        unit_capacity: estimated requests per second that a warm server can process per unit of nominal size; used for
            servers that do not report their utilization.
    """

    def __init__(
        self,
        settings: Settings,
        pool: ServerPool,
        demand: DemandTracker,
        peers: PeerPlanners,
        estimates: LoadEstimates,
    ) -> None:
        self.pool = pool
        self.demand = demand
        self.peers = peers
        self.estimates = estimates
        self.planner_count = settings.planner_count
        self.unit_capacity = 0.0

    def update_capacities(self, median_latency_ms: float, now: float) -> None:
        """Update the unit capacity and the capacity of each warm server with traffic, once per slot."""
        self.update_unit_capacity(median_latency_ms, now)
        self.assume_unknown_capacities(now)
        for view in self.pool.views.values():
            if self.pool.is_warm(view, now) and view.attempt_rate > 0:
                self.update_server(view, median_latency_ms, now)

    def update_unit_capacity(self, median_latency_ms: float, now: float) -> None:
        """Update the unit capacity: it grows while latency is low, within bounds that depend on the load."""
        ready = self.pool.ready()
        # The load does not include failed attempts.
        load = sum(view.attempt_rate * (1 - view.failure_share) + self.peers.peer_rate(view, now) for view in ready)
        load /= max(1.0, sum(view.nominal_size for view in ready))
        if median_latency_ms < QUICK_LATENCY_MULTIPLE * self.estimates.lowest_latency:
            self.unit_capacity *= 1 + UNIT_CAPACITY_GROWTH
        self.unit_capacity = clamp(self.unit_capacity, load / TARGET_UTILIZATION, load / MIN_FLEET_UTILIZATION)

    def assume_unknown_capacities(self, now: float) -> None:
        """Assume the average unit capacity of their machine kind for servers without an estimate or without traffic.

        If no server of the kind has both, the unit capacity follows from the total demand and the utilization that is
        assumed for the fleet.
        """
        views = self.pool.views.values()
        measured: dict[int, list[float]] = {}
        unmeasured: list[ServerView] = []
        for view in views:
            if view.capacity > 0 and view.attempt_rate > 0:
                measured.setdefault(view.entry.kind, []).append(view.capacity / view.nominal_size)
            elif view.capacity <= 0 or view.attempt_rate <= 0:
                unmeasured.append(view)
        if not unmeasured:
            return
        assumed = self.demand.total_rate(now) * self.planner_count / TARGET_UTILIZATION
        assumed /= max(1.0, sum(view.nominal_size for view in views))
        average_by_kind = {
            kind: average_without_outliers(unit_capacities) for kind, unit_capacities in measured.items()
        }
        for view in unmeasured:
            unit_capacity = average_by_kind.get(view.entry.kind, assumed)
            view.capacity = max(MIN_CAPACITY_PER_S, view.nominal_size * unit_capacity)

    def update_server(self, view: ServerView, median_latency_ms: float, now: float) -> None:
        """Update a server's capacity from its rate and utilization, or else from the unit capacity and its latency."""
        if "utilization" in view.load:
            server_rate = view.attempt_rate + self.peers.peer_rate(view, now)
            newest = server_rate / clamp(view.load["utilization"], MIN_UTILIZATION, 1.0)
        else:
            latency_factor = median_latency_ms / max(1e-3, view.latency or median_latency_ms)
            newest = (
                self.unit_capacity * view.nominal_size * clamp(latency_factor, MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR)
            )
        view.capacity = exponential_average(view.capacity, newest, CAPACITY_GAIN)


def average_without_outliers(unit_capacities: list[float]) -> float:
    """Return the average of unit capacities; those far above the median count only up to the plausible limit."""
    typical = median(unit_capacities)
    return sum(limit_figure(unit_capacity, typical) for unit_capacity in unit_capacities) / len(unit_capacities)
