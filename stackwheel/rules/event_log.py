"""The last events of a run, from which a violation's trail is taken."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_EVENTS = 400
"""Events remembered: enough that the last ones of any one proxy are among them."""

MAX_TRAIL_EVENTS = 12
"""Events reported with a violation."""


class LoggedEvent(NamedTuple):
    """An event: when it was (ms), what it was, and the planners, proxies and servers that it concerns."""

    at: float
    text: str
    subjects: tuple[object, ...]

    def concerns(self, subjects: set[str | None]) -> bool:
        """Whether it concerns one of these, or nobody in particular."""
        return not subjects or bool(subjects & set(self.subjects)) or not self.subjects

    def __str__(self) -> str:
        return f"{self.at / 1000.0:.3f} s {self.text} {' '.join(map(str, self.subjects))}".rstrip()


class EventLog:
    """The last `MAX_EVENTS` events, in order."""

    def __init__(self) -> None:
        self._events: deque[LoggedEvent] = deque(maxlen=MAX_EVENTS)

    def note(self, now: float, text: str, *subjects: object) -> None:
        """Remember an event."""
        self._events.append(LoggedEvent(now, text, subjects))

    def trail(self, subjects: set[str | None]) -> tuple[str, ...]:
        """The last events that concern any of these; if there are none, the last events."""
        return tuple([str(event) for event in self._events if event.concerns(subjects)][-MAX_TRAIL_EVENTS:])
