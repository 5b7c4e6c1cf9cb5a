"""Times a forwarder's choice of a server, as `forwarder/` makes it, in microseconds."""

from __future__ import annotations

import statistics
import time
from random import Random

from stackwheel.forwarder.state import ForwarderState, choose
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdatePart
from stackwheel.interface import LoadBalancingPolicy
from stackwheel.scale.slopes import Choice

ROUTE = "read"
TABLE_LINES = (23, 200, 512)  # a mean service; the most that a table usually has (docs/fleet.md); the largest cell
ATTEMPTS_MADE = (0, 2)  # a first try, and the third
LOAD_BALANCING_POLICY: LoadBalancingPolicy = (
    "two"  # two drawn by weight, the one with less under way: the dearest that holds no state
)
CALLS = 2_000  # timed together, as one is near the clock's own cost
REPEATS = 15


def table(lines: int) -> ForwarderState:
    """A forwarder that holds one table of so many lines."""
    names = [f"svc-0001-{number:08x}" for number in range(lines)]
    holdings = ForwarderState((ROUTE,), frozenset(names))
    weights = Random(lines)
    holdings.apply(
        ConfigUpdate((ConfigUpdatePart((ROUTE,), True, tuple((name, weights.uniform(0.5, 1.5)) for name in names)),))
    )
    return holdings


def time_choice(lines: int, without: int, repeats: int = REPEATS, calls: int = CALLS) -> Choice:
    """Time choices from a table, some servers tried already; means of each repeat."""
    class_table = table(lines).class_tables[ROUTE]
    attempted = class_table.available[:without]
    random = Random(1)
    in_flight = {name: number % 3 for number, name in enumerate(class_table.available)}
    means = []
    for _ in range(repeats):
        began = time.perf_counter_ns()
        for _ in range(calls):
            choose(class_table, LOAD_BALANCING_POLICY, random, in_flight, (), attempted)
        means.append(round((time.perf_counter_ns() - began) / calls / 1000.0, 3))
    return Choice(lines, without, min(means), statistics.median(means), means)


def time_choices() -> list[Choice]:
    """All sizes and tries."""
    return [time_choice(lines, without) for lines in TABLE_LINES for without in ATTEMPTS_MADE]
