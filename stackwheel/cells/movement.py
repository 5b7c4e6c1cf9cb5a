"""What moves between two plans for the same servers, and how evenly a plan spreads its load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from stackwheel.cells.assignment import CellIndex, replicas
from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan import REPLICAS, Plan


@dataclass(frozen=True, slots=True)
class Movement:
    """Counts of what moved, each beside the number that could have."""

    servers_moved: int  # held by a cell of another name
    servers: int  # held by a cell in both plans
    cells_added: int
    cells_removed: int
    replicas_moved: int  # relays that serve a cell which they didn't serve
    replicas: int  # of cells in both plans


@dataclass(frozen=True, slots=True)
class Load:
    """The least, mean and most of a figure over cells or relays."""

    least: int
    mean: float
    most: int


@dataclass(frozen=True, slots=True)
class Spread:
    """How evenly servers spread over cells, and cells and what they hold over relays."""

    servers_by_cell: Load
    servers_by_divided_cell: Load | None  # cells that are parts; None where there are none
    cells_by_relay: Load
    servers_by_relay: Load


def movement(former: Plan, plan: Plan, servers: Sequence[ListedServer]) -> Movement:
    """What moves from a valid plan to another one."""
    before, after = CellIndex(former), CellIndex(plan)
    moved = held = 0
    for server in servers:
        old, new = before.cell_of(server.name, server.zone), after.cell_of(server.name, server.zone)
        if old is not None and new is not None:
            held += 1
            moved += old.name != new.name
    old_names, new_names = ({cell.name for cell in side.cells} for side in (former, plan))
    kept = old_names & new_names
    changed = 0
    for name in kept:
        was = {relay.name for relay in replicas(name, former.relays)}
        changed += sum(relay.name not in was for relay in replicas(name, plan.relays))
    return Movement(moved, held, len(new_names - old_names), len(old_names - new_names), changed, REPLICAS * len(kept))


def spread(plan: Plan, servers: Sequence[ListedServer]) -> Spread:
    """How evenly a valid plan with at least one cell spreads servers."""
    index = CellIndex(plan)
    held: Counter[str] = Counter()
    for server in servers:
        cell = index.cell_of(server.name, server.zone)
        if cell is not None:
            held[cell.name] += 1
    cells_of: Counter[str] = Counter()
    servers_of: Counter[str] = Counter()
    for cell in plan.cells:
        for relay in replicas(cell.name, plan.relays):
            cells_of[relay.name] += 1
            servers_of[relay.name] += held[cell.name]
    divided = [held[cell.name] for cell in plan.cells if cell.parts > 1]
    relays = [relay.name for relay in plan.relays]
    return Spread(
        _load([held[cell.name] for cell in plan.cells]),
        _load(divided) if divided else None,
        _load([cells_of[name] for name in relays]),
        _load([servers_of[name] for name in relays]),
    )


def _load(figures: Sequence[int]) -> Load:
    return Load(min(figures), sum(figures) / len(figures), max(figures))
