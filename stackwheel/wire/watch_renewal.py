"""When a watch is renewed that delivers no change."""

from __future__ import annotations

import math
from random import Random

RENEWAL_BACKOFF = 2.0
"""Factor by which a renewal that brought nothing delays the next one."""

MIN_JITTER = 0.5
"""Smallest factor of the jitter, which is spread evenly over 1.0 from there: no two planners renew in step."""


class RenewalTimer:
    """When a watch is renewed that has delivered no change for long; each renewal without effect doubles the delay."""

    def __init__(self, interval_ms: float, random: Random) -> None:
        self.interval_ms = interval_ms
        self.random = random
        self._delay_ms = interval_ms
        self._due_at = math.inf  # s, time of the event loop

    def restart(self, now: float) -> None:
        """Start again: a list has come."""
        self._delay_ms = self.interval_ms
        self._schedule(now)

    def is_due(self, now: float) -> bool:
        """Whether the watch has to be renewed."""
        return now >= self._due_at

    def back_off(self, now: float) -> None:
        """Wait for longer: the watch goes on where its renewal fails, and is renewed ever more seldom."""
        self._delay_ms *= RENEWAL_BACKOFF
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        self._due_at = now + self._delay_ms / 1000.0 * (MIN_JITTER + self.random.random())
