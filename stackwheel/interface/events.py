"""Events: whatever the policy is notified of."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from stackwheel.interface.endpoints import EndpointUpdate, ServerId


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

    server: ServerId
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
    server: ServerId
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
    server: ServerId
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
