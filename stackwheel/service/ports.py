"""What the planner and other ways of speaking to proxies offer each other; types only."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from stackwheel.service.config import Config
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate


class ProxyTransport(Protocol):
    """A transport beside the sockets: it gets all orders, and takes those of its own proxies."""

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None: ...

    async def run(self) -> None: ...


@dataclass(frozen=True, slots=True)
class PlannerContext:
    """The parts of one planner that an extra transport may use."""

    config: Config
    clock: Clock
    endpoints: EndpointCache
    post: Callable[[PlannerMessage], None]  # into the module's mailbox; never blocks
