"""The policy's view of each connected proxy."""

from __future__ import annotations

from dataclasses import dataclass, field

from stackwheel.policy.tables import TableGroup


@dataclass(slots=True)
class ProxyView:
    """A connected proxy.

    Attributes:
        zone: index of the proxy's zone.
        demand: moving average of the requests per second that the proxy reports, by class.
        announced_rates: requests per second by class that the proxy announced when it joined; 0 after the first
            report of the class.
        has_reported: whether the proxy has sent a demand report.
        joined_at: time at which the proxy joined, ms.
        group: table group whose tables the proxy uses; an empty group until tables are assigned.
    """

    zone: int
    demand: list[float]
    announced_rates: list[float]
    joined_at: float = 0.0
    has_reported: bool = False
    group: TableGroup = field(default_factory=lambda: TableGroup([]))
