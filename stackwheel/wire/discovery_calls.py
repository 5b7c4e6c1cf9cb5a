"""The two calls to the discovery service: fetching the complete endpoint list, and watching its changes.

A watch is a response without an end. Each of its lines is the complete list, a delta (the changes since an earlier
list) or empty (a heartbeat). Each list and delta has a generation, a number that increases when the list changes,
and a watch can resume after a generation. The replicas of a discovery service have the same lists and generations.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from stackwheel.endpoints import EndpointList, merge
from stackwheel.errors import InvalidInputError
from stackwheel.wire import timing
from stackwheel.wire.discovery_protocol import INSTANCES_PATH, MAX_LOGGED_ERROR_CHARACTERS, parse_endpoint_list
from stackwheel.wire.http import Call, CallError, Stage, get


class Heartbeat:
    """An empty line received on a watch, which shows that the discovery service is alive while no list changes."""


WatchEvent = EndpointList | Heartbeat


async def fetch_endpoint_list(address: str) -> EndpointList:
    """Fetch the complete endpoint list from one replica of the discovery service.

    Raises:
        CallError: the call failed, or the body of its response is not an endpoint list.
    """
    body = await get(address, INSTANCES_PATH, timing.CONNECT_TIMEOUT_MS, timing.RESPONSE_TIMEOUT_MS)
    return _parse(body, address)


def watch_call(replica: str, since: int | None) -> Call:
    """Create the call for a watch, without opening it.

    Args:
        replica: address "host:port" of the replica.
        since: generation after which the watch resumes; None to start with the complete list.
    """
    resume_query = "" if since is None else f"&since={since}"
    return Call(replica, f"{INSTANCES_PATH}?follow=1{resume_query}")


async def watch_events(call: Call) -> AsyncIterator[WatchEvent]:
    """Yield an event for each line received on an open watch.

    Raises:
        CallError: the watch ended or failed; the iterator never ends normally.
    """
    loop = asyncio.get_running_loop()
    lines = LineSplitter(loop.time() * 1000.0)
    silence_timeout_ms = timing.RESPONSE_TIMEOUT_MS  # until the first byte is received
    while True:
        line_timeout_ms = max(0.0, lines.deadline_ms - loop.time() * 1000.0)
        chunk = await call.read_chunk(min(silence_timeout_ms, line_timeout_ms))
        if chunk is None:
            raise CallError(Stage.BODY, "watch ended by the discovery service", call.address)
        lines.append(chunk)
        silence_timeout_ms = timing.WATCH_SILENCE_TIMEOUT_MS
        while (line := lines.next_line(loop.time() * 1000.0)) is not None:
            yield _parse(line, call.address) if line else Heartbeat()
        if lines.partial and loop.time() * 1000.0 > lines.deadline_ms:
            raise CallError(
                Stage.BODY, f"line incomplete after {timing.LINE_TIMEOUT_MS:g} ms", call.address, timed_out=True
            )
        if len(lines.partial) > timing.MAX_BODY_BYTES:
            raise CallError(Stage.BODY, f"line longer than {timing.MAX_BODY_BYTES} bytes", call.address)


async def handover_events(
    call: Call, is_source: Callable[[], bool], current_generation: Callable[[], int]
) -> AsyncIterator[WatchEvent]:
    """Yield the events of a watch at a new address, beginning with a complete list.

    The old address may have delivered a later generation in the meantime. A list with an earlier generation is
    therefore held back, and later deltas are merged into it, until the merged list has reached the current generation.
    The merged list is yielded at the next heartbeat in any case, because the generations of the two addresses may be
    unrelated.

    Args:
        call: the open watch.
        is_source: returns whether the new address is the source of the current list.
        current_generation: returns the generation of the current list, which the old address may still update.

    Raises:
        CallError: the watch ended or failed, or the complete list could not be fetched.
    """
    pending: EndpointList | None = None
    async for event in watch_events(call):
        if is_source():
            yield event
        elif isinstance(event, EndpointList):
            pending = await _apply_update(pending, event, call.address)
        if pending is not None and (isinstance(event, Heartbeat) or pending.generation >= current_generation()):
            yield pending
            pending = None


async def _apply_update(pending: EndpointList | None, update: EndpointList, replica: str) -> EndpointList:
    """Return the complete list after an update; fetches the list if there is none to merge the update into."""
    if update.complete:
        return update
    if pending is None:
        return await fetch_endpoint_list(replica)
    return merge(pending, update)


def _parse(data: bytes, address: str) -> EndpointList:
    try:
        return parse_endpoint_list(data)
    except InvalidInputError as error:
        raise CallError(Stage.CONTENT, str(error)[:MAX_LOGGED_ERROR_CHARACTERS], address) from error


class LineSplitter:
    """Splits the data received on a watch into lines, and determines the deadline for the next line.

    Attributes:
        partial: incomplete line at the end of the data received so far.
        deadline_ms: time by which this line has to be complete, in ms on the event loop's clock.
    """

    def __init__(self, now_ms: float) -> None:
        self.partial = bytearray()
        self.deadline_ms = now_ms + timing.LINE_TIMEOUT_MS
        self._search_start = 0  # offset in `partial` before which there is no line end

    def append(self, data: bytes) -> None:
        """Add received data."""
        self._search_start = len(self.partial)
        self.partial += data

    def next_line(self, now_ms: float) -> bytes | None:
        """Remove and return the next complete line, without surrounding white space; None if there is none."""
        end = self.partial.find(b"\n", self._search_start)
        if end < 0:
            return None
        line = bytes(self.partial[:end]).strip()
        del self.partial[: end + 1]
        self._search_start = 0
        self.deadline_ms = now_ms + timing.LINE_TIMEOUT_MS
        return line
