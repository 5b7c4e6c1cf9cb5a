"""Assignment of planners to cells and processes, and of list entries to cells, without I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from stackwheel.scale.entries import Entry
from stackwheel.scale.fleet import DrawnPlanner, Fleet

FULL_LIST_CELL = ""  # Cell of planners that follow the registry directly and receive the full list.
PEER_NETWORK = "127.1"  # Loopback network with one address for each hollow planner, 65,536 at most.

MAX_GROUP_PLANNERS = 16  # Larger cells are divided between processes; the default cell plan has none.

CellOfServer = Callable[[str, str], str | None]
"""Returns the name of a server's cell, or None, from the server's name and zone."""


@dataclass(frozen=True, slots=True)
class PlacedPlanner:
    """A planner with its cell.

    Attributes:
        number: number of the planner.
        planner: the generated planner.
        cell: name of its cell, or `FULL_LIST_CELL`.
        discovery: addresses from which it receives its endpoint list, separated by commas.
    """

    number: int
    planner: DrawnPlanner
    cell: str
    discovery: str


@dataclass(frozen=True, slots=True)
class Layout:
    """All planners with their cells.

    Attributes:
        placed: planners in the order of their numbers.
        cell_of_server: function that returns the cell of a server.
    """

    placed: tuple[PlacedPlanner, ...]
    cell_of_server: CellOfServer

    def planners_by_cell(self) -> dict[str, list[int]]:
        """Return the numbers of each cell's planners."""
        planners: defaultdict[str, list[int]] = defaultdict(list)
        for placed in self.placed:
            planners[placed.cell].append(placed.number)
        return dict(planners)

    def planners_of_servers(self, fleet: Fleet) -> dict[str, list[int]]:
        """Return the numbers of the planners that should have an entry for each server, by server name."""
        by_cell = self.planners_by_cell()
        planners = {}
        for server in fleet.servers:
            cell = self.cell_of_server(server.name, server.zone)
            if cell is not None and cell in by_cell:
                planners[server.name] = by_cell[cell]
        return planners

    def entries_per_planner(self, fleet: Fleet) -> list[int]:
        """Return the number of entries that each planner should have, in the order of the planners' numbers."""
        sizes = Counter(self.cell_of_server(server.name, server.zone) for server in fleet.servers)
        return [sizes[placed.cell] for placed in self.placed]

    def entries_by_cell(self, entries: Iterable[Entry]) -> dict[str, list[Entry]]:
        """Return the entries of an endpoint list that belong to each cell with planners."""
        by_cell: dict[str, list[Entry]] = {placed.cell: [] for placed in self.placed}
        for entry in entries:
            cell = self.cell_of_server(entry.instance_id, entry.zone)
            if cell is not None and cell in by_cell:
                by_cell[cell].append(entry)
        return by_cell


def full_list_layout(fleet: Fleet, registry: str) -> Layout:
    """Return the layout of a run without relays, in which every planner follows the registry at this address."""
    placed = tuple(
        PlacedPlanner(number, planner, FULL_LIST_CELL, registry) for number, planner in enumerate(fleet.planners)
    )
    return Layout(placed, lambda _name, _zone: FULL_LIST_CELL)


def peer_address(number: int, port: int) -> str:
    """Return the datagram address of a hollow planner. `port`: the same for all planners of a run."""
    return f"{PEER_NETWORK}.{number >> 8}.{number & 255}:{port}"


def choose_real_planners(planners: int, count: int, restarted: Sequence[int]) -> frozenset[int]:
    """Choose the numbers of the real planners.

    Args:
        planners: number of planners.
        count: number of real planners among them.
        restarted: planners that the scenario may restart.

    Returns:
        Evenly spaced numbers, of which at least one is in `restarted` unless that is empty or `count` is 0.
    """
    chosen = [index * planners // count for index in range(count)]
    if chosen and restarted and not set(chosen) & set(restarted):
        chosen[0] = restarted[0]
    return frozenset(chosen)


def assign_to_processes(placed: Iterable[PlacedPlanner], processes: int) -> list[list[int]]:
    """Assign hollow planners to processes; the numbers of planners differ by at most `MAX_GROUP_PLANNERS`.

    Planners of a cell share a process, because they share entries. The cells of a service are distributed over the
    processes, so that a change of one service does not load a single process.
    """
    cells: defaultdict[str, list[int]] = defaultdict(list)
    for planner in placed:
        cells[planner.cell].append(planner.number)
    groups: list[list[int]] = [[] for _ in range(processes)]
    for _, numbers in sorted(cells.items()):
        for first in range(0, len(numbers), MAX_GROUP_PLANNERS):
            min(groups, key=len).extend(numbers[first : first + MAX_GROUP_PLANNERS])
    return groups
