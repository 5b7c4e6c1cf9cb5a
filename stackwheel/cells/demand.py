"""How many servers and planners each service has in each region: what a cell plan has to hold."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from stackwheel.cells.assignment import service_of
from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan import CellPlanError

ServerNames = Mapping[str, Mapping[str, list[str]]]  # by service and region


@dataclass(frozen=True, slots=True)
class Demand:
    """What a service has in a region. With its servers' names, parts grow until none is over a limit."""

    service: str
    region: str
    servers: int
    planners: int
    server_names: tuple[str, ...] = field(default=(), repr=False)


def demand_from_servers(
    servers: Iterable[ListedServer], regions: Mapping[str, str], planners: int, source: str = "servers"
) -> tuple[Demand, ...]:
    """The demand of listed servers, with a number of planners shared out in proportion to them.

    Each service gets one planner at least.

    Args:
        servers: the endpoint list.
        regions: the region of each zone.
        planners: how many planners there are in all.
        source: what errors of the endpoint list begin with.

    Raises:
        CellPlanError: no server is listed, one is listed twice or in an unknown zone, or there are fewer planners
            than services.
    """
    names = _names_by_service(servers, regions, source)
    if not names:
        raise CellPlanError(source, "the list contains no server")
    if planners < len(names):
        raise CellPlanError("planners", f"{planners} for {len(names)} services, expected at least one per service")
    service_sizes = {service: sum(map(len, by_region.values())) for service, by_region in names.items()}
    planners_by_service = apportion(planners, service_sizes, 1)
    demand: list[Demand] = []
    for service, by_region in sorted(names.items()):
        region_sizes = {region: len(region_names) for region, region_names in by_region.items()}
        planners_by_region = apportion(planners_by_service[service], region_sizes, 0)
        for region, region_names in sorted(by_region.items()):
            server_names = tuple(sorted(region_names))
            demand.append(Demand(service, region, len(region_names), planners_by_region[region], server_names))
    return tuple(demand)


def _names_by_service(servers: Iterable[ListedServer], regions: Mapping[str, str], source: str) -> ServerNames:
    names: defaultdict[str, defaultdict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    first_positions: dict[str, int] = {}
    for position, server in enumerate(servers):
        place = f"{source}: instances[{position}]"
        if server.zone not in regions:
            raise CellPlanError(f"{place}.zone", f"unknown zone {server.zone!r} of server {server.name!r}")
        if server.name in first_positions:
            raise CellPlanError(
                place, f"duplicate server {server.name!r}, first listed at instances[{first_positions[server.name]}]"
            )
        first_positions[server.name] = position
        names[service_of(server.name)][regions[server.zone]].append(server.name)
    return names


def apportion(total: int, weights: Mapping[str, int], minimum: int) -> dict[str, int]:
    """Integer shares of a total in proportion to weights by the largest remainder, after `minimum` to each."""
    shared = total - minimum * len(weights)
    total_weight = sum(weights.values()) or 1
    shares = {key: minimum + shared * weight // total_weight for key, weight in weights.items()}
    remaining = total - sum(shares.values())
    by_remainder = sorted(weights, key=lambda key: (-(shared * weights[key] % total_weight), key))
    for key in by_remainder[:remaining]:
        shares[key] += 1
    return shares
