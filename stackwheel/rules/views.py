"""What binds the planners and proxies of a run: what each planner was notified of, and since when limits run."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from stackwheel.interface import Availability, RequestClass


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """A server as a planner was notified of it.

    Attributes:
        availability: ready, draining or removed.
        zone: its zone.
        kind: its kind of machine.
        warm_at: ms, when it has its full capacity.
        started_at: ms, when its process started; 0: long ago.
    """

    availability: Availability
    zone: int
    kind: int
    warm_at: float
    started_at: float = 0.0

    def is_warm(self, now: float) -> bool:
        """Whether it is ready and has its full capacity."""
        return self.availability is Availability.READY and self.warm_at <= now

    def may_serve(self, request_class: RequestClass, zone: int) -> bool:
        """Whether it may serve a class for proxies of a zone."""
        return (
            (not request_class.allowed_zones or self.zone in request_class.allowed_zones)
            and (not request_class.allowed_kinds or self.kind in request_class.allowed_kinds)
            and (not request_class.zone_local or self.zone == zone)
        )


class ZoneClass(NamedTuple):
    """A request class at the proxies of a zone."""

    zone: int
    request_class: int


@dataclass(slots=True)
class PlannerView:
    """What binds one process of a planner.

    Attributes:
        ready_at: ms, when it answered for the first time.
        limits_from: ms; no limit runs before.
        listed: the servers that it was notified of and that have not been removed.
        unavailable_since: servers that it was notified are draining, or removed where removals bind, and when (ms).
        latest_start: for each server, the start time of the process that it was notified of last.
        listed_since: for each listed server, when it was notified of its present process (ms).
        serviceable_since: zones and classes for which a warm server is listed, since when without a break (ms).
        message_times: for each proxy, when it sent messages to it within the window of the message cap.
    """

    ready_at: float
    limits_from: float
    listed: dict[str, ListedEndpoint] = field(default_factory=dict)
    unavailable_since: dict[str, float] = field(default_factory=dict)
    latest_start: dict[str, float] = field(default_factory=dict)
    listed_since: dict[str, float] = field(default_factory=dict)
    serviceable_since: dict[ZoneClass, float] = field(default_factory=dict)
    message_times: dict[int, deque[float]] = field(default_factory=dict)

    def is_outdated(self, server: str, listed: ListedEndpoint) -> bool:
        """Whether an entry of an older generation says nothing any more.

        It is of a process that a later one has replaced under the same name, or shows a process as ready that the
        planner was notified is draining or removed since.
        """
        latest_start = self.latest_start.get(server, listed.started_at)
        if listed.started_at != latest_start:
            return listed.started_at < latest_start
        return listed.availability is Availability.READY and server in self.unavailable_since

    def notified(self, server: str, listed: ListedEndpoint, now: float, removal_is_advisory: bool) -> None:
        """Note what the planner was notified of about a server."""
        self.latest_start[server] = listed.started_at
        known = self.listed.get(server)
        if listed.availability is Availability.REMOVED:
            self.listed.pop(server, None)
            self.listed_since.pop(server, None)
            if known is not None and not removal_is_advisory:
                self.unavailable_since.setdefault(server, now)
            return
        if known is None or known.warm_at != listed.warm_at:
            self.listed_since[server] = now
        self.listed[server] = listed
        if listed.availability is Availability.DRAINING:
            self.unavailable_since.setdefault(server, now)
        else:
            self.unavailable_since.pop(server, None)

    def update_serviceable(self, classes: tuple[RequestClass, ...], zones: int, now: float) -> bool:
        """Find the zones and classes for which a warm server is listed; whether some have been added."""
        warm = [endpoint for endpoint in self.listed.values() if endpoint.is_warm(now)]
        serviceable: dict[ZoneClass, float] = {}
        for number, request_class in enumerate(classes):
            for zone in range(zones):
                if any(endpoint.may_serve(request_class, zone) for endpoint in warm):
                    key = ZoneClass(zone, number)
                    serviceable[key] = self.serviceable_since.get(key, now)
        added = serviceable.keys() - self.serviceable_since.keys()
        self.serviceable_since = serviceable
        return bool(added)


@dataclass(slots=True)
class ProxyState:
    """What is known of one proxy.

    Attributes:
        zone: its zone.
        planner: the planner that it has joined, if any.
        joined_at: ms, when it joined.
        limits_from: ms; no limit runs before, as it is suspended.
        unserved_since: classes for which it has no server, since when (ms).
    """

    zone: int
    planner: int | None = None
    joined_at: float = 0.0
    limits_from: float = 0.0
    unserved_since: dict[int, float] = field(default_factory=dict)
