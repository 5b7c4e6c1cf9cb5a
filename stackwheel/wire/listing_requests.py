"""Requests for a list: one GET on a connection, read within bounds of size and time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

import h11

from stackwheel.wire import timing
from stackwheel.wire.discovery_client import PATH
from stackwheel.wire.http import within

HEAD_MOST = 8 << 10  # bytes of a request's head: a planner's has some 150
ASK_MOST = timing.RESPONSE_TIMEOUT_MS  # ms to say all of it: a caller gives up its call after that
SINCE_DIGITS = 18  # of a generation: it fits into 64 bits


@dataclass(frozen=True, slots=True)
class ListRequest:
    """The list, or a watch that goes on after a generation."""

    follow: bool
    since: int | None


@dataclass(frozen=True, slots=True)
class BadRequest:
    """Refused with this status; status 0: the caller has gone, or never asked."""

    status: int
    reason: str


async def read_request(reader: asyncio.StreamReader) -> ListRequest | BadRequest:
    """The first request of a connection, within ASK_MOST and HEAD_MOST. OSError where the connection breaks."""
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
    try:
        found = await within(ASK_MOST, _next_request(http, reader))
    except h11.RemoteProtocolError as error:
        return BadRequest(error.error_status_hint, str(error))
    return BadRequest(0, "no request in time") if found is None else found


async def _next_request(http: h11.Connection, reader: asyncio.StreamReader) -> ListRequest | BadRequest:
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(HEAD_MOST))
        elif isinstance(event, h11.Request):
            return parse_request(event)
        else:
            return BadRequest(0, "the connection ended")


def parse_request(request: h11.Request) -> ListRequest | BadRequest:
    """What a request asks for; BadRequest with 404, 405 or 400."""
    try:
        target = urlsplit(request.target.decode("ascii"))
        query = dict(parse_qsl(target.query, keep_blank_values=True, max_num_fields=16))
    except ValueError as error:
        return BadRequest(400, f"no target: {error}")
    if target.path != PATH:
        return BadRequest(404, "no such path")
    if request.method != b"GET":
        return BadRequest(405, "only GET")
    if request.http_version != b"1.1":
        return BadRequest(400, "only HTTP/1.1")
    follow, since = query.get("follow", "0"), query.get("since")
    if follow not in ("0", "1"):
        return BadRequest(400, "follow is 0 or 1")
    if since is not None and not (since.isascii() and since.isdigit() and len(since) <= SINCE_DIGITS):
        return BadRequest(400, "since is no generation")
    return ListRequest(follow == "1", None if since is None else int(since))
