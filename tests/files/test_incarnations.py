"""A planner without a disk starts above all of its earlier incarnations that it can see."""

from __future__ import annotations

from stackwheel.files.incarnations import next_incarnation
from stackwheel.files.records import Incarnation


def test_incarnations_order_without_a_disk() -> None:
    """Within one millisecond, with a clock stepped back, with the same salt: the later one is greater."""
    seen: list[Incarnation] = []
    for now, salt in ((5000.0, 9), (5000.0, 9), (5000.0, 1), (1000.0, 3), (6000.0, 0)):
        incarnation = next_incarnation(now, salt, seen)
        assert all(incarnation > earlier for earlier in seen)
        seen.append(incarnation)
    assert next_incarnation(1.0, 0, seen, epoch=1) > max(seen)
