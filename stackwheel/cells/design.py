"""Makes a cell plan from the sizes of services, with as little as possible moved from a former plan.

A service that fits both limits is one cell. A larger one is cut by region where every region has planners for it,
and otherwise into parts over all regions; what is still too large in a region is cut into parts. Servers come to
parts by rendezvous hashing, so a part holds a binomial number of them: parts are so many that the chance that any
of them is over the limit is at most OVERFLOW_RISK. Planners are dealt out evenly and need no such margin.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from stackwheel.cells.assignment import part_of, service_of
from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan import (
    MAX_PARTS,
    PORT_MOST,
    VERSION,
    Cell,
    CellPlanError,
    Limits,
    Plan,
    Relay,
    encode_valid_plan,
)

OVERFLOW_RISK = 0.001  # a service and region; at 300 that are cut, every third plan has a part to grow on the next one
PLANNERS_LEAST = 2  # of a cell that is cut from a service: one may fail
SHRINK_FACTOR = 2  # parts go only once fewer would do for this times the demand, so that what comes and goes with
# the day or with a release (servers doubled for a while) doesn't move servers each time
FIRST_PORT = 20_001  # above the ports of common services, and 12,767 below the first that Linux hands out by itself

Scope = tuple[str, ...]  # the regions of a group of cells; empty: all


@dataclass(frozen=True, slots=True)
class Demand:
    """What a service has in a region. With its servers' names, parts grow until none is over a limit."""

    service: str
    region: str
    servers: int
    planners: int
    server_names: tuple[str, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class _Need:
    """What a group of cells, the parts of a service in one scope, has to hold."""

    servers: int
    planners: int
    server_names: tuple[str, ...]

    def times(self, factor: int) -> _Need:
        return _Need(self.servers * factor, self.planners * factor, ())


def design(
    demand: Sequence[Demand],
    limits: Limits,
    regions: Mapping[str, str],
    relays: Iterable[Relay],
    former: Plan | None = None,
    first_port: int = FIRST_PORT,
) -> Plan:
    """A valid plan for a demand, which keeps names, ports and parts of the former one where they still hold.

    CellPlanError, with the service at fault, where no plan can hold it; for equal demand in any order the same plan.
    """
    former_parts = _parts_by_scope(former)
    groups: dict[tuple[str, Scope], int] = {}
    for service, by_region in sorted(_needs_by_service(demand).items()):
        for scope, parts in _cut(service, by_region, limits, former_parts.get(service, {})).items():
            groups[service, scope] = parts
    cells = _name_cells(groups, former, first_port)
    plan = Plan(VERSION, limits, dict(sorted(regions.items())), tuple(relays), cells)
    encode_valid_plan(plan)
    return plan


def demand_of(
    servers: Iterable[ListedServer], regions: Mapping[str, str], planners: int, source: str = "servers"
) -> tuple[Demand, ...]:
    """The demand of listed servers, with a number of planners shared out in proportion to them.

    Each service gets one planner at least. CellPlanError where no server is listed, one is listed twice or in an
    unknown zone, or there are fewer planners than services; what is wrong with the list begins with `source`.
    """
    names: defaultdict[str, defaultdict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    seen: dict[str, int] = {}
    for number, server in enumerate(servers):
        if server.zone not in regions:
            raise CellPlanError(
                f"{source}: instances[{number}].zone", f"unknown zone {server.zone!r} of {server.name!r}"
            )
        if server.name in seen:
            raise CellPlanError(
                f"{source}: instances[{number}]", f"{server.name!r} is also instances[{seen[server.name]}]"
            )
        seen[server.name] = number
        names[service_of(server.name)][regions[server.zone]].append(server.name)
    if not names:
        raise CellPlanError(source, "no server is listed")
    if planners < len(names):
        raise CellPlanError("planners", f"{planners} for {len(names)} services, each needs one at least")
    sizes = {service: sum(map(len, by_region.values())) for service, by_region in names.items()}
    shares = apportion(planners, sizes, 1)
    found: list[Demand] = []
    for service, by_region in sorted(names.items()):
        local = apportion(shares[service], {region: len(found) for region, found in by_region.items()}, 0)
        for region, listed in sorted(by_region.items()):
            found.append(Demand(service, region, len(listed), local[region], tuple(sorted(listed))))
    return tuple(found)


def apportion(total: int, weights: Mapping[str, int], least: int) -> dict[str, int]:
    """Whole shares of a total in proportion to weights by the largest remainder, after `least` to each."""
    shared = total - least * len(weights)
    weight = sum(weights.values()) or 1
    found = {key: least + shared * part // weight for key, part in weights.items()}
    left = total - sum(found.values())
    by_remainder = sorted(weights, key=lambda key: (-(shared * weights[key] % weight), key))
    for key in by_remainder[:left]:
        found[key] += 1
    return found


def parts_needed(servers: int, most: int) -> int:
    """The least number of parts, none of which is over the limit but with a chance of OVERFLOW_RISK.

    Source: Chernoff's bound. A part of `parts` holds Binomial(servers, p = 1/parts) servers, and the chance of
    a = (most + 1)/servers or more is at most exp(-servers * D(a||p)), D being the relative entropy; times `parts`.
    """
    if servers <= most:
        return 1
    for parts in range(-(-servers // most), MAX_PARTS + 1):
        if parts * _tail(servers, most + 1, 1 / parts) <= OVERFLOW_RISK:
            return parts
    return MAX_PARTS + 1


def _tail(count: int, least: int, chance: float) -> float:
    """A bound on the chance that at least `least` of `count` draws, each with `chance`, come out."""
    share = least / count
    if share <= chance:
        return 1.0
    entropy = share * math.log(share / chance)
    if share < 1.0:
        entropy += (1.0 - share) * math.log((1.0 - share) / (1.0 - chance))
    return math.exp(-count * entropy)


def _needs_by_service(demand: Sequence[Demand]) -> dict[str, dict[str, _Need]]:
    found: defaultdict[str, dict[str, _Need]] = defaultdict(dict)
    for number, item in enumerate(demand):
        place = f"demand[{number}]"
        if item.servers < 0 or item.planners < 0:
            raise CellPlanError(place, f"{item.servers} servers, {item.planners} planners")
        if item.server_names and len(item.server_names) != item.servers:
            raise CellPlanError(place, f"{len(item.server_names)} names of {item.servers} servers")
        if item.region in found[item.service]:
            raise CellPlanError(place, f"service {item.service!r} in region {item.region!r} twice")
        if item.servers or item.planners:
            found[item.service][item.region] = _Need(item.servers, item.planners, item.server_names)
    return {service: by_region for service, by_region in found.items() if by_region}


def _parts_by_scope(plan: Plan | None) -> dict[str, dict[Scope, int]]:
    found: defaultdict[str, dict[Scope, int]] = defaultdict(dict)
    for cell in plan.cells if plan is not None else ():
        found[cell.service][cell.regions] = cell.parts
    return found


def _cut(service: str, by_region: dict[str, _Need], limits: Limits, former: dict[Scope, int]) -> dict[Scope, int]:
    """The scopes of a service and the number of parts in each."""
    everywhere = _Need(
        sum(need.servers for need in by_region.values()),
        sum(need.planners for need in by_region.values()),
        tuple(name for need in by_region.values() for name in need.server_names),
    )
    if everywhere.planners == 0:
        raise CellPlanError(f"service {service!r}", f"no planner for {everywhere.servers} servers")
    regional: dict[Scope, int] = {
        (region,): _parts(need, limits, former.get((region,), 0)) for region, need in sorted(by_region.items())
    }
    if _is_regional(everywhere, by_region, regional, limits, former):
        return regional
    whole = _parts(everywhere, limits, former.get((), 0))
    if whole > min(MAX_PARTS, everywhere.planners):
        raise CellPlanError(
            f"service {service!r}",
            f"{everywhere.servers} servers need {whole} parts, {everywhere.planners} planners and at most {MAX_PARTS} "
            "parts are possible",
        )
    return {(): whole}


def _is_regional(
    everywhere: _Need, by_region: dict[str, _Need], parts: dict[Scope, int], limits: Limits, former: dict[Scope, int]
) -> bool:
    """Whether a service is cut by region: it has to be cut, and each part of a region gets planners enough.

    A service that is cut otherwise in the former plan changes over only once there are SHRINK_FACTOR times enough,
    and one that is cut by region goes back to one cell only once SHRINK_FACTOR times its demand fits that.
    """
    was_regional = any(scope for scope in former)
    if _least_parts(everywhere.times(SHRINK_FACTOR) if was_regional else everywhere, limits) == 1:
        return False
    least = PLANNERS_LEAST * (SHRINK_FACTOR if former.get((), 1) > 1 else 1)
    return all(
        parts[(region,)] <= MAX_PARTS and need.planners >= least * parts[(region,)]
        for region, need in by_region.items()
    )


def _parts(need: _Need, limits: Limits, former: int) -> int:
    """The parts of a group: the former number, unless that is too small, or SHRINK_FACTOR times larger than needed,
    or leaves a part without planners enough or without a server."""
    least = _least_parts(need, limits)
    kept = min(former, _least_parts(need.times(SHRINK_FACTOR), limits), need.planners // PLANNERS_LEAST)
    while kept > least and need.server_names and min(_held(need.server_names, kept)) == 0:
        kept -= 1
    parts = max(least, kept)
    while parts <= MAX_PARTS and max(_held(need.server_names, parts)) > limits.servers:
        parts += 1
    return parts


def _least_parts(need: _Need, limits: Limits) -> int:
    return max(parts_needed(need.servers, limits.servers), -(-need.planners // limits.planners), 1)


def _held(server_names: Sequence[str], parts: int) -> list[int]:
    """How many of the servers each part holds."""
    count = Counter(part_of(name, parts) for name in server_names)
    return [count[part] for part in range(parts)]


def _name_cells(groups: Mapping[tuple[str, Scope], int], former: Plan | None, first_port: int) -> tuple[Cell, ...]:
    """Cells of groups, with the names and ports of the former plan.

    New ports come after the highest former one, and only when there are none left from what is free: a planner that
    still asks at a port that was given up must not be served the list of another cell.
    """
    known = {(cell.service, cell.regions, cell.part): cell for cell in former.cells} if former is not None else {}
    used = {cell.port for cell in known.values()}
    names = {cell.name for cell in known.values()}
    after = max([first_port - 1, *used])
    fresh = (port for ports in (range(after + 1, PORT_MOST + 1), range(first_port, after)) for port in ports)
    found: list[Cell] = []
    for (service, scope), parts in groups.items():
        for part in range(parts):
            old = known.get((service, scope, part))
            name = old.name if old is not None else _cell_name(service, scope, part, parts, names)
            names.add(name)
            port = old.port if old is not None else next((port for port in fresh if port not in used), 0)
            if port == 0:
                raise CellPlanError(f"service {service!r}", f"no port is left from {first_port} to {PORT_MOST}")
            used.add(port)
            found.append(Cell(name, service, scope, part, parts, port))
    return tuple(sorted(found, key=lambda cell: (cell.service, cell.regions, cell.part)))


def _cell_name(service: str, scope: Scope, part: int, parts: int, taken: set[str]) -> str:
    name = service if not scope and part == 0 else ".".join((service, *scope, str(part)))
    while name in taken:  # another service may be called as a part of this one would be
        name += "_"
    return name
