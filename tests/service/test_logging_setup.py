"""Repeats are held down, and counted."""

from typing import Any, NamedTuple

from stackwheel.service.logging_setup import MAX_LINES_PER_WINDOW, WINDOW_S, RepeatFilter


class Level(NamedTuple):
    no: int


def test_repeats_are_held_down() -> None:
    at = 0.0
    hold = RepeatFilter(lambda: at)
    record: dict[str, Any] = {"name": "here", "line": 7, "extra": {}, "level": Level(30)}
    assert [hold(record) for _ in range(MAX_LINES_PER_WINDOW + 3)] == [True] * MAX_LINES_PER_WINDOW + [False] * 3  # type: ignore[arg-type]
    assert hold({**record, "line": 8})  # type: ignore[typeddict-item, arg-type]
    assert all(hold({**record, "level": Level(10)}) for _ in range(MAX_LINES_PER_WINDOW + 3))  # type: ignore[typeddict-item, arg-type]
    at = WINDOW_S
    assert hold(record) and record["extra"]["suppressed"] == " (3 similar lines suppressed)"  # type: ignore[arg-type]
    assert hold(record) and record["extra"]["suppressed"] == ""  # type: ignore[arg-type]
