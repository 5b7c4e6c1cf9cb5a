"""The planner's clock: Unix time in milliseconds that is not affected by steps of the wall clock."""

from __future__ import annotations

import time
from collections.abc import Callable

MS_PER_S = 1000.0


class Clock:
    """A monotonic clock that is set to the wall clock once, at its creation.

    Its times can be compared with the start times of servers, which discovery states in Unix milliseconds.

    Attributes:
        monotonic_clock: the clock that advances this one, in seconds.
        offset: difference between Unix time and the monotonic clock, ms.
    """

    def __init__(
        self, wall_clock: Callable[[], float] = time.time, monotonic_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Set the clock; both arguments return seconds, and a simulation passes its own."""
        self.monotonic_clock = monotonic_clock
        self.offset = wall_clock() * MS_PER_S - monotonic_clock() * MS_PER_S

    def now(self) -> float:
        """Return the current time, Unix ms."""
        return self.offset + self.monotonic_clock() * MS_PER_S
