"""Compact records of the times at which entries came into force at the planners of a process."""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stackwheel.interface import EndpointEntry, ServerId
from stackwheel.scale.control import EntryRecord, Records, RestartRecord

MAX_RECORDS_PER_PROCESS = 4_000_000  # 48 MB with 12 bytes each; enough for 1,000 planners with 4,000 changes each.


@dataclass(frozen=True, slots=True)
class EntryTimes:
    """The planners at which an entry came into force, with the times.

    Attributes:
        planners: numbers of the planners.
        times: monotonic time for each element of `planners`, s.
    """

    planners: array[int] = field(default_factory=lambda: array("I"))
    times: array[float] = field(default_factory=lambda: array("d"))

    def add(self, planner: int, at: float) -> None:
        """Add the time in s at which the entry came into force at one planner."""
        self.planners.append(planner)
        self.times.append(at)


class PropagationRecords:
    """Records, after `begin`, the time at which each changed entry came into force at each planner.

    Attributes:
        is_recording: whether `begin` was called.
        count: number of stored records.
        dropped: number of records above `MAX_RECORDS_PER_PROCESS`, which were not stored.
        times: planners and times for each entry.
        restarts: restarts of planners.
    """

    def __init__(self) -> None:
        self.is_recording = False
        self.count = 0
        self.dropped = 0
        self.times: dict[EndpointEntry, EntryTimes] = {}
        self.restarts: list[RestartRecord] = []

    def begin(self) -> None:
        """Start recording; the entries of the planners' first lists, which are not changes, come before."""
        self.is_recording = True

    def add(self, planner: int, changed: Iterable[EndpointEntry], now: float) -> None:
        """Record that entries came into force at a planner. `now` is the monotonic time in s."""
        if not self.is_recording:
            return
        for entry in changed:
            if self.count >= MAX_RECORDS_PER_PROCESS:
                self.dropped += 1
                continue
            self.count += 1
            self.times.setdefault(entry, EntryTimes()).add(planner, now)

    def add_restart(self, planner: int, ended: float, ready_at: float) -> None:
        """Record the restart of a planner. `ended` and `ready_at` are monotonic times in s."""
        self.restarts.append(RestartRecord(planner, ended, ready_at))

    def to_message(self, name_of: Callable[[ServerId], str | None]) -> Records:
        """Return all records as a message. `name_of`: returns the name of a server by its id."""
        entries = [
            EntryRecord(
                name=name_of(entry.server) or "",
                availability=int(entry.availability),
                started=entry.started_at,
                planners=at_planners.planners.tolist(),
                times=at_planners.times.tolist(),
            )
            for entry, at_planners in self.times.items()
        ]
        return Records(entries, self.restarts, self.dropped)
