"""Whether a relay may serve its list as the present one: only while it hears from the discovery service."""

from __future__ import annotations


class UpstreamLiveness:
    """When the discovery service was last heard from; times in ms, one clock throughout.

    Attributes:
        timeout: ms without a line or heartbeat after which the discovery service counts as lost.
        last_seen_at: when it last sent anything; None: never, or lost and not seen since.
    """

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout
        self.last_seen_at: float | None = None

    def mark_alive(self, now: float) -> None:
        """The discovery service has sent something."""
        self.last_seen_at = now

    def is_alive(self, now: float) -> bool:
        """Whether it has sent something within the timeout."""
        return self.last_seen_at is not None and now < self.last_seen_at + self.timeout

    def detect_loss(self, now: float) -> bool:
        """Whether it has been lost since the last call; True once for each loss."""
        if self.last_seen_at is None or self.is_alive(now):
            return False
        self.last_seen_at = None
        return True
