"""A limit on the total size of the responses that are being sent; reservations are admitted in order of request."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """A pending reservation of `size` bytes; `admitted` is resolved when these bytes have been reserved."""

    size: int
    admitted: asyncio.Future[None]


class ByteBudget:
    """Limits the number of bytes that are reserved at the same time.

    A reservation that is larger than the limit is admitted when no other bytes are reserved.

    Attributes:
        limit_bytes: maximum number of reserved bytes.
        reserved_bytes: number of reserved bytes.
        waiting: pending reservations in the order of the requests.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.waiting: deque[_Waiter] = deque()

    def has_capacity(self, size: int) -> bool:
        """Return whether `reserve` would reserve `size` bytes without waiting."""
        return not self.waiting and self._fits(size)

    @asynccontextmanager
    async def reserve(self, size: int) -> AsyncIterator[None]:
        """Reserve `size` bytes after all earlier requests, and release them when the context ends."""
        if self.has_capacity(size):
            self.reserved_bytes += size
        else:
            await self._wait_for_capacity(size)
        try:
            yield
        finally:
            self._release(size)

    async def _wait_for_capacity(self, size: int) -> None:
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self.waiting.append(waiter)
        try:
            await waiter.admitted
        except asyncio.CancelledError:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
                self._admit()
            else:  # cancelled after the bytes were reserved
                self._release(size)
            raise

    def _release(self, size: int) -> None:
        self.reserved_bytes -= size
        self._admit()

    def _admit(self) -> None:
        while self.waiting and self._fits(self.waiting[0].size):
            waiter = self.waiting.popleft()
            self.reserved_bytes += waiter.size
            if not waiter.admitted.cancelled():
                waiter.admitted.set_result(None)

    def _fits(self, size: int) -> bool:
        return self.reserved_bytes == 0 or self.reserved_bytes + size <= self.limit_bytes
