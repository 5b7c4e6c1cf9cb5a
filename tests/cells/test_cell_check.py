"""Faults between a plan and its fleet, each with the place it stands in."""

from __future__ import annotations

from stackwheel.cells.check import Document, Finding, ListedServer, NamedPlanner, check_against
from stackwheel.cells.movement import Load, movement, spread
from stackwheel.cells.plan import Cell, Limits, Plan
from tests.cells import fleet

PLAN = Plan(
    1,
    Limits(2, 2),
    {"zone-0": "east", "zone-1": "west"},
    fleet.relays(2),
    (Cell("a", "a", (), 0, 1, 20001), Cell("b.east.0", "b", ("east",), 0, 1, 20002)),
)
SOUND = [ListedServer("a-1", "zone-0"), ListedServer("a-2", "zone-1"), ListedServer("b-1", "zone-0")]


def test_a_plan_that_fits_has_no_fault() -> None:
    planners = [NamedPlanner("p0", "a", "east"), NamedPlanner("p1", "b", "east")]
    assert check_against(PLAN, SOUND, planners) == ()


def test_servers_at_fault_are_told() -> None:
    servers = [
        *SOUND,
        ListedServer("b-2", "zone-1"),
        ListedServer("c-1", "zone-0"),
        ListedServer("b-3", "zone-7"),
        ListedServer("b-1", "zone-0"),
    ]
    assert check_against(PLAN, servers) == (
        Finding(Document.SERVERS, "instances[3]", "no cell holds 'b-2' in zone 'zone-1'"),
        Finding(Document.SERVERS, "instances[4]", "no cell holds 'c-1' in zone 'zone-0'"),
        Finding(Document.SERVERS, "instances[5]", "'b-3' is in unknown zone 'zone-7'"),
        Finding(Document.SERVERS, "instances[6]", "'b-1' is also instances[2]"),
    )


def test_cells_without_a_server_and_over_their_limit_are_told() -> None:
    servers = [ListedServer(f"a-{number}", "zone-0") for number in range(3)]
    assert check_against(PLAN, servers) == (
        Finding(Document.PLAN, "cells[0]", "cell 'a' has 3 servers, at most 2 are allowed"),
        Finding(Document.PLAN, "cells[1]", "cell 'b.east.0' has no server"),
    )


def test_planners_at_fault_are_told() -> None:
    planners = [NamedPlanner(f"p{number}", "a", "east") for number in range(3)]
    planners += [NamedPlanner("p9", "b", "west"), NamedPlanner("p0", "a", "east")]
    assert check_against(PLAN, SOUND, planners) == (
        Finding(Document.PLANNERS, "planners[3]", "no cell of service 'b' in region 'west' for 'p9'"),
        Finding(Document.PLANNERS, "planners[4]", "'p0' is also planners[0]"),
        Finding(Document.PLAN, "cells[0]", "cell 'a' has 3 planners, at most 2 are allowed"),
        Finding(Document.PLAN, "cells[1]", "cell 'b.east.0' has no planner"),
    )


def test_movement_and_spread_count_what_they_say() -> None:
    after = Plan(
        1,
        PLAN.limits,
        PLAN.regions,
        fleet.relays(2),
        (
            PLAN.cells[0],
            Cell("b.east.0", "b", ("west",), 0, 1, 20002),
            Cell("new", "b", ("east",), 0, 1, 20003),
        ),
    )
    moved = movement(PLAN, after, SOUND)
    assert (moved.servers_moved, moved.servers, moved.cells_added, moved.cells_removed) == (1, 3, 1, 0)
    assert (moved.replicas_moved, moved.replicas) == (0, 4)
    load = spread(PLAN, SOUND)
    assert load.servers_by_cell == Load(1, 1.5, 2) and load.servers_by_divided_cell is None
    assert load.cells_by_relay == Load(2, 2.0, 2) and load.servers_by_relay == Load(3, 3.0, 3)
