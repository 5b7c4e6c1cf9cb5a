"""Who follows what: each planner's cell and addresses, and the entries that each cell holds; pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from stackwheel.scale.entries import Entry
from stackwheel.scale.fleet import DrawnPlanner, Fleet

FULL_LIST_CELL = ""  # the cell of a planner that follows the registry itself: the whole list
PEER_NET = "127.1"  # every hollow planner has an address of its own on the loopback network, 65,536 at most

MAX_GROUP_PLANNERS = 16  # planners of a cell that are dealt together; a plan's cells have no more by default

CellOfServer = Callable[[str, str], str | None]  # of a server's name and zone


@dataclass(frozen=True, slots=True)
class Placed:
    """A planner in its cell."""

    number: int
    planner: DrawnPlanner
    cell: str
    discovery: str


@dataclass(frozen=True, slots=True)
class Layout:
    """All planners in their cells."""

    placed: tuple[Placed, ...]
    cell_of_server: CellOfServer

    def planners_by_cell(self) -> dict[str, list[int]]:
        """The numbers of each cell's planners."""
        found: defaultdict[str, list[int]] = defaultdict(list)
        for one in self.placed:
            found[one.cell].append(one.number)
        return dict(found)

    def planners_of_servers(self, fleet: Fleet) -> dict[str, list[int]]:
        """The planners that should hold each server, by its name."""
        by_cell = self.planners_by_cell()
        found = {}
        for server in fleet.servers:
            cell = self.cell_of_server(server.name, server.zone)
            if cell is not None and cell in by_cell:
                found[server.name] = by_cell[cell]
        return found

    def entries_per_planner(self, fleet: Fleet) -> list[int]:
        """How many entries each planner holds, by its number."""
        sizes = Counter(self.cell_of_server(server.name, server.zone) for server in fleet.servers)
        return [sizes[one.cell] for one in self.placed]

    def entries_by_cell(self, entries: Iterable[Entry]) -> dict[str, list[Entry]]:
        """What each cell with planners should hold of a list."""
        found: dict[str, list[Entry]] = {one.cell: [] for one in self.placed}
        for entry in entries:
            cell = self.cell_of_server(entry.instance_id, entry.zone)
            if cell is not None and cell in found:
                found[cell].append(entry)
        return found


def full_list_layout(fleet: Fleet, registry: str) -> Layout:
    """Every planner follows the registry itself."""
    placed = tuple(Placed(number, planner, FULL_LIST_CELL, registry) for number, planner in enumerate(fleet.planners))
    return Layout(placed, lambda _name, _zone: FULL_LIST_CELL)


def peer_address(number: int, port: int) -> str:
    """The datagram address of a hollow planner; the port is the run's own."""
    return f"{PEER_NET}.{number >> 8}.{number & 255}:{port}"


def choose_real(planners: int, count: int, restarted: Sequence[int]) -> frozenset[int]:
    """The numbers of the real planners: at even steps, the first of them among those that a restart names."""
    chosen = [place * planners // count for place in range(count)]
    if chosen and restarted and not set(chosen) & set(restarted):
        chosen[0] = restarted[0]
    return frozenset(chosen)


def deal(placed: Iterable[Placed], processes: int) -> list[list[int]]:
    """The planners of each hollow process, as many in each, give or take a piece of a cell.

    Planners of a cell stay together, as their entries are shared; a service's cells are dealt over all processes, as
    what happens to one service would otherwise be waited for in one process.
    """
    cells: defaultdict[str, list[int]] = defaultdict(list)
    for one in placed:
        cells[one.cell].append(one.number)
    groups: list[list[int]] = [[] for _ in range(processes)]
    for _, numbers in sorted(cells.items()):
        for first in range(0, len(numbers), MAX_GROUP_PLANNERS):
            min(groups, key=len).extend(numbers[first : first + MAX_GROUP_PLANNERS])
    return groups
