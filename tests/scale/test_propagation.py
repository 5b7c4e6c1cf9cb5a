"""Tests of the propagation times computed from changes at the registry and records of planners."""

from __future__ import annotations

import pytest

from stackwheel.scale.control import EntryRecord, MadeChange, RestartRecord
from stackwheel.scale.propagation import measure

READY = 1
DRAINING = 2
NAME = "svc-0000-00000001"


def made(lifecycle: str, at: float, started: int = 0) -> MadeChange:
    return MadeChange(NAME, lifecycle, started, 1, at)


def recorded(state: int, started: float, *at: tuple[int, float]) -> EntryRecord:
    return EntryRecord(NAME, state, started, [planner for planner, _ in at], [time for _, time in at])


def test_each_change_has_one_time_per_planner() -> None:
    times = measure([made("terminating", 10.0)], [recorded(DRAINING, 0.0, (0, 10.1), (1, 10.5))], {NAME: [0, 1]})
    assert times.count() == 2
    assert times.missing == 0
    assert times.percentile(50) == pytest.approx(100, rel=0.01)
    assert times.percentile(100) == pytest.approx(500, rel=0.01)


def test_a_change_without_a_record_at_a_planner_is_counted_as_missing() -> None:
    times = measure([made("terminating", 10.0)], [recorded(DRAINING, 0.0, (0, 10.1))], {NAME: [0, 1]})
    assert times.count() == 1
    assert times.missing == 1


def test_records_of_planners_without_the_server_are_ignored() -> None:
    times = measure([made("terminating", 10.0)], [recorded(DRAINING, 0.0, (0, 10.1), (7, 30.0))], {NAME: [0]})
    assert times.count() == 1
    assert times.percentile(100) == pytest.approx(100, rel=0.01)
    assert measure([made("terminating", 10.0)], [], {}).count() == 0


def test_a_later_change_in_force_implies_that_earlier_ones_are_in_force() -> None:
    changes = [made("terminating", 10.0), made("terminated", 10.2), made("in_service", 10.4, 99)]
    times = measure(changes, [recorded(READY, 99.0, (0, 10.5))], {NAME: [0]})
    assert times.count() == 3
    assert times.missing == 0
    assert times.percentile(100) == pytest.approx(500, rel=0.01)


def test_an_earlier_change_in_force_does_not_imply_that_a_later_one_is_in_force() -> None:
    changes = [made("terminating", 10.0), made("terminated", 10.2)]
    times = measure(changes, [recorded(DRAINING, 0.0, (0, 10.1))], {NAME: [0]})
    assert times.count() == 1
    assert times.missing == 1


def test_a_change_during_a_restart_is_replaced_by_the_time_of_the_restart() -> None:
    restart = RestartRecord(0, 10.0, 12.0)
    times = measure([made("terminated", 9.9), made("in_service", 11.0, 99)], [], {NAME: [0]}, [restart])
    assert times.missing == 0
    assert times.count() == 2
    assert times.percentile(100) == pytest.approx(2_100, rel=0.01)


def test_without_changes_percentiles_are_none() -> None:
    times = measure([], [], {})
    assert times.percentile(50) is None
    assert times.percentile(100) is None
    assert times.count() == 0
