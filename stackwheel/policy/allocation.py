"""Allocation of each zone's demand, by request class, to servers according to their spare capacity and score.

The score of a server for a zone increases with its latency and with the cost of crossing zones; servers with a lower
score are preferred.
"""

from __future__ import annotations

import math
from typing import NamedTuple, TypeAlias

from stackwheel.interface import ServerId, Settings
from stackwheel.policy.capacity import TARGET_UTILIZATION
from stackwheel.policy.demand import MIN_DEMAND_PER_S, DemandKey, DemandTracker
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.load_shedding import SLOW_LATENCY_OBJECTIVES, LoadShedding
from stackwheel.policy.peer_planners import PeerPlanners, PeerState
from stackwheel.policy.servers import Rates, ServerPool

CROSS_ZONE_LATENCY_OBJECTIVES = 30.0
"""Latency, as a multiple of the mean latency objective, that is equivalent to one unit of the cross-zone cost.

It is the weight V of the cost in the paper.
"""

SCORE_POWER = 3.0
"""Exponent by which the preference for a server decreases with its score."""

UTILIZATION_STAGES = (TARGET_UTILIZATION, 0.85, 1.0)
"""Shares of server capacity; demand is allocated up to one stage at all servers before the next stage starts."""

MAX_ROUNDS_PER_STAGE = 4
"""Maximum number of allocation rounds per stage; each offers the remaining demand to servers with spare capacity."""

MIN_SPARE_SHARE = 0.02
"""Share of a warm server's capacity that counts as spare regardless of the load from peer planners."""

NEGLIGIBLE_DEMAND_PER_S = 1e-6
"""Remaining demand of a class, requests per second, up to which it counts as completely allocated."""

AllocatedRates: TypeAlias = dict[DemandKey, Rates]
"""Allocated requests per second, by zone and request class, and by server."""


class AllocationRank(NamedTuple):
    """Sort key that determines the order in which request classes are allocated.

    Classes with the fewest allowed servers come first, then those with the shortest latency objective, then those with
    the lowest priority weight.
    """

    allowed_server_count: int
    latency_objective: float
    priority_weight: float


class ServerHeadroom:
    """Capacity of a server and its load from peer planners, in requests per second.

    Attributes:
        available_capacity: capacity that the server has now, which is reduced while it warms up.
        peer_rate: requests from proxies of peer planners; 0 while the server is warming up.
        is_warm: whether the server has its full capacity.
    """

    __slots__ = ("available_capacity", "is_warm", "peer_rate")

    def __init__(self, available_capacity: float, peer_rate: float, is_warm: bool) -> None:
        self.available_capacity = available_capacity
        self.peer_rate = peer_rate
        self.is_warm = is_warm


class Allocator:
    """Allocates demand to servers.

    Attributes:
        own_share: share of the load limit of warming servers that this planner may use; the rest is left to peers.
    """

    def __init__(
        self,
        settings: Settings,
        pool: ServerPool,
        demand: DemandTracker,
        peers: PeerPlanners,
        estimates: LoadEstimates,
        shedding: LoadShedding,
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.demand = demand
        self.peers = peers
        self.estimates = estimates
        self.shedding = shedding
        self.own_share = 1.0

    def allocate(self, zones: list[int], now: float) -> AllocatedRates:
        """Return the requests per second that the proxies of each zone should send to each server, by request class.

        All demand is allocated, even if it exceeds the capacity of the servers.

        Args:
            zones: indexes of the zones, in the order of the result.
            now: current time, ms.
        """
        demand = {zone: self.demand.rates_by_class(now, zone) for zone in zones}
        total = self.demand.total_rate(now)
        self.own_share = self.share_among_planners(total, self.peers.valid_states(now))
        headrooms = self.server_headrooms(now)
        keys = [DemandKey(zone, number) for number in range(len(self.settings.classes)) for zone in zones]
        preferences = self.preferences(keys, headrooms, total, now)
        remaining = {key: max(MIN_DEMAND_PER_S, demand[key.zone][key.request_class]) for key in keys}
        allocated: AllocatedRates = {key: dict.fromkeys(preferences[key], 0.0) for key in keys}
        keys_by_rank = self.group_by_rank(keys)
        for utilization in UTILIZATION_STAGES:
            spare = self.spare_capacity(headrooms, utilization, allocated)
            for rank_keys in keys_by_rank:
                allocate_rank(rank_keys, remaining, preferences, spare, allocated)
        for key in keys:
            self.allocate_excess(remaining[key], allocated[key], headrooms, now)
        return allocated

    def group_by_rank(self, keys: list[DemandKey]) -> list[list[DemandKey]]:
        """Group keys by the rank of their request class (`AllocationRank`), in ascending order."""
        ranks = [
            AllocationRank(
                len(self.pool.allowed_servers(index)), requirements.latency_objective, requirements.priority_weight
            )
            for index, requirements in enumerate(self.settings.classes)
        ]
        return [[key for key in keys if ranks[key.request_class] == rank] for rank in sorted(set(ranks))]

    def share_among_planners(self, demand: float, peer_states: list[PeerState]) -> float:
        """Return this planner's share of the demand of all proxies.

        Proxies that are connected to unknown planners are assumed to have the average demand of the known proxies.

        Args:
            demand: requests per second of this planner's proxies.
            peer_states: states of the peer planners that are still valid.
        """
        own = max(MIN_DEMAND_PER_S, demand)
        fraction = own / (own + sum(sum(state.rates.values()) for state in peer_states))
        connected = len(self.demand.proxies) + sum(state.proxies for state in peer_states)
        return fraction * min(1.0, connected / self.settings.proxy_count)

    def server_headrooms(self, now: float) -> dict[ServerId, ServerHeadroom]:
        """Return the headroom of each server in the pool."""
        headrooms = {}
        for server, view in self.pool.views.items():
            capacity_share = self.pool.available_share(view, now)
            is_warm = not capacity_share < 1.0
            peer_rate = self.peers.peer_rate(view, now) if is_warm else 0.0
            headrooms[server] = ServerHeadroom(view.capacity * capacity_share, peer_rate, is_warm)
        return headrooms

    def spare_capacity(
        self, headrooms: dict[ServerId, ServerHeadroom], utilization: float, allocated: AllocatedRates
    ) -> Rates:
        """Return the requests per second that each server can still receive up to a share of its capacity.

        A warming server has a lower limit, of which this planner uses its own share, because the load from peer
        planners becomes known too late.

        Args:
            headrooms: headroom by server.
            utilization: share of the capacity up to which servers are used.
            allocated: requests per second that are already allocated.
        """
        allocated_by_server = dict.fromkeys(headrooms, 0.0)
        for rates in allocated.values():
            for server, rate in rates.items():
                allocated_by_server[server] += rate
        warming_share = self.own_share * min(utilization, self.pool.slow_start.warming_utilization)
        spare: Rates = {}
        for server, headroom in headrooms.items():
            if headroom.is_warm:
                limit = max(
                    MIN_SPARE_SHARE * headroom.available_capacity,
                    utilization * headroom.available_capacity - headroom.peer_rate,
                )
            else:
                limit = warming_share * headroom.available_capacity
            spare[server] = max(0.0, limit - allocated_by_server[server])
        return spare

    def preferences(
        self, keys: list[DemandKey], headrooms: dict[ServerId, ServerHeadroom], demand: float, now: float
    ) -> AllocatedRates:
        """Return the preference of each zone and class for each server that it may use.

        The score of a server is 1 + its latency in mean objectives + the cross-zone cost times
        `CROSS_ZONE_LATENCY_OBJECTIVES`. Its preference is the score to the power of minus `SCORE_POWER`.

        Args:
            keys: the zones and classes.
            headrooms: headroom by server.
            demand: requests per second of all proxies of this planner.
            now: current time, ms.
        """
        median_latency_ms = self.estimates.median_latency()
        objective_ms = self.estimates.mean_objective_ms
        lowest_ms = min(self.estimates.lowest_latency, SLOW_LATENCY_OBJECTIVES * objective_ms)
        reported_rate = sum(view.attempt_rate for view in self.pool.views.values())
        excludes_warming = self.pool.slow_start.excludes_warming(
            reported_rate, demand, 1 - self.shedding.shed_share, median_latency_ms, lowest_ms
        )
        preferences: AllocatedRates = {}
        for key in keys:
            views = self.pool.allowed_servers(key.request_class, key.zone)
            if excludes_warming:
                views = [view for view in views if headrooms[view.entry.server].is_warm] or views
            server_preferences = preferences[key] = {}
            for view in views:
                cost = self.settings.cross_zone_cost if view.entry.zone != key.zone else 0.0
                latency = view.latency_by_zone.get(key.zone, view.latency or median_latency_ms)
                score = 1.0 + latency / objective_ms + CROSS_ZONE_LATENCY_OBJECTIVES * cost
                server_preferences[view.entry.server] = 0.0 if view.is_ejected(now) else score**-SCORE_POWER
        return preferences

    def allocate_excess(
        self, excess: float, allocated: Rates, headrooms: dict[ServerId, ServerHeadroom], now: float
    ) -> None:
        """Allocate demand that exceeds the spare capacity, in proportion to the available capacity of servers.

        The excess is divided among the warm servers that are not ejected. If there are none, it is divided among all
        servers that are not ejected, and if all servers are ejected, among all servers.

        Args:
            excess: requests per second to allocate.
            allocated: requests per second by server, to which the excess is added.
            headrooms: headroom by server.
            now: current time, ms.
        """
        ejected = {server for server in allocated if self.pool.views[server].is_ejected(now)}
        usable = [server for server in allocated if headrooms[server].is_warm and server not in ejected]
        usable = usable or [server for server in allocated if server not in ejected] or list(allocated)
        total = sum(headrooms[server].available_capacity for server in usable)
        for server in usable:
            allocated[server] += excess * headrooms[server].available_capacity / total


def allocate_rank(
    keys: list[DemandKey],
    remaining: dict[DemandKey, float],
    preferences: AllocatedRates,
    spare: Rates,
    allocated: AllocatedRates,
) -> None:
    """Allocate the demand of classes of equal rank (`AllocationRank`) to spare capacity in rounds.

    The rounds end when the remaining demand is negligible, or after `MAX_ROUNDS_PER_STAGE`. The arguments are those of
    `allocate_round`.
    """
    for _ in range(MAX_ROUNDS_PER_STAGE):
        unallocated = [key for key in keys if remaining[key] > NEGLIGIBLE_DEMAND_PER_S]
        if not unallocated:
            return
        allocate_round(unallocated, remaining, preferences, spare, allocated)


def allocate_round(
    keys: list[DemandKey],
    remaining: dict[DemandKey, float],
    preferences: AllocatedRates,
    spare: Rates,
    allocated: AllocatedRates,
) -> None:
    """Offer the remaining demand to servers in proportion to spare capacity times preference.

    A server that is offered more than its spare capacity accepts the same fraction of each offer. `remaining`, `spare`
    and `allocated` are updated in place.

    Args:
        keys: the zones and classes whose demand is offered.
        remaining: requests per second that are not allocated yet, by zone and class.
        preferences: preference of each zone and class for each server.
        spare: spare capacity by server, requests per second.
        allocated: requests per second that are allocated.
    """
    offers: AllocatedRates = {}
    offered_rate = dict.fromkeys(spare, 0.0)
    for key in keys:
        weights = {server: spare[server] * preference for server, preference in preferences[key].items()}
        total = sum(weights.values()) or math.inf
        offers[key] = {server: remaining[key] * weight / total for server, weight in weights.items()}
        for server, rate in offers[key].items():
            offered_rate[server] += rate
    accepted_share = {
        server: min(1.0, spare[server] / rate) if rate > 0 else 0.0 for server, rate in offered_rate.items()
    }
    for key, rates in offers.items():
        for server, rate in rates.items():
            accepted = rate * accepted_share[server]
            allocated[key][server] += accepted
            remaining[key] -= accepted
            spare[server] -= accepted
