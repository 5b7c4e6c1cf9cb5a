"""Waits between tries that fail: each up to twice the last, never in step with another planner's."""

from __future__ import annotations

from random import Random


class Backoff:
    """Exponential, with a bound and jitter; what succeeds begins it anew."""

    def __init__(self, first: float, most: float, random: Random) -> None:
        self.first, self.most, self.random = first, max(first, most), random
        self.failures = 0

    def next(self) -> float:
        """ms until the next try: half to one and a half times the doubled wait, at most `most`."""
        wait = self.first * 2.0 ** min(16, self.failures) * (0.5 + self.random.random())
        self.failures += 1
        return min(self.most, wait)

    def reset(self) -> None:
        self.failures = 0
