"""What the planner and further transports to proxies offer each other; types only."""

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
    """A further transport can't be set up as the operators' file says; the planner does not start."""


class ProxyTransport(Protocol):
    """A transport beside the sockets: it gets all updates, and sends those for its own proxies."""

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Send updates without waiting; those of other transports' streams are ignored."""

    async def run(self) -> None:
        """Work until cancelled."""


@dataclass(frozen=True, slots=True)
class PlannerContext:
    """The parts of one planner that a further transport may use.

    Attributes:
        config: the configuration at the start.
        clock: the planner's clock.
        endpoints: the endpoint cache.
        post: puts an item into the planner actor's mailbox; never blocks.
    """

    config: Config
    clock: Clock
    endpoints: EndpointCache
    post: Callable[[PlannerMessage], None]
