"""The table of accepted connections.

It limits the number of open file descriptors: if none is free, it closes idle connections and delays new ones.
"""

from __future__ import annotations

import asyncio
from itertools import islice

from stackwheel.wire import timing
from stackwheel.wire.connection import Connection

NO_FREE_DESCRIPTOR = "no free descriptor"  # first part of the reason for closing an evicted connection


class ConnectionTable:
    """All accepted connections, and the number of file descriptors in use by them and by health checks.

    A descriptor is in use until its socket is closed, which takes several iterations of the event loop after the end
    of the connection.

    Attributes:
        max_descriptors: maximum number of file descriptors of the process.
        arriving: number of accepted connections that are being set up.
        connections: connections that have been set up and whose sockets are open, the oldest first.
        closing: those of `connections` that have ended or are being closed.
        unidentified: those of `connections` that are neither streams nor collectors, the oldest first.
        collectors: collectors by zone index; reports from all of them are accepted.
        health_checks_in_flight: number of health checks that hold a descriptor.
        released: event that is set when a descriptor has been released.
    """

    def __init__(self, max_descriptors: int) -> None:
        """Create a table without connections."""
        self.max_descriptors = max_descriptors
        self.arriving = 0
        self.connections: dict[Connection, None] = {}
        self.closing: set[Connection] = set()
        self.unidentified: dict[Connection, None] = {}
        self.collectors: dict[int, list[Connection]] = {}
        self.health_checks_in_flight = 0
        self.released = asyncio.Event()

    @property
    def capacity(self) -> int:
        """Maximum number of descriptors for connections and health checks."""
        return max(1, self.max_descriptors - timing.RESERVED_DESCRIPTORS)

    @property
    def in_use(self) -> int:
        """Number of descriptors in use by connections, including those being closed, and by health checks."""
        return self.arriving + len(self.connections) + self.health_checks_in_flight

    def at_capacity(self) -> bool:
        """Return whether no descriptor is free for another connection or health check."""
        return self.in_use >= self.capacity

    def add(self, connection: Connection) -> None:
        """Add a connection that has been set up."""
        self.connections[connection] = None
        self.on_identified(connection, False)

    def on_ended(self, connection: Connection) -> None:
        """Mark a connection as closing: it has ended, but its socket is still open."""
        self.closing.add(connection)
        self.unidentified.pop(connection, None)
        if connection.zone is not None:
            self.collectors[connection.zone].remove(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a connection whose socket is closed."""
        self.connections.pop(connection, None)
        self.closing.discard(connection)
        self.released.set()

    def on_identified(self, connection: Connection, identified: bool) -> None:
        """Update the table when a connection has identified itself, or has to identify itself again.

        If a new collector exceeds MAX_COLLECTORS_PER_ZONE, the longest idle of the zone's other collectors is closed.
        """
        self.unidentified.pop(connection, None)
        if not identified:
            self.unidentified[connection] = None
        elif connection.zone is not None:
            others = [other for other in self.collectors.get(connection.zone, []) if other is not connection]
            self.collectors[connection.zone] = [*others, connection]
            if len(others) >= timing.MAX_COLLECTORS_PER_ZONE:
                longest_idle = min(others, key=lambda other: other.last_received_at)
                longest_idle.close("replaced by a newer collector of its zone")

    async def wait_for_capacity(self) -> None:
        """Wait until a descriptor is free for another connection; closes an open connection if necessary."""
        while self.at_capacity():
            self.released.clear()
            if self.closing or self.evict_one():
                await self.released.wait()
            else:
                await asyncio.sleep(timing.FIRST_READ_GRACE_MS / 5000.0)  # a fifth of the grace period, in seconds

    def reserve_capacity(self) -> None:
        """Close the oldest unidentified connections until `accept_reserve` descriptors are free for new ones.

        Connections whose first bytes may still be unread are not closed.
        """
        excess = self.in_use - len(self.closing) - (self.capacity - timing.accept_reserve(self.capacity))
        latest_start = asyncio.get_running_loop().time() - timing.BURST_FIRST_READ_GRACE_MS / 1000.0
        for connection in list(islice(self.unidentified, max(0, excess))):
            if connection.unidentified_since > latest_start:
                return
            self.close_unidentified(connection, f"{NO_FREE_DESCRIPTOR}, oldest unidentified connection")

    def evict_one(self) -> bool:
        """Close the oldest unidentified connection or, if all are identified, the longest idle connection.

        Unidentified connections whose first bytes may still be unread, and connections that have been idle for less
        than MIN_IDLE_BEFORE_EVICTION_MS, are not closed.

        Returns:
            Whether a connection is being closed.
        """
        now = asyncio.get_running_loop().time()
        oldest = next(iter(self.unidentified), None)
        if oldest is not None:
            if oldest.unidentified_since > now - timing.FIRST_READ_GRACE_MS / 1000.0:
                return False
            self.close_unidentified(oldest, f"{NO_FREE_DESCRIPTOR}, oldest unidentified connection")
            return True
        idle = min(self.connections, key=lambda connection: connection.last_received_at, default=None)
        if idle is None or idle.is_closing or idle.last_received_at > now - timing.MIN_IDLE_BEFORE_EVICTION_MS / 1000.0:
            return False
        idle.close(f"{NO_FREE_DESCRIPTOR}, longest idle connection")
        return True

    def close_unidentified(self, connection: Connection, reason: str) -> None:
        """Close an unidentified connection; its descriptor is in use until the socket is closed."""
        self.unidentified.pop(connection, None)
        self.closing.add(connection)
        connection.close(reason)

    async def sweep(self) -> None:
        """Close connections that remain unidentified for IDENTIFY_TIMEOUT_MS, even if they send data."""
        loop = asyncio.get_running_loop()
        while True:
            sweep_due = loop.time() + timing.UNIDENTIFIED_SWEEP_INTERVAL_MS / 1000.0
            await asyncio.sleep(timing.UNIDENTIFIED_SWEEP_INTERVAL_MS / 1000.0)
            # If this process was suspended, first allow time to read the data that arrived in the meantime.
            if loop.time() > sweep_due + timing.STALL_GRACE_MS / 1000.0:
                await asyncio.sleep(timing.STALL_GRACE_MS / 1000.0)
            accepted_before = loop.time() - timing.IDENTIFY_TIMEOUT_MS / 1000.0
            overdue = [other for other in self.unidentified if other.unidentified_since < accepted_before]
            for connection in overdue:
                self.close_unidentified(connection, f"not identified within {timing.IDENTIFY_TIMEOUT_MS / 1000.0:g} s")
