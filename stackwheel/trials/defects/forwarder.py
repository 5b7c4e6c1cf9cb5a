"""Deliberate defects of the forwarder, as the simulation models it."""

from __future__ import annotations

from collections.abc import Sequence

from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.planting import Defect, Patch
from stackwheel.trials.requests import Clients, Request, RequestReceiver

DELAYED_UNTIL_BEFORE_DEADLINE_S = 0.04  # how long before its client's deadline a failure is answered
TOO_LATE_TO_DELAY_S = 0.05  # within this of the deadline a failure is answered at once


def final_failure_delayed() -> Sequence[Patch]:
    """A failure that is final is answered only shortly before the client's deadline."""
    original = Clients.finish

    def finish(self: Clients, request: Request, proxy: RequestReceiver, good: bool, decided_at: float) -> None:
        """In place of `Clients.finish`."""
        loop = self.context.loop
        if good or loop.now >= request.deadline - TOO_LATE_TO_DELAY_S:
            original(self, request, proxy, good, decided_at)
        else:
            delayed_until = request.deadline - DELAYED_UNTIL_BEFORE_DEADLINE_S
            loop.schedule_at(delayed_until, proxy.machine, original, self, request, proxy, good, decided_at)

    return [Patch(Clients, "finish", finish)]


FORWARDER_DEFECTS: tuple[Defect, ...] = (
    Defect(
        "held-back",
        "forwarder",
        (Rule.PROMPT,),
        final_failure_delayed,
        "a final answer waits for the client's time to end",
    ),
)
