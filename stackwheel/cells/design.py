"""Designs a cell plan for services of given sizes, with minimal changes to a previous plan.

A service that fits both limits becomes one cell. A larger service is divided by region if every region has enough
planners, and a region that is still too large is divided into parts. Otherwise the service is divided into parts that
cover all regions. Servers are assigned to parts by rendezvous hashing, so the size of a part has a binomial
distribution. The number of parts is chosen so that the probability of an oversized part is at most `OVERFLOW_RISK`.
Planners are distributed evenly and need no such margin.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain

from stackwheel.cells.assignment import part_of
from stackwheel.cells.demand import Demand
from stackwheel.cells.part_count import parts_needed
from stackwheel.cells.plan import (
    MAX_PARTS,
    MAX_PORT,
    PLAN_FORMAT_VERSION,
    Cell,
    CellPlanError,
    Limits,
    Plan,
    Relay,
)
from stackwheel.cells.plan_file import encode_valid_plan

MIN_PLANNERS_PER_PART = 2
"""Minimum number of planners per part of a divided service, so that one of them may fail."""

SHRINK_FACTOR = 2
"""The number of parts is reduced only if fewer parts suffice for the demand multiplied by this factor.

This hysteresis prevents moves of servers when the demand changes temporarily, for example because a service has twice
as many servers during a release.
"""

DEFAULT_FIRST_PORT = 20_001
"""Default of the lowest cell port, between the ports of common services and the ephemeral ports of Linux.

The lowest ephemeral port is 12,767 ports above it.
"""

Scope = tuple[str, ...]
"""The regions that a group of cells covers; empty for all regions."""


@dataclass(frozen=True, slots=True)
class _GroupDemand:
    """The demand of a group of cells, which are the parts of a service in one scope."""

    servers: int
    planners: int
    server_names: tuple[str, ...]

    def scaled(self, factor: int) -> _GroupDemand:
        """Return the demand multiplied by a factor, without server names."""
        return _GroupDemand(self.servers * factor, self.planners * factor, ())


def design(
    demand: Sequence[Demand],
    limits: Limits,
    regions: Mapping[str, str],
    relays: Iterable[Relay],
    previous_plan: Plan | None = None,
    first_port: int = DEFAULT_FIRST_PORT,
) -> Plan:
    """Return a valid plan for a demand, which retains the names, ports and parts of a previous plan if possible.

    The plan does not depend on the order of the demand.

    Args:
        demand: at most one item per service and region.
        limits: the maximum numbers of servers and planners in a cell.
        regions: the region of each zone.
        relays: all relays of the fleet.
        previous_plan: the plan in use; None if no plan is in use.
        first_port: the lowest port for new cells.

    Raises:
        CellPlanError: the demand is invalid, or no plan can cover the demand of a service.
    """
    previous_parts = _parts_by_scope(previous_plan)
    groups: dict[tuple[str, Scope], int] = {}
    for service, demand_by_region in sorted(_demand_by_service(demand).items()):
        parts_by_scope = _divide_service(service, demand_by_region, limits, previous_parts.get(service, {}))
        for scope, parts in parts_by_scope.items():
            groups[service, scope] = parts
    cells = _name_cells(groups, previous_plan, first_port)
    plan = Plan(PLAN_FORMAT_VERSION, limits, dict(sorted(regions.items())), tuple(relays), cells)
    encode_valid_plan(plan)
    return plan


def _demand_by_service(demand: Sequence[Demand]) -> dict[str, dict[str, _GroupDemand]]:
    demand_by_service: defaultdict[str, dict[str, _GroupDemand]] = defaultdict(dict)
    for position, item in enumerate(demand):
        location = f"demand[{position}]"
        if item.servers < 0 or item.planners < 0:
            raise CellPlanError(location, f"negative count: {item.servers} servers, {item.planners} planners")
        if item.server_names and len(item.server_names) != item.servers:
            raise CellPlanError(location, f"{len(item.server_names)} server names for {item.servers} servers")
        if item.region in demand_by_service[item.service]:
            raise CellPlanError(location, f"duplicate demand of service {item.service!r} in region {item.region!r}")
        if item.servers or item.planners:
            demand_by_service[item.service][item.region] = _GroupDemand(item.servers, item.planners, item.server_names)
    return {service: by_region for service, by_region in demand_by_service.items() if by_region}


def _parts_by_scope(plan: Plan | None) -> dict[str, dict[Scope, int]]:
    parts: defaultdict[str, dict[Scope, int]] = defaultdict(dict)
    for cell in plan.cells if plan is not None else ():
        parts[cell.service][cell.regions] = cell.parts
    return parts


def _divide_service(
    service: str, demand_by_region: dict[str, _GroupDemand], limits: Limits, previous_parts: dict[Scope, int]
) -> dict[Scope, int]:
    """Return the scopes of a service with the number of parts in each."""
    overall = _GroupDemand(
        sum(demand.servers for demand in demand_by_region.values()),
        sum(demand.planners for demand in demand_by_region.values()),
        tuple(name for demand in demand_by_region.values() for name in demand.server_names),
    )
    if overall.planners == 0:
        raise CellPlanError(f"service {service!r}", f"no planner for {overall.servers} servers")
    regional_parts: dict[Scope, int] = {
        (region,): _choose_parts(demand, limits, previous_parts.get((region,), 0))
        for region, demand in sorted(demand_by_region.items())
    }
    if _is_divided_by_region(overall, demand_by_region, regional_parts, limits, previous_parts):
        return regional_parts
    overall_parts = _choose_parts(overall, limits, previous_parts.get((), 0))
    if overall_parts > min(MAX_PARTS, overall.planners):
        raise CellPlanError(
            f"service {service!r}",
            f"{overall.servers} servers need {overall_parts} parts, but {overall.planners} planners can serve at most "
            f"one part each, and a service can have at most {MAX_PARTS} parts",
        )
    return {(): overall_parts}


def _is_divided_by_region(
    overall: _GroupDemand,
    demand_by_region: dict[str, _GroupDemand],
    parts: dict[Scope, int],
    limits: Limits,
    previous_parts: dict[Scope, int],
) -> bool:
    """Return whether to divide a service by region: it does not fit one cell, and each part gets enough planners.

    `SHRINK_FACTOR` provides hysteresis. If the previous plan divides the service into parts that cover all regions, the
    service needs `SHRINK_FACTOR` times the minimum number of planners. If the previous plan divides the service by
    region, it becomes one cell only if `SHRINK_FACTOR` times its demand fits.
    """
    was_regional = any(scope for scope in previous_parts)
    if _min_parts(overall.scaled(SHRINK_FACTOR) if was_regional else overall, limits) == 1:
        return False
    min_planners = MIN_PLANNERS_PER_PART * (SHRINK_FACTOR if previous_parts.get((), 1) > 1 else 1)
    return all(
        parts[(region,)] <= MAX_PARTS and demand.planners >= min_planners * parts[(region,)]
        for region, demand in demand_by_region.items()
    )


def _choose_parts(demand: _GroupDemand, limits: Limits, previous_parts: int) -> int:
    """Return the number of parts of a group: the previous number, raised or lowered to the following bounds.

    The lower bound is the number of parts that the demand requires. The upper bound is the number that `SHRINK_FACTOR`
    times the demand requires, or fewer if a part would otherwise get too few planners or no server.
    """
    min_parts = _min_parts(demand, limits)
    retained_parts = min(
        previous_parts, _min_parts(demand.scaled(SHRINK_FACTOR), limits), demand.planners // MIN_PLANNERS_PER_PART
    )
    while (
        retained_parts > min_parts
        and demand.server_names
        and min(_part_sizes(demand.server_names, retained_parts)) == 0
    ):
        retained_parts -= 1
    parts = max(min_parts, retained_parts)
    while parts <= MAX_PARTS and max(_part_sizes(demand.server_names, parts)) > limits.servers:
        parts += 1
    return parts


def _min_parts(demand: _GroupDemand, limits: Limits) -> int:
    return max(parts_needed(demand.servers, limits.servers), -(-demand.planners // limits.planners), 1)


def _part_sizes(server_names: Sequence[str], parts: int) -> list[int]:
    """Return the number of servers in each part."""
    sizes = Counter(part_of(name, parts) for name in server_names)
    return [sizes[part] for part in range(parts)]


def _name_cells(
    groups: Mapping[tuple[str, Scope], int], previous_plan: Plan | None, first_port: int
) -> tuple[Cell, ...]:
    """Create the cells of all groups, with the names and ports of the previous plan.

    New ports are above the highest port of the previous plan. Lower free ports are used only if no higher ports are
    left, because planners may still poll the port of a removed cell and must not receive the list of another cell.
    """
    previous_cells = _cells_by_part(previous_plan)
    used_ports = {cell.port for cell in previous_cells.values()}
    used_names = {cell.name for cell in previous_cells.values()}
    highest_port = max([first_port - 1, *used_ports])
    candidate_ports = chain(range(highest_port + 1, MAX_PORT + 1), range(first_port, highest_port))
    cells: list[Cell] = []
    for (service, scope), parts in groups.items():
        for part in range(parts):
            previous_cell = previous_cells.get((service, scope, part))
            if previous_cell is not None:
                name = previous_cell.name
                port = previous_cell.port
            else:
                name = _new_cell_name(service, scope, part, used_names)
                port = next((port for port in candidate_ports if port not in used_ports), 0)
            if port == 0:
                raise CellPlanError(f"service {service!r}", f"no free port from {first_port} to {MAX_PORT}")
            used_names.add(name)
            used_ports.add(port)
            cells.append(Cell(name, service, scope, part, parts, port))
    return tuple(sorted(cells, key=lambda cell: (cell.service, cell.regions, cell.part)))


def _cells_by_part(plan: Plan | None) -> dict[tuple[str, Scope, int], Cell]:
    """Return the cells of a plan by service, scope and part; empty without a plan."""
    if plan is None:
        return {}
    return {(cell.service, cell.regions, cell.part): cell for cell in plan.cells}


def _new_cell_name(service: str, scope: Scope, part: int, used_names: set[str]) -> str:
    name = service if not scope and part == 0 else ".".join((service, *scope, str(part)))
    while name in used_names:  # the name of another service may look like that of a part
        name += "_"
    return name
