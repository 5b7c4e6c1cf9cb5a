"""One clock for all that the policy compares: Unix milliseconds, but no step of the wall clock moves it."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Both sources give seconds; they come from outside so that a virtual clock can take their place."""

    def __init__(self, wall: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic) -> None:
        self.steady = steady
        self.offset = wall() * 1000.0 - steady() * 1000.0

    def now(self) -> float:
        return self.offset + self.steady() * 1000.0
