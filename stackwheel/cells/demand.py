"""The demand that a cell plan has to cover: the servers and planners of each service in each region."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from stackwheel.cells.assignment import service_of
from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan import CellPlanError

ServerNames = Mapping[str, Mapping[str, list[str]]]
"""Names of servers, by service and region."""


@dataclass(frozen=True, slots=True)
class Demand:
    """The servers and planners of a service in one region.

    Attributes:
        service: name of the service.
        region: name of the region.
        servers: number of servers.
        planners: number of planners.
        server_names: names of the servers, from which the exact sizes of parts are computed; empty if unknown, in which
            case the sizes are estimated.
    """

    service: str
    region: str
    servers: int
    planners: int
    server_names: tuple[str, ...] = field(default=(), repr=False)


def demand_from_servers(
    servers: Iterable[ListedServer], regions: Mapping[str, str], planners: int, source: str = "servers"
) -> tuple[Demand, ...]:
    """Compute the demand from listed servers, with a number of planners distributed in proportion to the servers.

    Each service gets at least one planner.

    Args:
        servers: the servers of the endpoint list.
        regions: the region of each zone.
        planners: total number of planners.
        source: name of the endpoint list, with which the location in errors begins.

    Raises:
        CellPlanError: the list is empty, contains a duplicate server or an unknown zone, or there are fewer planners
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
        location = f"{source}: instances[{position}]"
        if server.zone not in regions:
            raise CellPlanError(f"{location}.zone", f"unknown zone {server.zone!r} of server {server.name!r}")
        if server.name in first_positions:
            raise CellPlanError(
                location, f"duplicate server {server.name!r}, first listed at instances[{first_positions[server.name]}]"
            )
        first_positions[server.name] = position
        names[service_of(server.name)][regions[server.zone]].append(server.name)
    return names


def apportion(total: int, weights: Mapping[str, int], minimum: int) -> dict[str, int]:
    """Divide a total into integer shares by the largest remainder method.

    Args:
        total: the sum of the shares.
        weights: the weight of each share, by key.
        minimum: the minimum of each share; the remainder of the total is divided in proportion to the weights.
    """
    proportional_total = total - minimum * len(weights)
    total_weight = sum(weights.values()) or 1
    shares = {key: minimum + proportional_total * weight // total_weight for key, weight in weights.items()}
    undistributed = total - sum(shares.values())
    by_remainder = sorted(weights, key=lambda key: (-(proportional_total * weights[key] % total_weight), key))
    for key in by_remainder[:undistributed]:
        shares[key] += 1
    return shares
