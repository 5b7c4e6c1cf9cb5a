"""Tests that a starting planner chooses an incarnation above all known earlier ones."""

from __future__ import annotations

from stackwheel.files.incarnations import next_incarnation
from stackwheel.files.records import Incarnation


def test_a_later_incarnation_compares_greater_without_persistent_storage() -> None:
    """Covers starts within the same millisecond, a clock stepped back and equal salts."""
    seen: list[Incarnation] = []
    for now, salt in ((5000.0, 9), (5000.0, 9), (5000.0, 1), (1000.0, 3), (6000.0, 0)):
        incarnation = next_incarnation(now, salt, seen)
        assert all(incarnation > earlier for earlier in seen)
        seen.append(incarnation)
    assert next_incarnation(1.0, 0, seen, epoch=1) > max(seen)
