"""Logging to standard error; what repeats is held down, so that no trouble fills the log."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[planner]} {message}{extra[held]}"
DEBUG = 10  # loguru's number of the level
SPAN, BURST = 10.0, 20  # seconds; lines of one place in the code within it


class HoldDown:
    """Lets so many lines of one place in the code through in a span, then counts them."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now = now
        self.places: dict[tuple[str | None, int], tuple[float, int]] = {}

    def __call__(self, record: Record) -> bool:
        if record["level"].no <= DEBUG:  # asked for, so all of it
            return True
        place, now = (record["name"], record["line"]), self.now()
        since, count = self.places.get(place, (now, 0))
        held = ""
        if now - since >= SPAN:
            held = f" ({count - BURST} more like this were held down)" if count > BURST else ""
            since, count = now, 0
        self.places[place] = since, count + 1
        record["extra"]["held"] = held
        return count < BURST


class Forward(logging.Handler):
    """What libraries log goes the same way."""

    def emit(self, record: logging.LogRecord) -> None:
        text = f"{record.name}: {record.getMessage()}"
        logger.opt(exception=record.exc_info).log(record.levelname, "{}", text)


def start_logging(planner: str, level: str = "INFO") -> None:
    logger.remove()
    logger.configure(extra={"planner": planner, "held": ""})
    logging.basicConfig(handlers=[Forward()], level=logging.WARNING, force=True)
    logger.add(sys.stderr, level=level, format=FORMAT, filter=HoldDown(), diagnose=False, backtrace=False)
