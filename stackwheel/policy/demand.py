"""Demand: the requests a second that proxies get, by zone and class."""

from __future__ import annotations

import math
from typing import NamedTuple

from stackwheel.interface import DemandReport, ProxyJoined, Settings
from stackwheel.policy.arithmetic import MAX_RATE_PER_S, blend, bounded
from stackwheel.policy.proxies import ProxyView

DEMAND_GAIN = 0.5
"""Step of a rate to its newest count."""

PROMISE_INTERVALS = 8.0
"""Report intervals for which a proxy that joined counts with the rate it announced, unless it reports sooner."""

MIN_DEMAND_PER_S = 1e-3
"""Where demand is divided by, or shares are made of it, none counts as this."""


class DemandKey(NamedTuple):
    """What demand is placed for, and a table made for: a class of the proxies of a zone."""

    zone: int
    request_class: int


class DemandCounter:
    """The requests of one class that a zone's proxies reported.

    Attributes:
        requests: since the last count.
        rate: a second, averaged over counts.
    """

    __slots__ = ("rate", "requests")

    def __init__(self) -> None:
        self.requests = 0.0
        self.rate = 0.0


class DemandTracker:
    """Counts reported requests from slot to slot, and adds what proxies that joined have announced."""

    def __init__(self, settings: Settings, proxies: dict[int, ProxyView]) -> None:
        self.proxies = proxies
        self.zones = range(settings.zone_count)
        self.classes = range(len(settings.classes))
        self.promise_ms = PROMISE_INTERVALS * settings.report_interval
        self.counters: dict[int, list[DemandCounter]] = {}
        """By zone; a counter for each class."""
        self.counted_at = 0.0
        """When requests were last counted, or the first report's time began; 0 before that."""

    def zone_counters(self, zone: int) -> list[DemandCounter]:
        """A zone's counters, by class."""
        if zone not in self.counters:
            self.counters[zone] = [DemandCounter() for _ in self.classes]
        return self.counters[zone]

    def joined(self, event: ProxyJoined, now: float) -> ProxyView:
        """The view of a proxy that joined: it counts with the rate it announces, even over classes."""
        rate = bounded(event.expected_rate, 0.0, MAX_RATE_PER_S)
        by_class = [rate / max(1, len(self.classes)) for _ in self.classes]
        return ProxyView(event.zone, by_class, [*by_class], now)

    def left(self, proxy: ProxyView) -> None:
        """Take off the part of a proxy that left, of the classes that it has reported."""
        for counter, rate, promised in zip(self.zone_counters(proxy.zone), proxy.demand, proxy.promised, strict=True):
            counter.rate = max(0.0, counter.rate - (0.0 if promised else rate))

    def record(self, report: DemandReport, now: float) -> None:
        """Count a report; what a proxy announced for that class turns into what it has."""
        proxy = self.proxies.get(report.proxy)
        request_class = report.request_class
        if proxy is None or not 0 < report.window < math.inf or request_class not in self.classes:
            return
        rate = min(MAX_RATE_PER_S, report.requests * 1000.0 / report.window)
        proxy.demand[request_class] = blend(proxy.demand[request_class], rate, DEMAND_GAIN)
        self.counted_at = self.counted_at or now - report.window
        counter = self.zone_counters(proxy.zone)[request_class]
        counter.requests += report.requests
        counter.rate += proxy.promised[request_class]
        proxy.promised[request_class] = 0.0

    def count(self, now: float) -> None:
        """Turn what was reported since the last count into rates; time without a report counts as none."""
        elapsed_ms = now - self.counted_at
        self.counted_at = now
        for counters in self.counters.values():
            for counter in counters:
                counter.rate = blend(counter.rate, counter.requests * 1000.0 / max(1.0, elapsed_ms), DEMAND_GAIN)
                counter.requests = 0.0

    def by_class(self, now: float, zone: int | None = None) -> list[float]:
        """Requests a second by class, of a zone's proxies or of all: reported ones, and promises still kept."""
        promised_since = now - self.promise_ms
        promises = [
            proxy.promised
            for proxy in self.proxies.values()
            if zone in (None, proxy.zone) and proxy.joined_at > promised_since
        ]
        rates = [[counter.rate for counter in self.zone_counters(z)] for z in self.zones if zone in (None, z)]
        return [sum(of_class) for of_class in zip(*rates, *promises, strict=True)]

    def total(self, now: float) -> float:
        """Requests a second of all proxies."""
        return sum(self.by_class(now))
