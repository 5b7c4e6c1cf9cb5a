"""When entries came into force at a process's planners, kept compactly: one list of times for each entry."""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterable

from stackwheel.interface import EndpointEntry, Server
from stackwheel.scale.control import EntryRecord, Records, RestartRecord

MAX_RECORDS = 4_000_000  # of a process: 12 bytes each, 48 MB; 1,000 planners see 4,000 changes each


class PropagationRecords:
    """Remembers, from `begin` on, each planner's time of each entry that changed there."""

    def __init__(self) -> None:
        self.on = False
        self.count = self.dropped = 0
        self.times: dict[EndpointEntry, tuple[array[int], array[float]]] = {}
        self.restarts: list[RestartRecord] = []

    def begin(self) -> None:
        """What came before was the start, which no change caused."""
        self.on = True

    def add(self, planner: int, changed: Iterable[EndpointEntry], now: float) -> None:
        """Those entries came into force at a planner. `now`: s on the monotonic clock."""
        if not self.on:
            return
        for entry in changed:
            if self.count >= MAX_RECORDS:
                self.dropped += 1
                continue
            self.count += 1
            planners, times = self.times.setdefault(entry, (array("I"), array("d")))
            planners.append(planner)
            times.append(now)

    def restarted(self, planner: int, ended: float, ready_at: float) -> None:
        """A planner that ended holds a list again."""
        self.restarts.append(RestartRecord(planner, ended, ready_at))

    def message(self, name: Callable[[Server], str | None]) -> Records:
        """All of it, with the servers' names."""
        entries = [
            EntryRecord(name(e.server) or "", int(e.availability), e.started_at, planners.tolist(), times.tolist())
            for e, (planners, times) in self.times.items()
        ]
        return Records(entries, self.restarts, self.dropped)
