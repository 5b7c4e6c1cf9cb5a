"""Draws random scripts from seeds.

The weights of all alternatives are in the tables of this module and of `draw_faults`. Each script uses few kinds of
fault (swarm testing), so that one kind occurs several times and faults overlap more often than in production.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from stackwheel.trials.draw_faults import COMMON_FAULTS, FILE_FAULTS, RELAY_FAULTS
from stackwheel.trials.drawing import Drawing
from stackwheel.trials.script import Script
from stackwheel.trials.shape import ScriptClass, Shape

SPAN_RANGE_S = (22.0, 34.0)
MAX_FAULT_KINDS = 5
FAULT_COUNT_RANGE = (2, 10)
RELAY_COUNT = 2
QUEUE_LIMITS_S = (1.5, 2.0, 2.0, 2.0)


class WeightedValue(NamedTuple):
    """A value and its weight, relative to the alternatives of its table."""

    value: Any
    weight: float


def weighted(*choices: tuple[Any, float]) -> tuple[WeightedValue, ...]:
    """Return a table of alternatives from pairs of a value and its weight."""
    return tuple(WeightedValue(value, weight) for value, weight in choices)


# Fields are drawn in the order of this table; another order changes the script of every seed.
SHAPE_FIELDS: dict[str, Sequence[WeightedValue]] = {
    "planners": weighted((1, 1), (2, 5), (3, 3), (4, 1)),
    "zones": weighted((1, 1), (2, 4), (3, 3), (4, 2)),
    "proxies": weighted((4, 1), (8, 4), (12, 2), (20, 1)),
    "servers": weighted((4, 1), (8, 4), (12, 2), (20, 1)),
    "utilization": weighted((0.3, 2), (0.5, 4), (0.7, 3), (0.95, 1)),
    "message_cap": weighted((0, 1), (12, 3), (20, 2)),
    # Low rates congest the channel of a small deployment as much as that of a large one.
    "channel_rate": weighted((200.0, 1), (300.0, 2), (1000.0, 2), (3000.0, 3)),
    "transit_time": weighted((80.0, 2), (150.0, 3), (300.0, 1)),
    "max_unserved_time": weighted((5000.0, 1), (7000.0, 3)),
    "drain_grace": weighted((2000.0, 1), (3000.0, 3), (4000.0, 1)),
    "removal_is_advisory": weighted((False, 4), (True, 1)),
    "slow_start_duration": weighted((8000.0, 1), (17000.0, 3), (25000.0, 1)),
    "slow_start_min_share": weighted((0.1, 1), (0.22, 3)),
    "overload_multiple": weighted((2.0, 1), (2.5, 2), (3.0, 2), (4.0, 1)),
    "overload_duration": weighted((2000.0, 2), (3000.0, 3)),
    "load_balancing_policy": weighted(("two", 4), ("weighted", 2), ("round", 1)),
    "admission_mode": weighted(("share", 3), ("rate", 1), ("off", 1)),
    "consecutive_failure_limit": weighted((0, 3), (8, 1)),
    "endpoint_list_on_request": weighted((True, 3), (False, 1)),
    "gossip_enabled": weighted((True, 3), (False, 1)),
    "health_checks_enabled": weighted((True, 2), (False, 1)),
    "load_columns_enabled": weighted((True, 2), (False, 1)),
    "client_retries": weighted((0, 1), (2, 2)),
}
TWO_CLASSES = (
    ScriptClass("read", 0.7, 120.0),
    ScriptClass("write", 0.3, 240.0, 1000.0, 3000.0, 5.0, "once"),
)
THREE_CLASSES = (
    ScriptClass("look", 0.5, 120.0),
    ScriptClass("save", 0.3, 200.0, 1000.0, 3000.0, 3.0, "by_key", "zone"),
    ScriptClass("book", 0.2, 240.0, 1000.0, 3000.0, 5.0, "once"),
)
ZONE_LOCAL_AND_ANY = (
    ScriptClass("near", 0.4, 120.0, zone_local=True),
    ScriptClass("any", 0.6, 160.0),
)
ONE_CLASS = (ScriptClass("only", 1.0, 160.0, 400.0, 1500.0, 1.0, "once"),)
CLASSES = weighted((TWO_CLASSES, 4), (THREE_CLASSES, 3), (ZONE_LOCAL_AND_ANY, 1), (ONE_CLASS, 1))


def draw_value(generator: random.Random, choices: Sequence[WeightedValue]) -> Any:
    """Draw one of the alternatives with the probability that its weight gives."""
    values = [choice.value for choice in choices]
    weights = [choice.weight for choice in choices]
    return generator.choices(values, weights)[0]


def draw_shape(generator: random.Random) -> Shape:
    """Draw the shape of a deployment."""
    fields = {name: draw_value(generator, choices) for name, choices in SHAPE_FIELDS.items()}
    fields["classes"] = draw_value(generator, CLASSES)
    fields["queue_limit"] = round(fields["channel_rate"] * generator.choice(QUEUE_LIMITS_S))
    return Shape(**fields)


def draw(seed: int, files: bool = False, relays: bool = False) -> Script:
    """Draw the script of a seed, which is the same on every machine and in every version.

    Args:
        seed: Determines all random choices, together with the two flags.
        files: Whether proxies receive their tables as files instead of streams.
        relays: Whether two relays run between discovery and planners.
    """
    generator = random.Random(f"script {seed}{' files' if files else ''}{' relays' if relays else ''}")
    shape = draw_shape(generator)
    if files:
        shape = msgspec.structs.replace(shape, files=True)
    if relays:
        shape = msgspec.structs.replace(shape, relays=RELAY_COUNT)
    span = round(generator.uniform(*SPAN_RANGE_S), 1)
    drawing = Drawing(generator, shape, span)
    table = COMMON_FAULTS + (FILE_FAULTS if files else ()) + (RELAY_FAULTS if relays else ())
    draw_functions = [entry.draw_fault for entry in table]
    weights = [entry.weight for entry in table]
    chosen = generator.choices(draw_functions, weights, k=generator.randint(1, MAX_FAULT_KINDS))
    faults = [generator.choice(chosen)(drawing) for _ in range(generator.randint(*FAULT_COUNT_RANGE))]
    return Script(seed, span, shape, tuple(sorted(faults, key=lambda fault: fault.at)))
