"""Decides when which file is written to which folder: pacing, retries, concurrency, acknowledgements. No I/O.

A target is one file name in one folder. New content supersedes older content that has not been written, so that nothing
queues up behind a slow disk. Failed attempts are retried with exponential backoff and full jitter.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

INITIAL_BACKOFF_MS = 100.0  # the first retry is drawn from 0 up to it
MAX_BACKOFF_MS = 10_000.0  # doubled with each failure up to this
MAX_BACKOFF_DOUBLINGS = 20  # keeps the power finite; the maximum is reached after 7
MAX_ACTIVE = 16  # attempts at once: a thread each, and most folders are on one disk
ATTEMPT_TIMEOUT_MS = 30_000.0  # after it an attempt counts as failed; its thread is not waited for
MAX_TARGETS = 20_000  # 4 for each of 5,000 proxies


@dataclass(frozen=True, slots=True)
class PushLimits:
    """How often one target may be written.

    Attributes:
        max_files: within the window; 0: no such limit.
        window: ms.
        min_interval: ms between two files.
    """

    max_files: int = 0
    window: float = 10_000.0
    min_interval: float = 0.0


@dataclass(slots=True)
class PushTarget:
    """One file to be kept up to date; points in time are Unix ms.

    Attributes:
        pending: the newest content, while it has not been written.
        sequence: number of the newest content.
        written_at: when files were written, within the window.
        started_at: when the active attempt began, if there is one.
        written_sequence: number of the newest content that was written.
        failures: in a row.
        retry_at: no attempt before.
        confirmed_sequence: the newest content that its reader has acknowledged.
        unconfirmed_since: when the oldest unacknowledged content was submitted.
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
    def ready(self) -> bool:
        """Whether there is something to write and no attempt is active."""
        return self.pending is not None and self.started_at is None


@dataclass(frozen=True, slots=True)
class WriteAttempt:
    """Write this content to this target now."""

    target: str
    data: bytes
    sequence: int


class PushScheduler:
    """The targets of one publisher.

    Attributes:
        targets: by name.
        active: attempts that have neither finished nor timed out.
        superseded: contents that were replaced by newer ones before they were written.
    """

    def __init__(self, limits: PushLimits, seed: int, max_active: int = MAX_ACTIVE) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.max_active = max_active
        self.targets: dict[str, PushTarget] = {}
        self.active = 0
        self.superseded = 0

    def submit(self, name: str, data: bytes, sequence: int, now: float) -> bool:
        """New content for a target; False if there are too many targets."""
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
        """Drop a target whose proxy has left; an active attempt ends by itself. No actor calls this yet."""
        target = self.targets.pop(name, None)
        if target is not None and target.started_at is not None:
            self.active -= 1

    def earliest_write(self, name: str) -> float:
        """When the limits and the backoff allow the next file of a target."""
        target = self.targets[name]
        limits = self.limits
        allowed_at = 0.0
        if target.written_at:
            allowed_at = target.written_at[-1] + limits.min_interval
            if limits.max_files and len(target.written_at) >= limits.max_files:
                allowed_at = max(allowed_at, target.written_at[-limits.max_files] + limits.window)
        return max(allowed_at, target.retry_at)

    def start_attempts(self, now: float) -> list[WriteAttempt]:
        """What is to be written now; targets that have waited longest for an acknowledgement come first."""
        self._expire_attempts(now)
        ready = [name for name, target in self.targets.items() if target.ready and self.earliest_write(name) <= now]
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
        """An attempt has ended; one that has timed out before has no effect."""
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
        """A reader acknowledges what it has applied; whether that is newer than what was known."""
        target = self.targets.get(name)
        if target is None or sequence <= target.confirmed_sequence:
            return False
        target.confirmed_sequence = sequence
        return True

    def next_event_at(self) -> float | None:
        """When an attempt may start or times out, if nothing else happens before."""
        times = [self.earliest_write(name) for name, target in self.targets.items() if target.ready]
        times += [
            target.started_at + ATTEMPT_TIMEOUT_MS for target in self.targets.values() if target.started_at is not None
        ]
        return min(times, default=None)

    def _expire_attempts(self, now: float) -> None:
        """Attempts whose thread hangs give their slot back."""
        for target in self.targets.values():
            if target.started_at is not None and now - target.started_at >= ATTEMPT_TIMEOUT_MS:
                self._schedule_retry(target, now)

    def _schedule_retry(self, target: PushTarget, now: float) -> None:
        backoff = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** min(target.failures, MAX_BACKOFF_DOUBLINGS))
        target.started_at = None
        target.failures += 1
        target.retry_at = now + backoff * self.random.random()
        self.active -= 1
