"""Capacity learning: the requests a second that each server can do when warm."""

from __future__ import annotations

from stackwheel.interface import Settings
from stackwheel.policy.arithmetic import blend, bounded
from stackwheel.policy.demand import DemandTracker
from stackwheel.policy.estimates import QUICK_LATENCY_SPAN, LoadEstimates
from stackwheel.policy.peer_planners import PeerPlanners
from stackwheel.policy.servers import ServerPool, ServerView

TARGET_USE = 0.7
"""Of capacity: the use that demand is spread to first, and that the fleet's load is taken to be at."""

MIN_FLEET_USE = 0.45
"""The fleet's load is never taken to be a smaller use of its capacity than this."""

CAPACITY_GAIN = 0.15
"""Step of a capacity to its newest figure, in a slot."""

LEVEL_RISE = 0.03
"""By which the fleet's level rises in a slot of quick answers: it surely can do more."""

MIN_CAPACITY_PER_S = 1e-3
"""No capacity that was only assumed is lower; 0 stands for unknown."""

MIN_UTILIZATION = 0.1
"""A server that reports less use tells too little of what it could do."""

MIN_LATENCY_FACTOR = 0.5
MAX_LATENCY_FACTOR = 1.5
"""Bounds of the factor by which a server's latency, beside the median of all, moves its part of the fleet's level."""


class CapacityEstimates:
    """Learns capacities from use where servers report it, else from latency and the fleet's load."""

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
        self.fleet_level = 0.0
        """Requests a second that a warm server of nominal size 1 can do, where no use is reported."""

    def learn(self, median_latency_ms: float, now: float) -> None:
        """A slot's step of the fleet's level and of the capacity of every warm server with traffic."""
        self.learn_fleet_level(median_latency_ms, now)
        self.assume_unmeasured(now)
        for view in self.pool.views.values():
            if self.pool.is_warm(view, now) and view.attempt_rate > 0:
                self.learn_server(view, median_latency_ms, now)

    def learn_fleet_level(self, median_latency_ms: float, now: float) -> None:
        """The level is load over target use, and rises while answers stay quick."""
        ready = self.pool.ready()
        load = sum(  # rejected attempts are no load
            view.attempt_rate * (1 - view.failure_share) + self.peers.others_rate(view, now) for view in ready
        )
        load /= max(1.0, sum(view.nominal_size for view in ready))
        if median_latency_ms < QUICK_LATENCY_SPAN * self.estimates.quickest_latency:
            self.fleet_level *= 1 + LEVEL_RISE
        self.fleet_level = bounded(self.fleet_level, load / TARGET_USE, load / MIN_FLEET_USE)

    def assume_unmeasured(self, now: float) -> None:
        """A server without traffic or capacity counts as the average of its kind, by nominal size."""
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
        assumed = self.demand.total(now) * self.planner_count / TARGET_USE
        assumed /= max(1.0, sum(view.nominal_size for view in views))
        for view in unmeasured:
            per_size = measured.get(view.entry.kind) or [assumed]
            view.capacity = max(MIN_CAPACITY_PER_S, view.nominal_size * sum(per_size) / len(per_size))

    def learn_server(self, view: ServerView, median_latency_ms: float, now: float) -> None:
        """A step to served rate over reported use; else to the server's part of the fleet's level."""
        if "utilization" in view.load:
            served = view.attempt_rate + self.peers.others_rate(view, now)
            seen = served / bounded(view.load["utilization"], MIN_UTILIZATION, 1.0)
        else:
            quickness = median_latency_ms / max(1e-3, view.latency or median_latency_ms)
            seen = self.fleet_level * view.nominal_size * bounded(quickness, MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR)
        view.capacity = blend(view.capacity, seen, CAPACITY_GAIN)
