"""A watcher's actor: writes what its mailbox holds, and bounds what the watcher leaves unread."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from loguru import logger

from stackwheel.wire import timing
from stackwheel.wire.byte_budget import ByteBudget
from stackwheel.wire.http import within

UNREAD_MOST = 64 << 10  # bytes of changes that wait for one watcher: beyond it the whole part is hardly more
EMPTY_LINE = b"1\r\n\n\r\n"


def chunk(line: bytes) -> bytes:
    """A line as one chunk of an answer's body, framed once for all watchers."""
    return b"%x\r\n%b\r\n" % (len(line), line)


class ListingWatch:
    """One open watch. `tell`, `owe_whole` and `beat` never wait; `run` writes.

    A slow watcher costs at most what it has not read of one write, and UNREAD_MOST. Beyond that its changes are
    dropped, and it is owed the whole part as it is once the watcher reads again.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        whole: Callable[[], bytes | None],
        budget: ByteBudget,
    ) -> None:
        self.writer, self.whole, self.budget = writer, whole, budget
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.whole_due = False
        self.writing = False
        self.ended = ""  # why, once it has to end
        self.mail = asyncio.Event()

    def tell(self, data: bytes) -> None:
        """Changes, framed. They are dropped where the whole part, which holds them, is due anyway."""
        if self.whole_due:
            return
        if self.writing and self.pending_bytes + len(data) > UNREAD_MOST:
            self.owe_whole()
            return
        self.pending.append(data)
        self.pending_bytes += len(data)
        self.mail.set()

    def owe_whole(self) -> None:
        self._drop_pending()
        self.whole_due = True
        self.mail.set()

    def beat(self) -> None:
        """An empty line, unless more than that waits to be read."""
        if not self.writing and not self.pending and not self.whole_due:
            self.tell(EMPTY_LINE)

    def end(self, reason: str) -> None:
        self.ended = self.ended or reason
        self.mail.set()

    async def run(self) -> None:
        """Write until it has to end; OSError where the connection breaks."""
        while not self.ended:
            await self.mail.wait()
            self.mail.clear()
            if self.ended:
                break
            if self.whole_due:
                async with self.budget.hold(len(self.whole() or b"")):
                    await self._write_whole()
            elif self.pending:
                await self._write(self._take_pending(), timing.WATCH_SILENCE_TIMEOUT_MS)
        logger.info("watch ended: {}", self.ended)

    async def _write_whole(self) -> None:
        """The part as it is at this moment: what is told from here on comes after it."""
        line = self.whole()
        self._drop_pending()
        self.whole_due = False
        if line is None:
            self.end("the cell is served elsewhere")
        elif not self.ended:
            await self._write(chunk(line), timing.LINE_TIMEOUT_MS)

    async def _write(self, data: bytes, limit: float) -> None:
        """Hand it to the network whole; who takes longer than `limit` (ms) does not read."""
        self.writing = True
        self.writer.write(data)
        drained = await within(limit, self._drained())
        self.writing = False
        if drained is None:
            self.end(f"nothing read for {limit / 1000.0:g} s")

    async def _drained(self) -> bool:
        await self.writer.drain()
        return True

    def _take_pending(self) -> bytes:
        data = b"".join(self.pending)
        self._drop_pending()
        return data

    def _drop_pending(self) -> None:
        self.pending.clear()
        self.pending_bytes = 0
