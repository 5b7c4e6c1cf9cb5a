"""The interface that the planner actor requires of the transports."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from stackwheel.interface import ServerId
from stackwheel.state.messages import HealthCheckTarget
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate


class PlannerPorts(Protocol):
    """Outgoing calls of the planner, independent of the protocol. No method may block or raise an exception."""

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Send each update over its connection, in the given order."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Open or close the watch on the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list once."""

    def start_health_check(self, server: ServerId, target: HealthCheckTarget) -> None:
        """Start a health check of a server; its result is posted as `HealthCheckCompleted` with this target."""

    def send_gossip(self, payload: bytes, peer: int | None) -> None:
        """Send a datagram to the planner with the index `peer`, or to all other planners if `peer` is None."""
