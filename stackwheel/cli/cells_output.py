"""Formats cell plans for `stackwheel cells`: tables, and documents for `--json`."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict

from rich.table import Table

from stackwheel.cells.assignment import discovery_addresses, relays_for_cell
from stackwheel.cells.movement import LoadRange, Movement, Spread
from stackwheel.cells.plan import Cell, Plan


def plan_document(plan: Plan, spread: Spread, movement: Movement | None) -> dict[str, object]:
    """Return the load distribution and the movement of a new plan as a JSON object."""
    return {
        "cells": len(plan.cells),
        "spread": {
            "servers_by_cell": range_document(spread.servers_by_cell),
            "servers_by_divided_cell": range_document(spread.servers_by_divided_cell),
            "cells_by_relay": range_document(spread.cells_by_relay),
            "servers_by_relay": range_document(spread.servers_by_relay),
        },
        "movement": None if movement is None else asdict(movement),
    }


def range_document(load: LoadRange | None) -> dict[str, float] | None:
    """Return the range of a count over cells or relays as a JSON object."""
    if load is None:
        return None
    return {"least": load.minimum, "mean": load.mean, "most": load.maximum}


def plan_table(plan: Plan, spread: Spread, movement: Movement | None) -> Table:
    """Return a table of the load distribution of a new plan, followed by what moves."""
    table = Table("count", "minimum", "mean", "maximum", box=None)
    ranges = {
        f"servers per cell ({len(plan.cells)} cells)": spread.servers_by_cell,
        "servers per cell of a divided service": spread.servers_by_divided_cell,
        f"cells per relay ({len(plan.relays)} relays)": spread.cells_by_relay,
        "servers per relay": spread.servers_by_relay,
    }
    for name, load in ranges.items():
        if load is not None:
            table.add_row(name, str(load.minimum), f"{load.mean:.1f}", str(load.maximum))
    if movement is not None:
        table.add_row(f"servers moved: {movement.servers_moved} of {movement.servers}")
        table.add_row(f"replicas moved: {movement.replicas_moved} of {movement.replicas}")
        table.add_row(f"cells added: {movement.cells_added}, removed: {movement.cells_removed}")
    return table


def cell_document(plan: Plan, cell: Cell) -> dict[str, object]:
    """Return a cell with its relays and the discovery addresses of its planners as a JSON object."""
    return {
        "name": cell.name,
        "service": cell.service,
        "regions": cell.regions,
        "part": cell.part,
        "parts": cell.parts,
        "port": cell.port,
        "relays": relay_names(plan, cell),
        "discovery": discovery_addresses(plan, cell),
    }


def cell_table(plan: Plan, cells: Sequence[Cell]) -> Table:
    """Return a table of cells with their relays."""
    table = Table("cell", "service", "regions", "part", "port", "relays", box=None)
    for cell in cells:
        regions = ", ".join(cell.regions) or "all"
        relays = ", ".join(relay_names(plan, cell))
        table.add_row(cell.name, cell.service, regions, f"{cell.part} of {cell.parts}", str(cell.port), relays)
    return table


def relay_names(plan: Plan, cell: Cell) -> list[str]:
    """Return the names of the relays that serve a cell, in order of preference."""
    return [relay.name for relay in relays_for_cell(cell.name, plan.relays)]
