"""Timer for the renewal of a watch: a watch that delivers no changes is replaced, because it may be faulty."""

from __future__ import annotations

import math
from random import Random

RENEWAL_BACKOFF = 2.0
"""Factor by which the interval grows after each renewal that did not deliver a list."""

MIN_JITTER_FACTOR = 0.5
"""Lower bound of the jitter factor, which is distributed uniformly over an interval of length 1.0."""


class RenewalTimer:
    """Decides when to renew a watch that has delivered no change for a given interval.

    The interval grows with each renewal that does not deliver a list, and has jitter, which prevents planners from
    renewing their watches simultaneously.

    Attributes:
        interval_ms: interval without a change before the first renewal, without jitter, ms.
        random: source of the jitter.
    """

    def __init__(self, interval_ms: float, random: Random) -> None:
        self.interval_ms = interval_ms
        self.random = random
        self._delay_ms = interval_ms
        self._due_at = math.inf  # in seconds on the event loop's clock

    def restart(self, now: float) -> None:
        """Restart the timer with the first interval, because a list has been received; `now` is in seconds."""
        self._delay_ms = self.interval_ms
        self._schedule(now)

    def is_due(self, now: float) -> bool:
        """Return whether the watch has to be renewed; `now` is in seconds."""
        return now >= self._due_at

    def back_off(self, now: float) -> None:
        """Restart the timer with a longer interval, because a renewal has been started; `now` is in seconds."""
        self._delay_ms *= RENEWAL_BACKOFF
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        self._due_at = now + self._delay_ms / 1000.0 * (MIN_JITTER_FACTOR + self.random.random())
