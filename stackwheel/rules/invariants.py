"""The service's own invariants, as comparisons of values: each gives the reason why it is broken, or None."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from stackwheel.interface import AdmissionLevel

WEIGHT_TOLERANCE = 1e-4
"""Relative: weights and admission levels are sent with six digits."""


class BoundedCount(NamedTuple):
    """How much a planner has of something, and how much it may have at most."""

    name: str
    value: float
    bound: float


def differs(one: float, other: float) -> bool:
    """Whether two weights or admission levels differ by more than the digits that are sent."""
    return abs(one - other) > WEIGHT_TOLERANCE * max(one, other)


def line_mismatch(actual: Mapping[str, float], believed: Mapping[str, float]) -> str | None:
    """Where a proxy's lines for a class are not those that its planner believes it to have."""
    if len(actual) == len(believed) and all(
        (weight := actual.get(server)) is not None and not differs(weight, expected)
        for server, expected in believed.items()
    ):
        return None
    for server in sorted({*actual, *believed}):
        weight = actual.get(server)
        expected = believed.get(server)
        if weight is None or expected is None or differs(weight, expected):
            return f"line {server}: held {weight}, believed {expected}"
    return None


def level_mismatch(actual: AdmissionLevel | None, believed: AdmissionLevel | None) -> str | None:
    """Where a proxy's admission level for a class is not the one that its planner believes it to have."""
    if actual is None and believed is None:
        return None
    if (
        actual is not None
        and believed is not None
        and actual.retry == believed.retry
        and not differs(actual.admitted, believed.admitted)
    ):
        return None
    return f"level held {describe_level(actual)}, believed {describe_level(believed)}"


def describe_level(level: AdmissionLevel | None) -> str:
    """A level as violations show it: admitted, and the retry mode's number."""
    return "None" if level is None else f"({level.admitted}, {int(level.retry)})"


def exceeded_bounds(counts: Iterable[BoundedCount]) -> list[str]:
    """Those of the counts that are over their bound."""
    return [f"{one.name}: {one.value:g}, at most {one.bound:g}" for one in counts if one.value > one.bound]
