"""Exponential backoff with jitter for the delays between failed attempts."""

from __future__ import annotations

from random import Random

MAX_DOUBLINGS = 16
"""Maximum number of times that the first delay is doubled, which prevents an overflow of the delay."""

MIN_JITTER_FACTOR = 0.5
"""Lower bound of the jitter factor, which is distributed uniformly over an interval of length 1.0."""


class Backoff:
    """Exponential backoff with a maximum delay and with jitter, which prevents planners from retrying simultaneously.

    Attributes:
        first_delay_ms: delay after the first failure, without jitter, ms.
        max_delay_ms: maximum delay, ms.
        random: source of the jitter.
        failures: number of failures since the last success.
    """

    def __init__(self, first_delay_ms: float, max_delay_ms: float, random: Random) -> None:
        self.first_delay_ms = first_delay_ms
        self.max_delay_ms = max(first_delay_ms, max_delay_ms)
        self.random = random
        self.failures = 0

    def next_delay_ms(self) -> float:
        """Count a failure, and return the delay until the next attempt, in ms."""
        doublings = min(MAX_DOUBLINGS, self.failures)
        delay_ms = self.first_delay_ms * 2.0**doublings * (MIN_JITTER_FACTOR + self.random.random())
        self.failures += 1
        return min(self.max_delay_ms, delay_ms)

    def reset(self) -> None:
        """Return to the first delay after a success."""
        self.failures = 0
