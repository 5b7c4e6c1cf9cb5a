"""Deliberate defects of the forwarder, as the simulation models it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.planting import Defect, Patch
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.world import World

DELAYED_UNTIL_BEFORE_DEADLINE_S = 0.04  # how long before its client's deadline a failure is answered
TOO_LATE_TO_DELAY_S = 0.05  # within this of the deadline a failure is answered at once


def final_failure_delayed() -> Sequence[Patch]:
    """A failure that is final is answered only shortly before the client's deadline."""
    original = World.finish

    def finish(self: World, request: Any, proxy: Proxy, good: bool, decided: float) -> None:
        if good or self.loop.now >= request.until - TOO_LATE_TO_DELAY_S:
            original(self, request, proxy, good, decided)
        else:
            delayed_until = request.until - DELAYED_UNTIL_BEFORE_DEADLINE_S
            self.loop.at(delayed_until, proxy.machine, original, self, request, proxy, good, decided)

    return [Patch(World, "finish", finish)]


FORWARDER_DEFECTS: tuple[Defect, ...] = (
    Defect(
        "held-back",
        "forwarder",
        (Rule.PROMPT,),
        final_failure_delayed,
        "a final answer waits for the client's time to end",
    ),
)
