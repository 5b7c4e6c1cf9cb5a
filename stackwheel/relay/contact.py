"""Whether a relay may vouch for its list: only while it hears the registry."""

from __future__ import annotations


class Contact:
    """When the registry was last heard; times in ms, one clock throughout."""

    def __init__(self, silence: float) -> None:
        self.silence = silence  # after so long without a line or beat the registry counts as lost
        self.heard_at: float | None = None  # None: never, or lost and not heard since

    def heard(self, now: float) -> None:
        self.heard_at = now

    def vouched(self, now: float) -> bool:
        return self.heard_at is not None and now < self.heard_at + self.silence

    def lapse(self, now: float) -> bool:
        """Whether the contact has been lost since the last call; True once for each loss."""
        if self.heard_at is None or self.vouched(now):
            return False
        self.heard_at = None
        return True
