"""The policy's interface: settings, events and actions in the terms of `docs/glossary.md`.

Types only. `policy/` decides on these; an adapter (`state`, `simulator`) translates them to and from a protocol.
Where nothing else is said, times and durations are milliseconds, points in time are Unix milliseconds on the
planner's clock, and rates are per second. Request classes, zones, kinds and load columns are named by their place
in the settings, from 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal, NamedTuple, NewType, TypeAlias

Server = NewType("Server", bytes)
"""An opaque id of a server: compare it, sort it, give it back unchanged."""


class Availability(IntEnum):
    """Whether an endpoint list offers a server; the values are those of the wire."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """How much an endpoint update says."""

    CACHED = 0
    """The complete list as this planner last had it; it may be out of date."""

    DELTA = 1
    """Only the entries that have changed."""

    FULL = 2
    """The complete list: a server that is missing has been removed."""

    FAILED = 3
    """A call failed or the watch ended; the list as known stays in force."""


class Retry(IntEnum):
    """When a proxy may retry a failed attempt; the values are those of the wire."""

    NEVER = 0
    ONCE_IF_NOT_EXECUTED = 1
    """Only after proof that the first attempt never ran."""

    ONCE = 2
    TWICE = 3


class HealthCheckOutcome(IntEnum):
    """How a health check ended; other values that an adapter may give count as an error."""

    ERROR = 0
    OK = 1
    REJECTED = 2
    """By a server that is full, draining or has too many health checks at once."""

    TIMEOUT = 3
    """No answer in time."""

    UNREACHABLE = 4
    """No connection."""

    RESET = 5
    """The connection was reset."""


Idempotency: TypeAlias = Literal["repeatable", "by_key", "once"]
"""Of a request class: idempotent, idempotent with a key, or not idempotent."""

DeduplicationScope: TypeAlias = Literal["all", "zone", "cell"]
"""Which servers drop a repeated key among themselves: all, those of a zone, or those of a cell."""

AdmissionMode: TypeAlias = Literal["share", "rate", "off"]
"""What an admission level states: a share of requests, requests per second and proxy, or nothing."""

LoadBalancingPolicy: TypeAlias = Literal["weighted", "round", "two"]
"""How a proxy chooses a server: at random by weight, round robin by weight, or the less loaded of two drawn so."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What a class of requests needs, and which servers may serve it.

    Attributes:
        name: its name in the settings and on the wire.
        latency_objective: ms within which an answer has its full value.
        deadline: ms after which an answer has no value.
        priority_weight: value of one request; the lowest is shed first.
        idempotency: whether an attempt may run twice.
        deduplication_scope: the servers that drop a repeated key among themselves.
        idempotency_key_ttl: ms for which a server remembers a key.
        allowed_zones: zones whose servers may serve it; empty: every zone.
        allowed_kinds: kinds of server that may serve it; empty: every kind.
        zone_local: whether only servers in the proxy's own zone may serve it.
    """

    name: str = ""
    latency_objective: float = 1000.0
    deadline: float = 3000.0
    priority_weight: float = 1.0
    idempotency: Idempotency = "once"
    deduplication_scope: DeduplicationScope = "all"
    idempotency_key_ttl: float = 0.0
    allowed_zones: tuple[int, ...] = ()
    allowed_kinds: tuple[int, ...] = ()
    zone_local: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What the planner is configured with, in groups.

    Attributes:
        planner_index: this planner's place among the planners.
        planner_count: planners of the deployment.
        home_zone: the zone that this planner runs in.
        zones: number of zones.
        classes: the request classes.
        load_columns: the figures of a server's own load, in the order in which reports give them.

        endpoint_weights_enabled: whether discovery states weights.
        endpoint_list_on_request: whether the planner has to ask for the endpoint list.
        list_poll_deadline: ms within which a planner without a watch has to ask for the list again.
        removal_is_advisory: whether only draining obliges the planner: a server dropped from the list may still
            be used.

        gossip_enabled: whether planners send each other gossip.
        health_checks_enabled: whether the planner may call servers.

        proxy_count: proxies of the deployment.
        report_interval: ms between two reports of a proxy, and the length of a slot.
        load_balancing_policy: how proxies choose among the lines of a table.
        default_retry: the retry mode where a table says nothing.
        retry_factor: time of one attempt as a multiple of the latency objective; the policy does not use it.
        consecutive_failure_limit: failures in a row after which a proxy avoids a server for a while; 0: never.
        admission_mode: what an admission level states.
        key_range_count: slices of the key space that have a table each; 0: tables are assigned to proxies.
        exclusive_key_ranges: whether one planner at a time owns a slice.

        message_overhead: lines that a message costs besides its own.
        channel_rate: lines per second that the channel to the proxies carries.
        queue_limit: lines that may wait in the channel; 0: no limit.
        message_cap: messages to one proxy within `message_window`; 0: no limit.
        message_window: ms over which `message_cap` counts.
        transit_time: ms that an update takes to a proxy.

        max_unserved_time: ms for which a proxy may have no server for a class.
        drain_grace: ms within which proxies have to stop sending to a draining server.
        slow_start_min_share: share of its capacity that a server has when it starts.
        slow_start_duration: ms until a started server has its full capacity.
        overload_multiple: multiple of its present capacity over which a server that warms up is overloaded.
        overload_duration: ms of such an overload after which the server fails.
        cross_zone_cost: price of a request that is served in another zone.
    """

    planner_index: int = 0
    planner_count: int = 1
    home_zone: int = 0
    zones: int = 1
    classes: tuple[RequestClass, ...] = ()
    load_columns: tuple[str, ...] = ()

    # The endpoint list.
    endpoint_weights_enabled: bool = False
    endpoint_list_on_request: bool = False
    list_poll_deadline: float = 10000.0
    removal_is_advisory: bool = False

    # What the planner may use besides reports.
    gossip_enabled: bool = False
    health_checks_enabled: bool = False

    # The proxies.
    proxy_count: int = 1
    report_interval: float = 1000.0
    load_balancing_policy: LoadBalancingPolicy = "weighted"
    default_retry: Retry = Retry.ONCE_IF_NOT_EXECUTED
    retry_factor: float = 1.0
    consecutive_failure_limit: int = 0
    admission_mode: AdmissionMode = "off"
    key_range_count: int = 0
    exclusive_key_ranges: bool = False

    # The channel to the proxies.
    message_overhead: float = 0.0
    channel_rate: float = 1000.0
    queue_limit: float = 1000.0
    message_cap: int = 0
    message_window: float = 10000.0
    transit_time: float = 300.0

    # What the planner is held to.
    max_unserved_time: float = 5000.0
    drain_grace: float = 2000.0
    slow_start_min_share: float = 0.2
    slow_start_duration: float = 10000.0
    overload_multiple: float = 2.0
    overload_duration: float = 2000.0
    cross_zone_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One server of the endpoint list.

    Attributes:
        server: its id, the same for each of its processes.
        zone: its zone.
        kind: its kind of machine.
        cell: number of its cell in its zone.
        availability: ready, draining or removed.
        weight: relative capacity that discovery states.
        started_at: when its process started, Unix ms; 0: long ago.
    """

    server: Server
    zone: int
    kind: int
    cell: int
    availability: Availability
    weight: float
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Event: the endpoint list is known, has changed, or could not be read.

    Attributes:
        kind: how much the update says.
        version: generation of the list.
        entries: the servers it names; none if the kind is `FAILED`.
    """

    kind: UpdateKind
    version: int
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer of the policy has elapsed; `token` is that of its `SetTimer`."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """Event: a health check has ended.

    Attributes:
        server: the server that was called.
        outcome: a value of `HealthCheckOutcome`, or another that counts as an error.
        elapsed: ms from the call to its end.
        load: the server's load by load column, where its answer stated it.
    """

    server: Server
    outcome: int
    elapsed: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Event: another planner has sent a datagram; `sender` is its place among the planners."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """Event: a proxy has opened its stream.

    Attributes:
        proxy: its number.
        zone: its zone.
        expected_rate: requests per second over all classes that it expects.
        newly_started: whether it has only the standing tables that it started with.
    """

    proxy: int
    zone: int
    expected_rate: float
    newly_started: bool


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    """Event: a proxy's stream has ended, or the proxy no longer answers."""

    proxy: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Event: a proxy has applied an update and echoes its nonce.

    Attributes:
        proxy: its number.
        nonce: that of `AttachNonce`.
        elapsed: ms that the proxy states the update took.
    """

    proxy: int
    nonce: int
    elapsed: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Event: what the proxies of one zone that joined this planner measured at a server.

    Attributes:
        zone: the proxies' zone.
        server: the server.
        attempts: attempts that ended within the window.
        failures: those that failed.
        mean_latency: ms, mean over the successful attempts.
        window: ms that the report covers.
        load: the server's own figures by load column.
    """

    zone: int
    server: Server
    attempts: int
    failures: int
    mean_latency: float
    window: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Event: requests of a class that reached a proxy.

    Attributes:
        proxy: its number.
        request_class: the class.
        requests: requests within the window.
        unanswered: those that got no answer.
        window: ms that the report covers.
    """

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class KeyRangeDemand:
    """Event: as `DemandReport`, for the slice of the key space that has this table."""

    table: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class KeyRangeGranted:
    """Event: this planner has been granted a slice of the key space, or it has been revoked."""

    table: int
    granted: bool


@dataclass(frozen=True, slots=True)
class KeyRangeWeight:
    """Event: a line that the table of a granted slice has; `weight` is relative to the others."""

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
"""Whatever the policy is notified of."""


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Action: set a server's weight in a table; 0 removes the line."""

    table: int
    server: Server
    weight: float


@dataclass(frozen=True, slots=True)
class AssignTable:
    """Action: send a joined proxy the complete table for some classes, and its changes from then on.

    Attributes:
        proxy: its number.
        table: the table's number.
        classes: the classes; empty: all of them.
    """

    proxy: int
    table: int
    classes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Action: remove a table's lines and admission levels."""

    table: int


@dataclass(frozen=True, slots=True)
class SetEjection:
    """Action: have all proxies avoid a server, or use it again, whatever their tables say."""

    server: Server
    ejected: bool


class AdmissionLevel(NamedTuple):
    """How much of a class is admitted, and when a failed attempt may be retried.

    Attributes:
        admitted: share of requests, or requests per second and proxy where the admission mode is "rate".
        retry: the retry mode.
    """

    admitted: float
    retry: Retry


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Action: set the admission level of some classes of a table.

    Attributes:
        table: the table's number; 0xFFFF: all tables, standing ones included.
        classes: the classes; empty: all of them.
        level: as `AdmissionLevel.admitted`.
        retry: the retry mode.
    """

    table: int
    classes: tuple[int, ...]
    level: float
    retry: Retry


@dataclass(frozen=True, slots=True)
class AttachNonce:
    """Action: have the proxies acknowledge what these actions send.

    Attributes:
        nonce: what `Acknowledged` gives back.
        to_all_proxies: whether proxies that are sent nothing else get a message with the nonce alone.
    """

    nonce: int
    to_all_proxies: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: give back `TimerFired` with this token after `delay` ms."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Action: call a server; `HealthCheckResult` follows."""

    server: Server


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Action: open the watch on the endpoint list, or close it."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Action: ask for the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Action: send other planners a datagram; `peer` is one planner's place, None: all of them."""

    payload: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """Action: write a line to the log."""

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
"""Whatever the policy asks its adapter to do, in order."""
