"""Logging to standard error; lines that repeat are suppressed and counted, so that no fault fills the log."""

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
DEBUG_LEVEL: Final = 10  # loguru's number; lines up to it are never suppressed, as somebody has asked for all of them
WINDOW_S: Final = 10.0  # within which the lines of one statement are counted
MAX_LINES_PER_WINDOW: Final = 20


class Window(NamedTuple):
    """Lines of one log statement within one window."""

    started_at: float  # s
    line_count: int  # suppressed ones among them


class RepeatFilter:
    """Passes some lines of each log statement within a window and counts the rest.

    The next line of the statement after the window says how many were suppressed.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        """Start with nothing counted; `now` in s."""
        self.now = now
        self.windows: dict[tuple[str | None, int], Window] = {}

    def __call__(self, record: Record) -> bool:
        """Whether a line is written."""
        if record["level"].no <= DEBUG_LEVEL:
            return True
        statement = (record["name"], record["line"])
        now = self.now()
        window = self.windows.get(statement, Window(now, 0))
        note = ""
        if now - window.started_at >= WINDOW_S:
            suppressed = window.line_count - MAX_LINES_PER_WINDOW
            note = f" ({suppressed} similar lines suppressed)" if suppressed > 0 else ""
            window = Window(now, 0)
        self.windows[statement] = Window(window.started_at, window.line_count + 1)
        record["extra"]["suppressed"] = note
        return window.line_count < MAX_LINES_PER_WINDOW


class LoguruHandler(logging.Handler):
    """Passes what libraries log by the standard module on to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record with its logger's name."""
        text = f"{record.name}: {record.getMessage()}"
        logger.opt(exception=record.exc_info).log(record.levelname, "{}", text)


def start_logging(planner: str, level: str = "INFO") -> None:
    """Write all log lines to standard error, each with the planner's name."""
    logger.remove()
    logger.configure(extra={"planner": planner, "suppressed": ""})
    logging.basicConfig(handlers=[LoguruHandler()], level=logging.WARNING, force=True)
    logger.add(sys.stderr, level=level, format=LOG_FORMAT, filter=RepeatFilter(), diagnose=False, backtrace=False)
