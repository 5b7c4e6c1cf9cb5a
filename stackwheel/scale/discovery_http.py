"""HTTP functions shared by the stand-ins for discovery: the path of the list, headers, and reading a request.

They implement the documented protocol independently of the planner's client, so that errors of the client are found.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

LIST_PATH = "/registry/instances"
CHUNKED_JSON_HEADERS = (("Content-Type", "application/json"), ("Transfer-Encoding", "chunked"))


async def read_request(
    http: h11.Connection, reader: asyncio.StreamReader, read_bytes: int, count: Callable[[int], None]
) -> h11.Request:
    """Read the first request of a connection.

    Args:
        http: protocol state of the server's side of the connection.
        reader: stream from which the request is read.
        read_bytes: maximum number of bytes of each read.
        count: called with the number of bytes of each read.

    Raises:
        ConnectionError: the connection ended before the request was complete.
        h11.RemoteProtocolError: the received bytes are not a valid request.
    """
    while True:
        event = http.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            raise ConnectionError("connection ended before a request was complete")
        data = await reader.read(read_bytes)
        count(len(data))
        http.receive_data(data)
