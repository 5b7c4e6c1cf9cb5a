"""Measures how long a forwarder takes to choose a server."""

from __future__ import annotations

import statistics
import time
from random import Random

from stackwheel.forwarder.state import ForwarderState, choose
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdatePart
from stackwheel.interface import LoadBalancingPolicy
from stackwheel.scale.slopes import Choice

REQUEST_CLASS = "read"
TABLE_LINE_COUNTS = (23, 200, 512)  # mean service; largest usual table (docs/fleet.md); largest cell
EARLIER_ATTEMPT_COUNTS = (0, 2)
# Draws two servers by weight and takes the one with fewer requests in flight: the slowest stateless policy.
LOAD_BALANCING_POLICY: LoadBalancingPolicy = "two"
CALLS_PER_REPEAT = 2_000  # timed together, because one call takes about as long as reading the clock
REPEATS = 15


def forwarder_with_table(lines: int) -> ForwarderState:
    """Create a forwarder with one weight table of `lines` weight lines with random weights."""
    names = [f"svc-0001-{number:08x}" for number in range(lines)]
    forwarder = ForwarderState((REQUEST_CLASS,), frozenset(names))
    weights = Random(lines)
    table = tuple((name, weights.uniform(0.5, 1.5)) for name in names)
    forwarder.apply(ConfigUpdate((ConfigUpdatePart((REQUEST_CLASS,), True, table),)))
    return forwarder


def time_choice(lines: int, earlier_attempts: int, repeats: int = REPEATS, calls: int = CALLS_PER_REPEAT) -> Choice:
    """Measure the time of a choice from a weight table.

    Args:
        lines: number of weight lines of the table.
        earlier_attempts: number of earlier attempts, each sent to a server that the choice avoids.
        repeats: number of means to measure.
        calls: number of choices per mean.
    """
    class_table = forwarder_with_table(lines).class_tables[REQUEST_CLASS]
    attempted = class_table.available[:earlier_attempts]
    random = Random(1)
    in_flight = {name: number % 3 for number, name in enumerate(class_table.available)}
    mean_times_us = []
    for _ in range(repeats):
        start_ns = time.perf_counter_ns()
        for _ in range(calls):
            choose(class_table, LOAD_BALANCING_POLICY, random, in_flight, (), attempted)
        mean_times_us.append(round((time.perf_counter_ns() - start_ns) / calls / 1000.0, 3))
    return Choice(lines, earlier_attempts, min(mean_times_us), statistics.median(mean_times_us), mean_times_us)


def time_choices() -> list[Choice]:
    """Measure the time of a choice for all table sizes and all numbers of earlier attempts."""
    return [
        time_choice(lines, earlier_attempts)
        for lines in TABLE_LINE_COUNTS
        for earlier_attempts in EARLIER_ATTEMPT_COUNTS
    ]
