"""What happens in a run, drawn from a seed: changes of the list and restarts of planners, each at its second."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from random import Random

from stackwheel.scale.entries import IN_SERVICE, TERMINATED, TERMINATING
from stackwheel.scale.fleet import DrawnServer, Fleet

EVENTS_PER_DAY = 13_000 + 120  # the operators: servers restarted or replaced, and failed, on an ordinary day ...
EVENTS_OF = 48_000  # ... of so many
SPEED_UP = 60  # an ordinary day's hour in a minute
MIN_EVENTS_PER_SECOND = 1.0  # a second, so that a small fleet has something to tell
DAY = 86_400.0  # s
DRAIN = 1.0  # s from terminating to terminated; an ordinary drain, speeded up
AWAY = 1.0  # s from terminated to back
ZONE_LOST_AT = 0.2  # of the duration
ZONE_LOST_WITHIN = 1.0  # s: the operators' zone, 565 servers within a second
ZONE_BACK_AT = 0.6  # of the duration
RESTART_AT = 0.3  # of the duration
EPOCH_MS = 1_767_225_600_000  # the beginning of 2026 in Unix ms
STEP = 0.05  # s: changes due so close together are one generation


class Scenario(Enum):
    """The kinds of run."""

    CHURN = "churn"
    ZONE_LOSS = "zone-loss"
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class ServerChange:
    """A server's new lifecycle, `at` seconds after the run began. One that returns is a new process."""

    at: float
    server: DrawnServer
    lifecycle: str
    started_at_ms: int = 0  # of the process that changes; ms, only ever larger for a server's next one


@dataclass(frozen=True, slots=True)
class PlannerRestart:
    """All those planners end and start anew at once."""

    at: float
    planners: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Schedule:
    """A run's changes in the order of their time, and its restarts."""

    changes: tuple[ServerChange, ...]
    restarts: tuple[PlannerRestart, ...] = ()

    def batches(self) -> Iterator[tuple[float, list[ServerChange]]]:
        """Changes due within a step of each other, with the time of the last of them."""
        batch: list[ServerChange] = []
        for change in self.changes:
            if batch and change.at > batch[0].at + STEP:
                yield batch[-1].at, batch
                batch = []
            batch.append(change)
        if batch:
            yield batch[-1].at, batch


def default_event_rate(servers: int) -> float:
    """Servers that leave and return a second: an ordinary day's, speeded up."""
    return max(MIN_EVENTS_PER_SECOND, EVENTS_PER_DAY * servers / EVENTS_OF / DAY * SPEED_UP)


def draw_schedule(fleet: Fleet, scenario: Scenario, duration: float, event_rate: float, seed: int) -> Schedule:
    """What a run of so many seconds does; `event_rate`: servers a second that drain, leave and return."""
    random = Random(f"schedule {seed}")
    if scenario is Scenario.ZONE_LOSS:
        return Schedule(in_order(zone_loss(fleet, duration, random)))
    changes = in_order(churn(fleet, duration, event_rate, random))
    if scenario is Scenario.RESTART:
        return Schedule(changes, (PlannerRestart(RESTART_AT * duration, largest_group(fleet)),))
    return Schedule(changes)


def churn(fleet: Fleet, duration: float, event_rate: float, random: Random) -> Iterator[ServerChange]:
    """Servers drain, go and return, one after another; no server twice at a time, all back by the end."""
    last_start = duration - DRAIN - AWAY
    free_at: dict[str, float] = {}
    starts: dict[str, int] = {}
    at = random.expovariate(event_rate)
    while at < last_start:
        server = random.choice(fleet.servers)
        if free_at.get(server.name, 0.0) <= at:
            started = starts.get(server.name, 0)
            returned_at = at + DRAIN + AWAY
            starts[server.name] = start_of(returned_at)
            yield ServerChange(at, server, TERMINATING, started)
            yield ServerChange(at + DRAIN, server, TERMINATED, started)
            yield ServerChange(returned_at, server, IN_SERVICE, starts[server.name])
            free_at[server.name] = at + DRAIN + AWAY + STEP * 2
        at += random.expovariate(event_rate)


def zone_loss(fleet: Fleet, duration: float, random: Random) -> Iterator[ServerChange]:
    """All servers of the largest zone go within a second, and are back later, as fast."""
    sizes: dict[str, int] = {}
    for server in fleet.servers:
        sizes[server.zone] = sizes.get(server.zone, 0) + 1
    lost = max(sizes, key=lambda zone: (sizes[zone], zone))
    for server in fleet.servers:
        if server.zone == lost:
            removed_at = ZONE_LOST_AT * duration + random.random() * ZONE_LOST_WITHIN
            returned_at = ZONE_BACK_AT * duration + random.random() * ZONE_LOST_WITHIN
            returned_at = max(returned_at, removed_at + 2 * STEP)
            yield ServerChange(removed_at, server, TERMINATED)
            yield ServerChange(returned_at, server, IN_SERVICE, start_of(returned_at))


def start_of(at: float) -> int:
    """The start of a process that comes `at` seconds after the run's begin, in ms: the draw knows no clock."""
    return EPOCH_MS + round(1000.0 * at)


def in_order(changes: Iterator[ServerChange]) -> tuple[ServerChange, ...]:
    """Changes by their time; at one time by the server's name."""
    return tuple(sorted(changes, key=lambda change: (change.at, change.server.name)))


def largest_group(fleet: Fleet) -> tuple[int, ...]:
    """The planners of the service that has most of them."""
    counts: dict[str, int] = {}
    for planner in fleet.planners:
        counts[planner.service] = counts.get(planner.service, 0) + 1
    return fleet.planners_of(max(counts, key=lambda service: (counts[service], service))) if counts else ()
