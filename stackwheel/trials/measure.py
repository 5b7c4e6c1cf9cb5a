"""What a virtual second costs as a deployment grows, and what the rules' checks take of it."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from stackwheel.rules.checker import Checker
from stackwheel.trials.faults import Drain, Kill
from stackwheel.trials.script import Script
from stackwheel.trials.shape import Shape
from stackwheel.trials.simulation import run_world
from stackwheel.trials.world import World

SEED = 1
MAX_ZONES = 4
DRAINED_DIVISOR = 6  # one in so many servers drains
DRAIN_AT = 0.4  # of the span
KILL_AT = 0.6  # of the span
CHECKER_METHODS = (
    "check_deadlines",
    "attempt_sent",
    "request_executed",
    "request_answered",
    "forget_request",
    "lines_changed",
    "lines_queued",
    "message_written",
    "endpoint_notified",
    "proxy_joined",
    "proxy_left",
    "warming_server_load",
    "record_event",
)


class Size(NamedTuple):
    """The size of a deployment."""

    planners: int
    proxies: int
    servers: int


SIZES = (Size(2, 8, 8), Size(2, 20, 20), Size(2, 50, 30), Size(3, 100, 50), Size(4, 200, 100), Size(4, 500, 150))


@dataclass(frozen=True, slots=True)
class Measurement:
    """One size, measured.

    Attributes:
        cpu_per_second: Seconds of a core for a virtual second.
        checks_share: Of that time; taking the time itself makes it look larger.
        memory_mb: The process at its largest so far.
    """

    planners: int
    proxies: int
    servers: int
    cpu_per_second: float
    callbacks_per_second: float
    requests_per_second: float
    checks_share: float
    verdicts: int
    memory_mb: float

    def document(self) -> dict[str, float]:
        """The row as `--json` prints it."""
        return {
            "planners": self.planners,
            "proxies": self.proxies,
            "servers": self.servers,
            "cpu_a_second": self.cpu_per_second,
            "steps_a_second": self.callbacks_per_second,
            "requests_a_second": self.requests_per_second,
            "checks_share": self.checks_share,
            "verdicts": self.verdicts,
            "memory_mb": self.memory_mb,
        }


def script_of(size: Size, span: float) -> Script:
    """A script in which a part of the servers drains and a planner is killed."""
    shape = Shape(
        planners=size.planners,
        proxies=size.proxies,
        servers=size.servers,
        zones=min(MAX_ZONES, size.planners),
        message_cap=20,
        channel_rate=3000.0,
        queue_limit=9000.0,
    )
    drained = tuple(f"server-{number}" for number in range(size.servers // DRAINED_DIVISOR))
    drain = Drain(span * DRAIN_AT, drained, 3.0)
    kill = Kill(span * KILL_AT, ("planner-0",), 0.5)
    return Script(SEED, span, shape, (drain, kill))


class Stopwatch:
    """Adds up the time spent in the checker's methods of one world."""

    def __init__(self, checker: Checker) -> None:
        self.spent = 0.0
        for name in CHECKER_METHODS:
            setattr(checker, name, self.timed(getattr(checker, name)))

    def timed(self, method: Callable[..., Any]) -> Callable[..., Any]:
        """The same method, timed."""
        clock = time.perf_counter

        def call(*args: Any, **keywords: Any) -> Any:
            """Call the method and count its time."""
            began = clock()
            try:
                return method(*args, **keywords)
            finally:
                self.spent += clock() - began

        return call


def measure(span: float) -> Iterator[Measurement]:
    """Measure each size over a span of virtual seconds."""
    for size in SIZES:
        began = time.process_time()
        result = run_world(World(script_of(size, span)))
        cpu_seconds = time.process_time() - began
        yield Measurement(
            size.planners,
            size.proxies,
            size.servers,
            cpu_seconds / span,
            result.callbacks_run / span,
            result.requests / span,
            checks_share(size, span),
            len(result.verdicts),
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
        )


def checks_share(size: Size, span: float) -> float:
    """Run a size again and return what the checks take of the time."""
    world = World(script_of(size, span))
    stopwatch = Stopwatch(world.checker)
    began = time.process_time()
    run_world(world)
    return stopwatch.spent / max(1e-9, time.process_time() - began)
