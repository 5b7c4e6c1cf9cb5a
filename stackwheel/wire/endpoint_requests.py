"""Requests for a cell's endpoint list: one GET per connection, with limits on its size and duration."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

import h11

from stackwheel.errors import StackwheelError
from stackwheel.wire import timing
from stackwheel.wire.discovery_protocol import INSTANCES_PATH
from stackwheel.wire.http import wait_for_result

MAX_REQUEST_HEAD_BYTES = 8 << 10  # the head of a planner's request has about 150 bytes
MAX_REQUEST_HEAD_LINES = 64  # the head of a planner's request has 4
REQUEST_TIMEOUT_MS = timing.RESPONSE_TIMEOUT_MS  # for the complete request; clients wait no longer for a response
MAX_GENERATION_DIGITS = 18  # 18 digits fit into 64 bits
MAX_QUERY_FIELDS = 16  # two are known


@dataclass(frozen=True, slots=True)
class ListRequest:
    """A request for the complete list or for a watch.

    Attributes:
        follow: whether the request is for a watch.
        since: generation after which the watch resumes; None to start with the complete list.
    """

    follow: bool
    since: int | None


class RequestRejectedError(StackwheelError):
    """The request is rejected with a status other than 200.

    Attributes:
        status: status of the response.
        reason: body of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


async def read_request(reader: asyncio.StreamReader) -> ListRequest | None:
    """Read the first request of a connection.

    Returns:
        The request, or None if the client disconnected or did not send a complete request within REQUEST_TIMEOUT_MS.

    Raises:
        RequestRejectedError: the request is malformed, or is not for an endpoint list.
        OSError: the connection failed.
    """
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_HEAD_BYTES)
    try:
        return await wait_for_result(REQUEST_TIMEOUT_MS, _next_request(http, reader))
    except h11.RemoteProtocolError as error:
        raise RequestRejectedError(error.error_status_hint, str(error)) from error


async def _next_request(http: h11.Connection, reader: asyncio.StreamReader) -> ListRequest | None:
    line_count = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(timing.ACCEPTED_READ_BYTES)
            line_count += data.count(b"\n")
            if line_count > MAX_REQUEST_HEAD_LINES:
                raise RequestRejectedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "too many header fields")
            http.receive_data(data)
        elif isinstance(event, h11.Request):
            return parse_request(event)
        else:
            return None


def parse_request(request: h11.Request) -> ListRequest:
    """Parse the target of an HTTP request.

    Raises:
        RequestRejectedError: with status 400 for a malformed request, 404 for an unknown path and 405 for a method
            other than GET.
    """
    try:
        target = urlsplit(request.target.decode("ascii"))
        query = dict(parse_qsl(target.query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS))
    except ValueError as error:
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, f"no target: {error}") from error
    if target.path != INSTANCES_PATH:
        raise RequestRejectedError(HTTPStatus.NOT_FOUND, "no such path")
    if request.method != b"GET":
        raise RequestRejectedError(HTTPStatus.METHOD_NOT_ALLOWED, "only GET")
    if request.http_version != b"1.1":
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "only HTTP/1.1")
    return _parse_query(query)


def _parse_query(query: dict[str, str]) -> ListRequest:
    follow = query.get("follow", "0")
    if follow not in ("0", "1"):
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "follow is 0 or 1")
    since = query.get("since")
    if since is not None and not (since.isascii() and since.isdigit() and len(since) <= MAX_GENERATION_DIGITS):
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "since is no generation")
    return ListRequest(follow == "1", None if since is None else int(since))
