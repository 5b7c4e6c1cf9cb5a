"""Logging to standard error with rate limiting, so that a recurring fault does not flood the log."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

LOG_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[planner]} {message}{extra[suppressed]}"
DEBUG_LEVEL: Final = 10  # loguru's number of the level; lines up to this level are never suppressed
SUPPRESSION_WINDOW_S: Final = 10.0
MAX_LINES_PER_WINDOW: Final = 20


class LineWindow(NamedTuple):
    """Count of the lines that a log statement has produced in the current window.

    Attributes:
        started_at: monotonic time of the first line, in seconds.
        line_count: number of lines, including suppressed ones.
    """

    started_at: float
    line_count: int


class RepeatFilter:
    """Loguru filter that limits how many lines each log statement may write per window.

    The first line that a statement writes after a window reports how many lines were suppressed in that window.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        """Create a filter without counted lines; `now` returns the monotonic time in seconds."""
        self.now = now
        self.windows: dict[tuple[str | None, int], LineWindow] = {}

    def __call__(self, record: Record) -> bool:
        """Return whether a line is written, and set the number of suppressed lines to append to it."""
        if record["level"].no <= DEBUG_LEVEL:
            return True
        statement = (record["name"], record["line"])
        now = self.now()
        window = self.windows.get(statement, LineWindow(now, 0))
        note = ""
        if now - window.started_at >= SUPPRESSION_WINDOW_S:
            suppressed = window.line_count - MAX_LINES_PER_WINDOW
            note = f" ({suppressed} similar lines suppressed)" if suppressed > 0 else ""
            window = LineWindow(now, 0)
        self.windows[statement] = LineWindow(window.started_at, window.line_count + 1)
        record["extra"]["suppressed"] = note
        return window.line_count < MAX_LINES_PER_WINDOW


class LoguruHandler(logging.Handler):
    """Forwards records of the standard `logging` module, which libraries use, to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record with the name of its logger as a prefix."""
        text = f"{record.name}: {record.getMessage()}"
        logger.opt(exception=record.exc_info).log(record.levelname, "{}", text)


def start_logging(planner: str, level: str = "INFO") -> None:
    """Write log lines of a level or above to standard error, each with the name of the planner or relay."""
    logger.remove()
    logger.configure(extra={"planner": planner, "suppressed": ""})
    logging.basicConfig(handlers=[LoguruHandler()], level=logging.WARNING, force=True)
    logger.add(sys.stderr, level=level, format=LOG_FORMAT, filter=RepeatFilter(), diagnose=False, backtrace=False)
