"""Runs a world from its beginning to the end of its script, with the script's faults."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from stackwheel.rules.violations import Rule, Violation
from stackwheel.trials.fault_effects import begin_fault
from stackwheel.trials.script import Script
from stackwheel.trials.world import World

MAX_UNCAUGHT_ERRORS = 3  # of one run that become verdicts


@dataclass(slots=True)
class Result:
    """What came of a trial.

    Attributes:
        seed: The script's seed.
        digest: A hash over all that happened.
        verdicts: The rules that were broken.
        virtual_seconds: How long the run was, on its own clock.
        callbacks_run: Steps of the virtual loop.
        requests: Clients' retries included.
        service: Value answered over value requested.
        figures: Other counts, by name.
    """

    seed: int
    digest: str
    verdicts: list[Violation]
    virtual_seconds: float
    callbacks_run: int
    requests: int
    service: float
    figures: dict[str, float] = field(default_factory=dict)

    @property
    def broken(self) -> bool:
        """Whether a rule was broken."""
        return bool(self.verdicts)


def run_script(script: Script, trace: Callable[[str], None] | None = None) -> Result:
    """Run a script in a new world; `trace` is given a line for each thing that happens."""
    return run_world(World(script, trace))


def run_world(world: World) -> Result:
    """Run a world to the end of its script; it can't be run again."""
    with log_taken(world):
        try:
            begin(world)
            world.loop.run_until(world.script.span)
            if world.relays is not None:
                world.relays.settle()
            for error in world.loop.uncaught_errors[:MAX_UNCAUGHT_ERRORS]:
                world.checker.report_violation(world.context.now_ms(), Rule.UPRIGHT, error)
            return result_of(world)
        finally:
            world.loop.close()
            for machine in world.machines():
                machine.close_tasks()


def begin(world: World) -> None:
    """Schedule the first callbacks and the script's faults."""
    world.begin()
    for fault in world.script.faults:
        world.loop.schedule_at(fault.at, None, begin_fault, world, fault)


@contextmanager
def log_taken(world: World) -> Iterator[None]:
    """Give the log to the world: errors break a rule, and a trace gets all lines; other sinks are removed."""
    logger.remove()
    sinks = [logger.add(world.monitor.error_logged, level="ERROR", format="{message}", catch=False)]
    if world.context.trace is not None:
        trace = world.context.trace

        def trace_message(message: Any) -> None:
            """Trace a log line with the time and the machine."""
            trace(f"{world.loop.now:9.3f} {world.loop.machine}: {message.record['message']}")

        sinks.append(logger.add(trace_message, level="DEBUG", format="{message}", catch=False))
    hook = sys.unraisablehook
    sys.unraisablehook = lambda _: None  # of coroutines that are thrown away
    try:
        yield
    finally:
        sys.unraisablehook = hook
        for sink in sinks:
            logger.remove(sink)


def result_of(world: World) -> Result:
    """What has come of a world so far."""
    context = world.context
    for verdict in world.checker.violations:
        context.digest.add_text(str(verdict))
    figures = {
        **context.counts,
        "checks": world.checker.check_count,
        "queue_most": world.channels.max_queued_lines(),
    }
    return Result(
        world.script.seed,
        context.digest.hexdigest(),
        world.checker.violations,
        world.loop.now,
        world.loop.callbacks_run,
        world.clients.request_count,
        world.clients.service(),
        figures,
    )
