"""Small numeric helpers that every estimate is made of."""

from __future__ import annotations

from collections.abc import Sequence

MAX_RATE_PER_S = 1e6
"""Requests a second; a report of more is a fault of its sender and is taken as this."""


def bounded(value: float, low: float, high: float) -> float:
    """Limit a value to a range; NaN counts as the lower bound."""
    is_number = value == value
    return min(high, max(low, value)) if is_number else low


def blend(old: float | None, new: float, gain: float) -> float:
    """Move an exponential average by `gain` towards a new figure; the first figure counts in full."""
    return new if old is None else old + gain * (new - old)


def median(values: Sequence[float], weights: Sequence[float] | None = None) -> float:
    """The weighted median, each value weighing 1 where no weights are given; 0 of nothing."""
    pairs = sorted(zip(values, weights or [1.0] * len(values), strict=True))
    left = 0.5 * sum(weight for _, weight in pairs)
    for value, weight in pairs:
        left -= weight
        if left < 0:
            return value
    return 0.0
