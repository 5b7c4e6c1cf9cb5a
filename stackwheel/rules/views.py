"""State of the planners and proxies of a run that determines their obligations and the start of time limits.

A class is serviceable in a zone, from the view of a planner, while the planner knows a warm server that may serve it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from stackwheel.interface import Availability, RequestClass


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An entry of the endpoint list that a planner was notified of.

    Attributes:
        availability: ready, draining or removed.
        zone: index of the server's zone.
        kind: index of the server's machine kind.
        warm_at: time at which the server reaches its full capacity, ms.
        started_at: start time of the server's process, ms; 0 if it started long ago.
    """

    availability: Availability
    zone: int
    kind: int
    warm_at: float
    started_at: float = 0.0

    def is_warm(self, now: float) -> bool:
        """Return whether the server is ready and has reached its full capacity."""
        return self.availability is Availability.READY and self.warm_at <= now

    def may_serve(self, request_class: RequestClass, zone: int) -> bool:
        """Return whether the server may serve requests of a class from proxies of a zone."""
        return (
            (not request_class.allowed_zones or self.zone in request_class.allowed_zones)
            and (not request_class.allowed_kinds or self.kind in request_class.allowed_kinds)
            and (not request_class.zone_local or self.zone == zone)
        )


class ZoneClass(NamedTuple):
    """A zone of proxies and the index of a request class."""

    zone: int
    request_class: int


@dataclass(slots=True)
class PlannerView:
    """The endpoint list as one planner process was notified of it, and the times from which limits apply.

    All times are in ms.

    Attributes:
        ready_at: time of the planner's first response.
        limits_from: time before which no limit applies to the planner.
        listed: entries of the servers that are listed and not removed, by server.
        unavailable_since: time of the first notification that a server is draining, or removed unless removal is
            advisory, by server.
        latest_start: start time of the process in the latest notification, by server.
        listed_since: time of the first notification of the current process, by listed server.
        serviceable_since: time since which a warm server that may serve the class in the zone has been listed without
            interruption, by zone and class.
        message_times: times of the messages within the window of the message cap, by proxy.
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
        """Return whether an entry of an older generation is outdated by later notifications.

        The entry is outdated if its process has been replaced by a later one under the same name, or if it lists a
        process as ready that has since been reported as draining or removed.
        """
        latest_start = self.latest_start.get(server, listed.started_at)
        if listed.started_at != latest_start:
            return listed.started_at < latest_start
        return listed.availability is Availability.READY and server in self.unavailable_since

    def record_notification(self, server: str, listed: ListedEndpoint, now: float, removal_is_advisory: bool) -> None:
        """Update the state of a server after the planner was notified of its entry."""
        self.latest_start[server] = listed.started_at
        previous = self.listed.get(server)
        if listed.availability is Availability.REMOVED:
            self.listed.pop(server, None)
            self.listed_since.pop(server, None)
            if previous is not None and not removal_is_advisory:
                self.unavailable_since.setdefault(server, now)
            return
        if previous is None or previous.warm_at != listed.warm_at:
            self.listed_since[server] = now
        self.listed[server] = listed
        if listed.availability is Availability.DRAINING:
            self.unavailable_since.setdefault(server, now)
        else:
            self.unavailable_since.pop(server, None)

    def update_serviceable(self, classes: tuple[RequestClass, ...], zone_count: int, now: float) -> bool:
        """Update the pairs of zone and request class that are serviceable, and return whether any have been added.

        A pair is serviceable while a warm server is listed that may serve the class to proxies of the zone.
        """
        warm = [endpoint for endpoint in self.listed.values() if endpoint.is_warm(now)]
        serviceable: dict[ZoneClass, float] = {}
        for class_index, request_class in enumerate(classes):
            for zone in range(zone_count):
                if any(endpoint.may_serve(request_class, zone) for endpoint in warm):
                    key = ZoneClass(zone, class_index)
                    serviceable[key] = self.serviceable_since.get(key, now)
        added = serviceable.keys() - self.serviceable_since.keys()
        self.serviceable_since = serviceable
        return bool(added)


@dataclass(slots=True)
class ProxyState:
    """State of one proxy.

    Attributes:
        zone: index of the proxy's zone.
        planner: number of the planner that the proxy has joined, if any.
        joined_at: time at which the proxy joined that planner, ms.
        limits_from: time before which no limit applies because the proxy is suspended, ms.
        unserved_since: time since which the proxy has had no server, by request class, ms.
    """

    zone: int
    planner: int | None = None
    joined_at: float = 0.0
    limits_from: float = 0.0
    unserved_since: dict[int, float] = field(default_factory=dict)
