"""What a virtual second costs as a deployment grows, and what the rules' checks take of it."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from typing import Any

from stackwheel.rules.checker import Checker
from stackwheel.trials import script as s
from stackwheel.trials.world import World

SIZES = ((2, 8, 8), (2, 20, 20), (2, 50, 30), (3, 100, 50), (4, 200, 100), (4, 500, 150))
CHECKS = (
    "advance",
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
    "note",
)


@dataclass(frozen=True, slots=True)
class Row:
    """One size, measured."""

    planners: int
    proxies: int
    servers: int
    cpu_a_second: float  # s of a core for a virtual second
    steps_a_second: float
    requests_a_second: float
    checks_share: float  # of that time; taking the time itself makes it look larger
    verdicts: int
    memory_mb: float  # the process at its largest so far

    def document(self) -> dict[str, float]:
        return asdict(self)


def script(planners: int, proxies: int, servers: int, span: float) -> s.Script:
    shape = s.Shape(
        planners=planners,
        proxies=proxies,
        servers=servers,
        zones=min(4, planners),
        cap=20,
        channel_rate=3000.0,
        backlog=9000.0,
    )
    third = tuple(f"server-{n}" for n in range(servers // 6))
    return s.Script(1, span, shape, (s.Drain(span * 0.4, third, 3.0), s.Kill(span * 0.6, ("planner-0",), 0.5)))


class Stopwatch:
    """Adds up the time spent in the checker's methods of one world."""

    def __init__(self, checker: Checker) -> None:
        self.spent = 0.0
        for name in CHECKS:
            setattr(checker, name, self.timed(getattr(checker, name)))

    def timed(self, method: Callable[..., Any]) -> Callable[..., Any]:
        clock = time.perf_counter

        def call(*about: Any, **more: Any) -> Any:
            began = clock()
            try:
                return method(*about, **more)
            finally:
                self.spent += clock() - began

        return call


def measure(span: float) -> Iterator[Row]:
    for planners, proxies, servers in SIZES:
        began = time.process_time()
        found = World(script(planners, proxies, servers, span)).run()
        cpu = time.process_time() - began
        again = World(script(planners, proxies, servers, span))
        watch, began = Stopwatch(again.checker), time.process_time()
        again.run()
        share = watch.spent / max(1e-9, time.process_time() - began)
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
        yield Row(
            planners,
            proxies,
            servers,
            cpu / span,
            found.steps / span,
            found.requests / span,
            share,
            len(found.verdicts),
            memory,
        )
