"""Interfaces between the planner and its transports other than sockets; this module contains only types."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from stackwheel.errors import StackwheelError
from stackwheel.service.config import Config
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate


class TransportSetupError(StackwheelError):
    """An additional transport cannot be set up as configured in the operators' file; the planner does not start."""


class ProxyTransport(Protocol):
    """A transport in addition to the sockets; it receives all updates and sends those for its own proxies."""

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Send updates without blocking; updates for streams of other transports are ignored."""

    async def run(self) -> None:
        """Run the background work of the transport until cancelled."""


@dataclass(frozen=True, slots=True)
class PlannerContext:
    """The components of a planner that an additional transport may use.

    Attributes:
        config: the configuration at startup; a reload does not change it.
        clock: the planner's clock.
        endpoints: the planner's cache of the endpoint list.
        post: puts a message into the mailbox of the planner actor; does not block.
    """

    config: Config
    clock: Clock
    endpoints: EndpointCache
    post: Callable[[PlannerMessage], None]
