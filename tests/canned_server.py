"""A server that sends the same bytes on each connection, independently of the request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import TypeVar

T = TypeVar("T")
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


class ConnectionEnd(Enum):
    """How the server ends a connection after it has written the bytes."""

    CLOSE = auto()
    RESET = auto()
    KEEP_OPEN = auto()


def canned_response(data: bytes, end: ConnectionEnd = ConnectionEnd.CLOSE) -> ConnectionHandler:
    """Create a handler that waits for the head of a request, writes `data`, and ends the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        if end is ConnectionEnd.RESET:
            writer.transport.abort()
        elif end is ConnectionEnd.CLOSE:
            writer.close()
        else:
            await asyncio.Event().wait()

    return serve


def run_with_server(serve: ConnectionHandler, use_server: Callable[[str], Awaitable[T]]) -> T:
    """Start a server, and return the result of `use_server`, which is called with the server's address."""

    async def run() -> T:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return await use_server(f"{host}:{port}")

    return asyncio.run(run())
