"""Capacity estimates: requests per second that each server can process when it is warm."""

from __future__ import annotations

from stackwheel.interface import Settings
from stackwheel.policy.arithmetic import clamp, exponential_average
from stackwheel.policy.demand import DemandTracker
from stackwheel.policy.estimates import QUICK_LATENCY_MULTIPLE, LoadEstimates
from stackwheel.policy.peer_planners import PeerPlanners
from stackwheel.policy.servers import ServerPool, ServerView

TARGET_UTILIZATION = 0.7
"""Utilization up to which demand is allocated first, and that is assumed for the fleet if servers report none."""

MIN_FLEET_UTILIZATION = 0.45
"""Minimum utilization that is assumed for the fleet."""

CAPACITY_GAIN = 0.15
"""Smoothing factor of capacities, per slot."""

UNIT_CAPACITY_GROWTH = 0.03
"""Relative growth of the unit capacity in a slot with low latency, which shows that servers have spare capacity."""

MIN_CAPACITY_PER_S = 1e-3
"""Minimum of an assumed capacity, requests per second; it differs from 0, which means unknown."""

MIN_UTILIZATION = 0.1
"""Utilization that replaces lower reported values, from which a capacity could not be estimated."""

MIN_LATENCY_FACTOR = 0.5
MAX_LATENCY_FACTOR = 1.5
"""Bounds of the ratio of the median latency to a server's latency, by which its estimated capacity is multiplied."""


class CapacityEstimates:
    """Estimates capacities from the utilization that servers report, or else from latency and the fleet's load.

    Attributes:
        unit_capacity: requests per second that a warm server of nominal size 1 can process, estimated without
            utilization.
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
        load = sum(  # without failed attempts
            view.attempt_rate * (1 - view.failure_share) + self.peers.peer_rate(view, now) for view in ready
        )
        load /= max(1.0, sum(view.nominal_size for view in ready))
        if median_latency_ms < QUICK_LATENCY_MULTIPLE * self.estimates.lowest_latency:
            self.unit_capacity *= 1 + UNIT_CAPACITY_GROWTH
        self.unit_capacity = clamp(self.unit_capacity, load / TARGET_UTILIZATION, load / MIN_FLEET_UTILIZATION)

    def assume_unknown_capacities(self, now: float) -> None:
        """Set the capacity of servers without traffic to the average of their machine kind, by nominal size."""
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
        for view in unmeasured:
            unit_capacities = measured.get(view.entry.kind) or [assumed]
            view.capacity = max(MIN_CAPACITY_PER_S, view.nominal_size * sum(unit_capacities) / len(unit_capacities))

    def update_server(self, view: ServerView, median_latency_ms: float, now: float) -> None:
        """Update a server's capacity from its rate and reported utilization, or else from the unit capacity."""
        if "utilization" in view.load:
            server_rate = view.attempt_rate + self.peers.peer_rate(view, now)
            newest = server_rate / clamp(view.load["utilization"], MIN_UTILIZATION, 1.0)
        else:
            latency_factor = median_latency_ms / max(1e-3, view.latency or median_latency_ms)
            newest = (
                self.unit_capacity * view.nominal_size * clamp(latency_factor, MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR)
            )
        view.capacity = exponential_average(view.capacity, newest, CAPACITY_GAIN)
