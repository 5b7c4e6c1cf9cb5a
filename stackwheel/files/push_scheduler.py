"""Schedules the writing of files, with rate limits, retries and bounded concurrency, without I/O.

A target is one file name in one folder. New content supersedes older content that has not been written, so that no
queue builds up on a slow disk. Failed attempts are retried with exponential backoff and full jitter.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 10_000.0
MAX_BACKOFF_DOUBLINGS = 20  # prevents an overflow of the power; the maximum is reached earlier
MAX_ACTIVE_ATTEMPTS = 16  # each attempt occupies a thread
ATTEMPT_TIMEOUT_MS = 30_000.0
MAX_TARGETS = 20_000


@dataclass(frozen=True, slots=True)
class PushLimits:
    """Rate limits for writing one target.

    Attributes:
        max_files: maximum number of files written within the window; 0 for no limit.
        window: length of the window, ms.
        min_interval: minimum time between two files, ms.
    """

    max_files: int = 0
    window: float = 10_000.0
    min_interval: float = 0.0


@dataclass(slots=True)
class PushTarget:
    """State of one file to be written; points in time are in Unix ms.

    Attributes:
        pending: newest content if it has not been written; otherwise None.
        sequence: sequence number of the newest content.
        written_at: times at which the file was written within the window.
        started_at: start of the active attempt; None if there is none.
        written_sequence: sequence number of the newest written content.
        failures: number of consecutive failed attempts.
        retry_at: earliest time of the next attempt after a failure.
        confirmed_sequence: sequence number of the newest content that the reader has acknowledged.
        unconfirmed_since: submission time of the oldest unacknowledged content.
    """

    pending: bytes | None = None
    sequence: int = 0
    written_at: deque[float] = field(default_factory=deque)
    started_at: float | None = None
    written_sequence: int = 0
    failures: int = 0
    retry_at: float = 0.0
    confirmed_sequence: int = 0
    unconfirmed_since: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether content is pending and no attempt is active."""
        return self.pending is not None and self.started_at is None


@dataclass(frozen=True, slots=True)
class WriteAttempt:
    """Attempt to write a content to a target.

    Attributes:
        target: name of the target.
        data: content to write.
        sequence: sequence number of the content.
    """

    target: str
    data: bytes
    sequence: int


class PushScheduler:
    """Schedules the writes of one publisher.

    Attributes:
        limits: rate limits of each target.
        max_active: maximum number of concurrent attempts.
        targets: targets by name.
        active: number of attempts that have neither finished nor timed out.
        superseded: number of contents that were replaced by newer ones before they were written.
    """

    def __init__(self, limits: PushLimits, seed: int, max_active: int = MAX_ACTIVE_ATTEMPTS) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.max_active = max_active
        self.targets: dict[str, PushTarget] = {}
        self.active = 0
        self.superseded = 0

    def submit(self, name: str, data: bytes, sequence: int, now: float) -> bool:
        """Submit new content for a target; returns False if there are too many targets."""
        target = self.targets.get(name)
        if target is None:
            if len(self.targets) >= MAX_TARGETS:
                return False
            target = PushTarget()
            self.targets[name] = target
        if target.pending is not None:
            self.superseded += 1
        elif target.confirmed_sequence >= target.written_sequence:
            target.unconfirmed_since = now
        target.pending = data
        target.sequence = sequence
        return True

    def forget(self, name: str) -> None:
        """Remove a target whose proxy has left; an active attempt is not cancelled. Not called yet."""
        target = self.targets.pop(name, None)
        if target is not None and target.started_at is not None:
            self.active -= 1

    def earliest_write(self, name: str) -> float:
        """Return the earliest time at which the rate limits and the backoff allow the next attempt at a target."""
        target = self.targets[name]
        limits = self.limits
        allowed_at = 0.0
        if target.written_at:
            allowed_at = target.written_at[-1] + limits.min_interval
            if limits.max_files and len(target.written_at) >= limits.max_files:
                allowed_at = max(allowed_at, target.written_at[-limits.max_files] + limits.window)
        return max(allowed_at, target.retry_at)

    def start_attempts(self, now: float) -> list[WriteAttempt]:
        """Start all attempts that are allowed now, first those of the targets that have been unconfirmed longest."""
        self._expire_attempts(now)
        ready = [name for name, target in self.targets.items() if target.is_ready and self.earliest_write(name) <= now]
        ready.sort(key=lambda name: self.targets[name].unconfirmed_since)
        attempts: list[WriteAttempt] = []
        for name in ready[: max(0, self.max_active - self.active)]:
            target = self.targets[name]
            assert target.pending is not None
            target.started_at = now
            self.active += 1
            attempts.append(WriteAttempt(name, target.pending, target.sequence))
        return attempts

    def finish(self, attempt: WriteAttempt, succeeded: bool, now: float) -> None:
        """Record the end of an attempt; ignored if the attempt has already timed out."""
        target = self.targets.get(attempt.target)
        if target is None or target.started_at is None:
            return
        if not succeeded:
            self._schedule_retry(target, now)
            return
        target.started_at = None
        target.failures = 0
        target.retry_at = 0.0
        self.active -= 1
        target.written_sequence = max(target.written_sequence, attempt.sequence)
        target.written_at.append(now)
        while target.written_at and now - target.written_at[0] > self.limits.window:
            target.written_at.popleft()
        if target.sequence == attempt.sequence:
            target.pending = None

    def confirm(self, name: str, sequence: int) -> bool:
        """Record the acknowledgement of a reader; returns whether it is newer than the previous one."""
        target = self.targets.get(name)
        if target is None or sequence <= target.confirmed_sequence:
            return False
        target.confirmed_sequence = sequence
        return True

    def next_event_at(self) -> float | None:
        """Return the time at which the next attempt may start or times out; None if there is none."""
        times = [self.earliest_write(name) for name, target in self.targets.items() if target.is_ready]
        times += [
            target.started_at + ATTEMPT_TIMEOUT_MS for target in self.targets.values() if target.started_at is not None
        ]
        return min(times, default=None)

    def _expire_attempts(self, now: float) -> None:
        """Release the slots of attempts that have timed out; their threads are not waited for."""
        for target in self.targets.values():
            if target.started_at is not None and now - target.started_at >= ATTEMPT_TIMEOUT_MS:
                self._schedule_retry(target, now)

    def _schedule_retry(self, target: PushTarget, now: float) -> None:
        backoff = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** min(target.failures, MAX_BACKOFF_DOUBLINGS))
        target.started_at = None
        target.failures += 1
        target.retry_at = now + backoff * self.random.random()
        self.active -= 1
