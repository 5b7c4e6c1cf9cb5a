"""Turns in which connections process the data they have received, so that one flooding client delays no other."""

from __future__ import annotations

import asyncio

MAX_LINES_PER_TURN = 32
"""Maximum number of lines that a connection processes before it waits for its next turn.

More than a proxy sends in a report interval, so that an ordinary read needs one turn.
"""


class ReadTurns:
    """Grants further turns to connections that have more data than one turn may process.

    Turns are granted in order of request, at most one in each iteration of the event loop. New data of other
    connections, the planner actor and outgoing messages are processed between two turns.
    """

    def __init__(self) -> None:
        self._order = asyncio.Lock()  # a lock is acquired in order of request

    async def wait(self) -> None:
        """Wait for the next turn."""
        async with self._order:
            await asyncio.sleep(0)
