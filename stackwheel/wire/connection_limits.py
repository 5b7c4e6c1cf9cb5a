"""Limits on accepted connections: messages written to one proxy, and total bytes buffered for all connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol


class RateLimiter:
    """A sliding-window limit on the messages written to one proxy."""

    def __init__(self, cap: int, window: float) -> None:
        """Allow at most `cap` messages within any period of `window` ms; a cap of 0 means no limit."""
        self.window_s = window / 1000.0
        self.written_at: deque[float] | None = deque(maxlen=cap) if cap else None

    def delay(self, now: float) -> float:
        """Return the time from `now` until another message may be written, both in seconds."""
        if self.written_at is None or len(self.written_at) < (self.written_at.maxlen or 0):
            return 0.0
        return max(0.0, self.written_at[0] + self.window_s - now)

    def record_write(self, now: float) -> None:
        """Count a message that is written at the time `now`, in seconds."""
        if self.written_at is not None:
            self.written_at.append(now)


class BufferOwner(Protocol):
    """The part of a connection that the buffer budget uses."""

    def close(self, reason: str) -> None:
        """Abort the connection and drop its buffered data."""


class BufferBudget:
    """Limit on the total bytes that connections buffer: partial lines received and messages not yet written.

    While the total exceeds the limit, the connection that buffers the most bytes is closed.

    Attributes:
        limit_bytes: returns the limit, which depends on the number of connections.
        total_bytes: total number of buffered bytes.
        bytes_by_connection: number of buffered bytes of each connection that buffers any.
    """

    def __init__(self, limit_bytes: Callable[[], int]) -> None:
        """Create a budget without any buffered bytes."""
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.bytes_by_connection: dict[BufferOwner, int] = {}

    def account(self, connection: BufferOwner, byte_count: int) -> None:
        """Set the number of bytes that a connection buffers; closes connections until the total is within the limit."""
        self.total_bytes += byte_count - self.bytes_by_connection.pop(connection, 0)
        if byte_count:
            self.bytes_by_connection[connection] = byte_count
        while self.bytes_by_connection and self.total_bytes > (limit := self.limit_bytes()):
            largest = max(self.bytes_by_connection, key=self.bytes_by_connection.__getitem__)
            self.total_bytes -= self.bytes_by_connection.pop(largest)
            largest.close(f"largest buffer while all connections together exceed {limit} buffered bytes")
