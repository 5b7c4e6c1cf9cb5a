"""Compares what every planner of a run holds, hollow or real, with what the registry lists for it."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from stackwheel.scale.children import Child
from stackwheel.scale.control import Compare, Compared, FullList, GetFullList
from stackwheel.scale.entries import Entry
from stackwheel.scale.layout import Layout
from stackwheel.scale.real import RealPlanner, compare_tables


@dataclass(slots=True)
class ListComparison:
    """What a comparison found: entries compared, planners that are right, wrong entries with some in words."""

    full_list: FullList
    compared: int = 0
    right: int = 0
    wrong: int = 0
    examples: list[str] = field(default_factory=list)
    digests: dict[str, set[str]] = field(default_factory=dict)  # of each cell, those of what its planners hold

    def add_hollow(self, result: Compared, layout: Layout) -> None:
        """What one hollow process found."""
        self.compared += result.entries
        self.right += result.right
        self.wrong += sum(one.wrong for one in result.wrong)
        for one in result.wrong:
            name = layout.placed[one.planner].planner.name
            self.examples.append(f"{name}: {one.wrong} wrong, {one.example}")
        for cell, digests in result.digests.items():
            self.digests.setdefault(cell, set()).update(digests)

    def add_real(self, planner: RealPlanner, due: list[Entry]) -> None:
        """What a real planner's tables say."""
        difference = compare_tables(planner.lines(), due)
        self.compared += len(due)
        self.wrong += difference.count()
        self.right += difference.count() == 0
        if difference.count():
            name = planner.placed.planner.name
            self.examples.append(f"{name} (real): {difference.count()} wrong, {difference.example()}")


async def compare_all(
    registry: Child, layout: Layout, hollow: Mapping[int, Child], real: Collection[RealPlanner]
) -> ListComparison:
    """Ask the registry for its list now, and everybody for what differs from it."""
    listed = await registry.request(GetFullList(), FullList)
    by_cell = layout.entries_by_cell(listed.entries)
    found = ListComparison(listed)
    cells: dict[int, set[str]] = {}  # of each hollow process, by its id
    processes = {child.pid: child for child in hollow.values()}
    for number, child in hollow.items():
        cells.setdefault(child.pid, set()).add(layout.placed[number].cell)
    results = await asyncio.gather(
        *(
            child.request(Compare(listed.generation, {cell: by_cell[cell] for cell in cells[pid]}), Compared)
            for pid, child in processes.items()
        )
    )
    for result in results:
        found.add_hollow(result, layout)
    for planner in real:
        found.add_real(planner, by_cell[planner.placed.cell] if planner.placed.cell else listed.entries)
    return found
