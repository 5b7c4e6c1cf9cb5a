"""Compares the entries of every planner of a run, hollow or real, with what the registry lists for it."""

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
    """The result of one comparison, over all planners."""

    full_list: FullList  # what was compared with
    compared_entry_count: int = 0  # entries
    correct_planner_count: int = 0  # planners
    wrong_entry_count: int = 0  # entries wrong or missing
    examples: list[str] = field(default_factory=list)  # one line for each wrong planner
    digests: dict[str, set[str]] = field(default_factory=dict)  # the different digests of each cell's planners

    def add_hollow_process(self, result: Compared, layout: Layout) -> None:
        """Add the result of one hollow process."""
        self.compared_entry_count += result.entries
        self.correct_planner_count += result.right
        self.wrong_entry_count += sum(planner.wrong for planner in result.wrong)
        for planner in result.wrong:
            name = layout.placed[planner.planner].planner.name
            self.examples.append(f"{name}: {planner.wrong} wrong, {planner.example}")
        for cell, digests in result.digests.items():
            self.digests.setdefault(cell, set()).update(digests)

    def add_real_planner(self, planner: RealPlanner, expected: list[Entry]) -> None:
        """Compare a real planner's tables with the entries expected of it, and add the result."""
        difference = compare_tables(planner.lines(), expected)
        self.compared_entry_count += len(expected)
        self.wrong_entry_count += difference.count()
        self.correct_planner_count += difference.count() == 0
        if difference.count():
            name = planner.placed.planner.name
            self.examples.append(f"{name} (real): {difference.count()} wrong, {difference.example()}")


async def compare_all(
    registry: Child, layout: Layout, hollow: Mapping[int, Child], real: Collection[RealPlanner]
) -> ListComparison:
    """Get the registry's list of this moment, and compare every planner with it."""
    full_list = await registry.request(GetFullList(), FullList)
    by_cell = layout.entries_by_cell(full_list.entries)
    comparison = ListComparison(full_list)
    cells: dict[int, set[str]] = {}  # of each hollow process, by process id
    processes = {child.pid: child for child in hollow.values()}
    for number, child in hollow.items():
        cells.setdefault(child.pid, set()).add(layout.placed[number].cell)
    results = await asyncio.gather(
        *(
            child.request(Compare(full_list.generation, {cell: by_cell[cell] for cell in cells[pid]}), Compared)
            for pid, child in processes.items()
        )
    )
    for result in results:
        comparison.add_hollow_process(result, layout)
    for planner in real:
        cell = planner.placed.cell
        comparison.add_real_planner(planner, by_cell[cell] if cell else full_list.entries)
    return comparison
