"""Checks whether a valid plan fits a fleet: finds servers and planners without a cell, and empty or oversized cells."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from stackwheel.cells.assignment import CellIndex
from stackwheel.cells.plan import Plan


@dataclass(frozen=True, slots=True)
class ListedServer:
    """The properties of a listed server that determine its cell."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class NamedPlanner:
    """The properties of a planner that determine its cell: its name, the service for which it plans, and its region."""

    name: str
    service: str
    region: str


class Document(StrEnum):
    """The input document to which a finding refers."""

    PLAN = "plan"
    SERVERS = "servers"
    PLANNERS = "planners"


@dataclass(frozen=True, slots=True)
class Finding:
    """A mismatch between a plan and its fleet.

    Attributes:
        document: the input document to which `location` refers.
        location: the record to which the finding refers, for example `cells[3]`.
        reason: description of the mismatch.
    """

    document: Document
    location: str
    reason: str


@dataclass(frozen=True, slots=True)
class _DocumentCheck:
    """The findings in one document, and the number of servers or planners that it lists for each cell, by cell name."""

    findings: list[Finding]
    cell_sizes: Counter[str]


def check_plan_against_fleet(
    plan: Plan, servers: Sequence[ListedServer], planners: Sequence[NamedPlanner] | None = None
) -> tuple[Finding, ...]:
    """Return all mismatches between a valid plan and a fleet; planners are not checked if `planners` is None."""
    index = CellIndex(plan)
    server_check = _check_servers(plan, index, servers)
    findings = server_check.findings
    findings += _check_cell_sizes(plan, server_check.cell_sizes, "server", plan.limits.servers)
    if planners is not None:
        planner_check = _check_planners(index, planners)
        findings += planner_check.findings
        findings += _check_cell_sizes(plan, planner_check.cell_sizes, "planner", plan.limits.planners)
    return tuple(findings)


def _check_servers(plan: Plan, index: CellIndex, servers: Iterable[ListedServer]) -> _DocumentCheck:
    findings: list[Finding] = []
    cell_sizes: Counter[str] = Counter()
    first_positions: dict[str, int] = {}
    for position, server in enumerate(servers):
        location = f"instances[{position}]"
        if server.name in first_positions:
            reason = f"duplicate server {server.name!r}, first listed at instances[{first_positions[server.name]}]"
            findings.append(Finding(Document.SERVERS, location, reason))
            continue
        first_positions[server.name] = position
        if server.zone not in plan.regions:
            reason = f"server {server.name!r} is in unknown zone {server.zone!r}"
            findings.append(Finding(Document.SERVERS, location, reason))
        cell = index.cell_of(server.name, server.zone)
        if cell is not None:
            cell_sizes[cell.name] += 1
        elif server.zone in plan.regions:
            reason = f"no cell for server {server.name!r} in zone {server.zone!r}"
            findings.append(Finding(Document.SERVERS, location, reason))
    return _DocumentCheck(findings, cell_sizes)


def _check_cell_sizes(plan: Plan, cell_sizes: Counter[str], member: str, limit: int) -> list[Finding]:
    findings: list[Finding] = []
    for position, cell in enumerate(plan.cells):
        size = cell_sizes[cell.name]
        location = f"cells[{position}]"
        if size == 0:
            findings.append(Finding(Document.PLAN, location, f"cell {cell.name!r} has no {member}"))
        elif size > limit:
            reason = f"cell {cell.name!r} has {size} {member}s, at most {limit} are allowed"
            findings.append(Finding(Document.PLAN, location, reason))
    return findings


def _check_planners(index: CellIndex, planners: Sequence[NamedPlanner]) -> _DocumentCheck:
    findings: list[Finding] = []
    names_by_group: defaultdict[tuple[str, str | None], list[str]] = defaultdict(list)
    first_positions: dict[str, int] = {}
    for position, planner in enumerate(planners):
        location = f"planners[{position}]"
        if planner.name in first_positions:
            reason = f"duplicate planner {planner.name!r}, first listed at planners[{first_positions[planner.name]}]"
            findings.append(Finding(Document.PLANNERS, location, reason))
            continue
        first_positions[planner.name] = position
        region = None if (planner.service, None) in index.groups else planner.region
        if (planner.service, region) in index.groups:
            names_by_group[planner.service, region].append(planner.name)
        else:
            reason = f"no cell of service {planner.service!r} in region {planner.region!r} for planner {planner.name!r}"
            findings.append(Finding(Document.PLANNERS, location, reason))
    cell_sizes: Counter[str] = Counter()
    for (service, region), names in names_by_group.items():
        cell_sizes.update(cell.name for cell in index.cells_of_planners(names, service, region).values())
    return _DocumentCheck(findings, cell_sizes)
