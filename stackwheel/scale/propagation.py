"""Propagation times: from a change at the registry until it is in force at each planner that has the server."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from stackwheel.scale.control import EntryRecord, MadeChange, RestartRecord
from stackwheel.wire.discovery_protocol import AVAILABILITY_BY_LIFECYCLE

MAX_RECORDED_US = 600_000_000  # Ten minutes, which is longer than a run takes to settle.
SIGNIFICANT_DIGITS = 3


class RecordKey(NamedTuple):
    """Identifies a version of an entry at a planner.

    Attributes:
        planner: number of the planner.
        name: name of the server.
        availability: value of `Availability`.
        started: start of the server's process, Unix ms.
    """

    planner: int
    name: str
    availability: int
    started: float


@dataclass(slots=True)
class PropagationTimes:
    """Propagation times of changes at planners.

    Attributes:
        histogram: times of the changes that came into force, microseconds.
        missing: number of changes at planners that never came into force.
    """

    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS))
    missing: int = 0

    def add(self, seconds: float) -> None:
        """Add the propagation time of one change at one planner, in s."""
        self.histogram.record_value(max(1, round(1e6 * seconds)))

    def percentile(self, percent: float) -> float | None:
        """Return a percentile in ms, or None if no times were added."""
        if not self.histogram.get_total_count():
            return None
        return float(self.histogram.get_value_at_percentile(percent)) / 1000.0

    def count(self) -> int:
        """Return the number of added times."""
        return int(self.histogram.get_total_count())


def record_key(planner: int, change: MadeChange) -> RecordKey:
    """Return the key of the record that a planner makes of a change."""
    return RecordKey(
        planner, change.name, int(AVAILABILITY_BY_LIFECYCLE[change.lifecycle]), float(change.started_at_ms)
    )


def measure(
    changes: Sequence[MadeChange],
    records: Iterable[EntryRecord],
    planners_of: Mapping[str, Sequence[int]],
    restarts: Iterable[RestartRecord] = (),
) -> PropagationTimes:
    """Compute the propagation time of each change at each planner from the planners' records.

    A change is in force at a planner from the first record of this change, or of a later change of the same server. If
    a planner was restarting when a change was made, the time of the restart is added instead of that of the change.

    Args:
        changes: changes made at the registry, in order.
        records: records of hollow planners.
        planners_of: numbers of the planners that should have an entry for a server, by server name.
        restarts: restarts of hollow planners.
    """
    times = PropagationTimes()
    first_in_force_at = first_in_force_times(records)
    restarts_of = restarts_by_planner(restarts)
    for name, history in changes_by_server(changes).items():
        for planner in planners_of.get(name, ()):
            measure_server_at_planner(times, planner, history, first_in_force_at, restarts_of.get(planner, []))
    for restart in (restart for planner_restarts in restarts_of.values() for restart in planner_restarts):
        times.add(restart.ready_at - restart.ended)
    return times


def measure_server_at_planner(
    times: PropagationTimes,
    planner: int,
    history: Sequence[MadeChange],
    first_in_force_at: Mapping[RecordKey, float],
    restarts: Sequence[RestartRecord],
) -> None:
    """Add the propagation times of one server's changes at one planner.

    A planner that has applied a later change, or has restarted since, has also applied the earlier changes.
    """
    recorded_at: list[float] = []  # Times of the present change and of later ones.
    for change in reversed(history):
        at = first_in_force_at.get(record_key(planner, change))
        if at is not None:
            recorded_at.append(at)
        if any(restart.ended <= change.made_at <= restart.ready_at for restart in restarts):
            continue
        restarted_at = [restart.ready_at for restart in restarts if restart.ready_at >= change.made_at]
        in_force_at = [at for at in (*recorded_at, *restarted_at) if at >= change.made_at]
        if in_force_at:
            times.add(min(in_force_at) - change.made_at)
        else:
            times.missing += 1


def first_in_force_times(records: Iterable[EntryRecord]) -> dict[RecordKey, float]:
    """Return the monotonic time in s at which each entry first came into force at each planner."""
    first_in_force_at: dict[RecordKey, float] = {}
    for record in records:
        for planner, at in zip(record.planners, record.times, strict=True):
            key = RecordKey(planner, record.name, record.availability, record.started)
            first_in_force_at[key] = min(at, first_in_force_at.get(key, at))
    return first_in_force_at


def changes_by_server(changes: Iterable[MadeChange]) -> dict[str, list[MadeChange]]:
    """Group changes by server name, in their order."""
    by_server: dict[str, list[MadeChange]] = {}
    for change in changes:
        by_server.setdefault(change.name, []).append(change)
    return by_server


def restarts_by_planner(restarts: Iterable[RestartRecord]) -> dict[int, list[RestartRecord]]:
    """Group restarts by the number of the planner."""
    by_planner: dict[int, list[RestartRecord]] = {}
    for restart in restarts:
        by_planner.setdefault(restart.planner, []).append(restart)
    return by_planner
