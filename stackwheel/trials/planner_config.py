"""The configuration of a simulated planner: its settings and its deploy file."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackwheel.interface import Settings
from stackwheel.settings import load_settings
from stackwheel.trials.shape import ScriptClass, Shape

START_UNIX_TIME_S = 1_800_000_000.0
LISTEN_PORT = 8081
GOSSIP_PORT = 7946
MULTICAST_HOST = "10.3.255.1"
MAX_CONNECTIONS = 1024
PLANNER_SEED_FACTOR = 1000  # planners of different trials have different seeds
SEEDS_PER_INCARNATION = 16  # the maximum number of planners in a trial


def planner_host(number: int) -> str:
    """Return the host address of a planner."""
    return f"10.0.0.{number + 1}"


def class_document(request_class: ScriptClass) -> dict[str, Any]:
    """Return the settings of a request class."""
    return {
        "name": request_class.name,
        "target": request_class.latency_objective,
        "deadline": request_class.deadline,
        "worth": request_class.priority_weight,
        "effect": request_class.idempotency,
        "group": request_class.deduplication_scope,
        "key_ttl": request_class.idempotency_key_ttl,
    }


def family_document(shape: Shape) -> dict[str, Any]:
    """Return the settings of the update channel and of the forwarding proxies."""
    return {
        "agents": shape.proxies,
        "backlog": shape.queue_limit,
        "channel_rate": shape.channel_rate,
        "cycle": shape.report_interval,
        "exclusive": False,
        "key_ranges": 0,
        "lb_method": shape.load_balancing_policy,
        "level_kind": shape.admission_mode,
        "messages_over": 10000.0,
        "overhead": shape.message_overhead,
        "strikes": shape.consecutive_failure_limit,
        "transit": shape.transit_time,
        "try_factor": 0.8,
        "unserved_max": shape.max_unserved_time,
        "update_cap": shape.message_cap,
        "usual_how": shape.default_retry,
        "zone_bound": [request_class.zone_local for request_class in shape.classes],
    }


def obligations_document(shape: Shape) -> dict[str, Any]:
    """Return the settings of the obligations of planners."""
    return {
        "ask_within": shape.list_poll_deadline,
        "cold": shape.slow_start_duration,
        "cold_share": shape.slow_start_min_share,
        "drain_grace": shape.drain_grace,
        "fall_multiple": shape.overload_multiple,
        "only_draining_binds": shape.removal_is_advisory,
        "overload_for": shape.overload_duration,
    }


def settings_document(shape: Shape, zones: Sequence[str], number: int) -> dict[str, Any]:
    """Return the settings of a planner, with the keys that the settings file uses."""
    return {
        "me": number,
        "instances": shape.planners,
        "zone": number % shape.zones,
        "zones": list(zones),
        "kinds": ["kind-0", "kind-1"],
        "tick": 2.0,
        "weight_kind": "off",
        "discovery": "on_request" if shape.endpoint_list_on_request else "pushed",
        "load_report": {
            "columns": ["inflight"] if shape.load_columns_enabled else [],
            "source": "inline" if shape.load_columns_enabled else "off",
        },
        "bounds": {"peers": shape.gossip_enabled, "probes": shape.health_checks_enabled},
        "deductions": {"cross_zone": 0.1},
        "services": [class_document(request_class) for request_class in shape.classes],
        "family_info": family_document(shape),
        "obligations": obligations_document(shape),
    }


def simulated_settings(shape: Shape, zones: Sequence[str]) -> Settings:
    """Return the settings that the planners of a shape load."""
    return load_settings(settings_document(shape, zones, 0)).settings


def planner_document(
    shape: Shape,
    zones: Sequence[str],
    number: int,
    seed: int,
    incarnation: int,
    discovery_addresses: str,
    current_list: dict[str, object],
) -> dict[str, Any]:
    """Return the deploy file of a planner, with the keys that the file uses."""
    host = planner_host(number)
    return {
        "name": f"planner-{number}",
        "listen": f"{host}:{LISTEN_PORT}",
        "discovery": discovery_addresses,
        "seed": f"{seed * PLANNER_SEED_FACTOR + incarnation * SEEDS_PER_INCARNATION + number:x}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": MAX_CONNECTIONS},
        "peer_listen": f"{host}:{GOSSIP_PORT}",
        "peers": [f"{planner_host(peer)}:{GOSSIP_PORT}" for peer in range(shape.planners)],
        "peers_all": f"{MULTICAST_HOST}:{GOSSIP_PORT}",
        "known": current_list,
        "settings": settings_document(shape, zones, number),
    }
