"""Invariants of the service: descriptions of differences and of exceeded bounds."""

from __future__ import annotations

from stackwheel.interface import AdmissionLevel, Retry
from stackwheel.rules.invariants import BoundedCount, exceeded_bounds, level_mismatch, line_mismatch


def test_a_mismatch_is_described_with_the_server_or_level_and_both_values() -> None:
    assert line_mismatch({"a": 0.5}, {"a": 0.50001}) is None
    assert line_mismatch({"a": 0.5}, {"a": 0.51}) == "weight of server a: actual 0.5, expected 0.51"
    assert line_mismatch({"a": 0.5, "b": 1.0}, {"a": 0.5}) == "weight of server b: actual 1.0, expected None"
    assert line_mismatch({"a": 0.5}, {"c": 0.5}) == "weight of server a: actual 0.5, expected None"
    once = AdmissionLevel(0.5, Retry.ONCE_IF_NOT_EXECUTED)
    assert level_mismatch(None, None) is None
    assert level_mismatch(once, AdmissionLevel(0.5, Retry.ONCE_IF_NOT_EXECUTED)) is None
    assert (
        level_mismatch(once, AdmissionLevel(0.5, Retry.ONCE)) == "admission level: actual (0.5, 1), expected (0.5, 2)"
    )
    assert level_mismatch(once, AdmissionLevel(0.6, Retry.ONCE_IF_NOT_EXECUTED)) is not None
    assert level_mismatch(once, None) == "admission level: actual (0.5, 1), expected None"


def test_only_counts_over_their_bound_are_described() -> None:
    assert exceeded_bounds([BoundedCount("tasks", 3, 3), BoundedCount("nonces", 65, 64)]) == [
        "nonces: 65, over the limit of 64"
    ]
