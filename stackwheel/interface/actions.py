"""Actions that the policy returns and that its adapter (`state` or `simulator`) executes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from stackwheel.interface.endpoints import ServerId
from stackwheel.interface.settings import Retry


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Action: set the weight of a server in a table; a weight of 0 removes the server's line."""

    table: int
    server: ServerId
    weight: float


@dataclass(frozen=True, slots=True)
class AssignTable:
    """Action: assign a table to a connected proxy for some request classes.

    The proxy is sent the complete table, and after that each change to it.

    Attributes:
        proxy: number of the proxy.
        table: number of the table.
        classes: indexes of the request classes; empty for all classes.
    """

    proxy: int
    table: int
    classes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Action: remove all lines and admission levels of a table."""

    table: int


@dataclass(frozen=True, slots=True)
class SetEjection:
    """Action: eject a server at all proxies, or restore it. An ejection overrides the weights in the tables."""

    server: ServerId
    ejected: bool


class AdmissionLevel(NamedTuple):
    """How many requests of a class a proxy admits, and when it may retry a failed attempt.

    Attributes:
        admitted: share of the requests, or requests per second per proxy if the admission mode is "rate".
        retry: when a failed attempt may be retried.
    """

    admitted: float
    retry: Retry


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Action: set the admission level of some request classes in a table.

    Attributes:
        table: number of the table; 0xFFFF for all tables, including standing tables.
        classes: indexes of the request classes; empty for all classes.
        admitted: see `AdmissionLevel.admitted`.
        retry: retry mode.
    """

    table: int
    classes: tuple[int, ...]
    admitted: float
    retry: Retry


@dataclass(frozen=True, slots=True)
class AttachNonce:
    """Action: request an acknowledgement for the updates that result from the same list of actions.

    Attributes:
        nonce: value that the proxy echoes in `Acknowledged`.
        to_all_proxies: whether proxies without an update are sent a message that contains only the nonce.
    """

    nonce: int
    to_all_proxies: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: start a timer that emits `TimerFired` with this token after `delay` ms."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Action: start a health check of a server; its outcome is reported as `HealthCheckResult`."""

    server: ServerId


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Action: open or close the watch on the endpoint list, over which changes to the list are received."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Action: fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Action: send a datagram to other planners.

    Attributes:
        payload: content of the datagram.
        peer: index of the receiving planner; None for all peer planners.
    """

    payload: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """Action: write a message to the log."""

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
"""Any action; the adapter executes the actions of a list in order."""
