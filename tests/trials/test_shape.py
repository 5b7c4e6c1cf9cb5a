"""Resolution of names in scripts to the machines of a shape."""

from __future__ import annotations

from stackwheel.trials.shape import Shape, machine_names, machine_numbers

SHAPE = Shape(planners=2, zones=2, proxies=4, servers=4)


def test_names_of_machines_zones_and_groups_resolve_to_machines() -> None:
    assert machine_numbers(("zone-1",), SHAPE, "server") == [1, 3]
    assert machine_numbers(("planners",), SHAPE, "planner") == [0, 1]
    assert machine_numbers(("proxy-2", "proxy-9", "server-1"), SHAPE, "proxy") == [2]
    assert machine_names(("zone-0", "discovery"), SHAPE) == [
        "planner-0",
        "proxy-0",
        "proxy-2",
        "server-0",
        "server-2",
        "collector-0",
        "discovery",
    ]
