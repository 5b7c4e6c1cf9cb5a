"""Events that an adapter passes to the policy."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from stackwheel.interface.endpoints import EndpointUpdate, ServerId


class HealthCheckOutcome(IntEnum):
    """Outcome of a health check; any value that is not a member counts as `ERROR`."""

    ERROR = 0
    OK = 1
    REJECTED = 2
    """The server is full, is draining or has too many concurrent health checks."""

    TIMEOUT = 3
    """The server did not answer before the timeout."""

    UNREACHABLE = 4
    """The connection to the server could not be established."""

    RESET = 5
    """The connection was reset."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer has expired; `token` is the token of its `SetTimer` action."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """Event: a health check has completed.

    Attributes:
        server: the server that was checked.
        outcome: a value of `HealthCheckOutcome`; any other value counts as an error.
        elapsed: duration of the health check, ms.
        load: load figures of the server in the order of the load columns; empty if its answer has none.
    """

    server: ServerId
    outcome: int
    elapsed: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Event: a datagram from another planner was received.

    Attributes:
        sender: index of the planner that sent the datagram.
        payload: content of the datagram.
    """

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """Event: a proxy has opened its stream to this planner.

    Attributes:
        proxy: number of the proxy.
        zone: index of the proxy's zone.
        expected_rate: requests per second, over all classes, that the proxy expects.
        newly_started: whether the proxy still has only the standing tables that it started with.
    """

    proxy: int
    zone: int
    expected_rate: float
    newly_started: bool


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    """Event: the stream of a proxy has ended, or the proxy has stopped responding."""

    proxy: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Event: a proxy has acknowledged an update by echoing its nonce.

    Attributes:
        proxy: number of the proxy.
        nonce: nonce of the `AttachNonce` action.
        elapsed: ms that applying the update took, as stated by the proxy.
    """

    proxy: int
    nonce: int
    elapsed: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Event: measurements of one server by the proxies of one zone that are connected to this planner.

    Attributes:
        zone: index of the proxies' zone.
        server: the measured server.
        attempts: number of attempts that ended within the window.
        failures: number of these attempts that failed.
        mean_latency: mean latency of the successful attempts, ms.
        window: length of the time window that the report covers, ms.
        load: load figures reported by the server, in the order of the load columns.
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
    """Event: number of requests of one class that a proxy received.

    Attributes:
        proxy: number of the proxy.
        request_class: index of the request class.
        requests: number of requests within the window.
        unanswered: number of these requests that were not answered.
        window: length of the time window that the report covers, ms.
    """

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class KeyRangeDemand:
    """Event: number of requests of one class for one key range, with the fields of `DemandReport`.

    The key range is identified by the number of its table.
    """

    table: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class KeyRangeGranted:
    """Event: a key range, identified by its table, was granted to this planner or revoked."""

    table: int
    granted: bool


@dataclass(frozen=True, slots=True)
class KeyRangeWeight:
    """Event: a line that the table of a granted key range already contains.

    The weight is relative to the weights of the table's other lines.
    """

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
"""Any event that an adapter passes to the policy."""
