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


def limit_figure(reported: float, expected: float, allowance: float = 0.0, growth: float = MAX_GROWTH) -> float:
    """Return a reported figure, or the highest plausible figure if that is lower.

    Args:
        reported: the reported figure.
        expected: the figure that was expected, in the same unit.
        allowance: amount by which the figure may exceed the maximum ratio, in the same unit.
        growth: maximum ratio of the figure to the expected one.
    """
    return min(reported, growth * expected + allowance)


def rate_allowance(report_interval_ms: float) -> float:
    """Return the allowance for a rate, requests per second: `CHANCE_ALLOWANCE` in each report interval."""
    return CHANCE_ALLOWANCE * 1000.0 / report_interval_ms


class LimitCounter:
    """Counts the figures that were limited, for the log.

    Attributes:
        count: number of figures since the last call of `take`.
    """

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0

    def record(self, reported: float, limited: float) -> float:
        """Count a figure if it was limited, and return what counts of it."""
        self.count += limited < reported
        return limited

    def take(self) -> int:
        """Return the number of limited figures, and start to count from 0."""
        count = self.count
        self.count = 0
        return count
