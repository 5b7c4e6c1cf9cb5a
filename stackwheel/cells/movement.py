"""Counts the servers and cells that move between two plans, and measures how evenly a plan distributes load.

A replica of a cell is the cell's endpoint list as served by one relay.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from stackwheel.cells.assignment import CellIndex, relays_for_cell
from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan import REPLICAS, Plan


@dataclass(frozen=True, slots=True)
class Movement:
    """The numbers of servers, cells and replicas that move from one plan to another.

    Attributes:
        servers_moved: number of servers whose cells in the two plans have different names.
        servers: number of servers with a cell in both plans.
        cells_added: number of cells that are only in the new plan.
        cells_removed: number of cells that are only in the previous plan.
        replicas_moved: number of replicas among those in `replicas` whose relays did not serve the cell in the previous
            plan.
        replicas: number of replicas in the new plan of the cells that are in both plans.
    """

    servers_moved: int
    servers: int
    cells_added: int
    cells_removed: int
    replicas_moved: int
    replicas: int


@dataclass(frozen=True, slots=True)
class LoadRange:
    """The minimum, mean and maximum of a value over cells or relays."""

    minimum: int
    mean: float
    maximum: int


@dataclass(frozen=True, slots=True)
class Spread:
    """The distribution of servers over cells, and of cells and their servers over relays.

    Attributes:
        servers_by_cell: number of servers per cell.
        servers_by_divided_cell: number of servers per cell that is one of several parts of a service; None if no
            service has several parts.
        cells_by_relay: number of cells per relay.
        servers_by_relay: number of servers in the cells that a relay serves.
    """

    servers_by_cell: LoadRange
    servers_by_divided_cell: LoadRange | None
    cells_by_relay: LoadRange
    servers_by_relay: LoadRange


def compare_plans(previous_plan: Plan, plan: Plan, servers: Sequence[ListedServer]) -> Movement:
    """Count the servers, cells and replicas that move from a valid plan to another valid plan."""
    previous_index = CellIndex(previous_plan)
    index = CellIndex(plan)
    servers_moved = 0
    servers_in_both = 0
    for server in servers:
        previous_cell = previous_index.cell_of(server.name, server.zone)
        new_cell = index.cell_of(server.name, server.zone)
        if previous_cell is not None and new_cell is not None:
            servers_in_both += 1
            servers_moved += previous_cell.name != new_cell.name
    previous_names = {cell.name for cell in previous_plan.cells}
    new_names = {cell.name for cell in plan.cells}
    common_names = previous_names & new_names
    replicas_moved = 0
    for name in common_names:
        previous_relays = {relay.name for relay in relays_for_cell(name, previous_plan.relays)}
        replicas_moved += sum(relay.name not in previous_relays for relay in relays_for_cell(name, plan.relays))
    return Movement(
        servers_moved=servers_moved,
        servers=servers_in_both,
        cells_added=len(new_names - previous_names),
        cells_removed=len(previous_names - new_names),
        replicas_moved=replicas_moved,
        replicas=REPLICAS * len(common_names),
    )


def measure_spread(plan: Plan, servers: Sequence[ListedServer]) -> Spread:
    """Measure how evenly a valid plan with at least one cell distributes servers and cells."""
    cell_sizes = _cell_sizes(plan, servers)
    cells_by_relay: Counter[str] = Counter()
    servers_by_relay: Counter[str] = Counter()
    for cell in plan.cells:
        for relay in relays_for_cell(cell.name, plan.relays):
            cells_by_relay[relay.name] += 1
            servers_by_relay[relay.name] += cell_sizes[cell.name]
    divided_sizes = [cell_sizes[cell.name] for cell in plan.cells if cell.parts > 1]
    relay_names = [relay.name for relay in plan.relays]
    return Spread(
        servers_by_cell=_load_range([cell_sizes[cell.name] for cell in plan.cells]),
        servers_by_divided_cell=_load_range(divided_sizes) if divided_sizes else None,
        cells_by_relay=_load_range([cells_by_relay[name] for name in relay_names]),
        servers_by_relay=_load_range([servers_by_relay[name] for name in relay_names]),
    )


def _cell_sizes(plan: Plan, servers: Sequence[ListedServer]) -> Counter[str]:
    """Return the number of servers in each cell that has any, by cell name."""
    index = CellIndex(plan)
    sizes: Counter[str] = Counter()
    for server in servers:
        cell = index.cell_of(server.name, server.zone)
        if cell is not None:
            sizes[cell.name] += 1
    return sizes


def _load_range(values: Sequence[int]) -> LoadRange:
    return LoadRange(min(values), sum(values) / len(values), max(values))
