"""Lists as a registry tells them, and a follower that holds what a planner would."""

from __future__ import annotations

from typing import Any

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.relay.cache import ListingCache
from stackwheel.relay.messages import Action, Resumed, TellChanges, TellWhole, WholeDue
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds
from stackwheel.wire import timing
from stackwheel.wire.discovery_client import parse_listing

READY, DRAINING, GONE = Availability.READY, Availability.DRAINING, Availability.REMOVED
ZONES = ("east", "west")


def server(name: str, state: Availability = READY, zone: str = "east", started: float = 0.0, **how: Any) -> Instance:
    return Instance(name, how.get("address", "127.0.0.1:1"), zone, "small", 0, state, how.get("weight", 1.0), started)


def whole(generation: int, *instances: Instance, **how: Any) -> EndpointList:
    return EndpointList(generation, True, instances, **how)


def changes(generation: int, *instances: Instance, **how: Any) -> EndpointList:
    return EndpointList(generation, False, instances, **how)


def by_service(name: str, _zone: str) -> str:
    return name.rpartition("-")[0]


def by_service_and_zone(name: str, zone: str) -> str:
    return f"{by_service(name, zone)}.{zone}"


def cache(*cells: str, locate: Any = by_service) -> ListingCache:
    return ListingCache(locate, cells or ("a", "b"), timing.WATCH_SILENCE_TIMEOUT_MS, timing.HEARTBEAT_INTERVAL_MS)


def read(line: bytes) -> EndpointList:
    found = parse_listing(line)
    assert isinstance(found, EndpointList), found
    return found


def states(listing: EndpointList) -> dict[str, Availability]:
    return {one.name: one.availability for one in listing.instances}


def told(actions: tuple[Action, ...]) -> dict[str, dict[str, Availability]]:
    """The changes that each cell is told."""
    return {action.cell: states(read(action.line)) for action in actions if isinstance(action, TellChanges)}


def wholes(actions: tuple[Action, ...]) -> set[str]:
    """The cells that are told the whole part."""
    return {action.cell for action in actions if isinstance(action, TellWhole)}


def part(held: ListingCache, cell: str = "a") -> EndpointList:
    line = held.whole(cell)
    assert line is not None
    return read(line)


def resumed(held: ListingCache, cell: str, since: int, now: float) -> EndpointList:
    answer = held.ask(cell, since, now)
    assert isinstance(answer, Resumed), answer
    return read(answer.line)


class Follower:
    """A planner's list, fed by lines."""

    def __init__(self) -> None:
        self.roster = EndpointCache(ZONES, ("small",), ServerIds())
        self.since: int | None = None

    def hear(self, line: bytes, now: float = 0.0) -> None:
        listing = read(line)
        self.roster.apply(listing, now)
        self.since = listing.generation if listing.complete else max(self.since or 0, listing.generation)

    def call(self, held: ListingCache, cell: str, now: float) -> bool:
        """Begin a watch; whether it was answered."""
        answer = held.ask(cell, self.since, now)
        line = (
            held.whole(cell) if isinstance(answer, WholeDue) else answer.line if isinstance(answer, Resumed) else None
        )
        if line is not None:
            self.hear(line, now)
        return line is not None

    def holds(self) -> dict[str, Availability]:
        return {self.roster.server_ids.name(known) or "?": e.availability for known, e in self.roster.entries.items()}
