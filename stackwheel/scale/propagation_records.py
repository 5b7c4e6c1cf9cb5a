"""Records of when entries came into force at the planners of a process, stored compactly: one array for each entry."""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stackwheel.interface import EndpointEntry, ServerId
from stackwheel.scale.control import EntryRecord, Records, RestartRecord

MAX_RECORDS_PER_PROCESS = 4_000_000  # of a process: 12 bytes each, 48 MB; 1,000 planners with 4,000 changes each


@dataclass(frozen=True, slots=True)
class EntryTimes:
    """At which planners an entry came into force, and when."""

    planners: array[int] = field(default_factory=lambda: array("I"))  # numbers
    times: array[float] = field(default_factory=lambda: array("d"))  # s on the monotonic clock, one for each planner

    def add(self, planner: int, at: float) -> None:
        """Add one planner."""
        self.planners.append(planner)
        self.times.append(at)


class PropagationRecords:
    """Records, from `begin` on, when each changed entry came into force at each planner."""

    def __init__(self) -> None:
        self.is_recording = False
        self.count = 0
        self.dropped = 0  # records over `MAX_RECORDS_PER_PROCESS`
        self.times: dict[EndpointEntry, EntryTimes] = {}
        self.restarts: list[RestartRecord] = []

    def begin(self) -> None:
        """Record from now on; entries of the planners' start are not due to changes."""
        self.is_recording = True

    def add(self, planner: int, changed: Iterable[EndpointEntry], now: float) -> None:
        """Record that entries came into force at a planner. `now`: s on the monotonic clock."""
        if not self.is_recording:
            return
        for entry in changed:
            if self.count >= MAX_RECORDS_PER_PROCESS:
                self.dropped += 1
                continue
            self.count += 1
            self.times.setdefault(entry, EntryTimes()).add(planner, now)

    def add_restart(self, planner: int, ended: float, ready_at: float) -> None:
        """Record that a planner has a list again after a restart."""
        self.restarts.append(RestartRecord(planner, ended, ready_at))

    def to_message(self, name_of: Callable[[ServerId], str | None]) -> Records:
        """All records, with the servers' names; `name_of`: the name of a server by its id."""
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
