"""What is wrong between a valid plan and the fleet it is for: servers and planners without a cell, cells that are
empty or over their limits."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from stackwheel.cells.assignment import CellIndex
from stackwheel.cells.plan import Plan


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server as the registry lists it, as far as cells are concerned."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class NamedPlanner:
    """A planner, the service that it plans for and the region that it runs in."""

    name: str
    service: str
    region: str


class Document(StrEnum):
    """Where the cause of a finding stands."""

    PLAN = "plan"
    SERVERS = "servers"
    PLANNERS = "planners"


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault: the document, the place in it, and the reason."""

    document: Document
    place: str
    reason: str


def check_against(
    plan: Plan, servers: Sequence[ListedServer], planners: Sequence[NamedPlanner] | None = None
) -> tuple[Finding, ...]:
    """All faults of a valid plan for these servers, and for these planners where they are given."""
    index = CellIndex(plan)
    found, held = _check_servers(plan, index, servers)
    found += _check_cells(plan, held, "server", plan.limits.servers)
    if planners is not None:
        faults, planned = _check_planners(index, planners)
        found += faults + _check_cells(plan, planned, "planner", plan.limits.planners)
    return tuple(found)


def _check_servers(plan: Plan, index: CellIndex, servers: Iterable[ListedServer]) -> tuple[list[Finding], Counter[str]]:
    found: list[Finding] = []
    held: Counter[str] = Counter()
    seen: dict[str, int] = {}
    for number, server in enumerate(servers):
        place = f"instances[{number}]"
        if server.name in seen:
            found.append(Finding(Document.SERVERS, place, f"{server.name!r} is also instances[{seen[server.name]}]"))
            continue
        seen[server.name] = number
        if server.zone not in plan.regions:
            found.append(Finding(Document.SERVERS, place, f"{server.name!r} is in unknown zone {server.zone!r}"))
        cell = index.cell_of(server.name, server.zone)
        if cell is not None:
            held[cell.name] += 1
        elif server.zone in plan.regions:
            found.append(Finding(Document.SERVERS, place, f"no cell holds {server.name!r} in zone {server.zone!r}"))
    return found, held


def _check_cells(plan: Plan, held: Counter[str], what: str, most: int) -> list[Finding]:
    found: list[Finding] = []
    for number, cell in enumerate(plan.cells):
        count = held[cell.name]
        if count == 0:
            found.append(Finding(Document.PLAN, f"cells[{number}]", f"cell {cell.name!r} has no {what}"))
        elif count > most:
            reason = f"cell {cell.name!r} has {count} {what}s, at most {most} are allowed"
            found.append(Finding(Document.PLAN, f"cells[{number}]", reason))
    return found


def _check_planners(index: CellIndex, planners: Sequence[NamedPlanner]) -> tuple[list[Finding], Counter[str]]:
    found: list[Finding] = []
    held: Counter[str] = Counter()
    groups: defaultdict[tuple[str, str | None], list[str]] = defaultdict(list)
    seen: dict[str, int] = {}
    for number, planner in enumerate(planners):
        place = f"planners[{number}]"
        if planner.name in seen:
            found.append(Finding(Document.PLANNERS, place, f"{planner.name!r} is also planners[{seen[planner.name]}]"))
            continue
        seen[planner.name] = number
        region = None if (planner.service, None) in index.groups else planner.region
        if (planner.service, region) in index.groups:
            groups[planner.service, region].append(planner.name)
        else:
            reason = f"no cell of service {planner.service!r} in region {planner.region!r} for {planner.name!r}"
            found.append(Finding(Document.PLANNERS, place, reason))
    for (service, region), names in groups.items():
        held.update(cell.name for cell in index.cells_of_planners(names, service, region).values())
    return found, held
