"""What the policy knows of each proxy that joined."""

from __future__ import annotations

from dataclasses import dataclass, field

from stackwheel.policy.tables import TableGroup


@dataclass(slots=True)
class ProxyView:
    """A proxy whose stream is open. Rates are requests a second, by class."""

    zone: int
    demand: list[float]
    """Averaged over the report intervals that had any request."""
    promised: list[float]
    """What it announced when it joined; 0 for a class once it has reported that."""
    joined_at: float = 0.0
    group: TableGroup = field(default_factory=lambda: TableGroup([]))
    """Whose tables it uses; an empty group while it has none of ours."""
