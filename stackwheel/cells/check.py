"""Checks a valid plan against its fleet: servers and planners without a cell, cells that are empty or over a limit."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from stackwheel.cells.assignment import CellIndex
from stackwheel.cells.plan import Plan


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server of the endpoint list, as far as cells are concerned."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class NamedPlanner:
    """A planner, the service that it plans for and the region that it runs in."""

    name: str
    service: str
    region: str


class Document(StrEnum):
    """The document that a finding is about."""

    PLAN = "plan"
    SERVERS = "servers"
    PLANNERS = "planners"


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault: the document, the place in it, and the reason."""

    document: Document
    location: str
    reason: str


@dataclass(frozen=True, slots=True)
class _Census:
    """What one document holds for the cells: the faults found in it and the members of each cell by name."""

    findings: list[Finding]
    cell_sizes: Counter[str]


def check_plan_against_fleet(
    plan: Plan, servers: Sequence[ListedServer], planners: Sequence[NamedPlanner] | None = None
) -> tuple[Finding, ...]:
    """All faults of a valid plan for these servers, and for these planners where they are given."""
    index = CellIndex(plan)
    server_census = _check_servers(plan, index, servers)
    findings = server_census.findings
    findings += _check_cell_sizes(plan, server_census.cell_sizes, "server", plan.limits.servers)
    if planners is not None:
        planner_census = _check_planners(index, planners)
        findings += planner_census.findings
        findings += _check_cell_sizes(plan, planner_census.cell_sizes, "planner", plan.limits.planners)
    return tuple(findings)


def _check_servers(plan: Plan, index: CellIndex, servers: Iterable[ListedServer]) -> _Census:
    findings: list[Finding] = []
    cell_sizes: Counter[str] = Counter()
    first_positions: dict[str, int] = {}
    for position, server in enumerate(servers):
        place = f"instances[{position}]"
        if server.name in first_positions:
            reason = f"{server.name!r} is also instances[{first_positions[server.name]}]"
            findings.append(Finding(Document.SERVERS, place, reason))
            continue
        first_positions[server.name] = position
        if server.zone not in plan.regions:
            reason = f"{server.name!r} is in unknown zone {server.zone!r}"
            findings.append(Finding(Document.SERVERS, place, reason))
        cell = index.cell_of(server.name, server.zone)
        if cell is not None:
            cell_sizes[cell.name] += 1
        elif server.zone in plan.regions:
            reason = f"no cell holds {server.name!r} in zone {server.zone!r}"
            findings.append(Finding(Document.SERVERS, place, reason))
    return _Census(findings, cell_sizes)


def _check_cell_sizes(plan: Plan, cell_sizes: Counter[str], member: str, limit: int) -> list[Finding]:
    findings: list[Finding] = []
    for position, cell in enumerate(plan.cells):
        size = cell_sizes[cell.name]
        place = f"cells[{position}]"
        if size == 0:
            findings.append(Finding(Document.PLAN, place, f"cell {cell.name!r} has no {member}"))
        elif size > limit:
            reason = f"cell {cell.name!r} has {size} {member}s, at most {limit} are allowed"
            findings.append(Finding(Document.PLAN, place, reason))
    return findings


def _check_planners(index: CellIndex, planners: Sequence[NamedPlanner]) -> _Census:
    findings: list[Finding] = []
    names_by_group: defaultdict[tuple[str, str | None], list[str]] = defaultdict(list)
    first_positions: dict[str, int] = {}
    for position, planner in enumerate(planners):
        place = f"planners[{position}]"
        if planner.name in first_positions:
            reason = f"{planner.name!r} is also planners[{first_positions[planner.name]}]"
            findings.append(Finding(Document.PLANNERS, place, reason))
            continue
        first_positions[planner.name] = position
        region = None if (planner.service, None) in index.groups else planner.region
        if (planner.service, region) in index.groups:
            names_by_group[planner.service, region].append(planner.name)
        else:
            reason = f"no cell of service {planner.service!r} in region {planner.region!r} for {planner.name!r}"
            findings.append(Finding(Document.PLANNERS, place, reason))
    cell_sizes: Counter[str] = Counter()
    for (service, region), names in names_by_group.items():
        cell_sizes.update(cell.name for cell in index.cells_of_planners(names, service, region).values())
    return _Census(findings, cell_sizes)
