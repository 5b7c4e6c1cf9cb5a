"""Deliberate defects of the planner's state: the endpoint cache, the proxy streams and the actor."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from stackwheel import interface
from stackwheel.endpoints import EndpointList
from stackwheel.rules.violations import Rule
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import PlannerActor
from stackwheel.state.streams import ProxyStreams, find_stream
from stackwheel.trials.defects.planting import Defect, Patch

MAX_EVENTS_PER_BATCH = 3


def superseded_stream_ends_new_one() -> Sequence[Patch]:
    """Treat the end of any stream of a proxy as the end of its current stream."""

    def leave(self: ProxyStreams, proxy: int, _connection: Any) -> Iterable[interface.Event]:
        """Replacement for `ProxyStreams.leave`."""
        self.timed_out.pop(proxy, None)
        if self.by_proxy.pop(proxy, None) is not None:
            yield interface.ProxyLeft(proxy)

    return [Patch(ProxyStreams, "leave", leave)]


def superseded_stream_takes_over() -> Sequence[Patch]:
    """Make a superseded stream current again when a message arrives on it."""

    def message_received(self: ProxyStreams, proxy: int, connection: Any) -> Iterable[interface.Event] | None:
        """Replacement for `ProxyStreams.message_received`."""
        stream = self.by_proxy.get(proxy)
        if stream is not None and not find_stream(self.by_proxy, proxy, connection):
            stream.connection = connection
        return ()

    return [Patch(ProxyStreams, "message_received", message_received)]


def complete_list_taken_as_delta() -> Sequence[Patch]:
    """Keep servers that a complete endpoint list does not contain."""
    original = EndpointCache.apply

    def apply(self: EndpointCache, endpoint_list: EndpointList, now: float = 0.0) -> interface.EndpointUpdate:
        """Replacement for `EndpointCache.apply`."""
        return original(self, replace(endpoint_list, complete=False), now)

    return [Patch(EndpointCache, "apply", apply)]


def older_generation_applied() -> Sequence[Patch]:
    """Apply older generations of the endpoint list, which may revert a drain."""

    def discard_stale(_self: EndpointCache, endpoint_list: EndpointList, _now: float) -> EndpointList:
        """Replacement for `EndpointCache.discard_stale`."""
        return endpoint_list

    return [Patch(EndpointCache, "discard_stale", discard_stale)]


def batch_truncated() -> Sequence[Patch]:
    """Process only the last events of a batch."""
    original = PlannerActor.process_batch

    def process_batch(self: PlannerActor) -> None:
        """Replacement for `PlannerActor.process_batch`."""
        self.mailbox = self.mailbox[-MAX_EVENTS_PER_BATCH:]
        original(self)

    return [Patch(PlannerActor, "process_batch", process_batch)]


STATE_DEFECTS: tuple[Defect, ...] = (
    Defect(
        "end-of-another",
        "state",
        (Rule.SERVED, Rule.DRAINS, Rule.COLD),
        superseded_stream_ends_new_one,
        "the old stream's end ends the new one",
    ),
    Defect(
        "words-of-another",
        "state",
        (Rule.AGREES, Rule.SERVED, Rule.DRAINS, Rule.UPRIGHT),
        superseded_stream_takes_over,
        "late words of an old stream take its proxy back",
    ),
    Defect(
        "whole-list-as-changes",
        "state",
        (Rule.DRAINS,),
        complete_list_taken_as_delta,
        "what a whole list lacks stays listed",
    ),
    Defect(
        "older-believed",
        "state",
        (Rule.DRAINS,),
        older_generation_applied,
        "an older generation undoes a drain",
    ),
    Defect(
        "batch-cut",
        "state",
        (Rule.DRAINS, Rule.SERVED, Rule.AGREES),
        batch_truncated,
        "of a batch only the last three events count",
    ),
)
