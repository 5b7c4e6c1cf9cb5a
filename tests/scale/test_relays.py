"""Tests of cell plans and of the assignment of planners to cells and processes."""

from __future__ import annotations

from collections import Counter

import pytest

from stackwheel.scale.entries import Entry
from stackwheel.scale.fleet import Fleet, FleetShape, draw_fleet
from stackwheel.scale.layout import Layout, assign_to_processes, choose_real_planners, full_list_layout, peer_address
from stackwheel.scale.relays import LoopbackNetwork, design_plan, relay_layout

HOSTS = ["127.0.1.1", "127.0.1.2", "127.0.1.3"]


@pytest.fixture(scope="module")
def fleet() -> Fleet:
    return draw_fleet(FleetShape(6_000, 11, 1_900, 5))


@pytest.fixture(scope="module")
def layout(fleet: Fleet) -> Layout:
    return relay_layout(fleet, design_plan(fleet, HOSTS))


def entries(fleet: Fleet) -> list[Entry]:
    return [Entry(server.name, server.address, server.zone) for server in fleet.servers]


def test_every_cell_contains_servers_of_one_service_within_the_limits(fleet: Fleet, layout: Layout) -> None:
    by_cell = layout.entries_by_cell(entries(fleet))
    counts = Counter(placed.cell for placed in layout.placed)
    assert max(counts.values()) <= 16
    assert max(map(len, by_cell.values())) <= 512
    for placed in layout.placed:
        assert by_cell[placed.cell]
        assert {e.instance_id.rpartition("-")[0] for e in by_cell[placed.cell]} == {placed.planner.service}
        assert len(set(placed.discovery.split(","))) == 2


def test_entries_by_cell_and_planners_of_servers_are_consistent(fleet: Fleet, layout: Layout) -> None:
    by_cell = layout.entries_by_cell(entries(fleet))
    per_planner = layout.entries_per_planner(fleet)
    planners = layout.planners_of_servers(fleet)
    assert per_planner == [len(by_cell[placed.cell]) for placed in layout.placed]
    assert sum(map(len, planners.values())) == sum(per_planner)
    assert sum(map(len, by_cell.values())) <= len(fleet.servers)


def test_without_relays_every_planner_has_all_entries(fleet: Fleet) -> None:
    layout = full_list_layout(fleet, "127.0.0.1:1")
    assert set(layout.entries_per_planner(fleet)) == {6_000}
    assert all(len(planners) == 1_900 for planners in layout.planners_of_servers(fleet).values())


def test_real_planners_are_evenly_spaced_and_include_one_that_is_restarted() -> None:
    assert choose_real_planners(100, 4, [25, 26]) == {0, 25, 50, 75}
    assert choose_real_planners(3, 3, [1]) == {0, 1, 2}
    assert choose_real_planners(100, 4, [7, 8]) == {7, 25, 50, 75}
    assert choose_real_planners(3, 0, [1]) == frozenset()


def test_hollow_planners_are_assigned_evenly_and_cells_share_a_process(layout: Layout) -> None:
    groups = assign_to_processes(layout.placed, 3)
    assert sorted(number for group in groups for number in group) == list(range(1_900))
    assert max(map(len, groups)) - min(map(len, groups)) <= 16
    processes_by_cell: dict[str, set[int]] = {}
    for process, group in enumerate(groups):
        for number in group:
            processes_by_cell.setdefault(layout.placed[number].cell, set()).add(process)
    assert all(len(process_indices) == 1 for process_indices in processes_by_cell.values())
    planners = Counter(placed.planner.service for placed in layout.placed)
    largest = max(planners, key=lambda service: planners[service])
    assert len(set.union(*(processes_by_cell[p.cell] for p in layout.placed if p.planner.service == largest))) == 3


def test_planners_that_follow_the_full_list_are_assigned_evenly_to_processes(fleet: Fleet) -> None:
    assert max(map(len, assign_to_processes(full_list_layout(fleet, "").placed, 2))) <= 960
    assert assign_to_processes([], 0) == []


def test_datagram_addresses_are_unique() -> None:
    assert len({peer_address(number, 7946) for number in range(65_536)}) == 65_536


def test_two_concurrent_runs_reserve_different_networks() -> None:
    first = LoopbackNetwork()
    second = LoopbackNetwork()
    try:
        assert first.host(0) != second.host(0)
    finally:
        first.close()
        second.close()
