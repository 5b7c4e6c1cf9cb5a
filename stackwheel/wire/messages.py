"""Typed messages of the line protocol, which identify zones and request classes by their index in the settings."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import ClassVar, TypeAlias

from stackwheel.errors import InvalidInputError


@dataclass(frozen=True, slots=True)
class PingMessage:
    """A request for the response PONG, which shows that the planner is alive."""

    KIND: ClassVar[str] = "PING"


@dataclass(frozen=True, slots=True)
class CollectorMessage:
    """Identifies a connection as the collector of a zone.

    Attributes:
        zone: index of the zone.
    """

    KIND: ClassVar[str] = "SOURCE"

    zone: int


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """A load report: measurements of one server by the proxies of one zone.

    Attributes:
        zone: index of the zone.
        server_name: name of the server in the endpoint list.
        attempts: number of requests sent to the server.
        failures: number of these requests that failed.
        mean_latency: mean latency of the successful requests, ms.
        window: duration of the period that the report covers, ms.
        load: pairs of load column and value, as reported by the server itself.
    """

    KIND: ClassVar[str] = "LOAD"

    zone: int
    server_name: str
    attempts: int
    failures: int
    mean_latency: float
    window: float
    load: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class DemandMessage:
    """A demand report: requests of one class that arrived at one proxy.

    Attributes:
        proxy: number of the proxy.
        request_class: index of the request class.
        requests: number of requests that arrived.
        unanswered: number of these requests that received no response.
        window: duration of the period that the report covers, ms.
    """

    KIND: ClassVar[str] = "RATE"

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class JoinMessage:
    """Identifies a connection as the stream of a proxy.

    Attributes:
        proxy: number of the proxy.
        zone: index of the proxy's zone.
        expected_rate: request rate that the proxy expects, requests per second.
        newly_started: whether the proxy has no tables from an earlier stream.
    """

    KIND: ClassVar[str] = "SUBSCRIBE"

    proxy: int
    zone: int
    expected_rate: float
    newly_started: bool


@dataclass(frozen=True, slots=True)
class AckMessage:
    """An acknowledgement of an update that the proxy has applied.

    Attributes:
        proxy: number of the proxy.
        nonce: nonce of the update.
        elapsed: time until the update was applied, as reported by the proxy, ms.
    """

    KIND: ClassVar[str] = "ACK"

    proxy: int
    nonce: int
    elapsed: float


Message: TypeAlias = PingMessage | CollectorMessage | LoadMessage | DemandMessage | JoinMessage | AckMessage


class MalformedMessageError(InvalidInputError):
    """A message of a known kind is invalid; it is skipped, and the connection continues with the next message."""


class ProtocolViolationError(InvalidInputError):
    """The received bytes are not a message of the protocol; the connection has to be closed."""


def order_columns(load: tuple[tuple[str, float], ...], columns: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of a load report in the order of the configured columns.

    Columns that are missing in the report are NaN and columns that are not configured are dropped. The result is empty
    if the report has no columns.
    """
    if not load:
        return ()
    values = dict(load)
    return tuple(values.get(column, math.nan) for column in columns)
