"""The service's own invariants: what differs is named."""

from __future__ import annotations

from stackwheel.interface import AdmissionLevel, Retry
from stackwheel.rules.invariants import BoundedCount, exceeded_bounds, level_mismatch, line_mismatch


def test_disagreements_name_line_or_level() -> None:
    assert line_mismatch({"a": 0.5}, {"a": 0.50001}) is None
    assert line_mismatch({"a": 0.5}, {"a": 0.51}) == "line a: held 0.5, believed 0.51"
    assert line_mismatch({"a": 0.5, "b": 1.0}, {"a": 0.5}) == "line b: held 1.0, believed None"
    assert line_mismatch({"a": 0.5}, {"c": 0.5}) == "line a: held 0.5, believed None"
    once = AdmissionLevel(0.5, Retry.ONCE_IF_NOT_EXECUTED)
    assert level_mismatch(None, None) is None
    assert level_mismatch(once, AdmissionLevel(0.5, Retry.ONCE_IF_NOT_EXECUTED)) is None
    assert level_mismatch(once, AdmissionLevel(0.5, Retry.ONCE)) == "level held (0.5, 1), believed (0.5, 2)"
    assert level_mismatch(once, AdmissionLevel(0.6, Retry.ONCE_IF_NOT_EXECUTED)) is not None
    assert level_mismatch(once, None) == "level held (0.5, 1), believed None"


def test_only_what_is_over_its_bound_is_named() -> None:
    assert exceeded_bounds([BoundedCount("tasks", 3, 3), BoundedCount("marks", 65, 64)]) == ["marks: 65, at most 64"]
