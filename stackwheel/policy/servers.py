"""What the policy knows of each server: the records, and which servers a class may use."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from stackwheel.interface import Availability, EndpointEntry, ServerId, Settings
from stackwheel.policy.slow_start import SlowStart

Rates: TypeAlias = dict[ServerId, float]
"""Requests a second, shares or weights by server."""

MAX_ENDPOINT_WEIGHT = 1e6
"""An entry's weight over this, or under its reciprocal, is not usable: the server counts as one of size 1."""


class ZoneReport(NamedTuple):
    """What the newest load report of a zone's proxies measured at a server, as long as it is valid."""

    valid_until: float
    latency_ms: float
    """With failed attempts counted as slow ones, unless they stand beside quick answers."""
    attempts_per_s: float
    answers_per_s: float


@dataclass(slots=True)
class ServerView:
    """One server: its endpoint entry, and the averages over its reports. Times are ms, rates per second."""

    entry: EndpointEntry
    capacity: float = 0.0
    """Requests a second that it can do when warm; 0 while nothing is known."""
    inclusion_threshold: float = 1.0
    """Drawn once: decides whether a share below the least one is kept, as a part of the least share."""

    # from load reports of our proxies, by their zone
    attempt_rates: dict[int, float] = field(default_factory=dict)
    latency_by_zone: dict[int, float] = field(default_factory=dict)
    zone_reports: dict[int, ZoneReport] = field(default_factory=dict)

    # from the same, over all zones
    latency: float | None = None
    """Failed attempts count as slow ones; None: never reported."""
    success_latency: float | None = None
    """Of good answers alone."""
    failure_share: float = 0.0

    # from its own load columns, in load reports and health checks
    load: dict[str, float] = field(default_factory=dict)
    load_checked_at: float = -math.inf
    """When a health check last brought its load, or showed that it takes no more."""
    is_saturated: bool = False
    """Whether that health check was rejected or timed out."""
    health_check_sent_at: float = -math.inf

    # outlier ejection
    ejected_until: float = 0.0
    """0: never ejected, or taken back since."""
    ejection_intervals: float = 0.0
    """Length of the last ejection; the next one lasts twice as long."""

    @property
    def attempt_rate(self) -> float:
        """Attempts a second of our proxies, over all zones."""
        return sum(self.attempt_rates.values())

    def is_ejected(self, now: float) -> bool:
        """Whether it is ejected as an outlier, and gets a trickle at most."""
        return self.ejected_until > now

    @property
    def nominal_size(self) -> float:
        """Its entry's weight where that is usable, else 1."""
        weight = self.entry.weight
        return weight if 1 / MAX_ENDPOINT_WEIGHT < weight < MAX_ENDPOINT_WEIGHT else 1.0


class ReadyServers(NamedTuple):
    """The servers that tables may hold, as of now."""

    servers: list[ServerId]
    uncapped: set[ServerId]
    """Those of them that are warming up or ejected: their weights take new values at once, without steps."""


class ServerPool:
    """All servers of the endpoint list, by id, and what the decisions ask about them."""

    def __init__(self, settings: Settings) -> None:
        self.classes = settings.classes
        self.slow_start = SlowStart(settings)
        self.views: dict[ServerId, ServerView] = {}

    def ready(self) -> list[ServerView]:
        """The servers that may get requests."""
        return [view for view in self.views.values() if view.entry.availability is Availability.READY]

    def allowed_servers(self, request_class: int, zone: int | None = None) -> list[ServerView]:
        """The ready servers that may serve a class, of proxies in a zone or in any."""
        wanted = self.classes[request_class]
        return [
            view
            for view in self.ready()
            if (not wanted.allowed_zones or view.entry.zone in wanted.allowed_zones)
            and (not wanted.allowed_kinds or view.entry.kind in wanted.allowed_kinds)
            and (not wanted.zone_local or zone in (None, view.entry.zone))
        ]

    def available_share(self, view: ServerView, now: float) -> float:
        """The share of its capacity that a server surely has by now; under 1 while it is warming up."""
        return self.slow_start.available_share(view.entry, now)

    def is_warm(self, view: ServerView, now: float) -> bool:
        """Whether a server surely has all of its capacity."""
        return self.slow_start.available_share(view.entry, now) >= 1.0

    def is_healthy(self, view: ServerView, now: float) -> bool:
        """Whether a server, if it is ready, can take any share at once: warm and not ejected."""
        return self.is_warm(view, now) and not view.is_ejected(now)

    def ready_servers(self, now: float) -> ReadyServers:
        """The ready servers by id, and those of them that are not healthy."""
        ready = self.ready()
        uncapped = {view.entry.server for view in ready if not self.is_healthy(view, now)}
        return ReadyServers([view.entry.server for view in ready], uncapped)
