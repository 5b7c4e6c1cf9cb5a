"""Actions: whatever the policy asks its adapter to do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from stackwheel.interface.endpoints import ServerId
from stackwheel.interface.settings import Retry


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Action: set a server's weight in a table; 0 removes the line."""

    table: int
    server: ServerId
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

    server: ServerId
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
        admitted: as in `AdmissionLevel`.
        retry: the retry mode.
    """

    table: int
    classes: tuple[int, ...]
    admitted: float
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

    server: ServerId


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
