"""Model of servers with cores, slow start, overload and failures; times are s, work is ms of a core at speed 1."""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from stackwheel.interface import Availability
from stackwheel.trials.shape import Shape

WARMUP_DURATION_FACTOR = 1.0  # relative to the slow start duration of the settings
FAST_FAILURE_DURATION_S = 0.004
MAX_QUEUE_WAIT_DEADLINES = 1.0  # requests that would wait longer are rejected
MACHINE_TYPE_SPEEDS = (0.75, 1.0)  # assigned to servers in turn
TOLERATED_EXCESS_REQUESTS = 8.0  # a cold server tolerates a few requests beyond its capacity


class AttemptProgress(IntEnum):
    """Progress of an attempt, as far as its sender knows."""

    NOT_SENT = 0
    """The connection failed or the server rejected the request; it was not executed."""

    UNKNOWN = 1
    """The request was sent and no answer was received; it may have been executed."""

    ANSWERED = 2
    """The server sent an answer."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of an attempt.

    Attributes:
        known_at: Time at which the sender knows the outcome, in s.
        succeeded: Whether the server answered successfully in time.
        progress: Progress of the attempt.
        effect_at: Time at which the request was executed, in s; None if it was not.
    """

    known_at: float
    succeeded: bool
    progress: AttemptProgress
    effect_at: float | None


@dataclass(frozen=True, slots=True)
class OfferedWork:
    """Work that was offered to a server, with the time of the request."""

    at: float
    work: float


class Server:
    """A simulated server; `start` begins a new incarnation with a slow start.

    Attributes:
        slot: Index of the server in the deployment; a server that replaces another takes over its slot.
        kind: Index of the machine type.
        speed: Speed of a core.
        overloaded: Whether too much work during the slow start has made the server reject all requests.
        started_at: Time at which the process started, in s; None if it started before the trial.
        failing_share: Share of requests that fail at once.
        seized_share: Share of the machine that other processes use.
        core_free_at: Heap of the times at which the cores become idle.
        in_flight_until: Heap of the times at which the requests in flight end.
        recent_work: Work offered during the overload window, recorded while the server is warming up.
        recent_work_total: Sum of `recent_work`.
    """

    def __init__(self, name: str, number: int, zone: int, shape: Shape) -> None:
        self.name = name
        self.number = number
        self.zone = zone
        self.shape = shape
        self.slot = number
        self.kind = number % len(MACHINE_TYPE_SPEEDS)
        self.speed = MACHINE_TYPE_SPEEDS[self.kind]
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
        """Begin a new incarnation at a given time."""
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
        """End the process of the server."""
        self.alive = False

    def warm_at(self) -> float:
        """Return the time at which the slow start of the settings ends, in s; 0 if the server was never restarted."""
        return 0.0 if self.started_at is None else self.started_at + self.shape.slow_start_duration / 1000.0

    def warmup_progress(self, now: float) -> float:
        """Return the available share of the full capacity, from the minimum share of the slow start up to 1."""
        if self.started_at is None:
            return 1.0
        age = min(1.0, (now - self.started_at) / (WARMUP_DURATION_FACTOR * self.shape.slow_start_duration / 1000.0))
        return self.shape.slow_start_min_share + (1.0 - self.shape.slow_start_min_share) * age

    def capacity(self, now: float) -> float:
        """Return the capacity at a given time, in ms of work per second."""
        return 1000.0 * self.shape.cores * self.speed * self.warmup_progress(now) * (1.0 - self.seized_share)

    def in_flight(self, now: float) -> int:
        """Return the number of requests in flight."""
        while self.in_flight_until and self.in_flight_until[0] <= now:
            heapq.heappop(self.in_flight_until)
        return len(self.in_flight_until)

    def exceeds_cold_capacity(self, now: float, work: float) -> bool:
        """Record work offered to a server that is warming up; return whether its recent work causes an overload."""
        if self.warmup_progress(now) >= 1.0:
            self.recent_work.clear()
            return False
        window = self.shape.overload_duration / 1000.0
        self.recent_work.append(OfferedWork(now, work))
        self.recent_work_total += work
        while self.recent_work[0].at < now - window:
            self.recent_work_total -= self.recent_work.popleft().work
        assert self.started_at is not None
        max_work = self.shape.overload_multiple * self.capacity(now) * window + TOLERATED_EXCESS_REQUESTS * work
        return now - self.started_at >= window and self.recent_work_total > max_work

    def serve(self, now: float, latency: float, work: float, deadline: float, generator: random.Random) -> Outcome:
        """Return the outcome of a request.

        Args:
            now: Time at which the request is sent, in s.
            latency: Latency between sender and server, in s.
            work: Work of the request, in ms of a core at speed 1.
            deadline: Time until which the sender waits, in s.
            generator: Draws whether the request fails.
        """
        arrival = now + latency
        if not self.alive or self.overloaded:
            return Outcome(now + 2 * latency, False, AttemptProgress.NOT_SENT, None)
        if self.failing_share and generator.random() < self.failing_share:
            return Outcome(arrival + latency + FAST_FAILURE_DURATION_S, False, AttemptProgress.ANSWERED, None)
        if self.exceeds_cold_capacity(now, work):
            self.overloaded = True
            return Outcome(now + 2 * latency, False, AttemptProgress.NOT_SENT, None)
        begin = max(arrival, self.core_free_at[0])
        if begin - arrival > MAX_QUEUE_WAIT_DEADLINES * (deadline - now):
            return Outcome(arrival + latency, False, AttemptProgress.NOT_SENT, None)
        end = begin + work / (1000.0 * self.speed * self.warmup_progress(now) * (1.0 - self.seized_share))
        heapq.heapreplace(self.core_free_at, end)
        heapq.heappush(self.in_flight_until, end)
        if end + latency > deadline:
            return Outcome(deadline, False, AttemptProgress.UNKNOWN, end)
        return Outcome(end + latency, True, AttemptProgress.ANSWERED, end)
