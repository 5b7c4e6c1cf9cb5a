"""Messages that may be posted to the planner actor's mailbox.

Besides the messages defined here, these are `ProxyStream`, which opens a stream, `EndpointList`, which contains a
response of discovery, and some events of the policy.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from stackwheel.endpoints import EndpointList
from stackwheel.interface import Acknowledged, DemandReport, GossipReceived, HealthCheckResult, LoadReport
from stackwheel.state.streams import ProxyStream, StreamConnection


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """Message: the stream of a proxy has ended; ignored if the proxy has moved to another connection."""

    proxy: int
    connection: StreamConnection


@dataclass(frozen=True, slots=True)
class StreamMessage:
    """Message: a proxy has sent a message over its stream; ignored if the proxy has moved to another connection.

    Attributes:
        proxy: number of the proxy.
        event: event that the message contains; None if the message only shows that the proxy is alive.
        connection: connection over which the message was received.
    """

    proxy: int
    event: Acknowledged | DemandReport | None
    connection: StreamConnection


@dataclass(frozen=True, slots=True)
class EndpointListFailed:
    """Message: a call for the endpoint list has failed, or the watch has ended."""


@dataclass(frozen=True, slots=True)
class HealthCheckTarget:
    """The policy and the server process for which a health check was started.

    Attributes:
        incarnation: incarnation of the policy that started the health check.
        started_at: start time of the server's process, Unix ms; negative if the server is not listed.
        address: address of the server.
    """

    incarnation: int
    started_at: float
    address: str


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """Message: a health check has ended; ignored if the policy, the server's process or its address has changed."""

    target: HealthCheckTarget
    result: HealthCheckResult


@dataclass(frozen=True, slots=True)
class TimerElapsed:
    """Message: a timer has elapsed; ignored if the policy that set it is no longer running.

    Attributes:
        incarnation: incarnation of the policy that set the timer.
        token: token of its `SetTimer` action.
    """

    incarnation: int
    token: int


Report: TypeAlias = LoadReport | DemandReport | GossipReceived
"""Messages that may be lost because a later one contains newer figures."""

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
"""Any message that may be posted to the mailbox."""
