"""The messages of the line protocol as typed values: zones and request classes by their index in the settings."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import ClassVar, TypeAlias

from stackwheel.errors import InvalidInputError


@dataclass(frozen=True, slots=True)
class PingMessage:
    """A request for a sign of life; the answer is PONG."""

    KIND: ClassVar[str] = "PING"


@dataclass(frozen=True, slots=True)
class CollectorMessage:
    """The connection identifies itself as the collector of a zone."""

    KIND: ClassVar[str] = "SOURCE"

    zone: int


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """A load report: what the proxies of one zone measured at one server.

    Attributes:
        zone: index of the zone.
        server_name: the server's name, as discovery lists it.
        attempts: requests sent to the server.
        failures: of these, those that failed.
        mean_latency: of the successful ones, in ms.
        window: the time that the report covers, in ms.
        load: the server's own figures, by load column.
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
    """A demand report: requests of one class that reached one proxy within `window` ms."""

    KIND: ClassVar[str] = "RATE"

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class JoinMessage:
    """The connection is the stream of a proxy from now on.

    Attributes:
        proxy: number of the proxy.
        zone: index of the proxy's zone.
        expected_rate: requests per second that the proxy expects.
        newly_started: whether the proxy has no tables of an earlier stream.
    """

    KIND: ClassVar[str] = "SUBSCRIBE"

    proxy: int
    zone: int
    expected_rate: float
    newly_started: bool


@dataclass(frozen=True, slots=True)
class AckMessage:
    """The proxy has applied the update that carried a nonce, `elapsed` ms after the planner sent it."""

    KIND: ClassVar[str] = "ACK"

    proxy: int
    nonce: int
    elapsed: float


Message: TypeAlias = PingMessage | CollectorMessage | LoadMessage | DemandMessage | JoinMessage | AckMessage


class MalformedMessageError(InvalidInputError):
    """A message of a known kind can't be used; it is skipped as a whole and those around it count."""


class ProtocolViolationError(InvalidInputError):
    """The bytes are no message of the protocol: nothing that follows on the connection can be trusted."""


def columns_in_order(load: tuple[tuple[str, float], ...], columns: tuple[str, ...]) -> tuple[float, ...]:
    """The figures of a load report in the order of the settings' columns.

    A column that the report lacks is NaN, one that the settings lack is dropped; a report without any column is empty.
    """
    if not load:
        return ()
    figures = dict(load)
    return tuple(figures.get(column, math.nan) for column in columns)
