"""Measures the CPU time of a virtual second by size of the deployment, and the share of the rules' checks."""

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
SERVERS_PER_DRAINED_SERVER = 6
DRAIN_AT_SHARE = 0.4
KILL_AT_SHARE = 0.6
CHECKER_METHODS = (
    "check_deadlines",
    "attempt_sent",
    "record_execution",
    "request_answered",
    "forget_request",
    "record_class_availability",
    "check_queued_lines",
    "message_written",
    "endpoint_notified",
    "proxy_joined",
    "proxy_left",
    "warming_server_load",
    "record_event",
)


class Size(NamedTuple):
    """Number of machines in a deployment."""

    planners: int
    proxies: int
    servers: int


SIZES = (Size(2, 8, 8), Size(2, 20, 20), Size(2, 50, 30), Size(3, 100, 50), Size(4, 200, 100), Size(4, 500, 150))


@dataclass(frozen=True, slots=True)
class Measurement:
    """Measured cost of one size of deployment.

    Attributes:
        cpu_per_second: CPU seconds per virtual second.
        callbacks_per_second: Callbacks of the loop per virtual second.
        requests_per_second: Requests per virtual second.
        checks_share: Share of the CPU time spent in the rules' checks; timer calls are included, so it is too high.
        verdicts: Number of violations of rules.
        memory_mb: Peak memory of the process so far, including smaller sizes.
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
        """Return the measurement in the form that `--json` prints."""
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


def make_script(size: Size, span: float) -> Script:
    """Return a script in which some servers drain and a planner is killed."""
    shape = Shape(
        planners=size.planners,
        proxies=size.proxies,
        servers=size.servers,
        zones=min(MAX_ZONES, size.planners),
        message_cap=20,
        channel_rate=3000.0,
        queue_limit=9000.0,
    )
    drained = tuple(f"server-{number}" for number in range(size.servers // SERVERS_PER_DRAINED_SERVER))
    drain = Drain(span * DRAIN_AT_SHARE, drained, 3.0)
    kill = Kill(span * KILL_AT_SHARE, ("planner-0",), 0.5)
    return Script(SEED, span, shape, (drain, kill))


class MethodTimer:
    """Measures the total time spent in the methods of a checker, which it wraps.

    Attributes:
        total_s: Total time so far, in s.
    """

    def __init__(self, checker: Checker) -> None:
        self.total_s = 0.0
        for name in CHECKER_METHODS:
            setattr(checker, name, self.timed(getattr(checker, name)))

    def timed(self, method: Callable[..., Any]) -> Callable[..., Any]:
        """Return a wrapper of a method that adds its duration to the total."""
        clock = time.perf_counter

        def call(*args: Any, **keywords: Any) -> Any:
            """Call the method and add its duration."""
            started_at = clock()
            try:
                return method(*args, **keywords)
            finally:
                self.total_s += clock() - started_at

        return call


def measure(span: float) -> Iterator[Measurement]:
    """Measure each size over `span` virtual seconds."""
    for size in SIZES:
        started_at = time.process_time()
        result = run_world(World(make_script(size, span)))
        cpu_seconds = time.process_time() - started_at
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
    """Run a size again with timed checks, and return their share of the CPU time."""
    world = World(make_script(size, span))
    timer = MethodTimer(world.checker)
    started_at = time.process_time()
    run_world(world)
    return timer.total_s / max(1e-9, time.process_time() - started_at)
