"""Which planner follows what: the cell and addresses of each planner, and the entries of each cell; no I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from stackwheel.scale.entries import Entry
from stackwheel.scale.fleet import DrawnPlanner, Fleet

FULL_LIST_CELL = ""  # stands for the cell of a planner that follows the registry itself and has the full list
PEER_NETWORK = "127.1"  # each hollow planner has its own address in this loopback network: 65,536 at most

MAX_GROUP_PLANNERS = 16  # planners of a cell that share a process; a plan's cells have no more by default

CellOfServer = Callable[[str, str], str | None]  # the cell by a server's name and zone


@dataclass(frozen=True, slots=True)
class PlacedPlanner:
    """A planner in its cell."""

    number: int
    planner: DrawnPlanner
    cell: str
    discovery: str  # addresses that it follows, separated by commas


@dataclass(frozen=True, slots=True)
class Layout:
    """All planners in their cells."""

    placed: tuple[PlacedPlanner, ...]  # a planner's number is its index
    cell_of_server: CellOfServer

    def planners_by_cell(self) -> dict[str, list[int]]:
        """The numbers of each cell's planners."""
        planners: defaultdict[str, list[int]] = defaultdict(list)
        for placed in self.placed:
            planners[placed.cell].append(placed.number)
        return dict(planners)

    def planners_of_servers(self, fleet: Fleet) -> dict[str, list[int]]:
        """The numbers of the planners that should have each server, by the server's name."""
        by_cell = self.planners_by_cell()
        planners = {}
        for server in fleet.servers:
            cell = self.cell_of_server(server.name, server.zone)
            if cell is not None and cell in by_cell:
                planners[server.name] = by_cell[cell]
        return planners

    def entries_per_planner(self, fleet: Fleet) -> list[int]:
        """How many entries each planner should have, by its number."""
        sizes = Counter(self.cell_of_server(server.name, server.zone) for server in fleet.servers)
        return [sizes[placed.cell] for placed in self.placed]

    def entries_by_cell(self, entries: Iterable[Entry]) -> dict[str, list[Entry]]:
        """The entries of a list that each cell with planners should have."""
        by_cell: dict[str, list[Entry]] = {placed.cell: [] for placed in self.placed}
        for entry in entries:
            cell = self.cell_of_server(entry.instance_id, entry.zone)
            if cell is not None and cell in by_cell:
                by_cell[cell].append(entry)
        return by_cell


def full_list_layout(fleet: Fleet, registry: str) -> Layout:
    """The layout of a run without relays: every planner follows the registry at this address."""
    placed = tuple(
        PlacedPlanner(number, planner, FULL_LIST_CELL, registry) for number, planner in enumerate(fleet.planners)
    )
    return Layout(placed, lambda _name, _zone: FULL_LIST_CELL)


def peer_address(number: int, port: int) -> str:
    """The datagram address of a hollow planner; all planners of a run share the port."""
    return f"{PEER_NETWORK}.{number >> 8}.{number & 255}:{port}"


def choose_real_planners(planners: int, count: int, restarted: Sequence[int]) -> frozenset[int]:
    """The numbers of the real planners: evenly spaced, and at least one of those that a restart concerns."""
    chosen = [index * planners // count for index in range(count)]
    if chosen and restarted and not set(chosen) & set(restarted):
        chosen[0] = restarted[0]
    return frozenset(chosen)


def assign_to_processes(placed: Iterable[PlacedPlanner], processes: int) -> list[list[int]]:
    """Assign hollow planners to processes, the same number to each but for a group.

    Planners of a cell share a process, as they share entries. A service's cells are spread over the processes, so
    that a change of one service does not load a single process.
    """
    cells: defaultdict[str, list[int]] = defaultdict(list)
    for planner in placed:
        cells[planner.cell].append(planner.number)
    groups: list[list[int]] = [[] for _ in range(processes)]
    for _, numbers in sorted(cells.items()):
        for first in range(0, len(numbers), MAX_GROUP_PLANNERS):
            min(groups, key=len).extend(numbers[first : first + MAX_GROUP_PLANNERS])
    return groups
