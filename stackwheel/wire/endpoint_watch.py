"""One open watch: writes what waits for its watcher, and bounds what the watcher leaves unread."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from loguru import logger

from stackwheel.wire import timing
from stackwheel.wire.byte_budget import ByteBudget
from stackwheel.wire.http import within

MAX_PENDING_BYTES = 64 << 10  # deltas that wait for one watcher: beyond it a snapshot is hardly more
HEARTBEAT_CHUNK = b"1\r\n\n\r\n"  # an empty line


def chunk(line: bytes) -> bytes:
    """A line as one chunk of a response's body, framed once for all watchers."""
    return b"%x\r\n%b\r\n" % (len(line), line)


class EndpointWatch:
    """One open watch. `enqueue`, `request_snapshot` and `send_heartbeat` never wait; `run` writes.

    A slow watcher costs at most what it has not read of one write, and MAX_PENDING_BYTES. Beyond that its deltas are
    dropped, and it gets a snapshot of the present state once it reads again.

    Attributes:
        snapshot: the cell's complete list as one line; None if the cell is no longer served.
        budget: bounds the bytes of all snapshots that are being sent.
        pending: chunks that wait to be written.
        pending_bytes: the size of `pending`.
        is_snapshot_due: whether the watcher gets a snapshot next.
        is_writing: whether a write waits for the watcher to read.
        end_reason: why the watch ends; empty while it goes on.
        wakeup: set when there is something to do.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        snapshot: Callable[[], bytes | None],
        budget: ByteBudget,
    ) -> None:
        self.writer = writer
        self.snapshot = snapshot
        self.budget = budget
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.is_snapshot_due = False
        self.is_writing = False
        self.end_reason = ""
        self.wakeup = asyncio.Event()

    def enqueue(self, data: bytes) -> None:
        """Send a chunk. It is dropped where a snapshot, which contains its changes, is due anyway."""
        if self.is_snapshot_due:
            return
        if self.is_writing and self.pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.request_snapshot()
            return
        self.pending.append(data)
        self.pending_bytes += len(data)
        self.wakeup.set()

    def request_snapshot(self) -> None:
        """Send a snapshot in place of what waits."""
        self._drop_pending()
        self.is_snapshot_due = True
        self.wakeup.set()

    def send_heartbeat(self) -> None:
        """Send an empty line, unless more than that waits to be read."""
        if not self.is_writing and not self.pending and not self.is_snapshot_due:
            self.enqueue(HEARTBEAT_CHUNK)

    def end(self, reason: str) -> None:
        """End the watch; the first reason counts."""
        self.end_reason = self.end_reason or reason
        self.wakeup.set()

    async def run(self) -> None:
        """Write until the watch ends.

        Raises:
            OSError: the connection broke.
        """
        while not self.end_reason:
            await self.wakeup.wait()
            self.wakeup.clear()
            if self.end_reason:
                break
            if self.is_snapshot_due:
                async with self.budget.reserve(len(self.snapshot() or b"")):
                    await self._write_snapshot()
            elif self.pending:
                await self._write(self._take_pending(), timing.WATCH_SILENCE_TIMEOUT_MS)
        logger.info("watch ended: reason={}", self.end_reason)

    async def _write_snapshot(self) -> None:
        """Write the list as it is at this moment: what is enqueued from here on comes after it."""
        line = self.snapshot()
        self._drop_pending()
        self.is_snapshot_due = False
        if line is None:
            self.end("cell served elsewhere")
        elif not self.end_reason:
            await self._write(chunk(line), timing.LINE_TIMEOUT_MS)

    async def _write(self, data: bytes, timeout: float) -> None:
        """Hand all of it to the network; a watcher that takes longer than `timeout` (ms) does not read."""
        self.is_writing = True
        self.writer.write(data)
        drained = await within(timeout, self._drained())
        self.is_writing = False
        if drained is None:
            self.end(f"not read for {timeout / 1000.0:g} s")

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
