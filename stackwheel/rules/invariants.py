"""Invariants of the service as comparisons of values; a violated one yields a description of the difference."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from stackwheel.interface import AdmissionLevel

RELATIVE_WEIGHT_TOLERANCE = 1e-4
"""Tolerance for weights and admission levels, which are sent with six digits."""


class BoundedCount(NamedTuple):
    """The current size of a collection in a planner, and its maximum."""

    name: str
    value: float
    bound: float


def differs(first: float, second: float) -> bool:
    """Return whether two weights or admission levels differ by more than the rounding on the wire."""
    return abs(first - second) > RELATIVE_WEIGHT_TOLERANCE * max(first, second)


def line_mismatch(actual: Mapping[str, float], expected: Mapping[str, float]) -> str | None:
    """Describe the first difference between a proxy's lines for a class and those its planner expects, if any."""
    if len(actual) == len(expected) and all(
        (actual_weight := actual.get(server)) is not None and not differs(actual_weight, expected_weight)
        for server, expected_weight in expected.items()
    ):
        return None
    for server in sorted({*actual, *expected}):
        actual_weight = actual.get(server)
        expected_weight = expected.get(server)
        if actual_weight is None or expected_weight is None or differs(actual_weight, expected_weight):
            return f"weight of server {server}: actual {actual_weight}, expected {expected_weight}"
    return None


def level_mismatch(actual: AdmissionLevel | None, expected: AdmissionLevel | None) -> str | None:
    """Describe the difference between a proxy's admission level for a class and the one its planner expects, if any."""
    if actual is None and expected is None:
        return None
    if (
        actual is not None
        and expected is not None
        and actual.retry == expected.retry
        and not differs(actual.admitted, expected.admitted)
    ):
        return None
    return f"admission level: actual {format_level(actual)}, expected {format_level(expected)}"


def format_level(level: AdmissionLevel | None) -> str:
    """Format an admission level as a pair of the admitted share or rate and the number of the retry mode."""
    return "None" if level is None else f"({level.admitted}, {int(level.retry)})"


def exceeded_bounds(counts: Iterable[BoundedCount]) -> list[str]:
    """Describe each count that exceeds its bound."""
    return [
        f"{count.name}: {count.value:g}, over the limit of {count.bound:g}"
        for count in counts
        if count.value > count.bound
    ]
