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

EVENTS_PROCESSED = 3  # of each batch


def superseded_stream_ends_new_one() -> Sequence[Patch]:
    """The end of any stream of a proxy counts as the end of its present one."""

    def leave(self: ProxyStreams, proxy: int, _line: Any) -> Iterable[interface.Event]:
        """In place of `ProxyStreams.leave`."""
        self.timed_out.pop(proxy, None)
        if self.by_proxy.pop(proxy, None) is not None:
            yield interface.ProxyLeft(proxy)

    return [Patch(ProxyStreams, "leave", leave)]


def superseded_stream_takes_over() -> Sequence[Patch]:
    """The older stream of a proxy takes it over again with its late lines."""

    def message_received(self: ProxyStreams, proxy: int, line: Any) -> Iterable[interface.Event] | None:
        """In place of `ProxyStreams.message_received`."""
        stream = self.by_proxy.get(proxy)
        if stream is not None and not find_stream(self.by_proxy, proxy, line):
            stream.connection = line
        return ()

    return [Patch(ProxyStreams, "message_received", message_received)]


def complete_list_taken_as_delta() -> Sequence[Patch]:
    """What a complete endpoint list lacks stays listed."""
    original = EndpointCache.apply

    def apply(self: EndpointCache, endpoint_list: EndpointList, now: float = 0.0) -> interface.EndpointUpdate:
        """In place of `EndpointCache.apply`."""
        return original(self, replace(endpoint_list, complete=False), now)

    return [Patch(EndpointCache, "apply", apply)]


def older_generation_believed() -> Sequence[Patch]:
    """Generations are not compared: an older state brings back what drains."""

    def discard_stale(_self: EndpointCache, endpoint_list: EndpointList, _now: float) -> EndpointList:
        """In place of `EndpointCache.discard_stale`."""
        return endpoint_list

    return [Patch(EndpointCache, "discard_stale", discard_stale)]


def batch_truncated() -> Sequence[Patch]:
    """Only the last events of a batch are processed."""
    original = PlannerActor.process_batch

    def process_batch(self: PlannerActor) -> None:
        """In place of `PlannerActor.process_batch`."""
        self.mailbox = self.mailbox[-EVENTS_PROCESSED:]
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
        older_generation_believed,
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
