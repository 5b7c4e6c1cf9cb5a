"""Schedule of a run, generated from a seed: changes of the endpoint list and restarts of planners with their times."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from random import Random

from stackwheel.scale.entries import IN_SERVICE, TERMINATED, TERMINATING
from stackwheel.scale.fleet import DrawnServer, Fleet

# The operators' fleet on an ordinary day: servers restarted or replaced, and servers failed.
EVENTS_PER_DAY = 13_000 + 120
EVENTS_FLEET_SIZE = 48_000  # Servers of the fleet to which `EVENTS_PER_DAY` applies.
SPEEDUP_FACTOR = 60  # A minute of a run has the events of an hour.
MIN_EVENTS_PER_SECOND = 1.0
SECONDS_PER_DAY = 86_400.0
DRAIN_DURATION_S = 1.0
RESTART_DURATION_S = 1.0
# Times of events are shares of the run's duration.
ZONE_LOSS_TIME_SHARE = 0.2
ZONE_LOSS_SPREAD_S = 1.0  # Period within which all servers of a zone leave or return.
ZONE_RETURN_TIME_SHARE = 0.6
RESTART_TIME_SHARE = 0.3
RUN_EPOCH_MS = 1_767_225_600_000  # 2026-01-01 00:00 UTC.
BATCH_WINDOW_S = 0.05  # Changes within this period are applied as one generation.


class Scenario(Enum):
    """Kinds of run."""

    CHURN = "churn"
    ZONE_LOSS = "zone-loss"
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class ServerChange:
    """A change of a server's lifecycle.

    Attributes:
        at: time since the start of the run, s.
        server: the server.
        lifecycle: its new lifecycle.
        started_at_ms: start of the server's process, Unix ms; a returning server is a new process with a later start.
    """

    at: float
    server: DrawnServer
    lifecycle: str
    started_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class PlannerRestart:
    """A simultaneous restart of a group of planners.

    Attributes:
        at: time since the start of the run, s.
        planners: numbers of the planners.
    """

    at: float
    planners: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes that are applied as one generation.

    Attributes:
        at: time of the last change since the start of the run, s.
        changes: the changes in order.
    """

    at: float
    changes: list[ServerChange]


@dataclass(frozen=True, slots=True)
class Schedule:
    """Changes of a run in the order of their times, and its restarts of planners."""

    changes: tuple[ServerChange, ...]
    restarts: tuple[PlannerRestart, ...] = ()

    def batches(self) -> Iterator[ChangeBatch]:
        """Yield all changes in order; a batch contains the changes within `BATCH_WINDOW_S` of its first one."""
        changes: list[ServerChange] = []
        for change in self.changes:
            if changes and change.at > changes[0].at + BATCH_WINDOW_S:
                yield ChangeBatch(changes[-1].at, changes)
                changes = []
            changes.append(change)
        if changes:
            yield ChangeBatch(changes[-1].at, changes)


def default_event_rate(servers: int) -> float:
    """Return the number of servers per second that leave and return: `SPEEDUP_FACTOR` times that of an ordinary day."""
    return max(MIN_EVENTS_PER_SECOND, EVENTS_PER_DAY * servers / EVENTS_FLEET_SIZE / SECONDS_PER_DAY * SPEEDUP_FACTOR)


def draw_schedule(fleet: Fleet, scenario: Scenario, duration: float, event_rate: float, seed: int) -> Schedule:
    """Generate the schedule of a run; equal arguments give equal schedules.

    Args:
        fleet: fleet whose servers change.
        scenario: kind of run.
        duration: duration of the run, s.
        event_rate: servers per second that drain, leave and return; not used for a zone loss.
        seed: seed of the schedule.
    """
    random = Random(f"schedule {seed}")
    if scenario is Scenario.ZONE_LOSS:
        return Schedule(sorted_changes(zone_loss(fleet, duration, random)))
    changes = sorted_changes(churn(fleet, duration, event_rate, random))
    if scenario is Scenario.RESTART:
        return Schedule(changes, (PlannerRestart(RESTART_TIME_SHARE * duration, largest_group(fleet)),))
    return Schedule(changes)


def churn(fleet: Fleet, duration: float, event_rate: float, random: Random) -> Iterator[ServerChange]:
    """Yield changes by which random servers drain, leave and return.

    The restarts of one server do not overlap, and all servers have returned before the end of the run.
    """
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
    """Yield changes by which all servers of the largest zone leave within `ZONE_LOSS_SPREAD_S`, and later return."""
    sizes: dict[str, int] = {}
    for server in fleet.servers:
        sizes[server.zone] = sizes.get(server.zone, 0) + 1
    lost_zone = max(sizes, key=lambda zone: (sizes[zone], zone))
    for server in fleet.servers:
        if server.zone == lost_zone:
            removed_at = ZONE_LOSS_TIME_SHARE * duration + random.random() * ZONE_LOSS_SPREAD_S
            returned_at = ZONE_RETURN_TIME_SHARE * duration + random.random() * ZONE_LOSS_SPREAD_S
            returned_at = max(returned_at, removed_at + 2 * BATCH_WINDOW_S)
            yield ServerChange(removed_at, server, TERMINATED)
            yield ServerChange(returned_at, server, IN_SERVICE, process_start_ms(returned_at))


def process_start_ms(at: float) -> int:
    """Return the start, in Unix ms, of a process that starts `at` seconds after the start of the run.

    It is computed from `RUN_EPOCH_MS`, so that it is reproducible.
    """
    return RUN_EPOCH_MS + round(1000.0 * at)


def sorted_changes(changes: Iterator[ServerChange]) -> tuple[ServerChange, ...]:
    """Sort changes by time, and those at the same time by server name."""
    return tuple(sorted(changes, key=lambda change: (change.at, change.server.name)))


def largest_group(fleet: Fleet) -> tuple[int, ...]:
    """Return the numbers of the planners of the service with the most planners."""
    counts: dict[str, int] = {}
    for planner in fleet.planners:
        counts[planner.service] = counts.get(planner.service, 0) + 1
    return fleet.planners_of(max(counts, key=lambda service: (counts[service], service))) if counts else ()
