"""Runs of simulated deployments, with the faults of a script."""

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

MAX_REPORTED_ERRORS = 3  # uncaught exceptions of a run that become verdicts


@dataclass(slots=True)
class Result:
    """The result of a trial.

    Attributes:
        seed: The script's seed.
        digest: Hash of all events of the run.
        verdicts: The violations of rules.
        virtual_seconds: Duration of the run on the virtual clock.
        callbacks_run: Number of callbacks that the virtual loop ran.
        requests: Number of requests, retries of clients included.
        service: Value of the answered requests divided by the value of all requests, from 0 to 1.
        figures: Further counts, by name.
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
        """Whether the run violated a rule."""
        return bool(self.verdicts)


def run_script(script: Script, trace: Callable[[str], None] | None = None) -> Result:
    """Run a script in a new simulation; `trace` is called with a line for each event."""
    return run_world(World(script, trace))


def run_world(world: World) -> Result:
    """Run a simulation to the end of its script; a simulation can be run only once."""
    with captured_log(world):
        try:
            begin(world)
            world.loop.run_until(world.script.span)
            if world.relays is not None:
                world.relays.settle()
            for error in world.loop.uncaught_errors[:MAX_REPORTED_ERRORS]:
                world.checker.report_violation(world.context.now_ms(), Rule.UPRIGHT, error)
            return collect_result(world)
        finally:
            world.loop.close()
            for machine in world.machines():
                machine.close_tasks()


def begin(world: World) -> None:
    """Schedule the first callbacks and the faults of the script."""
    world.begin()
    for fault in world.script.faults:
        world.loop.schedule_at(fault.at, None, begin_fault, world, fault)


@contextmanager
def captured_log(world: World) -> Iterator[None]:
    """Replace the sinks of the log: errors become violations, and all lines are traced if a trace is requested."""
    logger.remove()
    sinks = [logger.add(world.monitor.error_logged, level="ERROR", format="{message}", catch=False)]
    if world.context.trace is not None:
        trace = world.context.trace

        def trace_message(message: Any) -> None:
            """Trace a log line with the virtual time and the machine."""
            trace(f"{world.loop.now:9.3f} {world.loop.machine}: {message.record['message']}")

        sinks.append(logger.add(trace_message, level="DEBUG", format="{message}", catch=False))
    hook = sys.unraisablehook
    sys.unraisablehook = lambda _: None  # unfinished coroutines may raise when they are finalised
    try:
        yield
    finally:
        sys.unraisablehook = hook
        for sink in sinks:
            logger.remove(sink)


def collect_result(world: World) -> Result:
    """Return the result of a simulation up to now."""
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
        world.clients.answered_value_share(),
        figures,
    )
