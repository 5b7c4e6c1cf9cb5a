"""A bound on the bytes of answers under way, taken and given back in the order of asking."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class ByteBudget:
    """At most so many bytes at once; one answer that is larger alone is let through by itself."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self.waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    def room(self, size: int) -> bool:
        """Whether `hold` would not wait."""
        return not self.waiting and self._fits(size)

    @asynccontextmanager
    async def hold(self, size: int) -> AsyncIterator[None]:
        """Hold so many bytes, once those who asked before have theirs."""
        if self.room(size):
            self.held += size
        else:
            await self._turn(size)
        try:
            yield
        finally:
            self._give_back(size)

    async def _turn(self, size: int) -> None:
        place = size, asyncio.get_running_loop().create_future()
        self.waiting.append(place)
        try:
            await place[1]
        except asyncio.CancelledError:
            if place in self.waiting:
                self.waiting.remove(place)
                self._admit()
            else:  # its turn had come
                self._give_back(size)
            raise

    def _give_back(self, size: int) -> None:
        self.held -= size
        self._admit()

    def _admit(self) -> None:
        while self.waiting and self._fits(self.waiting[0][0]):
            size, turn = self.waiting.popleft()
            self.held += size
            if not turn.cancelled():
                turn.set_result(None)

    def _fits(self, size: int) -> bool:
        return self.held == 0 or self.held + size <= self.most
