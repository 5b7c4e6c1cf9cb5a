"""Helpers for endpoint lists, for the relay's watch cache, and for the endpoint cache of a planner."""

from __future__ import annotations

from typing import Any

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.relay.messages import Action, Delta, SendDelta, SendSnapshot, UnavailableError
from stackwheel.relay.watch_cache import WatchCache
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds
from stackwheel.wire import timing
from stackwheel.wire.discovery_protocol import parse_endpoint_list

READY = Availability.READY
DRAINING = Availability.DRAINING
REMOVED = Availability.REMOVED
ZONES = ("east", "west")


def instance(
    name: str, availability: Availability = READY, zone: str = "east", started: float = 0.0, **fields: Any
) -> Instance:
    address = fields.get("address", "127.0.0.1:1")
    return Instance(name, address, zone, "small", 0, availability, fields.get("weight", 1.0), started)


def snapshot_list(generation: int, *instances: Instance, **fields: Any) -> EndpointList:
    return EndpointList(generation, True, instances, **fields)


def delta_list(generation: int, *instances: Instance, **fields: Any) -> EndpointList:
    return EndpointList(generation, False, instances, **fields)


def by_service(name: str, _zone: str) -> str:
    return name.rpartition("-")[0]


def by_service_and_zone(name: str, zone: str) -> str:
    return f"{by_service(name, zone)}.{zone}"


def watch_cache_of(*cells: str, locate: Any = by_service) -> WatchCache:
    return WatchCache(locate, cells or ("a", "b"), timing.WATCH_SILENCE_TIMEOUT_MS, timing.HEARTBEAT_INTERVAL_MS)


def decode_line(line: bytes) -> EndpointList:
    return parse_endpoint_list(line)


def availability_by_name(endpoint_list: EndpointList) -> dict[str, Availability]:
    return {entry.name: entry.availability for entry in endpoint_list.instances}


def deltas_by_cell(actions: tuple[Action, ...]) -> dict[str, dict[str, Availability]]:
    """Return the availability of the servers in the delta for each cell."""
    return {
        action.cell: availability_by_name(decode_line(action.line))
        for action in actions
        if isinstance(action, SendDelta)
    }


def snapshot_cells(actions: tuple[Action, ...]) -> set[str]:
    """Return the cells for which a snapshot is sent."""
    return {action.cell for action in actions if isinstance(action, SendSnapshot)}


def cell_list(cache: WatchCache, cell: str = "a") -> EndpointList:
    line = cache.snapshot(cell)
    assert line is not None
    return decode_line(line)


def resumed_delta(cache: WatchCache, cell: str, since: int, now: float) -> EndpointList:
    answer = cache.answer(cell, since, now)
    assert isinstance(answer, Delta), answer
    return decode_line(answer.line)


class PlannerView:
    """The endpoint cache of a planner, updated from the lines of a watch.

    Attributes:
        endpoints: the endpoint cache.
        since: generation after which the next watch resumes; None before the first list.
    """

    def __init__(self) -> None:
        self.endpoints = EndpointCache(ZONES, ("small",), ServerIds())
        self.since: int | None = None

    def receive(self, line: bytes, now: float = 0.0) -> None:
        endpoint_list = decode_line(line)
        self.endpoints.apply(endpoint_list, now)
        generation = endpoint_list.generation
        self.since = generation if endpoint_list.complete else max(self.since or 0, generation)

    def open_watch(self, cache: WatchCache, cell: str, now: float) -> bool:
        """Open a watch and apply its first line; returns False if the cache rejects the watch."""
        try:
            answer = cache.answer(cell, self.since, now)
        except UnavailableError:
            return False
        line = answer.line if isinstance(answer, Delta) else cache.snapshot(cell)
        if line is None:
            return False
        self.receive(line, now)
        return True

    def listed_servers(self) -> dict[str, Availability]:
        ids = self.endpoints.server_ids
        return {ids.name(server) or "?": entry.availability for server, entry in self.endpoints.entries.items()}
