"""Tests for load shedding, admission levels and retry modes."""

import math
from dataclasses import replace

import pytest
from policy_harness import (
    READ,
    WRITE,
    PolicyHarness,
    entry,
    two_zone_harness,
)

from stackwheel import interface
from stackwheel.policy import load_shedding


def test_overload_sheds_the_lowest_priority_first_until_it_ends() -> None:
    harness = two_zone_harness()
    harness.run_slots(4, utilization=dict.fromkeys(range(6), 0.5))
    assert harness.level(0, 0)[0] == harness.level(0, 1)[0] == 1.0
    harness.run_slots(6, demand=100, attempts=20, mean_latency=900.0, utilization=dict.fromkeys(range(6), 1.0))
    assert harness.level(0, 0)[0] < 0.9
    assert harness.level(0, 0)[0] <= harness.level(0, 1)[0]
    harness.run_slots(20, demand=40, utilization=dict.fromkeys(range(6), 0.5))
    assert harness.level(0, 0)[0] == harness.level(0, 1)[0] == 1.0


def test_a_rate_limit_affects_the_largest_rates_first() -> None:
    assert load_shedding.rate_limit_per_proxy([10.0, 10.0, 100.0], 0.5) == pytest.approx(40.0)
    assert load_shedding.rate_limit_per_proxy([10.0, 10.0], 0.5) == pytest.approx(5.0)
    harness = two_zone_harness(admission_mode="rate")
    harness.run_slots(2)
    assert harness.level(0)[0] == load_shedding.NO_RATE_LIMIT_PER_S


@pytest.mark.parametrize("idempotency", ["repeatable", "by_key", "once"])
def test_retries_are_allowed_only_for_attempts_that_were_not_executed(idempotency: str) -> None:
    harness = two_zone_harness(classes=(replace(READ, idempotency=idempotency), WRITE))
    harness.run_slots(3, failures={0: 15})
    assert {retry for _, retry in harness.levels.values()} <= {
        interface.Retry.NEVER,
        interface.Retry.ONCE_IF_NOT_EXECUTED,
    }


def test_ejected_servers_do_not_count_as_known_capacity() -> None:
    """Failed servers that are still in the endpoint list must not conceal an overload of the others."""
    harness = two_zone_harness()
    harness.run_slots(6, attempts=20, demand=40, utilization=dict.fromkeys(range(6), 0.6))
    before = harness.planner.shedding.known_capacity(harness.now)
    harness.run_slots(2, attempts=20, demand=40, utilization=dict.fromkeys(range(6), 0.6), failures={0: 20, 1: 20})
    assert harness.planner.shedding.known_capacity(harness.now) < 0.75 * before


def test_shedding_ends_soon_after_the_overload() -> None:
    """Moving averages remain high after an overload and must not prolong shedding."""
    harness = two_zone_harness(load_columns=())
    harness.run_slots(6)
    harness.run_slots(8, demand=200, attempts=30, mean_latency=950.0, failures=dict.fromkeys(range(6), 25))
    assert harness.planner.shedding.shed_share > 0.5
    harness.run_slots(6, demand=40, attempts=1)  # few requests are admitted, so that averages change slowly
    assert harness.planner.shedding.shed_share < 0.25


def test_the_known_capacity_is_finite_after_a_server_has_restarted() -> None:
    """One server without a load report must not make the capacity of all servers unknown."""
    harness = two_zone_harness()
    harness.run_slots(5)
    harness.update_endpoints(entry(0, 0, started_at=harness.now))
    assert math.isfinite(harness.planner.shedding.known_capacity(harness.now))


def test_errors_lead_to_shedding_only_if_latency_is_high() -> None:
    """Errors with other causes than overload must not lead to shedding."""
    harness = PolicyHarness(servers=[entry(n, n % 2) for n in range(6)])
    harness.run_slots(5)
    harness.run_slots(5, failures=dict.fromkeys(range(6), 6))
    assert harness.planner.shedding.shed_share == 0.0
    harness.run_slots(5, failures=dict.fromkeys(range(6), 6), mean_latency=900.0)
    assert harness.planner.shedding.shed_share > 0.0
