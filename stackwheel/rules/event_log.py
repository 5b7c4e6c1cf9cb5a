"""Log of the most recent events of a run, from which the trail of a violation is taken."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_LOGGED_EVENTS = 400
"""Limit on stored events; high enough to include recent events of every proxy."""

MAX_TRAIL_EVENTS = 12
"""Limit on the events that are reported with a violation."""


class LoggedEvent(NamedTuple):
    """An event of a run.

    Attributes:
        at: time of the event, ms.
        text: short description.
        subjects: names of the planners, proxies and servers that the event concerns.
    """

    at: float
    text: str
    subjects: tuple[object, ...]

    def concerns(self, subjects: set[str | None]) -> bool:
        """Return whether the event concerns one of the subjects; true if either side names no subject."""
        return not subjects or bool(subjects & set(self.subjects)) or not self.subjects

    def __str__(self) -> str:
        return f"{self.at / 1000.0:.3f} s {self.text} {' '.join(map(str, self.subjects))}".rstrip()


class EventLog:
    """The most recent events in chronological order, at most `MAX_LOGGED_EVENTS`."""

    def __init__(self) -> None:
        self._events: deque[LoggedEvent] = deque(maxlen=MAX_LOGGED_EVENTS)

    def record(self, now: float, text: str, *subjects: object) -> None:
        """Append an event; the oldest one is dropped if the log is full."""
        self._events.append(LoggedEvent(now, text, subjects))

    def trail(self, subjects: set[str | None]) -> tuple[str, ...]:
        """Return the most recent events that concern any of the subjects, or any events if there are no subjects."""
        return tuple([str(event) for event in self._events if event.concerns(subjects)][-MAX_TRAIL_EVENTS:])
