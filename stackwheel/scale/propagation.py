"""From the change made at the registry to held by each planner that should hold it, as a histogram."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from stackwheel.scale.control import EntryRecord, MadeChange, RestartRecord
from stackwheel.wire.discovery_protocol import LIFECYCLES

MAX_MICROSECONDS = 600_000_000  # ten minutes: longer than a run's settling
DIGITS = 3  # significant figures of a recorded value

ChangeKey = tuple[str, int, float]  # a server's name, its availability, and its start: what a record names


@dataclass(slots=True)
class PropagationTimes:
    """Times until in force, in ms, and how many changes a planner was never seen to hold."""

    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, DIGITS))
    missing: int = 0

    def add(self, seconds: float) -> None:
        """One change at one planner."""
        self.histogram.record_value(max(1, round(1e6 * seconds)))

    def percentile(self, percent: float) -> float | None:
        """ms; None without any."""
        if not self.histogram.get_total_count():
            return None
        return float(self.histogram.get_value_at_percentile(percent)) / 1000.0

    def count(self) -> int:
        """Times recorded."""
        return int(self.histogram.get_total_count())


def key_of(change: MadeChange) -> ChangeKey:
    """How a planner's record names this change."""
    return change.name, int(LIFECYCLES[change.lifecycle]), float(change.started_at_ms)


def measure(
    changes: Sequence[MadeChange],
    records: Iterable[EntryRecord],
    planners_of: Mapping[str, Sequence[int]],
    restarts: Iterable[RestartRecord] = (),
) -> PropagationTimes:
    """Match each change with the first time at which each planner held it, or a later word of the same server.

    `planners_of`: the planners that should hold a server, by its name. A planner that was starting anew when a
    change was made has it in force once it holds a list again, which is counted as a restart.
    """
    found = PropagationTimes()
    first_held_at = times_of(records)
    pauses = pauses_of(restarts)
    for name, history in by_server(changes).items():
        for planner in planners_of.get(name, ()):
            measure_one(found, planner, history, first_held_at, pauses.get(planner, []))
    for pause in (pause for of_planner in pauses.values() for pause in of_planner):
        found.add(pause.ready_at - pause.ended)
    return found


def measure_one(
    found: PropagationTimes,
    planner: int,
    history: Sequence[MadeChange],
    first_held_at: Mapping[tuple[int, str, int, float], float],
    pauses: Sequence[RestartRecord],
) -> None:
    """The changes of one server at one planner: who holds a later one, or began anew since, holds the earlier too."""
    later: list[float] = []
    for change in reversed(history):
        at = first_held_at.get((planner, *key_of(change)))
        later += [at] if at is not None else []
        if any(pause.ended <= change.made_at <= pause.ready_at for pause in pauses):
            continue
        restarted_at = [pause.ready_at for pause in pauses if pause.ready_at >= change.made_at]
        seen = [at for at in (*later, *restarted_at) if at >= change.made_at]
        if seen:
            found.add(min(seen) - change.made_at)
        else:
            found.missing += 1


def times_of(records: Iterable[EntryRecord]) -> dict[tuple[int, str, int, float], float]:
    """When each planner first held each entry."""
    found: dict[tuple[int, str, int, float], float] = {}
    for record in records:
        for planner, at in zip(record.planners, record.times, strict=True):
            key = planner, record.name, record.availability, record.started
            found[key] = min(at, found.get(key, at))
    return found


def by_server(changes: Iterable[MadeChange]) -> dict[str, list[MadeChange]]:
    """The changes of each server in their order."""
    found: dict[str, list[MadeChange]] = {}
    for change in changes:
        found.setdefault(change.name, []).append(change)
    return found


def pauses_of(restarts: Iterable[RestartRecord]) -> dict[int, list[RestartRecord]]:
    """Each planner's restarts."""
    found: dict[int, list[RestartRecord]] = {}
    for restart in restarts:
        found.setdefault(restart.planner, []).append(restart)
    return found
