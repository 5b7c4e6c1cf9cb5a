"""Load reports: how long they are valid, and what is not believed."""

import math

import pytest
from policy_harness import (
    PolicyHarness,
    alternating_fleet,
    entry,
    server_id,
)

from stackwheel import interface as face
from stackwheel.policy import timers


def test_without_reports_tables_stay_as_they_are() -> None:
    harness = alternating_fleet()
    harness.slots(4)
    before = harness.shares(0)
    for _ in range(5):
        harness.send(face.TimerFired(timers.SLOT_TIMER + harness.planner.slot.number), wait=1250.0)
    assert harness.shares(0) == pytest.approx(before)


@pytest.mark.parametrize("mean", [math.nan, math.inf, -5.0, 1e300])
@pytest.mark.parametrize("window", [0.0, -1.0, math.nan, math.inf])
def test_absurd_figures_never_reach_a_weight(mean: float, window: float) -> None:
    harness = alternating_fleet()
    harness.slots(2)
    harness.send(
        face.LoadReport(0, server_id(0), 10, 99, mean, 1000.0, (mean,)),
        face.LoadReport(0, server_id(0), 10, 0, mean, window, (window,)),
        face.LoadReport(7, server_id(99), 10, 0, mean, window, ()),
        face.DemandReport(0, 0, 5, 0, window),
        face.DemandReport(55, 9, 5, 0, 1000.0),
        wait=1000.0,
    )
    harness.slots(2)
    assert all(math.isfinite(w) and w > 0 for lines in harness.tables.values() for w in lines.values())


@pytest.mark.parametrize("window", [400.0, 1000.0, 4000.0])
def test_a_report_is_valid_for_twice_its_window(window: float) -> None:
    """At size the report cap thins reports out: a server reported every fourth cycle has not lost its traffic."""
    harness = PolicyHarness(servers=[entry(n, 0) for n in range(4)], proxies=((0, 0),))
    attempts = int(40 * window / 1000.0)
    harness.send(*(face.LoadReport(0, server_id(n), attempts, 0, 100.0, window, (0.5,)) for n in range(4)), wait=1000.0)
    before = harness.planner.pool.views[server_id(0)].attempt_rate
    other = face.LoadReport(0, server_id(3), 40, 0, 100.0, 1000.0, (0.5,))
    harness.send(other, wait=1000.0)
    faded = harness.planner.pool.views[server_id(0)].attempt_rate < before
    assert faded == (window < 500.0)
