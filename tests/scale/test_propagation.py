"""From changes made and entries held to times in force."""

from __future__ import annotations

import pytest

from stackwheel.scale.control import EntryRecord, MadeChange, RestartRecord
from stackwheel.scale.propagation import measure

READY, DRAINING, GONE = 1, 2, 0
NAME = "svc-0000-00000001"


def made(lifecycle: str, at: float, started: int = 0) -> MadeChange:
    return MadeChange(NAME, lifecycle, started, 1, at)


def held(state: int, started: float, *at: tuple[int, float]) -> EntryRecord:
    return EntryRecord(NAME, state, started, [planner for planner, _ in at], [time for _, time in at])


def test_each_planner_counts_once_for_each_change() -> None:
    found = measure([made("terminating", 10.0)], [held(DRAINING, 0.0, (0, 10.1), (1, 10.5))], {NAME: [0, 1]})
    assert found.count() == 2
    assert found.missing == 0
    assert found.percentile(50) == pytest.approx(100, rel=0.01)
    assert found.percentile(100) == pytest.approx(500, rel=0.01)


def test_a_planner_that_never_held_it_is_missing() -> None:
    found = measure([made("terminating", 10.0)], [held(DRAINING, 0.0, (0, 10.1))], {NAME: [0, 1]})
    assert found.count() == 1
    assert found.missing == 1


def test_planners_that_need_not_hold_it_do_not_count() -> None:
    found = measure([made("terminating", 10.0)], [held(DRAINING, 0.0, (0, 10.1), (7, 30.0))], {NAME: [0]})
    assert found.count() == 1
    assert found.percentile(100) == pytest.approx(100, rel=0.01)
    assert measure([made("terminating", 10.0)], [], {}).count() == 0


def test_a_later_word_holds_the_earlier_too() -> None:
    changes = [made("terminating", 10.0), made("terminated", 10.2), made("in_service", 10.4, 99)]
    found = measure(changes, [held(READY, 99.0, (0, 10.5))], {NAME: [0]})
    assert found.count() == 3
    assert found.missing == 0
    assert found.percentile(100) == pytest.approx(500, rel=0.01)


def test_an_earlier_word_does_not_hold_a_later() -> None:
    changes = [made("terminating", 10.0), made("terminated", 10.2)]
    found = measure(changes, [held(DRAINING, 0.0, (0, 10.1))], {NAME: [0]})
    assert found.count() == 1
    assert found.missing == 1


def test_a_restart_counts_until_the_list_is_held_again() -> None:
    restart = RestartRecord(0, 10.0, 12.0)
    found = measure([made("terminated", 9.9), made("in_service", 11.0, 99)], [], {NAME: [0]}, [restart])
    assert found.missing == 0
    assert found.count() == 2
    assert found.percentile(100) == pytest.approx(2_100, rel=0.01)


def test_without_changes_there_are_no_figures() -> None:
    found = measure([], [], {})
    assert found.percentile(50) is None
    assert found.percentile(100) is None
    assert found.count() == 0
