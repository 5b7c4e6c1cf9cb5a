"""Timer for the renewal of a watch: a watch that delivers no changes is replaced, because it may be faulty."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from random import Random

from stackwheel.wire import timing

MIN_JITTER_FACTOR = 0.5
"""Lower bound of the jitter factor of an interval, which is distributed uniformly up to 1.0."""


class RenewalTimer:
    """Calls a function when a renewal is due because no list has been received for the renewal interval.

    It does not depend on what a watch receives, because a faulty watch may be late with its heartbeats, too. Jitter
    shortens the intervals, and prevents planners from renewing their watches simultaneously.

    Attributes:
        interval_ms: maximum time from a list to the renewal, ms; infinite if watches are never renewed.
        random: source of the jitter.
        on_due: called when a renewal is due.
    """

    def __init__(self, interval_ms: float, random: Random, on_due: Callable[[], None]) -> None:
        self.interval_ms = interval_ms
        self.random = random
        self.on_due = on_due
        self._handle: asyncio.TimerHandle | None = None
        self._due_at = 0.0  # in seconds on the event loop's clock

    def restart(self) -> None:
        """Start the renewal interval, because a list has been received."""
        self._schedule(self.interval_ms * (MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * self.random.random()))

    def restart_after_call(self) -> None:
        """Start the time that a new call has for its first list: at least what it may take until it has failed."""
        self._schedule(max(self.interval_ms, timing.CONNECT_TIMEOUT_MS + timing.RESPONSE_TIMEOUT_MS))

    def stop(self) -> None:
        """Stop the timer, because there is no watch to renew."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None

    def _schedule(self, delay_ms: float) -> None:
        self.stop()
        if delay_ms < math.inf:
            loop = asyncio.get_running_loop()
            self._due_at = loop.time() + delay_ms / 1000.0
            self._handle = loop.call_later(delay_ms / 1000.0, self._fire)

    def _fire(self) -> None:
        """Call `on_due`; first allow time to read the data that arrived while this process was suspended."""
        loop = asyncio.get_running_loop()
        if loop.time() > self._due_at + timing.STALL_GRACE_MS / 1000.0:
            self._handle = loop.call_later(timing.STALL_GRACE_MS / 1000.0, self.on_due)
        else:
            self.on_due()
