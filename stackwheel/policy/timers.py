"""The current slot, and the tokens of the policy's timers."""

from __future__ import annotations

import math
from typing import Final

SLOT_TIMER: Final = 1 << 32
"""Base of the slot timer's token; the slot number is added, so that timers of earlier slots are ignored."""

ENDPOINT_LIST_TIMER: Final = 2 << 32
"""Token of the timer after which a failed watch of the endpoint list is opened again."""

DEFERRED_CHANGES_TIMER: Final = 3 << 32
"""Token of the timer after which deferred removals are sent; any call of the planner sends them."""


class Slot:
    """The current slot, a period that starts with a recomputation of estimates, shares and tables.

    Attributes:
        number: number of the slot; 0 before the first one.
        started_at: start time of the slot, ms; minus infinity before the first one.
    """

    __slots__ = ("number", "started_at")

    def __init__(self) -> None:
        self.number = 0
        self.started_at = -math.inf

    def begin(self, now: float) -> None:
        """Start the next slot."""
        self.number += 1
        self.started_at = now
