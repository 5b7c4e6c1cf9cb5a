"""What happens in a run, drawn from a seed: changes of the list and restarts of planners, each with its time."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from random import Random

from stackwheel.scale.entries import IN_SERVICE, TERMINATED, TERMINATING
from stackwheel.scale.fleet import DrawnServer, Fleet

EVENTS_PER_DAY = 13_000 + 120  # the operators' figure: restarted or replaced, and failed, on an ordinary day
EVENTS_FLEET_SIZE = 48_000  # servers that `EVENTS_PER_DAY` was counted over
SPEEDUP_FACTOR = 60  # an hour of an ordinary day within a minute
MIN_EVENTS_PER_SECOND = 1.0  # so that a small fleet has changes, too
SECONDS_PER_DAY = 86_400.0
DRAIN_DURATION_S = 1.0  # s from terminating to terminated: an ordinary drain at this speed-up
RESTART_DURATION_S = 1.0  # s from terminated to in service again
ZONE_LOSS_TIME_SHARE = 0.2  # of the duration
ZONE_LOSS_SPREAD_S = 1.0  # s: the operators' figure, 565 servers of a zone within a second
ZONE_RETURN_TIME_SHARE = 0.6  # of the duration
RESTART_TIME_SHARE = 0.3  # of the duration
RUN_EPOCH_MS = 1_767_225_600_000  # the beginning of 2026 in Unix ms
BATCH_WINDOW_S = 0.05  # s: changes so close together are one generation


class Scenario(Enum):
    """The kinds of run."""

    CHURN = "churn"
    ZONE_LOSS = "zone-loss"
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class ServerChange:
    """A server's new lifecycle. A server that returns is a new process."""

    at: float  # s after the run began
    server: DrawnServer
    lifecycle: str
    started_at_ms: int = 0  # Unix ms; grows with each process of a server


@dataclass(frozen=True, slots=True)
class PlannerRestart:
    """A group of planners that all restart at once."""

    at: float  # s after the run began
    planners: tuple[int, ...]  # their numbers


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes that are applied as one generation."""

    at: float  # s after the run began: the time of the last change
    changes: list[ServerChange]


@dataclass(frozen=True, slots=True)
class Schedule:
    """A run's changes in the order of their time, and its restarts."""

    changes: tuple[ServerChange, ...]
    restarts: tuple[PlannerRestart, ...] = ()

    def batches(self) -> Iterator[ChangeBatch]:
        """All changes in their order, those within `BATCH_WINDOW_S` of the first of a batch together."""
        changes: list[ServerChange] = []
        for change in self.changes:
            if changes and change.at > changes[0].at + BATCH_WINDOW_S:
                yield ChangeBatch(changes[-1].at, changes)
                changes = []
            changes.append(change)
        if changes:
            yield ChangeBatch(changes[-1].at, changes)


def default_event_rate(servers: int) -> float:
    """Servers a second that leave and return: those of an ordinary day, `SPEEDUP_FACTOR` times as fast."""
    return max(MIN_EVENTS_PER_SECOND, EVENTS_PER_DAY * servers / EVENTS_FLEET_SIZE / SECONDS_PER_DAY * SPEEDUP_FACTOR)


def draw_schedule(fleet: Fleet, scenario: Scenario, duration: float, event_rate: float, seed: int) -> Schedule:
    """The schedule of a run.

    Args:
        fleet: whose servers change.
        scenario: the kind of run.
        duration: of the run, in s.
        event_rate: servers a second that drain, leave and return; a zone loss has none of them.
        seed: the same seed gives the same schedule.
    """
    random = Random(f"schedule {seed}")
    if scenario is Scenario.ZONE_LOSS:
        return Schedule(sorted_changes(zone_loss(fleet, duration, random)))
    changes = sorted_changes(churn(fleet, duration, event_rate, random))
    if scenario is Scenario.RESTART:
        return Schedule(changes, (PlannerRestart(RESTART_TIME_SHARE * duration, largest_group(fleet)),))
    return Schedule(changes)


def churn(fleet: Fleet, duration: float, event_rate: float, random: Random) -> Iterator[ServerChange]:
    """Servers drain, leave and return, one after another; no server twice at a time, all back by the end."""
    last_start = duration - DRAIN_DURATION_S - RESTART_DURATION_S
    available_at: dict[str, float] = {}
    starts: dict[str, int] = {}
    at = random.expovariate(event_rate)
    while at < last_start:
        server = random.choice(fleet.servers)
        if available_at.get(server.name, 0.0) <= at:
            started = starts.get(server.name, 0)
            returned_at = at + DRAIN_DURATION_S + RESTART_DURATION_S
            starts[server.name] = process_start_ms(returned_at)
            yield ServerChange(at, server, TERMINATING, started)
            yield ServerChange(at + DRAIN_DURATION_S, server, TERMINATED, started)
            yield ServerChange(returned_at, server, IN_SERVICE, starts[server.name])
            available_at[server.name] = at + DRAIN_DURATION_S + RESTART_DURATION_S + BATCH_WINDOW_S * 2
        at += random.expovariate(event_rate)


def zone_loss(fleet: Fleet, duration: float, random: Random) -> Iterator[ServerChange]:
    """All servers of the largest zone leave within a second, and return later within a second."""
    sizes: dict[str, int] = {}
    for server in fleet.servers:
        sizes[server.zone] = sizes.get(server.zone, 0) + 1
    lost = max(sizes, key=lambda zone: (sizes[zone], zone))
    for server in fleet.servers:
        if server.zone == lost:
            removed_at = ZONE_LOSS_TIME_SHARE * duration + random.random() * ZONE_LOSS_SPREAD_S
            returned_at = ZONE_RETURN_TIME_SHARE * duration + random.random() * ZONE_LOSS_SPREAD_S
            returned_at = max(returned_at, removed_at + 2 * BATCH_WINDOW_S)
            yield ServerChange(removed_at, server, TERMINATED)
            yield ServerChange(returned_at, server, IN_SERVICE, process_start_ms(returned_at))


def process_start_ms(at: float) -> int:
    """The start, in Unix ms, of a process that comes `at` seconds after the run began; no clock is read."""
    return RUN_EPOCH_MS + round(1000.0 * at)


def sorted_changes(changes: Iterator[ServerChange]) -> tuple[ServerChange, ...]:
    """Changes by their time; those of the same time by the server's name."""
    return tuple(sorted(changes, key=lambda change: (change.at, change.server.name)))


def largest_group(fleet: Fleet) -> tuple[int, ...]:
    """The numbers of the planners of the service that has the largest number of planners."""
    counts: dict[str, int] = {}
    for planner in fleet.planners:
        counts[planner.service] = counts.get(planner.service, 0) + 1
    return fleet.planners_of(max(counts, key=lambda service: (counts[service], service))) if counts else ()
