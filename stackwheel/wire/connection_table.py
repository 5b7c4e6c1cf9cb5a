"""Accepted connections within the limit on descriptors: who is counted, who is evicted, and for how long one waits."""

from __future__ import annotations

import asyncio
from itertools import islice

from stackwheel.wire import timing
from stackwheel.wire.connection import Connection

NO_DESCRIPTOR = "no free descriptor"  # reason for closing; the next words say why it was this connection


class ConnectionTable:
    """All accepted connections, and the descriptors that they and health checks hold.

    A descriptor counts until its socket is closed, which is some turns of the event loop after the connection ended.

    Attributes:
        max_descriptors: that the process may hold in all.
        arriving: connections accepted, but not attended yet.
        connections: attended, until their sockets are closed; the oldest first.
        closing: of these, those that ended or are being closed.
        unidentified: those that are neither streams nor collectors; the oldest first.
        collectors: of each zone; reports of the older ones count too.
        health_checks_in_flight: health checks that hold a descriptor.
        released: set whenever a descriptor has been given back.
    """

    def __init__(self, max_descriptors: int) -> None:
        """Start without any connection."""
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
        """Descriptors that connections and health checks may hold."""
        return max(1, self.max_descriptors - timing.RESERVED_DESCRIPTORS)

    @property
    def in_use(self) -> int:
        """Descriptors that connections and health checks hold, connections being closed among them."""
        return self.arriving + len(self.connections) + self.health_checks_in_flight

    def at_capacity(self) -> bool:
        """Whether no descriptor is free for another connection or health check."""
        return self.in_use >= self.capacity

    def add(self, connection: Connection) -> None:
        """Count a connection that is attended from now on."""
        self.connections[connection] = None
        self.on_identified(connection, False)

    def on_ended(self, connection: Connection) -> None:
        """The connection has ended, but its socket is still open."""
        self.closing.add(connection)
        self.unidentified.pop(connection, None)
        if connection.zone is not None:
            self.collectors[connection.zone].remove(connection)

    def remove(self, connection: Connection) -> None:
        """The connection's socket is closed."""
        self.connections.pop(connection, None)
        self.closing.discard(connection)
        self.released.set()

    def on_identified(self, connection: Connection, identified: bool) -> None:
        """Track unidentified connections and each zone's collectors.

        Over MAX_COLLECTORS_PER_ZONE collectors of a zone, the one that has been idle longest is closed.
        """
        self.unidentified.pop(connection, None)
        if not identified:
            self.unidentified[connection] = None
        elif connection.zone is not None:
            others = [other for other in self.collectors.get(connection.zone, []) if other is not connection]
            self.collectors[connection.zone] = [*others, connection]
            if len(others) >= timing.MAX_COLLECTORS_PER_ZONE:
                longest_idle = min(others, key=lambda other: other.last_received_at)
                longest_idle.close("its zone has newer collectors")

    async def wait_for_capacity(self) -> None:
        """Wait until another connection may be accepted: an evicted one counts until its socket is closed."""
        while self.at_capacity():
            self.released.clear()
            if self.closing or self.evict_one():
                await self.released.wait()
            else:
                await asyncio.sleep(timing.FIRST_READ_MS / 5000.0)  # a fifth of it, in s

    def reserve_capacity(self) -> None:
        """Close the oldest unidentified connections until a burst within one turn of the event loop finds capacity.

        Those whose first bytes may still be unread stay, and so does who is identified.
        """
        excess = self.in_use - len(self.closing) - (self.capacity - timing.accept_reserve(self.capacity))
        latest_start = asyncio.get_running_loop().time() - timing.BURST_FIRST_READ_MS / 1000.0
        for connection in list(islice(self.unidentified, max(0, excess))):
            if connection.unidentified_since > latest_start:
                return
            self.close_unidentified(connection, f"{NO_DESCRIPTOR}, oldest unidentified connection")

    def evict_one(self) -> bool:
        """Close the oldest unidentified connection, or else the one idle longest; whether one is being closed.

        An unidentified one whose first bytes may still be unread is not closed.
        """
        now = asyncio.get_running_loop().time()
        oldest = next(iter(self.unidentified), None)
        if oldest is not None:
            if oldest.unidentified_since > now - timing.FIRST_READ_MS / 1000.0:
                return False
            self.close_unidentified(oldest, f"{NO_DESCRIPTOR}, oldest unidentified connection")
            return True
        idle = min(self.connections, key=lambda connection: connection.last_received_at, default=None)
        if idle is None or idle.closing or idle.last_received_at > now - timing.IDLE_CONNECTION_MS / 1000.0:
            return False
        idle.close(f"{NO_DESCRIPTOR}, longest idle connection")
        return True

    def close_unidentified(self, connection: Connection, reason: str) -> None:
        """Close a connection that has not identified itself; its descriptor counts until the socket is closed."""
        self.unidentified.pop(connection, None)
        self.closing.add(connection)
        connection.close(reason)

    async def sweep(self) -> None:
        """Close connections that are unidentified IDENTIFY_TIMEOUT_MS after they were accepted, whatever they sent."""
        loop = asyncio.get_running_loop()
        while True:
            sweep_due = loop.time() + timing.UNIDENTIFIED_SWEEP_INTERVAL_MS / 1000.0
            await asyncio.sleep(timing.UNIDENTIFIED_SWEEP_INTERVAL_MS / 1000.0)
            # A process that was suspended has not read yet what arrived meanwhile.
            if loop.time() > sweep_due + timing.STALL_GRACE_MS / 1000.0:
                await asyncio.sleep(timing.STALL_GRACE_MS / 1000.0)
            accepted_before = loop.time() - timing.IDENTIFY_TIMEOUT_MS / 1000.0
            late = [other for other in self.unidentified if other.unidentified_since < accepted_before]
            for connection in late:
                self.close_unidentified(connection, f"not identified within {timing.IDENTIFY_TIMEOUT_MS / 1000.0:g} s")
