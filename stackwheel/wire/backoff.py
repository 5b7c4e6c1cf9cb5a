"""Delays between attempts that fail: exponential, bounded, with jitter."""

from __future__ import annotations

from random import Random

MAX_DOUBLINGS = 16
"""Of the first delay: far beyond any bound in use, and it keeps the power small."""

MIN_JITTER = 0.5
"""Smallest factor of the jitter, which is spread evenly over 1.0 from there: no two planners retry in step."""


class Backoff:
    """Exponential backoff with an upper bound and jitter; a success starts it again.

    Attributes:
        first_delay_ms: delay after the first failure, before the jitter.
        max_delay_ms: upper bound of every delay.
        failures: failures since the last success.
    """

    def __init__(self, first_delay_ms: float, max_delay_ms: float, random: Random) -> None:
        self.first_delay_ms = first_delay_ms
        self.max_delay_ms = max(first_delay_ms, max_delay_ms)
        self.random = random
        self.failures = 0

    def next_delay_ms(self) -> float:
        """Count a failure; the delay until the next attempt is half to one and a half times the doubled one."""
        doublings = min(MAX_DOUBLINGS, self.failures)
        delay_ms = self.first_delay_ms * 2.0**doublings * (MIN_JITTER + self.random.random())
        self.failures += 1
        return min(self.max_delay_ms, delay_ms)

    def reset(self) -> None:
        """Start again with the first delay, after a success."""
        self.failures = 0
