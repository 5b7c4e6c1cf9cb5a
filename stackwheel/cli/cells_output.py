"""Cell plans as `stackwheel cells` prints them: tables for a reader, documents for `--json`."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict

from rich.table import Table

from stackwheel.cells.assignment import discovery_addresses, relays_for_cell
from stackwheel.cells.movement import LoadRange, Movement, Spread
from stackwheel.cells.plan import Cell, Plan


def plan_document(plan: Plan, spread: Spread, movement: Movement | None) -> dict[str, object]:
    """A new plan's figures."""
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
    """A figure's range over cells or relays."""
    if load is None:
        return None
    return {"least": load.minimum, "mean": load.mean, "most": load.maximum}


def plan_table(plan: Plan, spread: Spread, movement: Movement | None) -> Table:
    """A new plan's figures: how it spreads load, then what moves."""
    table = Table("figure", "least", "mean", "most", box=None)
    ranges = {
        f"servers by cell ({len(plan.cells)} cells)": spread.servers_by_cell,
        "servers by cell that is a part": spread.servers_by_divided_cell,
        f"cells by relay ({len(plan.relays)} relays)": spread.cells_by_relay,
        "servers by relay": spread.servers_by_relay,
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
    """One cell with its relays and the discovery addresses of its planners."""
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
    """Cells with their relays."""
    table = Table("cell", "service", "regions", "part", "port", "relays", box=None)
    for cell in cells:
        regions = ", ".join(cell.regions) or "all"
        relays = ", ".join(relay_names(plan, cell))
        table.add_row(cell.name, cell.service, regions, f"{cell.part} of {cell.parts}", str(cell.port), relays)
    return table


def relay_names(plan: Plan, cell: Cell) -> list[str]:
    """The relays that serve a cell, the first choice first."""
    return [relay.name for relay in relays_for_cell(cell.name, plan.relays)]
