"""Settings of a real planner in a run or sweep, encoded as in the `settings` object of its configuration."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """The settings of a request class; those without a field have the values of `examples/config.json`."""

    name: str
    priority_weight: float = 1.0
    idempotency: str = "repeatable"  # a value of the setting `effect`

    def document(self) -> dict[str, object]:
        """Return the request class as an entry of `settings.services`."""
        return {
            "name": self.name,
            "target": 500.0,
            "deadline": 1200.0,
            "worth": self.priority_weight,
            "effect": self.idempotency,
            "group": "all",
            "key_ttl": 5000.0,
        }


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """The settings that differ between runs and sweeps; all others are as in `examples/config.json`. Times in ms."""

    zones: Sequence[str]
    kinds: Sequence[str]
    classes: Sequence[RequestClassSettings]
    proxies: int
    planners: int = 1
    zone: int = 0
    list_on_request: bool = True
    load_source: str = "inline"
    gossip: bool = True
    health_checks: bool = True
    cross_zone_cost: float = 0.0
    report_interval: float = 1000.0
    message_cap: int = 0
    slow_start_duration: float = 0.0
    slow_start_min_share: float = 0.0

    def document(self) -> dict[str, object]:
        """Return the object `settings` of the configuration of a planner, which is number 0 of its peer planners."""
        return {
            "me": 0,
            "instances": self.planners,
            "zone": self.zone,
            "zones": list(self.zones),
            "kinds": list(self.kinds),
            "tick": 2.0,
            "weight_kind": "off",
            "discovery": "on_request" if self.list_on_request else "pushed",
            "load_report": {"columns": ["outstanding"], "source": self.load_source},
            "bounds": {"peers": self.gossip, "probes": self.health_checks},
            "deductions": {"cross_zone": self.cross_zone_cost},
            "services": [request_class.document() for request_class in self.classes],
            "family_info": self._family_info(),
            "obligations": self._obligations(),
        }

    def _family_info(self) -> dict[str, object]:
        return {
            "agents": self.proxies,
            "backlog": 4500.0,
            "channel_rate": 3000.0,
            "cycle": self.report_interval,
            "exclusive": False,
            "key_ranges": 0,
            "lb_method": "two",
            "level_kind": "share",
            "messages_over": 10000.0,
            "overhead": 4.0,
            "strikes": 0,
            "transit": 150.0,
            "try_factor": 0.8,
            "unserved_max": 7000.0,
            "update_cap": self.message_cap,
            "usual_how": 1,
            "zone_bound": [False for _ in self.classes],
        }

    def _obligations(self) -> dict[str, object]:
        return {
            "ask_within": 10000.0,
            "cold": self.slow_start_duration,
            "cold_share": self.slow_start_min_share,
            "drain_grace": 3000.0,
            "fall_multiple": 4.0,
            "only_draining_binds": False,
            "overload_for": 3000.0,
        }
