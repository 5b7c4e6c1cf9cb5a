"""Deliberate defects of the relay: its endpoint lists, its watches and its upstream liveness."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from stackwheel.relay import watch_cache
from stackwheel.relay.cell_view import CellView
from stackwheel.relay.upstream_liveness import UpstreamLiveness
from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.planting import Defect, Patch, returns
from stackwheel.wire.endpoint_list_server import EndpointListServer
from stackwheel.wire.endpoint_watch import MAX_PENDING_BYTES, EndpointWatch

WATCH_REGISTRATION_DELAY_S = 1.0


def old_generation_served() -> Sequence[Patch]:
    """Serve the first encoding of a list under all later generations."""
    return [Patch(CellView, "_invalidate_encodings", returns(None))]


def clients_ahead_served() -> Sequence[Patch]:
    """Answer a client that has a newer generation at once, instead of waiting to catch up."""
    return [Patch(CellView, "may_catch_up", returns(False))]


def gap_before_watch() -> Sequence[Patch]:
    """Encode the first answer of a watch some time before the watch is registered for changes."""
    original = EndpointListServer._watch

    async def watch(self: EndpointListServer, cell: str, delta: bytes | None, reader: Any, writer: Any) -> None:
        """Replacement for `EndpointListServer._watch`."""
        first_answer = delta or self.cache.snapshot(cell)
        await asyncio.sleep(WATCH_REGISTRATION_DELAY_S)
        await original(self, cell, first_answer, reader, writer)

    return [Patch(EndpointListServer, "_watch", watch)]


def lost_discovery_treated_as_alive() -> Sequence[Patch]:
    """Treat the discovery service as alive for ever once it has been connected."""
    return [
        Patch(UpstreamLiveness, "is_alive", lambda self, _now: self.last_seen_at is not None),
        Patch(UpstreamLiveness, "detect_loss", returns(False)),
    ]


def unreadable_taken_as_removed() -> Sequence[Patch]:
    """Treat a server whose entry is undecodable as removed."""
    return [
        Patch(watch_cache, "may_be_unreadable", returns(False)),
        Patch(watch_cache.WatchCache, "_remember_unreadable", returns(None)),
    ]


def removals_not_resumed() -> Sequence[Patch]:
    """Omit removed servers from the changes that a resumed watch receives."""
    original = CellView._changed_after

    def changed_after(self: CellView, since: int) -> list[bytes]:
        """Replacement for `CellView._changed_after`."""
        removed = self.removed
        self.removed = {}
        try:
            return original(self, since)
        finally:
            self.removed = removed

    return [Patch(CellView, "_changed_after", changed_after)]


def resumed_below_log() -> Sequence[Patch]:
    """Resume a watch from any generation, even one before the start of the log of changes."""
    return [Patch(CellView, "can_resume", lambda _self, since: since > 0)]


def older_state_passed_on() -> Sequence[Patch]:
    """Accept an entry even if a newer generation of it is cached."""
    return [Patch(watch_cache.WatchCache, "_is_new", returns(True))]


def dropped_for_slow_reader() -> Sequence[Patch]:
    """Drop changes that exceed the limit of pending bytes of a watch, without sending a snapshot instead."""
    original = EndpointWatch.enqueue

    def enqueue(self: EndpointWatch, data: bytes) -> None:
        """Replacement for `EndpointWatch.enqueue`."""
        if not self.is_writing or self.pending_bytes + len(data) <= MAX_PENDING_BYTES:
            original(self, data)

    return [Patch(EndpointWatch, "enqueue", enqueue)]


RELAY_DEFECTS: tuple[Defect, ...] = (
    Defect(
        "old-generation-served",
        "relay",
        (Rule.PART, Rule.DRAINS),
        old_generation_served,
        "a relay serves the part of an old generation under the present one",
    ),
    Defect(
        "behind-served",
        "relay",
        (Rule.PART, Rule.DRAINS),
        clients_ahead_served,
        "a relay answers callers that know more than it does",
    ),
    Defect(
        "gap-before-watch",
        "relay",
        (Rule.PART, Rule.DRAINS),
        gap_before_watch,
        "what changes between a watch's first answer and its place among the watches is dropped",
    ),
    Defect(
        "lost-registry-vouched-for",
        "relay",
        (Rule.VOUCHED,),
        lost_discovery_treated_as_alive,
        "a relay goes on with empty lines and answers after it lost the registry",
    ),
    Defect(
        "unreadable-as-departure",
        "relay",
        (Rule.PART, Rule.SERVED),
        unreadable_taken_as_removed,
        "a server whose entry can't be read counts as departed",
    ),
    Defect(
        "departures-not-resumed",
        "relay",
        (Rule.PART, Rule.DRAINS),
        removals_not_resumed,
        "a watch that goes on is not told who has left meanwhile",
    ),
    Defect(
        "resumed-below-the-log",
        "relay",
        (Rule.PART, Rule.DRAINS),
        resumed_below_log,
        "a relay that started later resumes a watch from before its log",
    ),
    Defect(
        "older-told",
        "relay",
        (Rule.PART, Rule.DRAINS),
        older_state_passed_on,
        "an older state that the registry tells once more is told on",
    ),
    Defect(
        "dropped-for-slow-reader",
        "relay",
        (Rule.PART, Rule.DRAINS),
        dropped_for_slow_reader,
        "changes that a slow reader has no room for are lost",
    ),
)
