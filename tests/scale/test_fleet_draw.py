"""Tests of the generated fleet and the generated schedule of a run."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from stackwheel.scale.entries import IN_SERVICE, TERMINATED, TERMINATING
from stackwheel.scale.fleet import FleetShape, default_zones, draw_fleet, systematic_sample
from stackwheel.scale.scenarios import ZONE_LOSS_SPREAD_S, Scenario, Schedule, default_event_rate, draw_schedule
from stackwheel.state.server_ids import server_id

SMALL = FleetShape(servers=1_000, zones=5, planners=300, seed=3)
OPERATORS_SIZE = FleetShape(servers=48_000, zones=85, planners=15_000, seed=1)


def test_equal_seeds_give_equal_fleets_and_different_seeds_different_ones() -> None:
    assert draw_fleet(SMALL) == draw_fleet(SMALL)
    assert draw_fleet(SMALL) != draw_fleet(FleetShape(1_000, 5, 300, 4))


def test_a_fleet_of_the_operators_size_has_their_numbers_of_services_zones_and_regions() -> None:
    fleet = draw_fleet(OPERATORS_SIZE)
    sizes = fleet.sizes()
    assert len(fleet.servers) == sum(sizes.values()) == 48_000
    assert len(sizes) == 2_100
    assert len({server.name for server in fleet.servers}) == 48_000
    assert len({server_id(server.name) for server in fleet.servers}) == 48_000
    assert len({server.address for server in fleet.servers}) == 48_000
    assert set(Counter(server.zone for server in fleet.servers).values()) == {564, 565}
    assert len(fleet.regions) == 85
    assert len(set(fleet.regions.values())) == 36
    assert default_zones(48_000) == 85
    assert max(sizes.values()) > 20 * 48_000 / 2_100  # The sizes are skewed.


def test_planners_are_proportional_to_servers_and_every_service_has_at_least_one() -> None:
    fleet = draw_fleet(OPERATORS_SIZE)
    planners = Counter(planner.service for planner in fleet.planners)
    sizes = fleet.sizes()
    assert set(planners) == set(sizes)
    assert len(fleet.planners) == 15_000
    rate = (15_000 - len(sizes)) / 48_000
    assert all(abs(planners[service] - 1 - size * rate) <= 1.0 for service, size in sizes.items())
    zones = {(server.service, server.zone) for server in fleet.servers}
    assert all((planner.service, planner.zone) in zones for planner in fleet.planners)


@pytest.mark.parametrize("servers", [1, 2, 22, 23, 57])
def test_small_fleets_have_the_requested_numbers_of_servers_and_planners(servers: int) -> None:
    fleet = draw_fleet(FleetShape(servers, 1, 3, 0))
    assert len(fleet.servers) == servers
    assert len(fleet.planners) == 3


def test_a_fleet_may_have_no_planners() -> None:
    assert draw_fleet(FleetShape(5, 1, 0, 0)).planners == ()
    assert systematic_sample([], 0, Random(0)) == []


def lifecycles(schedule: Schedule) -> dict[str, list[tuple[str, int]]]:
    """Return the lifecycle and start of each change, by server name."""
    by_server: dict[str, list[tuple[str, int]]] = {}
    for change in schedule.changes:
        by_server.setdefault(change.server.name, []).append((change.lifecycle, change.started_at_ms))
    return by_server


def test_in_churn_each_server_drains_is_removed_and_returns_as_a_new_process() -> None:
    schedule = draw_schedule(draw_fleet(SMALL), Scenario.CHURN, 30.0, 20.0, 7)
    assert len(schedule.changes) > 1_000
    assert [c.at for c in schedule.changes] == sorted(c.at for c in schedule.changes)
    for steps in lifecycles(schedule).values():
        assert [kind for kind, _ in steps] == [TERMINATING, TERMINATED, IN_SERVICE] * (len(steps) // 3)
        starts = [started for kind, started in steps if kind == IN_SERVICE]
        assert starts == sorted(set(starts))
        assert starts[0] > 0
        assert [started for _, started in steps[:2]] == [0, 0]
    assert schedule.changes[-1].at < 30.0


def test_a_zone_loss_removes_all_servers_of_a_zone_within_a_second_and_all_return() -> None:
    fleet = draw_fleet(OPERATORS_SIZE)
    schedule = draw_schedule(fleet, Scenario.ZONE_LOSS, 20.0, 1.0, 7)
    removals = [change for change in schedule.changes if change.lifecycle == TERMINATED]
    assert len(removals) == 565
    assert len({change.server.zone for change in removals}) == 1
    assert removals[-1].at - removals[0].at <= ZONE_LOSS_SPREAD_S
    assert all(steps[-1][0] == IN_SERVICE and steps[-1][1] > 0 for steps in lifecycles(schedule).values())


def test_a_restart_includes_all_planners_of_the_service_with_most_planners() -> None:
    fleet = draw_fleet(OPERATORS_SIZE)
    schedule = draw_schedule(fleet, Scenario.RESTART, 20.0, 1.0, 7)
    (restart,) = schedule.restarts
    counts = Counter(planner.service for planner in fleet.planners)
    assert len(restart.planners) == max(counts.values())
    assert len({fleet.planners[number].service for number in restart.planners}) == 1


def test_batches_contain_all_changes_in_order_and_none_exceeds_the_window() -> None:
    schedule = draw_schedule(draw_fleet(OPERATORS_SIZE), Scenario.ZONE_LOSS, 20.0, 1.0, 7)
    batches = list(schedule.batches())
    assert [change for batch in batches for change in batch.changes] == list(schedule.changes)
    assert all(batch.changes[-1].at == batch.at for batch in batches)
    assert all(batch.at - batch.changes[0].at <= 0.05 for batch in batches)
    assert len(batches) < 60


def test_the_default_event_rate_is_sixty_times_the_daily_rate_with_a_minimum() -> None:
    assert default_event_rate(48_000) == pytest.approx(13_120 / 86_400 * 60)
    assert default_event_rate(10) == 1.0
