"""The planner's clock: Unix milliseconds that no step of the wall clock moves."""

from __future__ import annotations

import time
from collections.abc import Callable

MS_PER_S = 1000.0


class Clock:
    """Reads the wall clock once and counts on from there by the steady clock.

    Start times of servers, which come from discovery in Unix milliseconds, can be compared with it.

    Attributes:
        steady: the steady clock, in seconds.
        offset: ms from the steady clock's zero to the Unix epoch's, as the wall clock had it at the start.
    """

    def __init__(self, wall: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic) -> None:
        """Start the clock; both sources give seconds, and a simulation passes its own."""
        self.steady = steady
        self.offset = wall() * MS_PER_S - steady() * MS_PER_S

    def now(self) -> float:
        """The present time in Unix ms."""
        return self.offset + self.steady() * MS_PER_S
