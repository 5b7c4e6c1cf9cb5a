"""Deliberate defects of the simulated forwarder."""

from __future__ import annotations

from collections.abc import Sequence

from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.planting import Defect, Patch
from stackwheel.trials.requests import Clients, Request, RequestReceiver

DELAYED_ANSWER_BEFORE_DEADLINE_S = 0.04
MIN_TIME_TO_DEADLINE_S = 0.05


def final_failure_delayed() -> Sequence[Patch]:
    """Delay the answer of a final failure until shortly before the client's deadline.

    A failure within `MIN_TIME_TO_DEADLINE_S` of the deadline is answered at once.
    """
    original = Clients.finish

    def finish(self: Clients, request: Request, proxy: RequestReceiver, good: bool, decided_at: float) -> None:
        """Replacement for `Clients.finish`."""
        loop = self.context.loop
        if good or loop.now >= request.deadline - MIN_TIME_TO_DEADLINE_S:
            original(self, request, proxy, good, decided_at)
        else:
            delayed_until = request.deadline - DELAYED_ANSWER_BEFORE_DEADLINE_S
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
