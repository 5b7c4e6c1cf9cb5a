"""Outlier ejection: who is ejected, and who is not."""

from policy_harness import PolicyHarness, alternating_fleet, entry, server_id

from stackwheel.policy import outlier_ejection


def test_a_server_that_keeps_failing_fast_is_ejected_to_a_trickle_and_returns() -> None:
    harness = alternating_fleet(cross_zone_cost=0.0)
    harness.slots(4)
    even = harness.shares(0)[server_id(2)]
    harness.slots(3, failures={0: 18}, latencies={0: 5.0})
    assert 0 < harness.shares(0)[server_id(0)] < 0.15 * even
    harness.slots(12)
    assert harness.shares(0)[server_id(0)] > 0.5 * even


def test_failing_fast_never_attracts_load() -> None:
    harness = alternating_fleet(load_columns=(), cross_zone_cost=0.0)
    harness.slots(4)
    before = harness.shares(0)[server_id(0)]
    for _ in range(6):
        harness.slot(failures={0: 4}, latencies={0: 1.0})
        assert harness.shares(0)[server_id(0)] <= before * 1.2


def test_one_report_of_failures_ejects_no_server() -> None:
    harness = alternating_fleet()
    harness.slots(4)
    harness.slot(attempts=3, failures={0: 1})
    assert not any(v.is_ejected(harness.now) for v in harness.planner.pool.views.values())


def test_ejection_stops_at_the_panic_threshold_and_keeps_the_last_line() -> None:
    harness = alternating_fleet(9)
    harness.slots(3)
    harness.slots(2, failures=dict.fromkeys(range(4), 20))
    out = [v for v in harness.planner.pool.views.values() if v.is_ejected(harness.now)]
    assert 0 < len(out) <= outlier_ejection.MAX_EJECTED_SHARE * 9 < 4
    alone = PolicyHarness(servers=[entry(0)], proxies=((0, 0),))
    alone.slots(8, failures={0: 20})
    assert alone.shares(0)


def test_an_overloaded_server_is_not_ejected() -> None:
    harness = alternating_fleet()
    harness.slots(4)
    harness.slots(3, failures={0: 10}, latencies={0: 900.0})
    assert not harness.planner.pool.views[server_id(0)].is_ejected(harness.now)
