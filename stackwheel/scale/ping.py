"""Asks a planner whether it is ready: PING, answered by PONG."""

from __future__ import annotations

import asyncio

from stackwheel.wire.http import split_address


async def answers_ping(address: str, timeout: float | None = None) -> bool:
    """Whether a planner answers at this address; `timeout`: s until its answer, None for no limit."""
    host, port = split_address(address)
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    try:
        writer.write(b"PING\r\n")
        return await asyncio.wait_for(reader.readline(), timeout) == b"PONG\r\n"
    except OSError:  # TimeoutError, too
        return False
    finally:
        writer.transport.abort()
