"""A server that answers each connection with the same bytes, whatever it is asked."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import TypeVar

T = TypeVar("T")
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


class After(Enum):
    """What the server does with a connection once the bytes are written."""

    CLOSE = auto()
    RESET = auto()
    KEEP_OPEN = auto()


def canned(data: bytes, after: After = After.CLOSE) -> Serve:
    """Serve connections with these bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        if after is After.RESET:
            writer.transport.abort()
        elif after is After.CLOSE:
            writer.close()
        else:
            await asyncio.Event().wait()

    return serve


def run_against(serve: Serve, work: Callable[[str], Awaitable[T]]) -> T:
    """What a coroutine returns that gets the address of a server."""

    async def run() -> T:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return await work(f"{host}:{port}")

    return asyncio.run(run())
