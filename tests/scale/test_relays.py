"""Plans and layouts of a run with relays: every planner in one cell, every server at the planners that hold it."""

from __future__ import annotations

from collections import Counter

import pytest

from stackwheel.scale.entries import Entry
from stackwheel.scale.fleet import Fleet, Shape, draw_fleet
from stackwheel.scale.layout import Layout, choose_real, deal, full_list_layout, peer_address
from stackwheel.scale.relays import Network, design_plan, relay_layout

HOSTS = ["127.0.1.1", "127.0.1.2", "127.0.1.3"]


@pytest.fixture(scope="module")
def fleet() -> Fleet:
    return draw_fleet(Shape(6_000, 11, 1_900, 5))


@pytest.fixture(scope="module")
def layout(fleet: Fleet) -> Layout:
    return relay_layout(fleet, design_plan(fleet, HOSTS))


def entries(fleet: Fleet) -> list[Entry]:
    return [Entry(server.name, server.address, server.zone) for server in fleet.servers]


def test_every_planner_holds_servers_of_its_service_within_the_limits(fleet: Fleet, layout: Layout) -> None:
    due = layout.entries_by_cell(entries(fleet))
    counts = Counter(one.cell for one in layout.placed)
    assert max(counts.values()) <= 16
    assert max(map(len, due.values())) <= 512
    for one in layout.placed:
        assert due[one.cell]
        assert {e.instance_id.rpartition("-")[0] for e in due[one.cell]} == {one.planner.service}
        assert len(set(one.discovery.split(","))) == 2


def test_what_planners_should_hold_is_told_alike_from_both_sides(fleet: Fleet, layout: Layout) -> None:
    due, held = layout.entries_by_cell(entries(fleet)), layout.entries_per_planner(fleet)
    planners = layout.planners_of_servers(fleet)
    assert held == [len(due[one.cell]) for one in layout.placed]
    assert sum(map(len, planners.values())) == sum(held)
    assert sum(map(len, due.values())) <= len(fleet.servers)


def test_without_relays_everybody_holds_everything(fleet: Fleet) -> None:
    layout = full_list_layout(fleet, "127.0.0.1:1")
    assert set(layout.entries_per_planner(fleet)) == {6_000}
    assert all(len(found) == 1_900 for found in layout.planners_of_servers(fleet).values())


def test_real_planners_are_spread_over_all_and_one_is_restarted() -> None:
    assert choose_real(100, 4, [25, 26]) == {0, 25, 50, 75}
    assert choose_real(3, 3, [1]) == {0, 1, 2}
    assert choose_real(100, 4, [7, 8]) == {7, 25, 50, 75}
    assert choose_real(3, 0, [1]) == frozenset()


def test_hollow_planners_are_dealt_evenly_and_cells_stay_together(layout: Layout) -> None:
    groups = deal(layout.placed, 3)
    assert sorted(number for group in groups for number in group) == list(range(1_900))
    assert max(map(len, groups)) - min(map(len, groups)) <= 16
    homes: dict[str, set[int]] = {}
    for place, group in enumerate(groups):
        for number in group:
            homes.setdefault(layout.placed[number].cell, set()).add(place)
    assert all(len(found) == 1 for found in homes.values())
    largest = max(
        {one.planner.service for one in layout.placed}, key=lambda s: sum(o.planner.service == s for o in layout.placed)
    )
    assert len(set.union(*(homes[one.cell] for one in layout.placed if one.planner.service == largest))) == 3


def test_planners_of_one_whole_list_are_dealt_too(fleet: Fleet) -> None:
    assert max(map(len, deal(full_list_layout(fleet, "").placed, 2))) <= 960
    assert deal([], 0) == []


def test_datagram_addresses_are_all_different() -> None:
    assert len({peer_address(number, 7946) for number in range(65_536)}) == 65_536


def test_two_runs_have_networks_of_their_own() -> None:
    first, second = Network(), Network()
    try:
        assert first.host(0) != second.host(0)
    finally:
        first.close()
        second.close()
