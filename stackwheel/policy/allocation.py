"""Allocation: each zone's demand by class, spread over servers by spare capacity and score."""

from __future__ import annotations

import math
from typing import NamedTuple, TypeAlias

from stackwheel.interface import ServerId, Settings
from stackwheel.policy.capacity import TARGET_USE
from stackwheel.policy.demand import MIN_DEMAND_PER_S, DemandKey, DemandTracker
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.load_shedding import SLOW_OBJECTIVES, LoadShedding
from stackwheel.policy.peer_planners import PeerPlanners, PeerState
from stackwheel.policy.servers import Rates, ServerPool

CROSS_ZONE_LATENCY_OBJECTIVES = 30.0
"""Latency, in mean objectives, that one unit of the settings' cross-zone cost is worth (the paper's V)."""

SCORE_POWER = 3.0
"""A server's attraction is its score to the power of minus this."""

USE_STAGES = (TARGET_USE, 0.85, 1.0)
"""Of capacity: demand fills all servers to the first use before any goes to the next."""

FILL_ROUNDS = 4
"""Rounds of a stage: what found no capacity is offered again to the servers that have some left."""

MIN_SPARE_SHARE = 0.02
"""Of a warm server's capacity: it counts as spare however much others send there."""

PLACED_PER_S = 1e-6
"""Demand left of a class that counts as none."""

Placement: TypeAlias = dict[DemandKey, Rates]
"""Requests a second, by zone and class and by server."""


class PlacementRank(NamedTuple):
    """The order in which classes are placed: fewest servers, shortest objective, lowest weight; equals together."""

    open_servers: int
    latency_objective: float
    priority_weight: float


class ServerHeadroom:
    """What a server can do now, in requests a second.

    Attributes:
        present: its capacity, as far as it has warmed up.
        others: sent by other planners' proxies.
        is_warm: whether it has warmed up.
    """

    __slots__ = ("is_warm", "others", "present")

    def __init__(self, present: float, others: float, is_warm: bool) -> None:
        self.present = present
        self.others = others
        self.is_warm = is_warm


class Allocator:
    """Spreads demand over servers.

    Attributes:
        our_share: of a warming server's limit, by the demand and the proxies that planners are known to have.
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
        self.our_share = 1.0

    def spread(self, zones: list[int], now: float) -> Placement:
        """Requests a second that each zone's classes should send to each server; all demand is placed.

        Args:
            zones: the zones to place, in order.
            now: ms.
        """
        demand = {zone: self.demand.by_class(now, zone) for zone in zones}
        total = self.demand.total(now)
        self.our_share = self.share_among_planners(total, self.peers.fresh(now))
        headrooms = self.server_headrooms(now)
        keys = [DemandKey(zone, number) for number in range(len(self.settings.classes)) for zone in zones]
        attractions = self.attractions(keys, headrooms, total, now)
        left = {key: max(MIN_DEMAND_PER_S, demand[key.zone][key.request_class]) for key in keys}
        placed: Placement = {key: dict.fromkeys(attractions[key], 0.0) for key in keys}
        keys_by_rank = self.by_rank(keys)
        for use in USE_STAGES:
            spare = self.spare_capacity(headrooms, use, placed)
            for equals in keys_by_rank:
                fill(equals, left, attractions, spare, placed)
        for key in keys:
            self.place_excess(left[key], placed[key], headrooms, now)
        return placed

    def by_rank(self, keys: list[DemandKey]) -> list[list[DemandKey]]:
        """Sort demand by the rank of its class; equals stay together."""
        ranks = [
            PlacementRank(len(self.pool.open_to(number)), wanted.latency_objective, wanted.priority_weight)
            for number, wanted in enumerate(self.settings.classes)
        ]
        return [[key for key in keys if ranks[key.request_class] == rank] for rank in sorted(set(ranks))]

    def share_among_planners(self, demand: float, fresh: list[PeerState]) -> float:
        """Our share of the demand that planners report, scaled down by the proxies that none of them accounts for.

        Those count as the average of the ones that are accounted for.
        """
        ours = max(MIN_DEMAND_PER_S, demand)
        fraction = ours / (ours + sum(sum(figures.rates.values()) for figures in fresh))
        joined = len(self.demand.proxies) + sum(figures.proxies for figures in fresh)
        return fraction * min(1.0, joined / self.settings.proxy_count)

    def server_headrooms(self, now: float) -> dict[ServerId, ServerHeadroom]:
        """What every server in the pool can do now."""
        headrooms = {}
        for server, view in self.pool.views.items():
            available = self.pool.available_share(view, now)
            is_warm = not available < 1.0
            others = self.peers.others_rate(view, now) if is_warm else 0.0
            headrooms[server] = ServerHeadroom(view.capacity * available, others, is_warm)
        return headrooms

    def spare_capacity(self, headrooms: dict[ServerId, ServerHeadroom], use: float, placed: Placement) -> Rates:
        """What we may still place on each server before it is used beyond `use`.

        A warming server has a lower limit, of which we take our share; others' load there is not known in time.
        """
        used = dict.fromkeys(headrooms, 0.0)
        for rates in placed.values():
            for server, rate in rates.items():
                used[server] += rate
        warming_share = self.our_share * min(use, self.pool.slow_start.warming_use)
        spare: Rates = {}
        for server, headroom in headrooms.items():
            if headroom.is_warm:
                limit = max(MIN_SPARE_SHARE * headroom.present, use * headroom.present - headroom.others)
            else:
                limit = warming_share * headroom.present
            spare[server] = max(0.0, limit - used[server])
        return spare

    def attractions(
        self, keys: list[DemandKey], headrooms: dict[ServerId, ServerHeadroom], demand: float, now: float
    ) -> Placement:
        """How much each zone's classes are drawn to each server that they may use.

        The score is 1 + latency in objectives + V times the cross-zone cost; attraction falls with its power.
        """
        median_latency_ms = self.estimates.median_latency()
        objective_ms = self.estimates.mean_objective_ms
        quickest_ms = min(self.estimates.quickest_latency, SLOW_OBJECTIVES * objective_ms)
        reported = sum(view.attempt_rate for view in self.pool.views.values())
        excludes_warming = self.pool.slow_start.excludes_warming(
            reported, demand, 1 - self.shedding.shed_share, median_latency_ms, quickest_ms
        )
        attractions: Placement = {}
        for key in keys:
            views = self.pool.open_to(key.request_class, key.zone)
            if excludes_warming:
                views = [view for view in views if headrooms[view.entry.server].is_warm] or views
            attraction = attractions[key] = {}
            for view in views:
                cost = self.settings.cross_zone_cost if view.entry.zone != key.zone else 0.0
                latency = view.latency_by_zone.get(key.zone, view.latency or median_latency_ms)
                score = 1.0 + latency / objective_ms + CROSS_ZONE_LATENCY_OBJECTIVES * cost
                attraction[view.entry.server] = 0.0 if view.is_ejected(now) else score**-SCORE_POWER
        return attractions

    def place_excess(self, excess: float, placed: Rates, headrooms: dict[ServerId, ServerHeadroom], now: float) -> None:
        """Spread what found no spare capacity by capacity: over healthy servers if any, else over those not ejected."""
        ejected = {server for server in placed if self.pool.views[server].is_ejected(now)}
        able = [server for server in placed if headrooms[server].is_warm and server not in ejected]
        able = able or [server for server in placed if server not in ejected] or list(placed)
        total = sum(headrooms[server].present for server in able)
        for server in able:
            placed[server] += excess * headrooms[server].present / total


def fill(
    keys: list[DemandKey], left: dict[DemandKey, float], attractions: Placement, spare: Rates, placed: Placement
) -> None:
    """Place demand of equal rank on spare capacity, in rounds. Changes `left`, `spare` and `placed`."""
    for _ in range(FILL_ROUNDS):
        unplaced = [key for key in keys if left[key] > PLACED_PER_S]
        if not unplaced:
            return
        fill_round(unplaced, left, attractions, spare, placed)


def fill_round(
    keys: list[DemandKey], left: dict[DemandKey, float], attractions: Placement, spare: Rates, placed: Placement
) -> None:
    """Offer what is left of some demand to servers, in proportion to spare capacity times attraction.

    A server that is offered more than it has spare takes the same fraction of each offer. Changes `left`, `spare` and
    `placed`.
    """
    offers: Placement = {}
    offered = dict.fromkeys(spare, 0.0)
    for key in keys:
        weights = {server: spare[server] * attraction for server, attraction in attractions[key].items()}
        total = sum(weights.values()) or math.inf
        offers[key] = {server: left[key] * weight / total for server, weight in weights.items()}
        for server, rate in offers[key].items():
            offered[server] += rate
    granted = {server: min(1.0, spare[server] / rate) if rate > 0 else 0.0 for server, rate in offered.items()}
    for key, rates in offers.items():
        for server, rate in rates.items():
            taken = rate * granted[server]
            placed[key][server] += taken
            left[key] -= taken
            spare[server] -= taken
