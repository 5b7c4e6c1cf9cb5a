"""Measures how long a forwarder's choice of a server takes, as `forwarder/` makes it, in microseconds."""

from __future__ import annotations

import statistics
import time
from random import Random

from stackwheel.forwarder.state import ForwarderState, choose
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdatePart
from stackwheel.interface import LoadBalancingPolicy
from stackwheel.scale.slopes import Choice

ROUTE = "read"
TABLE_LINES = (23, 200, 512)  # a mean service; the largest usual table (docs/fleet.md); the largest cell
ATTEMPTS_MADE = (0, 2)  # before the choice: a first attempt, and a third one
# Two drawn by weight, the one with fewer in flight: the slowest policy that keeps no state.
LOAD_BALANCING_POLICY: LoadBalancingPolicy = "two"
CALLS = 2_000  # timed together, as a single call takes about as long as reading the clock
REPEATS = 15


def forwarder_with_table(lines: int) -> ForwarderState:
    """A forwarder with one table of `lines` lines, with drawn weights."""
    names = [f"svc-0001-{number:08x}" for number in range(lines)]
    forwarder = ForwarderState((ROUTE,), frozenset(names))
    weights = Random(lines)
    table = tuple((name, weights.uniform(0.5, 1.5)) for name in names)
    forwarder.apply(ConfigUpdate((ConfigUpdatePart((ROUTE,), True, table),)))
    return forwarder


def time_choice(lines: int, attempts_made: int, repeats: int = REPEATS, calls: int = CALLS) -> Choice:
    """Time choices from a table.

    Args:
        lines: of the table.
        attempts_made: earlier attempts, each sent to a server that the choice avoids.
        repeats: means that are measured.
        calls: that each mean is taken over.
    """
    class_table = forwarder_with_table(lines).class_tables[ROUTE]
    attempted = class_table.available[:attempts_made]
    random = Random(1)
    in_flight = {name: number % 3 for number, name in enumerate(class_table.available)}
    means = []
    for _ in range(repeats):
        began = time.perf_counter_ns()
        for _ in range(calls):
            choose(class_table, LOAD_BALANCING_POLICY, random, in_flight, (), attempted)
        means.append(round((time.perf_counter_ns() - began) / calls / 1000.0, 3))
    return Choice(lines, attempts_made, min(means), statistics.median(means), means)


def time_choices() -> list[Choice]:
    """Time choices for all sizes of a table and all numbers of attempts."""
    return [time_choice(lines, attempts_made) for lines in TABLE_LINES for attempts_made in ATTEMPTS_MADE]
