"""The shape of a simulated deployment: the number of machines of each kind, their zones, and the settings that vary.

`rename` gives the names of fields in stored scripts.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from stackwheel.interface import AdmissionMode, DeduplicationScope, Idempotency, LoadBalancingPolicy

NameList = tuple[str, ...]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0, le=100000)]
Positive = Annotated[float, Meta(gt=0)]

MACHINE_KINDS = ("planner", "proxy", "server", "relay")
KIND_OF_GROUP = {"planners": "planner", "proxies": "proxy", "servers": "server", "relays": "relay"}

STORED_CLASS_FIELDS = {
    "latency_objective": "aim",
    "priority_weight": "worth",
    "idempotency": "effect",
    "deduplication_scope": "group",
    "idempotency_key_ttl": "key_window",
    "zone_local": "zone_bound",
}
STORED_SHAPE_FIELDS = {
    "utilization": "use",
    "standing_table_size": "start_lines",
    "report_interval": "cycle",
    "queue_limit": "backlog",
    "message_cap": "cap",
    "message_overhead": "overhead",
    "transit_time": "transit",
    "max_unserved_time": "unserved_max",
    "removal_is_advisory": "only_draining_binds",
    "slow_start_duration": "cold",
    "slow_start_min_share": "cold_share",
    "overload_multiple": "fall_multiple",
    "overload_duration": "overload_for",
    "list_poll_deadline": "ask_within",
    "load_balancing_policy": "pick",
    "admission_mode": "admission",
    "consecutive_failure_limit": "strikes",
    "default_retry": "usual_retry",
    "endpoint_list_on_request": "on_request",
    "gossip_enabled": "peers",
    "health_checks_enabled": "probes",
    "load_columns_enabled": "reports",
    "receive_window": "window",
    "zone_latency": "latency",
    "cross_zone_latency": "between",
}


class ScriptClass(Struct, frozen=True, forbid_unknown_fields=True, rename=STORED_CLASS_FIELDS):
    """A request class. Fields without a description here are those of `RequestClass`; times are in ms.

    Attributes:
        share: Share of all requests.
        work: CPU time of one request on a core of speed 1.
    """

    name: str
    share: Share
    work: Positive
    latency_objective: Positive = 500.0
    deadline: Positive = 1200.0
    priority_weight: Positive = 1.0
    idempotency: Idempotency = "repeatable"
    deduplication_scope: DeduplicationScope = "all"
    idempotency_key_ttl: float = 3000.0
    zone_local: bool = False


class Shape(Struct, frozen=True, forbid_unknown_fields=True, rename=STORED_SHAPE_FIELDS):
    """A deployment: the number of its machines, and the settings that vary between trials.

    Fields without a description here are those of `Settings`. Times are in ms; sizes and rates of the channel are in
    lines and lines per second.

    Attributes:
        cores: Cores of each server.
        utilization: Demand as a share of the capacity of all servers.
        standing_table_size: Number of servers in the table that a proxy starts with.
        load_columns_enabled: Whether servers report how many requests are in flight.
        files: Whether proxies receive files instead of streams.
        relays: Number of relays between discovery and planners; with 0, planners call discovery themselves.
        receive_window: Maximum number of unread bytes of a connection before its sender has to wait.
        client_retries: Number of times that a client repeats a failed request.
        zone_latency: One-way network latency within a zone.
        cross_zone_latency: One-way network latency between zones.
    """

    planners: Annotated[int, Meta(ge=1, le=16)] = 2
    zones: Annotated[int, Meta(ge=1, le=16)] = 2
    proxies: Annotated[int, Meta(ge=1, le=5000)] = 8
    servers: Annotated[int, Meta(ge=1, le=2000)] = 8
    classes: Annotated[tuple[ScriptClass, ...], Meta(min_length=1, max_length=8)] = (
        ScriptClass("read", 0.7, 120.0),
        ScriptClass("write", 0.3, 240.0, 1000.0, 3000.0, 5.0, "once"),
    )
    cores: Annotated[int, Meta(ge=1, le=64)] = 1
    utilization: Annotated[float, Meta(gt=0, le=5)] = 0.5
    standing_table_size: Annotated[int, Meta(ge=1, le=64)] = 6
    report_interval: Positive = 1000.0
    channel_rate: Positive = 3000.0
    queue_limit: float = 6000.0
    message_cap: Count = 0
    message_overhead: float = 4.0
    transit_time: Positive = 150.0
    max_unserved_time: Positive = 7000.0
    drain_grace: Positive = 3000.0
    removal_is_advisory: bool = False
    slow_start_duration: Positive = 12000.0
    slow_start_min_share: Annotated[float, Meta(gt=0, le=1)] = 0.22
    overload_multiple: Positive = 3.0
    overload_duration: Positive = 3000.0
    list_poll_deadline: Positive = 10000.0
    load_balancing_policy: LoadBalancingPolicy = "two"
    admission_mode: AdmissionMode = "share"
    consecutive_failure_limit: Count = 0
    default_retry: Annotated[int, Meta(ge=0, le=3)] = 1
    endpoint_list_on_request: bool = True
    gossip_enabled: bool = True
    health_checks_enabled: bool = True
    load_columns_enabled: bool = True
    files: bool = False
    relays: Annotated[int, Meta(ge=0, le=2)] = 0
    receive_window: Annotated[int, Meta(ge=1024, le=1 << 20)] = 128 * 1024
    client_retries: Annotated[int, Meta(ge=0, le=5)] = 2
    zone_latency: Positive = 0.5
    cross_zone_latency: Positive = 2.0


def machine_count(shape: Shape, kind: str) -> int:
    """Return the number of machines of a kind, one of `MACHINE_KINDS`, in a shape."""
    counts = {"planner": shape.planners, "proxy": shape.proxies, "server": shape.servers, "relay": shape.relays}
    return counts[kind]


def zone_of(number: int, shape: Shape) -> int:
    """Return the zone of a machine; the machines of each kind are assigned to zones in rotation."""
    return number % shape.zones


def machine_numbers(names: NameList, shape: Shape, kind: str) -> list[int]:
    """Return the numbers of the machines of a kind that match the names, in the order of the names.

    Args:
        names: `KIND-N` for one machine, `zone-N` for all machines in a zone, or a group such as `proxies`.
        shape: The deployment.
        kind: One of `MACHINE_KINDS`; names of other kinds match no machine.
    """
    count = machine_count(shape, kind)
    numbers: dict[int, None] = {}
    for name in names:
        prefix, _, suffix = name.partition("-")
        if name in KIND_OF_GROUP:
            if KIND_OF_GROUP[name] == kind:
                numbers.update(dict.fromkeys(range(count)))
        elif prefix == "zone" and suffix.isdecimal():
            zone = int(suffix)
            numbers.update(dict.fromkeys(number for number in range(count) if zone_of(number, shape) == zone))
        elif prefix == kind and suffix.isdecimal() and int(suffix) < count:
            numbers[int(suffix)] = None
    return list(numbers)


def machine_names(names: NameList, shape: Shape) -> list[str]:
    """Return the names of all machines that match the names, including discovery and collectors."""
    machines = {f"{kind}-{number}": None for kind in MACHINE_KINDS for number in machine_numbers(names, shape, kind)}
    for name in names:
        prefix, _, suffix = name.partition("-")
        if name == "discovery" or prefix == "collector":
            machines[name] = None
        elif prefix == "zone":
            machines[f"collector-{suffix}"] = None
    return list(machines)
