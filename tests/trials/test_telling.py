"""What counts as told: by generation and by process, also where discovery's words come out of order."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stackwheel.interface import Availability
from stackwheel.rules.views import PlannerView
from stackwheel.trials import script as s
from stackwheel.trials.discovery import News, Record
from stackwheel.trials.world import World

READY, DRAINING, GONE = Availability.READY, Availability.DRAINING, Availability.REMOVED


@pytest.fixture
def world() -> World:
    found = World(s.check(s.Script(1, 20.0, s.Shape(planners=1, servers=2))))
    found.planner_up(found.hosts[0])
    return found


def view(world: World) -> PlannerView:
    return world.checker.planners[0]


def tell(world: World, generation: int, *records: Record, whole: bool = False) -> None:
    world.told(0, News(0, records, whole, generation, 0.0))


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_an_older_generation_brings_back_a_new_process_but_not_the_one_that_went(
    world: World, state: Availability
) -> None:
    first = world.discovery.records["s-0"]
    tell(world, 5, replace(first, state=state))
    tell(world, 4, first)
    assert "s-0" in view(world).unavailable_since
    tell(world, 4, replace(first, started=first.started + 1000.0))
    assert "s-0" not in view(world).unavailable_since and view(world).listed["s-0"].availability is READY


@pytest.mark.parametrize("state", [DRAINING, GONE])
@pytest.mark.parametrize(("generation", "binds"), [(4, False), (5, True), (6, True)])
def test_a_former_process_takes_out_its_successor_in_no_older_generation(
    world: World, state: Availability, generation: int, binds: bool
) -> None:
    first = world.discovery.records["s-0"]
    tell(world, 5, replace(first, started=first.started + 1000.0))
    tell(world, generation, replace(first, state=state))
    assert ("s-0" in view(world).unavailable_since) is binds


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_an_older_generation_binds_where_it_is_of_the_process_known(world: World, state: Availability) -> None:
    again = replace(world.discovery.records["s-0"], started=1000.0)
    tell(world, 5, again)
    tell(world, 4, replace(again, state=state))
    assert "s-0" in view(world).unavailable_since


def test_what_a_whole_list_lacks_is_gone_whatever_process_it_was(world: World) -> None:
    first, other = world.discovery.records["s-0"], world.discovery.records["s-1"]
    tell(world, 5, replace(first, started=first.started + 1000.0))
    tell(world, 6, other, whole=True)
    assert "s-0" in view(world).unavailable_since and "s-0" not in view(world).listed and "s-1" in view(world).listed
