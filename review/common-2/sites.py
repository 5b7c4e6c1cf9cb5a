"""Settings of further deployments, with the figures of their briefs and site files."""

from __future__ import annotations

from typing import Any

import fleet


def use_names(zones: list[str], classes: list[str]) -> None:
    """Let the stand-ins use the zones and classes of a deployment."""
    fleet.ZONES[:] = zones
    fleet.CLASSES[:] = classes


def houston(transit_ms: float = 400.0) -> dict[str, Any]:
    """Return the settings of houston-quotes: 2 planners, 12 proxies, discovery that pushes, no cap on messages."""
    use_names(["katy", "pasadena", "spring"], ["rate-lookup", "book-load"])
    document = fleet.settings()
    document["zones"] = ["katy", "pasadena", "spring"]
    document["instances"] = 2
    document["discovery"] = "pushed"
    document["kinds"] = ["std-3"]
    document["bounds"] |= {"probes": False}
    document["load_report"] = {"columns": ["utilization", "outstanding", "recent_ms"], "source": "inline"}
    document["services"] = [
        {"name": "rate-lookup", "target": 1500.0, "deadline": 5000.0, "worth": 2.0, "effect": "repeatable",
         "group": "all", "key_ttl": 5000.0, "late_share": 0.1},
        {"name": "book-load", "target": 2000.0, "deadline": 6000.0, "worth": 6.0, "effect": "by_key",
         "group": "all", "key_ttl": 4000.0, "late_share": 0.1},
    ]  # fmt: skip
    document["family_info"] |= {
        "agents": 12, "backlog": 6000.0, "by_zone": False, "channel_rate": 3000.0, "default_size": 5,
        "level_kind": "rate", "mutating": [False, True], "overhead": 6.0, "transit": transit_ms, "update_cap": 0,
        "zone_bound": [False, False], "ingest_rate": 300.0,
    }  # fmt: skip
    document["obligations"] = {"cold": 18000.0, "cold_share": 0.22, "drain_grace": 2000.0, "fall_multiple": 2.5,
                               "overload_for": 3000.0}  # fmt: skip
    return document


def gulf() -> dict[str, Any]:
    """Return the settings of gulf-records: 2 planners, 24 proxies, reports every 2 s, 10 messages in 10 s."""
    use_names(["harbor", "inland"], ["doc-find", "doc-file"])
    document = fleet.settings()
    document["zones"] = ["harbor", "inland"]
    document["instances"] = 2
    document["services"] = [
        {"name": "doc-find", "target": 800.0, "deadline": 2500.0, "worth": 1.0, "effect": "repeatable",
         "group": "all", "key_ttl": 5000.0, "late_share": 0.3},
        {"name": "doc-file", "target": 1500.0, "deadline": 4500.0, "worth": 8.0, "effect": "once",
         "group": "all", "key_ttl": 5000.0, "late_share": 0.1},
    ]  # fmt: skip
    document["deductions"] |= {"cross_zone": 0.05}
    document["family_info"] |= {
        "agents": 24, "backlog": 3450.0, "channel_rate": 2300.0, "cycle": 2000.0, "mutating": [False, True],
        "order_price": 0.05, "transit": 500.0, "update_cap": 10, "zone_bound": [False, False],
    }  # fmt: skip
    document["obligations"] |= {"drain_grace": 2200.0}
    return document
