"""Tests for the estimates of server capacity."""

from policy_harness import server_id, two_zone_harness


def test_capacity_is_estimated_as_request_rate_divided_by_utilization() -> None:
    harness = two_zone_harness(2, proxies=((0, 0),), cross_zone_cost=0.0)
    harness.run_slots(25, utilization={0: 0.8, 1: 0.2})
    assert harness.shares(0)[server_id(1)] > 2 * harness.shares(0)[server_id(0)]


def test_failed_attempts_do_not_increase_the_estimated_capacity() -> None:
    """If failed attempts counted as load, the limits of warming servers would grow during overload."""
    harness = two_zone_harness(load_columns=())
    harness.run_slots(8, attempts=10)
    before = harness.planner.capacity.unit_capacity
    harness.run_slots(6, attempts=100, failures=dict.fromkeys(range(6), 95), mean_latency=100.0)
    assert harness.planner.capacity.unit_capacity < 2 * before
