"""Tests of the check of a plan against its fleet, and of the measures of movement and spread."""

from __future__ import annotations

import generated_fleet

from stackwheel.cells.check import Document, Finding, ListedServer, NamedPlanner, check_plan_against_fleet
from stackwheel.cells.movement import LoadRange, compare_plans, measure_spread
from stackwheel.cells.plan import Cell, Limits, Plan

PLAN = Plan(
    1,
    Limits(2, 2),
    {"zone-0": "east", "zone-1": "west"},
    generated_fleet.relays(2),
    (Cell("a", "a", (), 0, 1, 20001), Cell("b.east.0", "b", ("east",), 0, 1, 20002)),
)
FITTING_SERVERS = [ListedServer("a-1", "zone-0"), ListedServer("a-2", "zone-1"), ListedServer("b-1", "zone-0")]


def test_a_plan_that_fits_the_fleet_has_no_findings() -> None:
    planners = [NamedPlanner("p0", "a", "east"), NamedPlanner("p1", "b", "east")]
    assert check_plan_against_fleet(PLAN, FITTING_SERVERS, planners) == ()


def test_servers_without_a_cell_and_duplicate_servers_are_reported() -> None:
    servers = [
        *FITTING_SERVERS,
        ListedServer("b-2", "zone-1"),
        ListedServer("c-1", "zone-0"),
        ListedServer("b-3", "zone-7"),
        ListedServer("b-1", "zone-0"),
    ]
    assert check_plan_against_fleet(PLAN, servers) == (
        Finding(Document.SERVERS, "instances[3]", "no cell for server 'b-2' in zone 'zone-1'"),
        Finding(Document.SERVERS, "instances[4]", "no cell for server 'c-1' in zone 'zone-0'"),
        Finding(Document.SERVERS, "instances[5]", "server 'b-3' is in unknown zone 'zone-7'"),
        Finding(Document.SERVERS, "instances[6]", "duplicate server 'b-1', first listed at instances[2]"),
    )


def test_empty_cells_and_cells_over_the_server_limit_are_reported() -> None:
    servers = [ListedServer(f"a-{number}", "zone-0") for number in range(3)]
    assert check_plan_against_fleet(PLAN, servers) == (
        Finding(Document.PLAN, "cells[0]", "cell 'a' has 3 servers, at most 2 are allowed"),
        Finding(Document.PLAN, "cells[1]", "cell 'b.east.0' has no server"),
    )


def test_planners_without_a_cell_duplicate_planners_and_cell_sizes_are_reported() -> None:
    planners = [NamedPlanner(f"p{number}", "a", "east") for number in range(3)]
    planners += [NamedPlanner("p9", "b", "west"), NamedPlanner("p0", "a", "east")]
    assert check_plan_against_fleet(PLAN, FITTING_SERVERS, planners) == (
        Finding(Document.PLANNERS, "planners[3]", "no cell of service 'b' in region 'west' for planner 'p9'"),
        Finding(Document.PLANNERS, "planners[4]", "duplicate planner 'p0', first listed at planners[0]"),
        Finding(Document.PLAN, "cells[0]", "cell 'a' has 3 planners, at most 2 are allowed"),
        Finding(Document.PLAN, "cells[1]", "cell 'b.east.0' has no planner"),
    )


def test_movement_and_spread_are_counted() -> None:
    after = Plan(
        1,
        PLAN.limits,
        PLAN.regions,
        generated_fleet.relays(2),
        (
            PLAN.cells[0],
            Cell("b.east.0", "b", ("west",), 0, 1, 20002),
            Cell("new", "b", ("east",), 0, 1, 20003),
        ),
    )
    moved = compare_plans(PLAN, after, FITTING_SERVERS)
    assert (moved.servers_moved, moved.servers, moved.cells_added, moved.cells_removed) == (1, 3, 1, 0)
    assert (moved.replicas_moved, moved.replicas) == (0, 4)
    load = measure_spread(PLAN, FITTING_SERVERS)
    assert load.servers_by_cell == LoadRange(1, 1.5, 2)
    assert load.servers_by_divided_cell is None
    assert load.cells_by_relay == LoadRange(2, 2.0, 2)
    assert load.servers_by_relay == LoadRange(3, 3.0, 3)
