"""One open watch at the relay's HTTP server: writes snapshots, deltas and heartbeats, and limits unread data.

These kinds of lines are described in `endpoint_list_server.py`. A watcher is the client of a watch.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from loguru import logger

from stackwheel.wire import timing
from stackwheel.wire.byte_budget import ByteBudget
from stackwheel.wire.http import wait_for_result

MAX_PENDING_BYTES = 64 << 10  # of the deltas queued for one watcher; above it, a snapshot is hardly larger
HEARTBEAT_CHUNK = b"1\r\n\n\r\n"  # an empty line


def encode_chunk(line: bytes) -> bytes:
    """Encode a line as one chunk of a response body."""
    return b"%x\r\n%b\r\n" % (len(line), line)


class EndpointWatch:
    """One open watch. `enqueue`, `request_snapshot` and `send_heartbeat` never wait; `run` writes.

    The memory for a slow watcher is limited to one write and MAX_PENDING_BYTES. If more data would be queued, the
    queued deltas are dropped, and the watcher receives a snapshot of the current list when it reads again.

    Attributes:
        snapshot: returns the cell's complete list as one line; None if the relay no longer serves the cell.
        budget: limit on the total size of the snapshots that are being sent.
        pending: chunks to be written.
        pending_bytes: total size of `pending`.
        is_snapshot_due: whether a snapshot is written next.
        is_writing: whether a write is waiting for the watcher to read.
        end_reason: reason for ending the watch; empty while it is open.
        wakeup: set when `run` has something to write, or has to end.
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
        """Queue a chunk; it is dropped if a snapshot is due, because the snapshot will contain its changes."""
        if self.is_snapshot_due:
            return
        if self.is_writing and self.pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.request_snapshot()
            return
        self.pending.append(data)
        self.pending_bytes += len(data)
        self.wakeup.set()

    def request_snapshot(self) -> None:
        """Queue a snapshot, which replaces all pending chunks."""
        self._drop_pending()
        self.is_snapshot_due = True
        self.wakeup.set()

    def send_heartbeat(self) -> None:
        """Queue a heartbeat, unless other data is waiting to be written or is being written."""
        if not self.is_writing and not self.pending and not self.is_snapshot_due:
            self.enqueue(HEARTBEAT_CHUNK)

    def end(self, reason: str) -> None:
        """End the watch; if it is ended several times, the first reason is logged."""
        self.end_reason = self.end_reason or reason
        self.wakeup.set()

    async def run(self) -> None:
        """Write queued data until the watch ends.

        Raises:
            OSError: the connection failed.
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
        """Write the current list; chunks that are queued afterwards follow it."""
        line = self.snapshot()
        self._drop_pending()
        self.is_snapshot_due = False
        if line is None:
            self.end("cell served elsewhere")
        elif not self.end_reason:
            await self._write(encode_chunk(line), timing.LINE_TIMEOUT_MS)

    async def _write(self, data: bytes, timeout_ms: float) -> None:
        """Write data, and end the watch if the watcher does not read all of it within the timeout."""
        self.is_writing = True
        self.writer.write(data)
        drained = await wait_for_result(timeout_ms, self._drained())
        self.is_writing = False
        if drained is None:
            self.end(f"watcher did not read for {timeout_ms / 1000.0:g} s")

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
