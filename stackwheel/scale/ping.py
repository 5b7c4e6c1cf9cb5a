"""Readiness check of a planner: sends PING and expects PONG."""

from __future__ import annotations

import asyncio

from stackwheel.wire.http import split_address


async def answers_ping(address: str, timeout: float | None = None) -> bool:
    """Return whether a planner responds to PING at this address.

    Args:
        address: HOST:PORT of the planner.
        timeout: maximum time for the response, s; None for no limit.
    """
    host, port = split_address(address)
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    try:
        writer.write(b"PING\r\n")
        return await asyncio.wait_for(reader.readline(), timeout) == b"PONG\r\n"
    except OSError:  # Includes TimeoutError.
        return False
    finally:
        writer.transport.abort()
