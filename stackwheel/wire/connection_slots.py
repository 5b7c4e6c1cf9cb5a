"""Limits on the connections of the endpoint list server: how many are open, and how many have no request yet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from itertools import islice

from stackwheel.wire import timing

MAX_PENDING_REQUESTS = 256
"""Maximum number of connections without an accepted request; an ordinary request arrives as a whole."""

REJECTION_SLOTS = 16
"""Number of connections beyond the maximum that may be open to send a rejection."""


@dataclass(slots=True, eq=False)
class Slot:
    """The place of one connection.

    Attributes:
        writer: stream of the connection; None while it is being set up.
        accepted_at: when the connection was accepted, in seconds on the event loop's clock.
    """

    accepted_at: float
    writer: asyncio.StreamWriter | None = None


@dataclass(slots=True, eq=False)
class ConnectionSlots:
    """The open connections of a server, whose descriptors and memory they limit.

    A client that sends its request slowly loses its connection to later clients when there are too many like it.

    Attributes:
        max_connections: maximum number of connections that are served.
        open: number of connections whose sockets are open.
        closing: connections that were closed in favour of later ones, and whose sockets are still open.
        pending: connections whose request is incomplete or is being rejected, the oldest first.
        released: set when a connection has been closed or its request has been accepted.
    """

    max_connections: int
    open: int = 0
    closing: set[Slot] = field(default_factory=set)
    pending: dict[Slot, None] = field(default_factory=dict)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_overloaded(self) -> bool:
        """Whether more connections are open than may be served."""
        return self.open - len(self.closing) > self.max_connections

    @property
    def has_room(self) -> bool:
        """Whether another connection may be accepted, if only to be rejected."""
        return self.open < self.max_connections + REJECTION_SLOTS

    def occupy(self) -> Slot:
        """Count an accepted connection."""
        self.open += 1
        slot = Slot(asyncio.get_running_loop().time())
        self.pending[slot] = None
        return slot

    def accept_request(self, slot: Slot) -> None:
        """Record that the request of a connection is being answered."""
        self.pending.pop(slot, None)
        self.released.set()

    def release(self, slot: Slot) -> None:
        """Remove a connection whose socket is closed."""
        self.open -= 1
        self.closing.discard(slot)
        self.pending.pop(slot, None)
        self.released.set()

    async def wait_for_slot(self) -> None:
        """Wait until another connection may be accepted; closes those that have had no accepted request for longest.

        Connections whose first bytes may still be unread are not closed.
        """
        while True:
            self._close_pending()
            if self.has_room and len(self.pending) < MAX_PENDING_REQUESTS:
                return
            await self._wait_for_release()

    def _close_pending(self) -> None:
        """Close the oldest pending connections until another one fits into the limits."""
        latest_start = asyncio.get_running_loop().time() - timing.FIRST_READ_GRACE_MS / 1000.0
        open_excess = self.open - len(self.closing) + 1 - self.max_connections
        pending_excess = len(self.pending) + 1 - MAX_PENDING_REQUESTS
        for slot in list(islice(self.pending, max(0, open_excess, pending_excess))):
            if slot.writer is None or slot.accepted_at > latest_start:
                return
            del self.pending[slot]
            self.closing.add(slot)
            slot.writer.transport.abort()

    async def _wait_for_release(self) -> None:
        """Wait until a connection is released, or the first bytes of another one may have been read."""
        self.released.clear()
        try:
            async with asyncio.timeout(timing.FIRST_READ_GRACE_MS / 1000.0):
                await self.released.wait()
        except TimeoutError:
            return
