"""Turns in which connections process the data they have received, so that one flooding client delays no other."""

from __future__ import annotations

import asyncio

MAX_LINES_PER_TURN = 32
"""Maximum number of lines that a connection processes before it waits for its next turn.

More than a proxy sends in a report interval, so that an ordinary read needs one turn.
"""


MAX_FIRST_TURNS_PER_ITERATION = 128
"""Maximum number of connections that begin to process a read in one iteration of the event loop.

More than connect in one iteration when all proxies connect at once. Together with MAX_LINES_PER_TURN, it limits the
messages that wait for the planner actor.
"""


class ReadTurns:
    """Grants turns to connections that have received data.

    The first turn of a read is granted at once, unless very many connections have received data at the same time.
    Further turns are granted in order of request, at most one in each iteration of the event loop. New data of other
    connections, the planner actor and outgoing messages are processed between two turns.
    """

    def __init__(self) -> None:
        self._order = asyncio.Lock()  # a lock is acquired in order of request
        self._first_turns = 0  # in this iteration of the event loop
        self._waiting: list[asyncio.Future[None]] = []  # for a first turn, at most one for each connection

    async def wait_for_first(self) -> None:
        """Wait for the first turn of a read; these are granted in order of request, too."""
        if self._waiting or self._first_turns >= MAX_FIRST_TURNS_PER_ITERATION:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._count_first_turn()

    async def wait(self) -> None:
        """Wait for the next turn of a read."""
        async with self._order:
            await asyncio.sleep(0)

    def _count_first_turn(self) -> None:
        if self._first_turns == 0:
            asyncio.get_running_loop().call_soon(self._begin_iteration)
        self._first_turns += 1

    def _begin_iteration(self) -> None:
        """Grant turns to waiting connections, which use them before the next call of this method."""
        waiting = [turn for turn in self._waiting if not turn.done()]  # those of cancelled connections are done
        granted = waiting[:MAX_FIRST_TURNS_PER_ITERATION]
        self._waiting = waiting[MAX_FIRST_TURNS_PER_ITERATION:]
        self._first_turns = len(granted)
        for turn in granted:
            turn.set_result(None)
        if granted:
            asyncio.get_running_loop().call_soon(self._begin_iteration)
