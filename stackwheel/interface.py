"""The policy's interface: settings, events and actions in the field's words.

Types only. `policy/planner.py` decides on these; an adapter (such as `simulator`) translates them to and from a
protocol. Times are milliseconds on the planner's clock; rates are per second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, NewType, TypeAlias

Server = NewType("Server", bytes)  # an opaque id: compare it, sort it, give it back unchanged


class Availability(IntEnum):
    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    CACHED = 0  # the whole list as last held, perhaps old
    DELTA = 1
    FULL = 2
    FAILED = 3  # a call failed or the subscription broke; the old list stands


class Retry(IntEnum):
    NEVER = 0
    ONCE_IF_NOT_EXECUTED = 1  # only after proof that the first try never ran
    ONCE = 2
    TWICE = 3


class HealthCheckOutcome(IntEnum):
    """How a probe ended; other figures that an adapter may give count as an error."""

    ERROR = 0
    OK = 1
    REJECTED = 2  # by a server that is full, draining or probed too often at once
    TIMEOUT = 3  # in time
    UNREACHABLE = 4
    RESET = 5


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str = ""
    latency_objective: float = 1000.0
    deadline: float = 3000.0
    priority_weight: float = 1.0
    idempotency: str = "once"  # repeatable, by_key or once
    deduplication_scope: str = "all"  # which servers drop a repeat: all, zone or cell
    idempotency_key_ttl: float = 0.0
    allowed_zones: tuple[int, ...] = ()  # empty: every zone
    allowed_kinds: tuple[int, ...] = ()  # empty: every kind
    zone_local: bool = False  # only servers in the proxy's own zone


@dataclass(frozen=True, slots=True)
class Settings:
    planner_index: int = 0
    planner_count: int = 1
    home_zone: int = 0
    zones: int = 1
    classes: tuple[RequestClass, ...] = ()
    load_columns: tuple[str, ...] = ()
    endpoint_weights_enabled: bool = False
    endpoint_list_on_request: bool = False
    list_poll_deadline: float = 10000.0
    gossip_enabled: bool = False
    health_checks_enabled: bool = False
    cross_zone_cost: float = 0.0
    proxy_count: int = 1
    report_interval: float = 1000.0
    message_overhead: float = 0.0  # lines each message costs besides its own
    channel_rate: float = 1000.0
    queue_limit: float = 1000.0  # lines that may wait in the channel; 0: no such limit
    message_cap: int = 0  # messages to one proxy within message_window; 0: no such limit
    message_window: float = 10000.0
    max_unserved_time: float = 5000.0
    transit_time: float = 300.0
    admission_mode: str = "off"  # share, rate or off
    load_balancing_policy: str = "weighted"  # weighted, round or two
    default_retry: Retry = Retry.ONCE_IF_NOT_EXECUTED
    retry_factor: float = 1.0
    consecutive_failure_limit: int = 0  # failures in a row after which a proxy avoids a server for a while; 0: never
    key_range_count: int = 0  # 0: tables are bound to proxies; else a table per slice
    exclusive_key_ranges: bool = False
    drain_grace: float = 2000.0
    removal_is_advisory: bool = False
    slow_start_min_share: float = 0.2
    slow_start_duration: float = 10000.0
    overload_multiple: float = 2.0
    overload_duration: float = 2000.0


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    server: Server
    zone: int
    kind: int
    cell: int
    availability: Availability
    weight: float
    started_at: float  # 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    kind: UpdateKind
    version: int
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    server: Server
    outcome: int  # of Probed
    elapsed: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    proxy: int
    zone: int
    expected_rate: float
    newly_started: bool  # it holds only its standing tables


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    proxy: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    proxy: int
    nonce: int
    elapsed: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the joined proxies of one zone met at a server."""

    zone: int
    server: Server
    attempts: int
    failures: int
    mean_latency: float  # of the good answers
    window: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Requests of a class that came to a proxy."""

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class KeyRangeDemand:
    table: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class KeyRangeGranted:
    table: int
    granted: bool


@dataclass(frozen=True, slots=True)
class KeyRangeWeight:
    table: int
    server: Server
    weight: float


Event: TypeAlias = (
    EndpointUpdate
    | TimerFired
    | HealthCheckResult
    | GossipReceived
    | ProxyJoined
    | ProxyLeft
    | Acknowledged
    | LoadReport
    | DemandReport
    | KeyRangeDemand
    | KeyRangeGranted
    | KeyRangeWeight
)


@dataclass(frozen=True, slots=True)
class SetWeight:
    table: int
    server: Server
    weight: float  # 0 removes the line


@dataclass(frozen=True, slots=True)
class AssignTable:
    """Put a joined proxy on a table, whole, for some classes."""

    proxy: int
    table: int
    classes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ClearTable:
    table: int


@dataclass(frozen=True, slots=True)
class SetEjection:
    server: Server
    ejected: bool


class AdmissionLevel(NamedTuple):
    """How much of a class is admitted, and when a failed attempt may be retried."""

    admitted: float  # share of requests, or requests per second and proxy where the admission mode is "rate"
    retry: Retry


@dataclass(frozen=True, slots=True)
class SetAdmission:
    table: int
    classes: tuple[int, ...]
    level: float
    retry: Retry


@dataclass(frozen=True, slots=True)
class AttachNonce:
    nonce: int
    to_all_proxies: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    server: Server


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    pass


@dataclass(frozen=True, slots=True)
class SendGossip:
    payload: bytes
    peer: int | None = None  # None: all


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action: TypeAlias = (
    SetWeight
    | AssignTable
    | ClearTable
    | SetEjection
    | SetAdmission
    | AttachNonce
    | SetTimer
    | StartHealthCheck
    | WatchEndpoints
    | FetchEndpoints
    | SendGossip
    | Log
)
