"""What may be posted to the planner actor's mailbox.

A `ProxyStream` opens a stream, an `EndpointList` is what discovery has sent; the rest is defined here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from stackwheel.endpoints import EndpointList
from stackwheel.interface import Acknowledged, DemandReport, GossipReceived, HealthCheckResult, LoadReport
from stackwheel.state.streams import ProxyStream, StreamConnection


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A proxy's stream has ended; ignored if another connection carries the proxy by now."""

    proxy: int
    connection: StreamConnection


@dataclass(frozen=True, slots=True)
class StreamMessage:
    """A proxy has sent something over its stream; ignored if another connection carries the proxy by now.

    Attributes:
        proxy: the proxy's number.
        event: what it sent; None: nothing that can be used, but it shows that the proxy is alive.
        connection: where it arrived.
    """

    proxy: int
    event: Acknowledged | DemandReport | None
    connection: StreamConnection


@dataclass(frozen=True, slots=True)
class EndpointListFailed:
    """A call for the endpoint list has failed, or the watch has ended."""


@dataclass(frozen=True, slots=True)
class HealthCheckTarget:
    """What a health check was meant for.

    Attributes:
        incarnation: of the policy that asked for it.
        started_at: when the server's process had started, Unix ms; negative if it is not listed.
        address: where it was called.
    """

    incarnation: int
    started_at: float
    address: str


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """A health check has ended; ignored unless its target is still the present one."""

    target: HealthCheckTarget
    result: HealthCheckResult


@dataclass(frozen=True, slots=True)
class TimerElapsed:
    """A timer has elapsed; ignored unless the policy that set it is still running.

    Attributes:
        incarnation: of the policy that set it.
        token: that of its `SetTimer`.
    """

    incarnation: int
    token: int


Report: TypeAlias = LoadReport | DemandReport | GossipReceived
"""What may be dropped when the mailbox is full: the next one brings newer figures."""

PlannerMessage: TypeAlias = (
    ProxyStream
    | StreamEnded
    | StreamMessage
    | EndpointList
    | EndpointListFailed
    | HealthCheckCompleted
    | TimerElapsed
    | Report
)
"""Whatever may be posted to the mailbox."""
