"""What the planner actor needs from the transports; types only."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from stackwheel.interface import ServerId
from stackwheel.state.messages import HealthCheckTarget
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate


class PlannerPorts(Protocol):
    """The planner's way out, whatever protocol is spoken there. No method may block or raise."""

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Send each proxy its update over its connection, in order."""

    def watch_endpoints(self, enabled: bool) -> None:
        """Open the watch on the endpoint list, or close it."""

    def fetch_endpoints(self) -> None:
        """Ask for the complete endpoint list once."""

    def start_health_check(self, server: ServerId, target: HealthCheckTarget) -> None:
        """Call a server; `HealthCheckCompleted` with this target follows."""

    def send_gossip(self, payload: bytes, peer: int | None) -> None:
        """Send a datagram to the planner at that place, or to all others if `peer` is None."""
