"""What moves between two plans for the same servers, and how evenly a plan spreads its load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from stackwheel.cells.assignment import CellIndex, relays_for_cell
from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan import REPLICAS, Plan


@dataclass(frozen=True, slots=True)
class Movement:
    """Counts of what moved, each beside the number that could have.

    Attributes:
        servers_moved: servers that are in a cell of another name.
        servers: servers that are in a cell by both plans.
        cells_added: cells of the new plan alone.
        cells_removed: cells of the former plan alone.
        replicas_moved: relays that serve a cell which they didn't serve.
        replicas: replicas of the cells of both plans.
    """

    servers_moved: int
    servers: int
    cells_added: int
    cells_removed: int
    replicas_moved: int
    replicas: int


@dataclass(frozen=True, slots=True)
class LoadRange:
    """The minimum, mean and maximum of a figure over cells or relays."""

    minimum: int
    mean: float
    maximum: int


@dataclass(frozen=True, slots=True)
class Spread:
    """How evenly servers spread over cells, and cells and what they hold over relays.

    `servers_by_divided_cell` is over the cells that are parts of a service; None where there are none.
    """

    servers_by_cell: LoadRange
    servers_by_divided_cell: LoadRange | None
    cells_by_relay: LoadRange
    servers_by_relay: LoadRange


def compare_plans(former: Plan, plan: Plan, servers: Sequence[ListedServer]) -> Movement:
    """What moves from a valid plan to another one."""
    former_index = CellIndex(former)
    index = CellIndex(plan)
    servers_moved = 0
    servers_in_both = 0
    for server in servers:
        old_cell = former_index.cell_of(server.name, server.zone)
        new_cell = index.cell_of(server.name, server.zone)
        if old_cell is not None and new_cell is not None:
            servers_in_both += 1
            servers_moved += old_cell.name != new_cell.name
    old_names = {cell.name for cell in former.cells}
    new_names = {cell.name for cell in plan.cells}
    kept_names = old_names & new_names
    replicas_moved = 0
    for name in kept_names:
        old_relays = {relay.name for relay in relays_for_cell(name, former.relays)}
        replicas_moved += sum(relay.name not in old_relays for relay in relays_for_cell(name, plan.relays))
    return Movement(
        servers_moved=servers_moved,
        servers=servers_in_both,
        cells_added=len(new_names - old_names),
        cells_removed=len(old_names - new_names),
        replicas_moved=replicas_moved,
        replicas=REPLICAS * len(kept_names),
    )


def measure_spread(plan: Plan, servers: Sequence[ListedServer]) -> Spread:
    """How evenly a valid plan with at least one cell spreads servers."""
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
    """The servers of each cell that has any, by its name."""
    index = CellIndex(plan)
    sizes: Counter[str] = Counter()
    for server in servers:
        cell = index.cell_of(server.name, server.zone)
        if cell is not None:
            sizes[cell.name] += 1
    return sizes


def _load_range(figures: Sequence[int]) -> LoadRange:
    return LoadRange(min(figures), sum(figures) / len(figures), max(figures))
