"""Limits on reported figures, so that one spoilt report cannot distort the estimates that depend on it.

A figure that fits its field may still be wrong by orders of magnitude, and a moving average forgets it only after many
slots. A figure therefore counts only up to a multiple of the expected one. If a figure really has changed by more, the
expectation follows within a few reports.
"""

from __future__ import annotations

MAX_GROWTH = 4.0
"""Maximum ratio of a figure to the expected one; less than the reserve of warming servers (1 / WARMING_LOAD_SHARE)."""

CHANCE_ALLOWANCE = 10.0
"""Number of requests by which a figure may exceed the maximum ratio, as small numbers vary by chance."""


def limit_figure(reported: float, expected: float, allowance: float = 0.0) -> float:
    """Return a reported figure, or the highest plausible figure if that is lower.

    Args:
        reported: the reported figure.
        expected: the figure that was expected, in the same unit.
        allowance: amount by which the figure may exceed the maximum ratio, in the same unit.
    """
    return min(reported, MAX_GROWTH * expected + allowance)


def rate_allowance(report_interval_ms: float) -> float:
    """Return the allowance for a rate, requests per second: `CHANCE_ALLOWANCE` in each report interval."""
    return CHANCE_ALLOWANCE * 1000.0 / report_interval_ms


class FigureLimiter:
    """Limits reported figures to the highest plausible ones, and counts those that were higher, for the log.

    Attributes:
        limited_count: number of limited figures since the last call of `take_limited_count`.
    """

    __slots__ = ("limited_count",)

    def __init__(self) -> None:
        self.limited_count = 0

    def limit(self, reported: float, highest: float) -> float:
        """Return a reported figure, or the highest plausible figure if that is lower."""
        if reported <= highest:
            return reported
        self.limited_count += 1
        return highest

    def take_limited_count(self) -> int:
        """Return the number of limited figures, and start to count from 0."""
        count = self.limited_count
        self.limited_count = 0
        return count
