"""When which file goes to which folder: pacing, further attempts, what is under way, what was confirmed. No I/O.

One target is one folder's file of one name. The newest content waits in place of older that has not gone: nothing
queues up behind a slow disk. Attempts that failed are repeated with a doubling wait and full jitter.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

FIRST_WAIT, MOST_WAIT = 100.0, 10_000.0  # ms before a further attempt: doubled each time, drawn from 0 up to it
UNDER_WAY_MOST = 16  # writes at once: a thread each, and most folders lie on one disk
STUCK = 30_000.0  # ms that an attempt may take until its folder counts as failed: its thread is not waited for
TARGETS_MOST = 20_000  # folders


@dataclass(frozen=True, slots=True)
class Pace:
    """What the settings allow for one target."""

    cap: int = 0  # files within the span; 0: no such limit
    span: float = 10_000.0  # ms
    least: float = 0.0  # ms between two


@dataclass(slots=True)
class Target:
    waiting: bytes | None = None  # the newest content that has not gone
    number: int = 0  # of that content
    written: deque[float] = field(default_factory=deque)  # when files went, within the span
    begun: float | None = None  # an attempt is under way since
    sent: int = 0  # number of the content that has gone
    failures: int = 0
    not_before: float = 0.0
    confirmed: int = 0  # number that its reader says it has applied
    confirmed_at: float = 0.0
    asked_at: float = 0.0  # when the oldest unconfirmed content was given


@dataclass(frozen=True, slots=True)
class Attempt:
    """Write this now."""

    target: str
    data: bytes
    number: int


class Pusher:
    def __init__(self, pace: Pace, seed: int, under_way_most: int = UNDER_WAY_MOST) -> None:
        self.pace, self.random, self.most = pace, random.Random(seed), under_way_most
        self.targets: dict[str, Target] = {}
        self.under_way = 0
        self.dropped = 0  # contents that a newer one took the place of before they went

    def offer(self, name: str, data: bytes, number: int, now: float) -> bool:
        """New content for a target; False if there are too many targets."""
        target = self.targets.get(name)
        if target is None:
            if len(self.targets) >= TARGETS_MOST:
                return False
            target = self.targets[name] = Target()
        self.dropped += target.waiting is not None
        if target.confirmed >= target.sent and target.waiting is None:
            target.asked_at = now
        target.waiting, target.number = data, number
        return True

    def forget(self, name: str) -> None:
        """Its forwarder is gone; an attempt under way ends by itself."""
        target = self.targets.pop(name, None)
        if target is not None and target.begun is not None:
            self.under_way -= 1

    def due(self, name: str, now: float) -> float:
        """When a target may be written next."""
        target, at = self.targets[name], 0.0
        if target.written:
            at = target.written[-1] + self.pace.least
            if self.pace.cap and len(target.written) >= self.pace.cap:
                at = max(at, target.written[-self.pace.cap] + self.pace.span)
        return max(at, target.not_before)

    def attempts(self, now: float) -> list[Attempt]:
        """What is to be written now, those that wait longest first."""
        for target in self.targets.values():
            if target.begun is not None and now - target.begun >= STUCK:  # its thread hangs: the slot is not lost
                self.fail(target, now)
        ready = [
            name
            for name, target in self.targets.items()
            if target.waiting is not None and target.begun is None and self.due(name, now) <= now
        ]
        ready.sort(key=lambda name: self.targets[name].asked_at)
        found: list[Attempt] = []
        for name in ready[: max(0, self.most - self.under_way)]:
            target = self.targets[name]
            assert target.waiting is not None
            target.begun = now
            self.under_way += 1
            found.append(Attempt(name, target.waiting, target.number))
        return found

    def ended(self, attempt: Attempt, ok: bool, now: float) -> None:
        """An attempt came to its end. One that was given up before counts no more."""
        target = self.targets.get(attempt.target)
        if target is None or target.begun is None:
            return
        if not ok:
            self.fail(target, now)
            return
        target.begun, target.failures, target.not_before = None, 0, 0.0
        self.under_way -= 1
        target.sent = max(target.sent, attempt.number)
        target.written.append(now)
        while target.written and now - target.written[0] > self.pace.span:
            target.written.popleft()
        if target.number == attempt.number:
            target.waiting = None

    def fail(self, target: Target, now: float) -> None:
        wait = min(MOST_WAIT, FIRST_WAIT * 2.0 ** min(target.failures, 20))
        target.begun, target.failures = None, target.failures + 1
        target.not_before = now + wait * self.random.random()
        self.under_way -= 1

    def confirm(self, name: str, number: int, now: float) -> bool:
        """Its reader says what it has applied; whether that is news."""
        target = self.targets.get(name)
        if target is None or number <= target.confirmed:
            return False
        target.confirmed, target.confirmed_at = number, now
        return True

    def next_at(self, now: float) -> float | None:
        """When there is something to do if nothing else happens."""
        times = [
            self.due(name, now)
            for name, target in self.targets.items()
            if target.waiting is not None and target.begun is None
        ]
        times += [target.begun + STUCK for target in self.targets.values() if target.begun is not None]
        return min(times, default=None)
