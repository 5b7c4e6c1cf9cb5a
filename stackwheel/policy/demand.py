"""Demand: requests per second that the proxies of this planner receive, by zone and request class."""

from __future__ import annotations

import math
from typing import NamedTuple

from stackwheel.interface import DemandReport, ProxyJoined, Settings
from stackwheel.policy.arithmetic import MAX_RATE_PER_S, clamp, exponential_average
from stackwheel.policy.plausibility import MAX_GROWTH, FigureLimiter, rate_allowance
from stackwheel.policy.proxies import ProxyView

DEMAND_GAIN = 0.5
"""Smoothing factor of request rates, per report of a proxy and per slot."""

ANNOUNCED_RATE_INTERVALS = 8.0
"""Number of report intervals for which the rate that a joining proxy announces is used until it sends reports."""

NEGLIGIBLE_DEMAND_SHARE = 0.05
"""Share of the demand of a class that one report may add in any case, because it hardly changes the allocation."""

MIN_DEMAND_PER_S = 1e-3
"""Demand, requests per second, that replaces lower values in order to avoid divisions by zero."""


class DemandKey(NamedTuple):
    """A zone and a request class, for which demand is allocated and tables are created."""

    zone: int
    request_class: int


class DemandCounter:
    """Counts the requests of one class that the proxies of a zone report.

    Attributes:
        requests: number of requests reported since the last update of the rate.
        rate: moving average of the requests per second.
    """

    __slots__ = ("rate", "requests")

    def __init__(self) -> None:
        self.requests = 0.0
        self.rate = 0.0


class DemandTracker:
    """Estimates demand from the requests that proxies report in each slot and from the rates that they announce.

    Attributes:
        counters: counters by zone, and by request class.
        reporting_proxies: number of connected proxies that have sent a report.
        last_count_at: time of the last update of the rates, ms; before the first update, the start of the first
            report's window, or 0 without any report.
    """

    def __init__(self, settings: Settings, proxies: dict[int, ProxyView], limiter: FigureLimiter) -> None:
        self.proxies = proxies
        self.limiter = limiter
        self.zones = range(settings.zone_count)
        self.classes = range(len(settings.classes))
        self.announced_rate_ttl_ms = ANNOUNCED_RATE_INTERVALS * settings.report_interval
        self.rate_allowance = rate_allowance(settings.report_interval)
        self.counters: dict[int, list[DemandCounter]] = {}
        self.reporting_proxies = 0
        self.last_count_at = 0.0

    def zone_counters(self, zone: int) -> list[DemandCounter]:
        """Return the counters of a zone by request class, and create them if necessary."""
        if zone not in self.counters:
            self.counters[zone] = [DemandCounter() for _ in self.classes]
        return self.counters[zone]

    def create_proxy_view(self, event: ProxyJoined, now: float) -> ProxyView:
        """Create the view of a joining proxy; its announced rate is divided evenly among the classes."""
        rate = self.limit_announced_rate(clamp(event.expected_rate, 0.0, MAX_RATE_PER_S))
        even_rates = [rate / max(1, len(self.classes)) for _ in self.classes]
        return ProxyView(event.zone, even_rates, [*even_rates], now)

    def limit_announced_rate(self, announced_per_s: float) -> float:
        """Return the rate that a joining proxy announces, limited according to the average of the reporting proxies.

        It is not limited while no connected proxy has sent a report.
        """
        if not self.reporting_proxies:
            return announced_per_s
        reported_per_s = sum(counter.rate for counters in self.counters.values() for counter in counters)
        allowance = max(self.rate_allowance, NEGLIGIBLE_DEMAND_SHARE * reported_per_s)
        average_per_s = reported_per_s / self.reporting_proxies
        return self.limiter.limit(announced_per_s, MAX_GROWTH * average_per_s + allowance)

    def subtract_proxy(self, proxy: ProxyView) -> None:
        """Subtract the demand of a proxy that has left from the classes for which it has sent reports."""
        if proxy.has_reported:
            self.reporting_proxies -= 1
        for counter, rate, announced_rate in zip(
            self.zone_counters(proxy.zone), proxy.demand, proxy.announced_rates, strict=True
        ):
            counter.rate = max(0.0, counter.rate - (0.0 if announced_rate else rate))

    def record(self, report: DemandReport, now: float) -> None:
        """Add the plausible requests of a report to the counters.

        The proxy's announced rate for its class becomes part of the estimated rate.
        """
        proxy = self.proxies.get(report.proxy)
        request_class = report.request_class
        if proxy is None or not 0 < report.window < math.inf or request_class not in self.classes:
            return
        reported_rate = report.requests * 1000.0 / report.window
        if not proxy.has_reported:
            proxy.has_reported = True
            self.reporting_proxies += 1
        share = self.plausible_share(report, reported_rate, proxy.demand[request_class])
        rate = min(MAX_RATE_PER_S, share * reported_rate)
        proxy.demand[request_class] = exponential_average(proxy.demand[request_class], rate, DEMAND_GAIN)
        self.last_count_at = self.last_count_at or now - report.window
        counter = self.zone_counters(proxy.zone)[request_class]
        counter.requests += share * report.requests
        counter.rate += proxy.announced_rates[request_class]
        proxy.announced_rates[request_class] = 0.0

    def plausible_share(self, report: DemandReport, reported_per_s: float, expected_per_s: float) -> float:
        """Return the share of a report's requests that is plausible.

        Args:
            report: the report of a proxy.
            reported_per_s: requests per second according to the report.
            expected_per_s: requests per second of the class according to earlier reports of the proxy.
        """
        usual_per_s = MAX_GROWTH * expected_per_s
        if reported_per_s <= usual_per_s + self.rate_allowance:
            return 1.0  # without the sum over all zones, which few reports need
        class_rate = sum(counters[report.request_class].rate for counters in self.counters.values())
        allowance = max(self.rate_allowance, NEGLIGIBLE_DEMAND_SHARE * class_rate)
        return self.limiter.limit(reported_per_s, usual_per_s + allowance) / reported_per_s

    def update_rates(self, now: float) -> None:
        """Update the rates from the requests since the last update; time without reports counts as no requests."""
        elapsed_ms = now - self.last_count_at
        self.last_count_at = now
        for counters in self.counters.values():
            for counter in counters:
                counter.rate = exponential_average(
                    counter.rate, counter.requests * 1000.0 / max(1.0, elapsed_ms), DEMAND_GAIN
                )
                counter.requests = 0.0

    def rates_by_class(self, now: float, zone: int | None = None) -> list[float]:
        """Return the requests per second by class, including announced rates that are still valid.

        Args:
            now: current time, ms.
            zone: index of the proxies' zone; None for all zones.
        """
        joined_after = now - self.announced_rate_ttl_ms
        valid_announced_rates = [
            proxy.announced_rates
            for proxy in self.proxies.values()
            if zone in (None, proxy.zone) and proxy.joined_at > joined_after
        ]
        rates = [[counter.rate for counter in self.zone_counters(z)] for z in self.zones if zone in (None, z)]
        return [sum(class_rates) for class_rates in zip(*rates, *valid_announced_rates, strict=True)]

    def total_rate(self, now: float) -> float:
        """Return the requests per second of all proxies and classes."""
        return sum(self.rates_by_class(now))
