"""Servers as models: cores, slow start, overload, fast failures; no I/O. Times are seconds, work is ms of a core."""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from stackwheel.interface import Availability
from stackwheel.trials.shape import Shape

WARM_WITHIN = 1.0  # of the time the settings allow for the slow start
FAIL_FAST_S = 0.004  # that a server takes to fail a request quickly
MAX_WAIT = 1.0  # deadlines that work may wait before a server rejects more
MIXED_SPEEDS = (0.75, 1.0)  # of the kinds of machine, in turn
TOLERATED_REQUESTS = 8.0  # that a cold server bears beside its load: some few are no flood


class Proof(IntEnum):
    """How far a failed attempt had come, as its sender can know it."""

    NOT_SENT = 0  # no connection, or rejected before it was begun: not executed
    UNKNOWN = 1  # sent, and no answer
    ANSWERED = 2  # answered with an error


@dataclass(frozen=True, slots=True)
class Outcome:
    """What comes of an attempt.

    Attributes:
        known_at: When the sender knows.
        succeeded: Whether the answer is good.
        proof: How far a failed attempt had come.
        effect_at: When it took effect, if it did.
    """

    known_at: float
    succeeded: bool
    proof: Proof
    effect_at: float | None


@dataclass(frozen=True, slots=True)
class OfferedWork:
    """Work that was offered to a server."""

    at: float
    work: float


class Server:
    """One server; `start` begins a new incarnation of it, cold.

    Attributes:
        slot: Its place in the deployment; a server that replaces another keeps it.
        started_at: When its process started; None: long ago.
        failing_share: Of requests that fail at once.
        seized_share: Of the machine that something else takes.
        core_free_at: When each core is free again, a heap.
        in_flight_until: When the requests it works on end, a heap.
        recent_work: Work offered of late, while it is cold.
    """

    def __init__(self, name: str, number: int, zone: int, shape: Shape) -> None:
        self.name = name
        self.number = number
        self.zone = zone
        self.shape = shape
        self.slot = number
        self.kind = number % len(MIXED_SPEEDS)
        self.speed = MIXED_SPEEDS[self.kind]
        self.availability = Availability.READY
        self.alive = True
        self.overloaded = False
        self.started_at: float | None = None
        self.failing_share = 0.0
        self.seized_share = 0.0
        self.incarnation = 0
        self.core_free_at = [0.0] * shape.cores
        self.in_flight_until: list[float] = []
        self.recent_work: deque[OfferedWork] = deque()
        self.recent_work_total = 0.0

    def start(self, now: float) -> None:
        """Begin a new incarnation."""
        self.availability = Availability.READY
        self.alive = True
        self.overloaded = False
        self.started_at = now
        self.incarnation += 1
        self.failing_share = 0.0
        self.core_free_at = [now] * self.shape.cores
        self.in_flight_until = []
        self.recent_work = deque()
        self.recent_work_total = 0.0

    def stop(self) -> None:
        """End the process."""
        self.alive = False

    def warm_at(self) -> float:
        """When it counts as warm by what the settings say; the model is so a little earlier."""
        return 0.0 if self.started_at is None else self.started_at + self.shape.slow_start_duration / 1000.0

    def warmup_progress(self, now: float) -> float:
        """The share of its full capacity that it has, from the least of the slow start up to 1."""
        if self.started_at is None:
            return 1.0
        age = min(1.0, (now - self.started_at) / (WARM_WITHIN * self.shape.slow_start_duration / 1000.0))
        return self.shape.slow_start_min_share + (1.0 - self.shape.slow_start_min_share) * age

    def capacity(self, now: float) -> float:
        """Work a second that it can do: ms of a core at speed 1."""
        return 1000.0 * self.shape.cores * self.speed * self.warmup_progress(now) * (1.0 - self.seized_share)

    def in_flight(self, now: float) -> int:
        """How many requests it works on."""
        while self.in_flight_until and self.in_flight_until[0] <= now:
            heapq.heappop(self.in_flight_until)
        return len(self.in_flight_until)

    def is_pushed_over(self, now: float, work: float) -> bool:
        """Whether work offered to a cold server, over the settings' time, is more than it bears."""
        if self.warmup_progress(now) >= 1.0:
            self.recent_work.clear()
            return False
        window = self.shape.overload_duration / 1000.0
        self.recent_work.append(OfferedWork(now, work))
        self.recent_work_total += work
        while self.recent_work[0].at < now - window:
            self.recent_work_total -= self.recent_work.popleft().work
        assert self.started_at is not None
        bearable = self.shape.overload_multiple * self.capacity(now) * window + TOLERATED_REQUESTS * work
        return now - self.started_at >= window and self.recent_work_total > bearable

    def serve(self, now: float, latency: float, work: float, deadline: float, generator: random.Random) -> Outcome:
        """Work out what comes of a request.

        Args:
            now: When it is sent.
            latency: Seconds from the sender to here.
            work: What it takes, ms of a core at speed 1.
            deadline: When its sender gives up.
            generator: Draws whether it fails.
        """
        arrival = now + latency
        if not self.alive or self.overloaded:
            return Outcome(now + 2 * latency, False, Proof.NOT_SENT, None)
        if self.failing_share and generator.random() < self.failing_share:
            return Outcome(arrival + latency + FAIL_FAST_S, False, Proof.ANSWERED, None)
        if self.is_pushed_over(now, work):
            self.overloaded = True
            return Outcome(now + 2 * latency, False, Proof.NOT_SENT, None)
        begin = max(arrival, self.core_free_at[0])
        if begin - arrival > MAX_WAIT * (deadline - now):
            return Outcome(arrival + latency, False, Proof.NOT_SENT, None)  # rejected
        end = begin + work / (1000.0 * self.speed * self.warmup_progress(now) * (1.0 - self.seized_share))
        heapq.heapreplace(self.core_free_at, end)
        heapq.heappush(self.in_flight_until, end)
        if end + latency > deadline:
            return Outcome(deadline, False, Proof.UNKNOWN, end)
        return Outcome(end + latency, True, Proof.ANSWERED, end)
