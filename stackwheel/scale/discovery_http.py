"""What the stand-ins for discovery share of HTTP: the path of the list, the headers, and reading a request.

It is written from the protocol's page, apart from the planner's client, so that a fault of the client shows.
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
    """Read the request that a connection begins with.

    Args:
        http: the server's side of the connection.
        reader: where the connection's bytes come from.
        read_bytes: at most, at a time.
        count: called with the number of bytes of each read.

    Raises:
        ConnectionError: the connection ended before a request was complete.
        h11.RemoteProtocolError: the bytes are not a request.
    """
    while True:
        event = http.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            raise ConnectionError("no request")
        data = await reader.read(read_bytes)
        count(len(data))
        http.receive_data(data)
