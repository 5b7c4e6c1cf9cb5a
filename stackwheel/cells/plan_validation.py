"""What makes a cell plan valid: unique names and ports, known regions, and one cell for each server."""

from __future__ import annotations

from collections import defaultdict
from typing import TypeVar

from stackwheel.cells.plan import PLAN_FORMAT_VERSION, REPLICAS, Cell, CellPlanError, Plan, Relay

Key = TypeVar("Key", str, int)


def validate(plan: Plan, source: str = "plan") -> None:
    """Check that a plan can hold.

    Raises:
        CellPlanError: it can't; the place follows `source`.
    """
    if plan.version != PLAN_FORMAT_VERSION:
        raise CellPlanError(f"{source}: version", f"{plan.version} is unknown, {PLAN_FORMAT_VERSION} is known")
    _validate_relays(plan.relays, source)
    _validate_cells(plan, source)
    _validate_groups(plan.cells, source)


def _validate_relays(relays: tuple[Relay, ...], source: str) -> None:
    if len(relays) < REPLICAS:
        raise CellPlanError(f"{source}: relays", f"{len(relays)} given, at least {REPLICAS} needed")
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
        place = f"{source}: cells[{position}]"
        for index, region in enumerate(cell.regions):
            if region not in known_regions:
                raise CellPlanError(f"{place}.regions[{index}]", f"unknown region {region!r}")
            if region in cell.regions[:index]:
                raise CellPlanError(f"{place}.regions[{index}]", f"region {region!r} twice")
        if cell.part >= cell.parts:
            raise CellPlanError(f"{place}.part", f"{cell.part} of {cell.parts} parts")


def _check_unique(first_positions: dict[Key, int], key: Key, position: int, source: str, field: str) -> None:
    if key in first_positions:
        raise CellPlanError(f"{source}[{position}].{field}", f"{key!r} is also that of [{first_positions[key]}]")
    first_positions[key] = position


def _validate_groups(cells: tuple[Cell, ...], source: str) -> None:
    """Check that no two cells cover the same server, and that the parts of each service and regions are complete."""
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
    owners: dict[str, int] = {}
    for regions, (position, *_) in groups.items():
        place = f"{source}: cells[{position}].regions"
        service = cells[position].service
        if not regions:
            other = next(positions[0] for key, positions in groups.items() if key)
            raise CellPlanError(place, f"all regions of service {service!r} include those of cells[{other}]")
        for region in sorted(regions):
            if region in owners:
                raise CellPlanError(place, f"{region!r} of service {service!r} is also that of cells[{owners[region]}]")
            owners[region] = position


def _validate_parts(cells: tuple[Cell, ...], positions: list[int], source: str) -> None:
    first = positions[0]
    parts = cells[first].parts
    first_positions: dict[int, int] = {}
    for position in positions:
        cell = cells[position]
        place = f"{source}: cells[{position}]"
        if cell.parts != parts:
            raise CellPlanError(f"{place}.parts", f"{cell.parts}, but cells[{first}] says {parts}")
        if cell.part in first_positions:
            reason = f"part {cell.part} is also that of cells[{first_positions[cell.part]}]"
            raise CellPlanError(f"{place}.part", reason)
        first_positions[cell.part] = position
    if len(first_positions) < parts:
        missing = next(part for part in range(parts) if part not in first_positions)
        raise CellPlanError(f"{source}: cells[{first}].parts", f"part {missing} of {parts} is missing")
