"""Validates cell plans: unique names, hosts and ports, known regions, and at most one cell for each server."""

from __future__ import annotations

from collections import defaultdict
from typing import TypeVar

from stackwheel.cells.plan import PLAN_FORMAT_VERSION, REPLICAS, Cell, CellPlanError, Plan, Relay

Key = TypeVar("Key", str, int)


def validate(plan: Plan, source: str = "plan") -> None:
    """Check the consistency of a plan.

    Args:
        plan: the plan.
        source: name of the file or plan, with which the location in errors begins.

    Raises:
        CellPlanError: the plan is invalid.
    """
    if plan.version != PLAN_FORMAT_VERSION:
        raise CellPlanError(f"{source}: version", f"unsupported version {plan.version}, expected {PLAN_FORMAT_VERSION}")
    _validate_relays(plan.relays, source)
    _validate_cells(plan, source)
    _validate_groups(plan.cells, source)


def _validate_relays(relays: tuple[Relay, ...], source: str) -> None:
    if len(relays) < REPLICAS:
        raise CellPlanError(f"{source}: relays", f"{len(relays)} relays, expected at least {REPLICAS}")
    names: dict[str, int] = {}
    hosts: dict[str, int] = {}
    for position, relay in enumerate(relays):
        _check_unique(names, relay.name, position, f"{source}: relays", "name")
        _check_unique(hosts, relay.host, position, f"{source}: relays", "host")


def _validate_cells(plan: Plan, source: str) -> None:
    known_regions = set(plan.regions.values())
    names: dict[str, int] = {}
    ports: dict[int, int] = {}
    for position, cell in enumerate(plan.cells):
        _check_unique(names, cell.name, position, f"{source}: cells", "name")
        _check_unique(ports, cell.port, position, f"{source}: cells", "port")
        location = f"{source}: cells[{position}]"
        for index, region in enumerate(cell.regions):
            if region not in known_regions:
                raise CellPlanError(f"{location}.regions[{index}]", f"unknown region {region!r}")
            if region in cell.regions[:index]:
                raise CellPlanError(f"{location}.regions[{index}]", f"duplicate region {region!r}")
        if cell.part >= cell.parts:
            raise CellPlanError(f"{location}.part", f"{cell.part} is not less than the number of parts, {cell.parts}")


def _check_unique(first_positions: dict[Key, int], key: Key, position: int, source: str, field: str) -> None:
    if key in first_positions:
        raise CellPlanError(
            f"{source}[{position}].{field}", f"duplicate value {key!r}, first used at index {first_positions[key]}"
        )
    first_positions[key] = position


def _validate_groups(cells: tuple[Cell, ...], source: str) -> None:
    """Check that no two cells cover the same server, and that each service has all its parts in each set of regions."""
    services: defaultdict[str, dict[frozenset[str], list[int]]] = defaultdict(dict)
    for position, cell in enumerate(cells):
        services[cell.service].setdefault(frozenset(cell.regions), []).append(position)
    for groups in services.values():
        _validate_overlap(cells, groups, source)
        for positions in groups.values():
            _validate_parts(cells, positions, source)


def _validate_overlap(cells: tuple[Cell, ...], groups: dict[frozenset[str], list[int]], source: str) -> None:
    if len(groups) < 2:
        return
    cell_by_region: dict[str, int] = {}
    for regions, (position, *_) in groups.items():
        location = f"{source}: cells[{position}].regions"
        service = cells[position].service
        if not regions:
            other = next(positions[0] for key, positions in groups.items() if key)
            raise CellPlanError(location, f"all regions of service {service!r}, which overlaps with cells[{other}]")
        for region in sorted(regions):
            if region in cell_by_region:
                raise CellPlanError(
                    location, f"region {region!r} of service {service!r} is already in cells[{cell_by_region[region]}]"
                )
            cell_by_region[region] = position


def _validate_parts(cells: tuple[Cell, ...], positions: list[int], source: str) -> None:
    first = positions[0]
    parts = cells[first].parts
    first_positions: dict[int, int] = {}
    for position in positions:
        cell = cells[position]
        location = f"{source}: cells[{position}]"
        if cell.parts != parts:
            raise CellPlanError(f"{location}.parts", f"{cell.parts} parts, expected {parts} as in cells[{first}]")
        if cell.part in first_positions:
            reason = f"duplicate part {cell.part}, first used by cells[{first_positions[cell.part]}]"
            raise CellPlanError(f"{location}.part", reason)
        first_positions[cell.part] = position
    if len(first_positions) < parts:
        missing = next(part for part in range(parts) if part not in first_positions)
        raise CellPlanError(f"{source}: cells[{first}].parts", f"part {missing} of {parts} is missing")
