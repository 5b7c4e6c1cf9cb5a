"""Makes a cell plan from the sizes of services, with as little as possible moved from a former plan.

A service that fits both limits is one cell. A larger one is cut by region where every region has planners for it,
and otherwise into parts over all regions; what is still too large in a region is cut into parts. Servers come to
parts by rendezvous hashing, so a part holds a binomial number of them: parts are so many that the chance that any
of them is over the limit is at most OVERFLOW_RISK. Planners are assigned evenly and need no such margin.
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

MIN_PLANNERS_PER_PART = 2  # of a service that is cut: one may fail
SHRINK_FACTOR = 2  # parts go only once fewer would do for this times the demand, so that what comes and goes with
# the day or with a release (servers doubled for a while) doesn't move servers each time
DEFAULT_FIRST_PORT = 20_001
"""Default of the lowest cell port, between the ports of common services and the ephemeral ports of Linux."""

Scope = tuple[str, ...]  # the regions of a group of cells; empty: all


@dataclass(frozen=True, slots=True)
class _Need:
    """What a group of cells, the parts of a service in one scope, has to hold."""

    servers: int
    planners: int
    server_names: tuple[str, ...]

    def times(self, factor: int) -> _Need:
        """The needs of as many groups as `factor`, without their names."""
        return _Need(self.servers * factor, self.planners * factor, ())


def design(
    demand: Sequence[Demand],
    limits: Limits,
    regions: Mapping[str, str],
    relays: Iterable[Relay],
    former: Plan | None = None,
    first_port: int = DEFAULT_FIRST_PORT,
) -> Plan:
    """A valid plan for a demand, which keeps names, ports and parts of the former one where they still hold.

    For equal demand in any order the plan is the same.

    Args:
        demand: at most one item a service and region.
        limits: the most servers and planners of a cell.
        regions: the region of each zone.
        relays: all relays of the fleet.
        former: the plan in force.
        first_port: the lowest port that a new cell may get.

    Raises:
        CellPlanError: no plan can hold the demand; it names the service at fault.
    """
    former_parts = _parts_by_scope(former)
    groups: dict[tuple[str, Scope], int] = {}
    for service, needs_by_region in sorted(_needs_by_service(demand).items()):
        parts_by_scope = _cut_service(service, needs_by_region, limits, former_parts.get(service, {}))
        for scope, parts in parts_by_scope.items():
            groups[service, scope] = parts
    cells = _name_cells(groups, former, first_port)
    plan = Plan(PLAN_FORMAT_VERSION, limits, dict(sorted(regions.items())), tuple(relays), cells)
    encode_valid_plan(plan)
    return plan


def _needs_by_service(demand: Sequence[Demand]) -> dict[str, dict[str, _Need]]:
    needs: defaultdict[str, dict[str, _Need]] = defaultdict(dict)
    for position, item in enumerate(demand):
        place = f"demand[{position}]"
        if item.servers < 0 or item.planners < 0:
            raise CellPlanError(place, f"{item.servers} servers, {item.planners} planners")
        if item.server_names and len(item.server_names) != item.servers:
            raise CellPlanError(place, f"{len(item.server_names)} names of {item.servers} servers")
        if item.region in needs[item.service]:
            raise CellPlanError(place, f"service {item.service!r} in region {item.region!r} twice")
        if item.servers or item.planners:
            needs[item.service][item.region] = _Need(item.servers, item.planners, item.server_names)
    return {service: by_region for service, by_region in needs.items() if by_region}


def _parts_by_scope(plan: Plan | None) -> dict[str, dict[Scope, int]]:
    parts: defaultdict[str, dict[Scope, int]] = defaultdict(dict)
    for cell in plan.cells if plan is not None else ():
        parts[cell.service][cell.regions] = cell.parts
    return parts


def _cut_service(
    service: str, needs_by_region: dict[str, _Need], limits: Limits, former: dict[Scope, int]
) -> dict[Scope, int]:
    """The scopes of a service and the number of parts in each."""
    overall = _Need(
        sum(need.servers for need in needs_by_region.values()),
        sum(need.planners for need in needs_by_region.values()),
        tuple(name for need in needs_by_region.values() for name in need.server_names),
    )
    if overall.planners == 0:
        raise CellPlanError(f"service {service!r}", f"no planner for {overall.servers} servers")
    regional_parts: dict[Scope, int] = {
        (region,): _choose_parts(need, limits, former.get((region,), 0))
        for region, need in sorted(needs_by_region.items())
    }
    if _is_cut_by_region(overall, needs_by_region, regional_parts, limits, former):
        return regional_parts
    overall_parts = _choose_parts(overall, limits, former.get((), 0))
    if overall_parts > min(MAX_PARTS, overall.planners):
        raise CellPlanError(
            f"service {service!r}",
            f"{overall.servers} servers need {overall_parts} parts, {overall.planners} planners and at most "
            f"{MAX_PARTS} parts are possible",
        )
    return {(): overall_parts}


def _is_cut_by_region(
    overall: _Need, needs_by_region: dict[str, _Need], parts: dict[Scope, int], limits: Limits, former: dict[Scope, int]
) -> bool:
    """Whether a service is cut by region: it has to be cut, and each part of a region gets planners enough.

    A service that is cut otherwise in the former plan changes over only once there are SHRINK_FACTOR times enough,
    and one that is cut by region goes back to one cell only once SHRINK_FACTOR times its demand fits that.
    """
    was_regional = any(scope for scope in former)
    if _min_parts(overall.times(SHRINK_FACTOR) if was_regional else overall, limits) == 1:
        return False
    min_planners = MIN_PLANNERS_PER_PART * (SHRINK_FACTOR if former.get((), 1) > 1 else 1)
    return all(
        parts[(region,)] <= MAX_PARTS and need.planners >= min_planners * parts[(region,)]
        for region, need in needs_by_region.items()
    )


def _choose_parts(need: _Need, limits: Limits, former: int) -> int:
    """The parts of a group: the former number, as long as that suits.

    It doesn't where it is too small, SHRINK_FACTOR times larger than needed, or leaves a part without enough planners
    or without a server.
    """
    min_parts = _min_parts(need, limits)
    kept = min(former, _min_parts(need.times(SHRINK_FACTOR), limits), need.planners // MIN_PLANNERS_PER_PART)
    while kept > min_parts and need.server_names and min(_part_sizes(need.server_names, kept)) == 0:
        kept -= 1
    parts = max(min_parts, kept)
    while parts <= MAX_PARTS and max(_part_sizes(need.server_names, parts)) > limits.servers:
        parts += 1
    return parts


def _min_parts(need: _Need, limits: Limits) -> int:
    return max(parts_needed(need.servers, limits.servers), -(-need.planners // limits.planners), 1)


def _part_sizes(server_names: Sequence[str], parts: int) -> list[int]:
    """How many of the servers belong to each part."""
    sizes = Counter(part_of(name, parts) for name in server_names)
    return [sizes[part] for part in range(parts)]


def _name_cells(groups: Mapping[tuple[str, Scope], int], former: Plan | None, first_port: int) -> tuple[Cell, ...]:
    """Cells of groups, with the names and ports of the former plan.

    New ports come after the highest former one, and only when there are none left from what is free: a planner that
    still polls a port that was given up must not be served the list of another cell.
    """
    former_cells = _cells_by_part(former)
    used_ports = {cell.port for cell in former_cells.values()}
    used_names = {cell.name for cell in former_cells.values()}
    highest_port = max([first_port - 1, *used_ports])
    candidate_ports = chain(range(highest_port + 1, MAX_PORT + 1), range(first_port, highest_port))
    cells: list[Cell] = []
    for (service, scope), parts in groups.items():
        for part in range(parts):
            former_cell = former_cells.get((service, scope, part))
            if former_cell is not None:
                name = former_cell.name
                port = former_cell.port
            else:
                name = _new_cell_name(service, scope, part, used_names)
                port = next((port for port in candidate_ports if port not in used_ports), 0)
            if port == 0:
                raise CellPlanError(f"service {service!r}", f"no port is left from {first_port} to {MAX_PORT}")
            used_names.add(name)
            used_ports.add(port)
            cells.append(Cell(name, service, scope, part, parts, port))
    return tuple(sorted(cells, key=lambda cell: (cell.service, cell.regions, cell.part)))


def _cells_by_part(plan: Plan | None) -> dict[tuple[str, Scope, int], Cell]:
    """The cells of a plan, if there is one, by service, scope and part."""
    if plan is None:
        return {}
    return {(cell.service, cell.regions, cell.part): cell for cell in plan.cells}


def _new_cell_name(service: str, scope: Scope, part: int, used_names: set[str]) -> str:
    name = service if not scope and part == 0 else ".".join((service, *scope, str(part)))
    while name in used_names:  # another service may be called as a part of this one would be
        name += "_"
    return name
