"""One clock for all that the policy compares: Unix milliseconds, but no step of the wall clock moves it."""

from __future__ import annotations

import time


class Clock:
    def __init__(self) -> None:
        self.offset = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        return self.offset + time.monotonic() * 1000.0
