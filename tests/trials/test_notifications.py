"""Notifications of planners by generation and process, also for updates that arrive out of order."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stackwheel.interface import Availability
from stackwheel.rules.views import PlannerView
from stackwheel.trials.discovery_records import SentUpdate, ServerRecord
from stackwheel.trials.script import Script, check
from stackwheel.trials.shape import Shape
from stackwheel.trials.world import World

READY = Availability.READY
DRAINING = Availability.DRAINING
REMOVED = Availability.REMOVED


@pytest.fixture
def world() -> World:
    world = World(check(Script(1, 20.0, Shape(planners=1, servers=2))))
    world.planner_started(world.planners[0])
    return world


def view(world: World) -> PlannerView:
    return world.checker.planners[0]


def notify(world: World, generation: int, *records: ServerRecord, complete: bool = False) -> None:
    world.notifications.update_received(0, SentUpdate(0, records, complete, generation, 0.0))


@pytest.mark.parametrize("availability", [DRAINING, REMOVED])
def test_older_generation_restores_a_newer_process_but_not_the_unavailable_one(
    world: World, availability: Availability
) -> None:
    first = world.discovery.records["s-0"]
    notify(world, 5, replace(first, availability=availability))
    notify(world, 4, first)
    assert "s-0" in view(world).unavailable_since
    notify(world, 4, replace(first, started_at=first.started_at + 1000.0))
    assert "s-0" not in view(world).unavailable_since
    assert view(world).listed["s-0"].availability is READY


@pytest.mark.parametrize("availability", [DRAINING, REMOVED])
@pytest.mark.parametrize(("generation", "is_applied"), [(4, False), (5, True), (6, True)])
def test_change_of_a_former_process_applies_to_its_successor_unless_its_generation_is_older(
    world: World, availability: Availability, generation: int, is_applied: bool
) -> None:
    first = world.discovery.records["s-0"]
    notify(world, 5, replace(first, started_at=first.started_at + 1000.0))
    notify(world, generation, replace(first, availability=availability))
    assert ("s-0" in view(world).unavailable_since) is is_applied


@pytest.mark.parametrize("availability", [DRAINING, REMOVED])
def test_change_of_the_known_process_applies_in_an_older_generation(world: World, availability: Availability) -> None:
    restarted = replace(world.discovery.records["s-0"], started_at=1000.0)
    notify(world, 5, restarted)
    notify(world, 4, replace(restarted, availability=availability))
    assert "s-0" in view(world).unavailable_since


def test_server_missing_from_a_complete_list_is_removed(world: World) -> None:
    first = world.discovery.records["s-0"]
    other = world.discovery.records["s-1"]
    notify(world, 5, replace(first, started_at=first.started_at + 1000.0))
    notify(world, 6, other, complete=True)
    assert "s-0" in view(world).unavailable_since
    assert "s-0" not in view(world).listed
    assert "s-1" in view(world).listed
