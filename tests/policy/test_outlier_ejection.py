"""Tests for the conditions of outlier ejection and the shares of ejected servers."""

from policy_harness import PolicyHarness, entry, server_id, two_zone_harness

from stackwheel.policy import outlier_ejection


def test_a_server_with_fast_failures_is_ejected_with_a_small_share_and_restored() -> None:
    harness = two_zone_harness(cross_zone_cost=0.0)
    harness.run_slots(4)
    initial_share = harness.shares(0)[server_id(2)]
    harness.run_slots(3, failures={0: 18}, latencies={0: 5.0})
    assert 0 < harness.shares(0)[server_id(0)] < 0.15 * initial_share
    harness.run_slots(12)
    assert harness.shares(0)[server_id(0)] > 0.5 * initial_share


def test_fast_failures_do_not_increase_the_share_of_a_server() -> None:
    harness = two_zone_harness(load_columns=(), cross_zone_cost=0.0)
    harness.run_slots(4)
    before = harness.shares(0)[server_id(0)]
    for _ in range(6):
        harness.run_slot(failures={0: 4}, latencies={0: 1.0})
        assert harness.shares(0)[server_id(0)] <= before * 1.2


def test_a_single_report_with_failures_does_not_eject_a_server() -> None:
    harness = two_zone_harness()
    harness.run_slots(4)
    harness.run_slot(attempts=3, failures={0: 1})
    assert not any(v.is_ejected(harness.now) for v in harness.planner.pool.views.values())


def test_ejection_is_limited_by_the_panic_threshold_and_leaves_no_table_empty() -> None:
    harness = two_zone_harness(9)
    harness.run_slots(3)
    harness.run_slots(2, failures=dict.fromkeys(range(4), 20))
    ejected = [v for v in harness.planner.pool.views.values() if v.is_ejected(harness.now)]
    assert 0 < len(ejected) <= outlier_ejection.MAX_EJECTED_SHARE * 9 < 4
    single_server = PolicyHarness(servers=[entry(0)], proxies=((0, 0),))
    single_server.run_slots(8, failures={0: 20})
    assert single_server.shares(0)


def test_an_overloaded_server_is_not_ejected() -> None:
    harness = two_zone_harness()
    harness.run_slots(4)
    harness.run_slots(3, failures={0: 10}, latencies={0: 900.0})
    assert not harness.planner.pool.views[server_id(0)].is_ejected(harness.now)
