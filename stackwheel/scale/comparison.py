"""Compares the entries of every planner of a run, hollow or real, with the endpoint list of the registry."""

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
    """The result of one comparison of all planners with the registry.

    Attributes:
        full_list: the endpoint list of the registry.
        compared_entry_count: number of compared entries of all planners.
        correct_planner_count: number of planners without a wrong or missing entry.
        wrong_entry_count: number of wrong or missing entries of all planners.
        examples: one line of text for each planner with a wrong or missing entry.
        digests: the distinct digests of the planners of each cell.
    """

    full_list: FullList
    compared_entry_count: int = 0
    correct_planner_count: int = 0
    wrong_entry_count: int = 0
    examples: list[str] = field(default_factory=list)
    digests: dict[str, set[str]] = field(default_factory=dict)

    def add_hollow_process(self, result: Compared, layout: Layout) -> None:
        """Add the comparison result of one process of hollow planners."""
        self.compared_entry_count += result.entries
        self.correct_planner_count += result.right
        self.wrong_entry_count += sum(planner.wrong for planner in result.wrong)
        for planner in result.wrong:
            name = layout.placed[planner.planner].planner.name
            self.examples.append(f"{name}: {planner.wrong} wrong, {planner.example}")
        for cell, digests in result.digests.items():
            self.digests.setdefault(cell, set()).update(digests)

    def add_real_planner(self, planner: RealPlanner, expected: list[Entry]) -> None:
        """Compare the weight tables of a real planner with its expected entries and add the result."""
        difference = compare_tables(planner.lines(), expected)
        self.compared_entry_count += len(expected)
        self.wrong_entry_count += difference.count()
        self.correct_planner_count += difference.count() == 0
        if difference.count():
            name = planner.placed.planner.name
            self.examples.append(f"{name} (real): {difference.count()} wrong, {difference.example()}")


async def compare_all(
    registry: Child, layout: Layout, hollow_planners: Mapping[int, Child], real_planners: Collection[RealPlanner]
) -> ListComparison:
    """Fetch the current list of the registry and compare every planner with it."""
    full_list = await registry.request(GetFullList(), FullList)
    cell_entries = layout.entries_by_cell(full_list.entries)
    comparison = ListComparison(full_list)
    cells_by_pid: dict[int, set[str]] = {}
    processes = {child.pid: child for child in hollow_planners.values()}
    for number, child in hollow_planners.items():
        cells_by_pid.setdefault(child.pid, set()).add(layout.placed[number].cell)
    results = await asyncio.gather(
        *(
            child.request(
                Compare(full_list.generation, {cell: cell_entries[cell] for cell in cells_by_pid[pid]}), Compared
            )
            for pid, child in processes.items()
        )
    )
    for result in results:
        comparison.add_hollow_process(result, layout)
    for planner in real_planners:
        cell = planner.placed.cell
        comparison.add_real_planner(planner, cell_entries[cell] if cell else full_list.entries)
    return comparison
