"""Repeats are held down, and counted."""

from typing import Any, NamedTuple

from stackwheel.service.logging_setup import BURST, SPAN, HoldDown


class Level(NamedTuple):
    no: int


def test_repeats_are_held_down() -> None:
    at = 0.0
    hold = HoldDown(lambda: at)
    record: dict[str, Any] = {"name": "here", "line": 7, "extra": {}, "level": Level(30)}
    assert [hold(record) for _ in range(BURST + 3)] == [True] * BURST + [False] * 3  # type: ignore[arg-type]
    assert hold({**record, "line": 8})  # type: ignore[typeddict-item, arg-type]
    assert all(hold({**record, "level": Level(10)}) for _ in range(BURST + 3))  # type: ignore[typeddict-item, arg-type]
    at = SPAN
    assert hold(record) and record["extra"]["held"] == " (3 more like this were held down)"  # type: ignore[arg-type]
    assert hold(record) and record["extra"]["held"] == ""  # type: ignore[arg-type]
