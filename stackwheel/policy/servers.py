"""The policy's view of each server, and the servers that a request class may use."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from stackwheel.interface import Availability, EndpointEntry, ServerId, Settings
from stackwheel.policy.slow_start import SlowStart

Rates: TypeAlias = dict[ServerId, float]
"""Requests per second, shares or weights by server."""

MAX_ENDPOINT_WEIGHT = 1e6
"""Maximum weight of an endpoint entry; its reciprocal is the minimum. The size of servers beyond them is 1."""


class ZoneReport(NamedTuple):
    """Measurements from the newest load report of a zone's proxies about a server.

    Attributes:
        valid_until: time until which the report is valid, ms.
        latency_ms: mean latency; failed attempts are included as slow ones, unless the successful ones are fast.
        attempts_per_s: attempts per second.
        answers_per_s: successful attempts per second.
    """

    valid_until: float
    latency_ms: float
    attempts_per_s: float
    answers_per_s: float


@dataclass(slots=True)
class ServerView:
    """The endpoint entry of a server and the moving averages of its reports.

    Attributes:
        entry: entry in the endpoint list.
        capacity: estimated requests per second when the server is warm; 0 if unknown.
        inclusion_threshold: random number; a table contains the server only if its share is at least this multiple of
            the minimum share of a line.

        attempt_rates: attempts per second, by zone of the proxies.
        latency_by_zone: latency by zone of the proxies, ms.
        zone_reports: newest valid reports by zone of the proxies.

        latency: latency over all zones, ms, with failed attempts as slow ones; None if unknown.
        success_latency: latency of successful attempts, ms; None if unknown.
        failure_share: share of failed attempts.

        load: load figures reported by the server, by load column.
        load_checked_at: time of the last health check that returned load figures or showed saturation, ms.
        is_saturated: whether that health check was rejected or timed out.
        health_check_sent_at: time of the last health check, ms.

        ejected_until: end of the current or last ejection, ms; 0 if there was none since the server was restored.
        ejection_intervals: duration of the last ejection, in report intervals.
    """

    entry: EndpointEntry
    capacity: float = 0.0
    inclusion_threshold: float = 1.0

    # From load reports of the proxies, by zone of the proxies
    attempt_rates: dict[int, float] = field(default_factory=dict)
    latency_by_zone: dict[int, float] = field(default_factory=dict)
    zone_reports: dict[int, ZoneReport] = field(default_factory=dict)

    # From load reports of the proxies, over all zones
    latency: float | None = None
    success_latency: float | None = None
    failure_share: float = 0.0

    # From the server, in load reports and health checks
    load: dict[str, float] = field(default_factory=dict)
    load_checked_at: float = -math.inf
    is_saturated: bool = False
    health_check_sent_at: float = -math.inf

    # Outlier ejection
    ejected_until: float = 0.0
    ejection_intervals: float = 0.0

    @property
    def attempt_rate(self) -> float:
        """Attempts per second of the proxies in all zones."""
        return sum(self.attempt_rates.values())

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected as an outlier."""
        return self.ejected_until > now

    @property
    def nominal_size(self) -> float:
        """Relative size: the weight of the endpoint entry, or 1 if the weight is out of bounds."""
        weight = self.entry.weight
        return weight if 1 / MAX_ENDPOINT_WEIGHT < weight < MAX_ENDPOINT_WEIGHT else 1.0


class ReadyServers(NamedTuple):
    """The servers that tables may contain.

    Attributes:
        servers: ids of the servers.
        uncapped: ids of those that are warming up or ejected, whose shares may change without a step limit.
    """

    servers: list[ServerId]
    uncapped: set[ServerId]


class ServerPool:
    """The servers in the endpoint list.

    Attributes:
        classes: the request classes.
        slow_start: slow start according to the settings.
        views: views of the servers by id.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes = settings.classes
        self.slow_start = SlowStart(settings)
        self.views: dict[ServerId, ServerView] = {}

    def ready(self) -> list[ServerView]:
        """Return the servers that may receive requests."""
        return [view for view in self.views.values() if view.entry.availability is Availability.READY]

    def allowed_servers(self, request_class: int, zone: int | None = None) -> list[ServerView]:
        """Return the ready servers that may serve a class.

        Args:
            request_class: index of the class.
            zone: index of the proxies' zone; None for proxies in any zone.
        """
        requirements = self.classes[request_class]
        return [
            view
            for view in self.ready()
            if (not requirements.allowed_zones or view.entry.zone in requirements.allowed_zones)
            and (not requirements.allowed_kinds or view.entry.kind in requirements.allowed_kinds)
            and (not requirements.zone_local or zone in (None, view.entry.zone))
        ]

    def available_share(self, view: ServerView, now: float) -> float:
        """Return the share of its capacity that a server has; it is below 1 while the server is warming up."""
        return self.slow_start.available_share(view.entry, now)

    def is_warm(self, view: ServerView, now: float) -> bool:
        """Return whether a server has its full capacity."""
        return self.slow_start.available_share(view.entry, now) >= 1.0

    def is_healthy(self, view: ServerView, now: float) -> bool:
        """Return whether a server is warm and not ejected; it may still be draining."""
        return self.is_warm(view, now) and not view.is_ejected(now)

    def ready_servers(self, now: float) -> ReadyServers:
        """Return the ready servers, and those of them that are warming up or ejected."""
        ready = self.ready()
        uncapped = {view.entry.server for view in ready if not self.is_healthy(view, now)}
        return ReadyServers([view.entry.server for view in ready], uncapped)
