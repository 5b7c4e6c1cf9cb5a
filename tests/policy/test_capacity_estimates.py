"""What is learned of a server's capacity."""

from policy_harness import alternating_fleet, server_id


def test_capacity_is_served_rate_over_utilization() -> None:
    harness = alternating_fleet(2, proxies=((0, 0),), cross_zone_cost=0.0)
    harness.slots(25, utilization={0: 0.8, 1: 0.2})
    assert harness.shares(0)[server_id(1)] > 2 * harness.shares(0)[server_id(0)]


def test_failed_attempts_are_no_sign_of_capacity() -> None:
    """Found by a search: under overload all attempts counted as load, and a warming server's limit rose with them."""
    harness = alternating_fleet(load_columns=())
    harness.slots(8, attempts=10)
    before = harness.planner.capacity.unit_capacity
    harness.slots(6, attempts=100, failures=dict.fromkeys(range(6), 95), mean_latency=100.0)
    assert harness.planner.capacity.unit_capacity < 2 * before
