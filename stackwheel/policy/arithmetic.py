"""Numeric functions that the estimates share."""

from __future__ import annotations

from collections.abc import Sequence

MAX_RATE_PER_S = 1e6
"""Maximum plausible rate, requests per second; higher reported rates are reduced to it."""


def clamp(value: float, low: float, high: float) -> float:
    """Restrict a value to a range; NaN becomes the lower bound."""
    is_number = value == value
    return min(high, max(low, value)) if is_number else low


def exponential_average(old: float | None, new: float, gain: float) -> float:
    """Return an exponential moving average that has moved by the share `gain` towards a new value.

    Args:
        old: the previous average; None before the first value, which then becomes the average.
        new: the new value.
        gain: smoothing factor between 0 and 1.
    """
    return new if old is None else old + gain * (new - old)


def median(values: Sequence[float], weights: Sequence[float] | None = None) -> float:
    """Return the weighted median, with equal weights by default; 0 if there are no values."""
    pairs = sorted(zip(values, weights or [1.0] * len(values), strict=True))
    remaining = 0.5 * sum(weight for _, weight in pairs)
    for value, weight in pairs:
        remaining -= weight
        if remaining < 0:
            return value
    return 0.0
