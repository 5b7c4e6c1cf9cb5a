"""The rate limit of repeated log lines."""

from typing import Any, NamedTuple

from stackwheel.service.logging_setup import MAX_LINES_PER_WINDOW, SUPPRESSION_WINDOW_S, RepeatFilter


class Level(NamedTuple):
    no: int


def test_repeated_log_lines_are_suppressed_and_their_number_is_reported() -> None:
    now = 0.0
    repeat_filter = RepeatFilter(lambda: now)
    record: dict[str, Any] = {"name": "here", "line": 7, "extra": {}, "level": Level(30)}
    assert [repeat_filter(record) for _ in range(MAX_LINES_PER_WINDOW + 3)] == [True] * MAX_LINES_PER_WINDOW + [
        False
    ] * 3  # type: ignore[arg-type]
    assert repeat_filter({**record, "line": 8})  # type: ignore[typeddict-item, arg-type]
    assert all(repeat_filter({**record, "level": Level(10)}) for _ in range(MAX_LINES_PER_WINDOW + 3))  # type: ignore[typeddict-item, arg-type]
    now = SUPPRESSION_WINDOW_S
    assert repeat_filter(record)
    assert record["extra"]["suppressed"] == " (3 similar lines suppressed)"
    assert repeat_filter(record)
    assert record["extra"]["suppressed"] == ""
