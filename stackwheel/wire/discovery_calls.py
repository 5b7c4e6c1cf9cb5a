"""The two calls of the discovery service: the complete endpoint list, and a watch."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from stackwheel.endpoints import EndpointList, merge
from stackwheel.errors import InvalidInputError
from stackwheel.wire import timing
from stackwheel.wire.discovery_protocol import INSTANCES_PATH, MAX_ERROR_SHOWN, parse_endpoint_list
from stackwheel.wire.http import Call, CallError, Stage, get


class Heartbeat:
    """An empty line of a watch: nothing has changed, and the service is alive."""


WatchEvent = EndpointList | Heartbeat


async def fetch_endpoint_list(address: str) -> EndpointList:
    """The complete endpoint list of one replica.

    Raises:
        CallError: the call failed, or its answer is no endpoint list.
    """
    body = await get(address, INSTANCES_PATH, timing.CONNECT_TIMEOUT_MS, timing.RESPONSE_TIMEOUT_MS)
    return _parse(body, address)


def watch_call(replica: str, since: int | None) -> Call:
    """The call of a watch, not opened yet: the changes after generation `since`, or all where it is None."""
    resume = "" if since is None else f"&since={since}"
    return Call(replica, f"{INSTANCES_PATH}?follow=1{resume}")


async def watch_events(call: Call) -> AsyncIterator[WatchEvent]:
    """The events of an open watch, one JSON object or empty line each.

    Raises:
        CallError: how the watch ended; it has no other end.
    """
    loop = asyncio.get_running_loop()
    lines = LineSplitter(loop.time() * 1000.0)
    silence_timeout_ms = timing.RESPONSE_TIMEOUT_MS  # of the first byte
    while True:
        line_timeout_ms = max(0.0, lines.deadline_ms - loop.time() * 1000.0)
        chunk = await call.read_chunk(min(silence_timeout_ms, line_timeout_ms))
        if chunk is None:
            raise CallError(Stage.BODY, "watch ended", call.address)
        lines.append(chunk)
        silence_timeout_ms = timing.WATCH_SILENCE_TIMEOUT_MS
        while (line := lines.next_line(loop.time() * 1000.0)) is not None:
            yield _parse(line, call.address) if line else Heartbeat()
        if lines.partial and loop.time() * 1000.0 > lines.deadline_ms:
            raise CallError(Stage.BODY, "a line without end", call.address, timed_out=True)
        if len(lines.partial) > timing.MAX_BODY_BYTES:
            raise CallError(Stage.BODY, f"line over {timing.MAX_BODY_BYTES} bytes", call.address)


async def handover_events(
    call: Call, has_taken_over: Callable[[], bool], known_generation: Callable[[], int]
) -> AsyncIterator[WatchEvent]:
    """The events of a watch at a new address, of which the first list is complete.

    The old address may have delivered more by then. A list that is behind is held back, and brought forward by the
    changes that follow, until the next heartbeat at the latest, as the generations of the two may differ anyway.

    Args:
        call: the open watch.
        has_taken_over: whether the new address is the source of the list in force by now.
        known_generation: the generation of the list in force.

    Raises:
        CallError: how the watch ended, or that the complete list could not be fetched.
    """
    pending: EndpointList | None = None
    async for event in watch_events(call):
        if has_taken_over():
            yield event
        elif isinstance(event, EndpointList):
            pending = await _bring_forward(pending, event, call.address)
        if pending is not None and (isinstance(event, Heartbeat) or pending.generation >= known_generation()):
            yield pending
            pending = None


async def _bring_forward(pending: EndpointList | None, update: EndpointList, replica: str) -> EndpointList:
    """The complete list after an update; it is fetched where there is none that the update could apply to."""
    if update.complete:
        return update
    if pending is None:
        return await fetch_endpoint_list(replica)
    return merge(pending, update)


def _parse(data: bytes, address: str) -> EndpointList:
    try:
        return parse_endpoint_list(data)
    except InvalidInputError as error:
        raise CallError(Stage.CONTENT, str(error)[:MAX_ERROR_SHOWN], address) from error


class LineSplitter:
    """Splits the bytes of a watch into lines, and knows by when the next one has to be complete.

    Attributes:
        partial: bytes of the line that is not complete yet.
        deadline_ms: time of the event loop at which the line has to be complete.
    """

    def __init__(self, now_ms: float) -> None:
        self.partial = bytearray()
        self.deadline_ms = now_ms + timing.LINE_TIMEOUT_MS
        self._searched = 0  # bytes of `partial` that hold no end of a line

    def append(self, data: bytes) -> None:
        """Add bytes as they were read."""
        self._searched = len(self.partial)
        self.partial += data

    def next_line(self, now_ms: float) -> bytes | None:
        """Take out the next complete line, without white space around it; None where there is none."""
        end = self.partial.find(b"\n", self._searched)
        if end < 0:
            return None
        line = bytes(self.partial[:end]).strip()
        del self.partial[: end + 1]
        self._searched = 0
        self.deadline_ms = now_ms + timing.LINE_TIMEOUT_MS
        return line
