"""Checks of the lists that relays send to planners, and of the lists that planners cache."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from stackwheel.interface import Availability
from stackwheel.rules.violations import Rule
from stackwheel.trials import faults
from stackwheel.trials.discovery_records import ServerRecord
from stackwheel.trials.relay_checks import StreamState
from stackwheel.trials.script import Script
from stackwheel.trials.shape import Shape
from stackwheel.trials.simulation import run_world
from stackwheel.trials.world import World

SHAPE = Shape(planners=2, proxies=4, servers=6, relays=2, utilization=0.3)


def make_world() -> World:
    return World(Script(7, 5.0, SHAPE))


@pytest.fixture
def world() -> World:
    """A world whose planners count as notified of the list, before its start."""
    world = make_world()
    for planner in world.planners:
        world.planner_started(planner)
    return world


def list_document(generation: int, *entries: tuple[str, str], complete: bool = False) -> dict[str, Any]:
    instances = [{"instanceId": name, "lifecycle": lifecycle, "startedAtMs": 0} for name, lifecycle in entries]
    return {"generation": generation, "reset": complete, "instances": instances}


def change_in_registry(world: World, name: str, availability: Availability) -> ServerRecord:
    """Change the availability of a server in the registry, and return the new record."""
    record = replace(world.discovery.records[name], availability=availability)
    world.discovery.change([record])
    return record


@pytest.mark.parametrize(
    ("documents", "reason"),
    [
        ([list_document(5, ("t-1", "in_service"))], "t-1, which belongs to another cell"),
        ([list_document(5, ("s-1", "in_service"), ("s-1", "in_service"))], "s-1 is listed twice"),
        (
            [list_document(5, ("s-1", "in_service")), list_document(4, ("s-2", "in_service"))],
            "a change of generation 4 after generation 5",
        ),
        ([list_document(5, ("s-1", "terminating")), list_document(6, ("s-1", "in_service"))], "s-1 reverted"),
    ],
)
def test_invalid_list_of_a_relay_breaks_the_rule(world: World, documents: list[dict[str, Any]], reason: str) -> None:
    assert world.relays is not None
    draining = change_in_registry(world, "s-1", Availability.DRAINING)
    world.relays.records_changed([draining])
    state = StreamState()
    for document in documents:
        world.relays.checks.read_document(0, state, document)
    (verdict,) = world.checker.violations
    assert verdict.rule is Rule.PART
    assert reason in verdict.detail


def test_relay_may_revert_a_server_that_the_registry_reverted() -> None:
    world = make_world()
    assert world.relays is not None
    checks = world.relays.checks
    state = StreamState()
    checks.add_to_history([change_in_registry(world, "s-1", Availability.DRAINING)])
    checks.add_to_history([change_in_registry(world, "s-1", Availability.READY)])
    checks.read_document(0, state, list_document(5, ("s-1", "terminating")))
    checks.read_document(0, state, list_document(6, ("s-1", "in_service")))
    assert world.checker.violations == []


def test_older_state_does_not_notify_the_planner_of_a_return(world: World) -> None:
    assert world.relays is not None
    checks = world.relays.checks
    world.relays.records_changed([change_in_registry(world, "s-1", Availability.DRAINING)])
    checks.read_document(0, StreamState(), list_document(5, ("s-1", "terminating")))
    assert "s-1" in world.checker.planners[0].unavailable_since
    checks.read_document(0, StreamState(), list_document(4, ("s-1", "in_service")))
    assert "s-1" in world.checker.planners[0].unavailable_since


@pytest.mark.parametrize("deviation", ["missing", "not removed", "ready again", "another process"])
def test_planner_whose_cached_list_deviates_breaks_the_rule(deviation: str) -> None:
    drain = faults.Drain(1.0, ("server-1",), 60.0)
    crash = faults.Crash(1.0, ("server-2",), 0.0)
    world = World(Script(7, 5.0, SHAPE, (drain, crash)))

    def corrupt_list() -> None:
        service = world.planners[0].service
        assert service is not None
        entries: dict[Any, Any] = service.endpoints.entries
        by_name = {service.endpoints.server_ids.name(server): server for server in entries}
        ready = by_name["s-0"]
        draining = by_name["s-1"]
        if deviation == "missing":
            del entries[ready]
        elif deviation == "ready again":
            entries[draining] = replace(entries[draining], availability=Availability.READY)
        elif deviation == "another process":
            entries[ready] = replace(entries[ready], started_at=1.0)
        else:
            entries[99] = entries[ready]

    world.loop.schedule_at(4.0, None, corrupt_list)
    verdicts = run_world(world).verdicts
    assert verdicts
    assert {verdict.rule for verdict in verdicts} <= {Rule.PART, Rule.UPRIGHT}
    assert any(verdict.rule is Rule.PART and verdict.planner == 0 for verdict in verdicts)


def test_change_counts_as_notified_after_the_deadline_if_a_path_was_open_for_the_poll_interval(world: World) -> None:
    assert world.relays is not None
    checks = world.relays.checks
    world.loop.now = 100.0
    world.relays.records_changed([change_in_registry(world, "s-1", Availability.DRAINING)])
    unavailable_since = world.checker.planners[0].unavailable_since
    for now, open_since, notified in (
        (105.9, 0.0, False),  # the deadline of 6 s has not passed
        (106.1, None, False),  # no path is open
        (106.1, 95.0, False),  # the path has not been open for the poll interval plus the deadline
        (111.1, 95.0, True),
    ):
        world.loop.now = now
        checks.assume_notified(0, open_since)
        assert ("s-1" in unavailable_since) is notified
    checks.assume_notified(1, 0.0)
    assert "s-1" in world.checker.planners[1].unavailable_since
