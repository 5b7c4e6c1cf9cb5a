"""Tests for the validity of load reports and the handling of invalid values."""

import math

import pytest
from policy_harness import (
    PolicyHarness,
    entry,
    server_id,
    two_zone_harness,
)

from stackwheel import interface
from stackwheel.policy import timers


def test_tables_do_not_change_without_reports() -> None:
    harness = two_zone_harness()
    harness.run_slots(4)
    before = harness.shares(0)
    for _ in range(5):
        harness.send(interface.TimerFired(timers.SLOT_TIMER + harness.planner.slot.number), wait_ms=1250.0)
    assert harness.shares(0) == pytest.approx(before)


@pytest.mark.parametrize("mean", [math.nan, math.inf, -5.0, 1e300])
@pytest.mark.parametrize("window", [0.0, -1.0, math.nan, math.inf])
def test_invalid_values_in_reports_do_not_lead_to_invalid_weights(mean: float, window: float) -> None:
    harness = two_zone_harness()
    harness.run_slots(2)
    harness.send(
        interface.LoadReport(0, server_id(0), 10, 99, mean, 1000.0, (mean,)),
        interface.LoadReport(0, server_id(0), 10, 0, mean, window, (window,)),
        interface.LoadReport(7, server_id(99), 10, 0, mean, window, ()),
        interface.DemandReport(0, 0, 5, 0, window),
        interface.DemandReport(55, 9, 5, 0, 1000.0),
        wait_ms=1000.0,
    )
    harness.run_slots(2)
    assert all(math.isfinite(w) and w > 0 for lines in harness.tables.values() for w in lines.values())


@pytest.mark.parametrize("window", [400.0, 1000.0, 4000.0])
def test_a_report_is_valid_for_twice_its_window(window: float) -> None:
    """A server for which reports are less frequent because of the report limit must not appear to lose its traffic."""
    harness = PolicyHarness(servers=[entry(n, 0) for n in range(4)], proxies=((0, 0),))
    attempts = int(40 * window / 1000.0)
    harness.send(
        *(interface.LoadReport(0, server_id(n), attempts, 0, 100.0, window, (0.5,)) for n in range(4)), wait_ms=1000.0
    )
    initial_rate = harness.planner.pool.views[server_id(0)].attempt_rate
    report_of_other_server = interface.LoadReport(0, server_id(3), 40, 0, 100.0, 1000.0, (0.5,))
    harness.send(report_of_other_server, wait_ms=1000.0)
    is_decayed = harness.planner.pool.views[server_id(0)].attempt_rate < initial_rate
    assert is_decayed == (window < 500.0)
