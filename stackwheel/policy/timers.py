"""The slot, and the tokens by which the policy knows its own timers when they fire."""

from __future__ import annotations

import math
from typing import Final

SLOT_TIMER: Final = 1 << 32
"""Plus the slot's number, so that only the newest slot's timer starts the next slot."""

ENDPOINT_LIST_TIMER: Final = 2 << 32
"""Poll the endpoint list again after a call that failed."""

DEFERRED_CHANGES_TIMER: Final = 3 << 32
"""Only causes another call, in which withdrawals that the message cap deferred are sent."""


class Slot:
    """The newest slot: the periodic recomputation of estimates, shares and tables."""

    __slots__ = ("number", "started_at")

    def __init__(self) -> None:
        self.number = 0
        self.started_at = -math.inf

    def begin(self, now: float) -> None:
        """Count a slot that starts now."""
        self.number += 1
        self.started_at = now
