"""Liveness of the discovery service; a relay serves its list as current only while the discovery service is alive."""

from __future__ import annotations


class UpstreamLiveness:
    """Detects the loss of the discovery service; all times are in ms on the same clock.

    Attributes:
        timeout: time without a line or heartbeat after which the discovery service counts as lost, ms.
        last_seen_at: when the last line or heartbeat was received; None if none was received, or none since the
            last loss.
    """

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout
        self.last_seen_at: float | None = None

    def mark_alive(self, now: float) -> None:
        """Record that a line or heartbeat was received from the discovery service."""
        self.last_seen_at = now

    def is_alive(self, now: float) -> bool:
        """Return whether a line or heartbeat was received within the timeout."""
        return self.last_seen_at is not None and now < self.last_seen_at + self.timeout

    def detect_loss(self, now: float) -> bool:
        """Return True once for each loss of the discovery service, at the first call after the timeout."""
        if self.last_seen_at is None or self.is_alive(now):
            return False
        self.last_seen_at = None
        return True
