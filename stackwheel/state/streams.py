"""Streams of the proxies that are connected to this planner, and their pending acknowledgements.

A stream carries the updates of one proxy, and in the other direction its reports and acknowledgements. A nonce is a
number in an update that the proxy echoes once it has applied the update.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from stackwheel.interface import Event, ProxyJoined, ProxyLeft, ServerId

MAX_PENDING_NONCES = 64
"""Maximum number of stored unacknowledged nonces per stream; a stream usually times out before it has as many."""

CLOCK_TOLERANCE_MS = 1000.0
"""Maximum amount by which the duration stated in an acknowledgement may exceed the time since the nonce was sent.

The planner starts to measure later than the proxy.
"""


class StreamConnection(Protocol):
    """The connection of a stream. Connections are compared by identity."""

    def on_superseded(self) -> None:
        """Handle the replacement of this connection by a newer connection of the same proxy."""

    def on_attached(self) -> None:
        """Handle the attachment of this connection to a proxy's stream, possibly after it was superseded."""


@dataclass(slots=True)
class ProxyStream:
    """The stream of a proxy; owned by `ProxyStreams` once the proxy has joined.

    Attributes:
        proxy: number of the proxy.
        zone: index of the proxy's zone.
        expected_rate: requests per second that the proxy expects.
        newly_started: whether the proxy has only its standing tables, so that no earlier ejection is in effect there.
        connection: connection of the stream.
        table_by_class: assigned table by request class; at most one entry per class.
        ejected: whether a server was ejected (True) or restored (False) by the latest update over this stream that
            concerned it; at most one entry per listed or remembered server.
        ack_pending_since: time of the first nonce since the last received message, ms; None if no nonce has been
            sent since then.
        pending_nonces: time of sending of each unacknowledged nonce, oldest first, ms; at most `MAX_PENDING_NONCES`.
    """

    proxy: int
    zone: int
    expected_rate: float
    newly_started: bool
    connection: StreamConnection
    table_by_class: dict[int, int] = field(default_factory=dict)
    ejected: dict[ServerId, bool] = field(default_factory=dict)
    ack_pending_since: float | None = None
    pending_nonces: dict[int, float] = field(default_factory=dict)

    def tables(self) -> set[int]:
        """Return the tables that are assigned to the proxy."""
        return set(self.table_by_class.values())

    def joined_event(self) -> Event:
        """Return the event that notifies the policy that the proxy has joined."""
        return ProxyJoined(self.proxy, self.zone, self.expected_rate, self.newly_started)


def find_stream(streams: Mapping[int, ProxyStream], proxy: int, connection: StreamConnection) -> ProxyStream | None:
    """Return the stream of a proxy; None if there is none or it uses another connection."""
    stream = streams.get(proxy)
    return stream if stream is not None and stream.connection is connection else None


class ProxyStreams:
    """The streams of the connected proxies; owned by the planner actor.

    The connection to a machine that fails or loses its network may stay open. A stream therefore times out if a nonce
    remains unacknowledged and nothing else is received for `ack_timeout`, and its proxy counts as having left. The
    connection is not closed, and the next message over it makes the proxy join again.

    Attributes:
        ack_timeout: time after which a stream times out, ms.
        by_proxy: active streams; at most one per proxy.
        timed_out: streams that have timed out and whose connections are still open; at most one per proxy.
    """

    def __init__(self, ack_timeout: float = math.inf) -> None:
        self.ack_timeout = ack_timeout
        self.by_proxy: dict[int, ProxyStream] = {}
        self.timed_out: dict[int, ProxyStream] = {}

    def join(self, stream: ProxyStream) -> Iterator[Event]:
        """Add a proxy's stream; it replaces an earlier stream of the proxy, whose end is then ignored."""
        active = self.by_proxy.pop(stream.proxy, None)
        timed_out = self.timed_out.pop(stream.proxy, None)
        for previous in (active, timed_out):
            if previous is not None and previous.connection is not stream.connection:
                previous.connection.on_superseded()
        stream.connection.on_attached()  # the connection may have been superseded earlier in the same batch
        self.by_proxy[stream.proxy] = stream
        if active is not None:
            yield ProxyLeft(active.proxy)
        yield stream.joined_event()

    def leave(self, proxy: int, connection: StreamConnection) -> Iterator[Event]:
        """Remove the stream of a proxy unless it uses another connection."""
        if find_stream(self.timed_out, proxy, connection) is not None:
            del self.timed_out[proxy]
        elif find_stream(self.by_proxy, proxy, connection) is not None:
            del self.by_proxy[proxy]
            yield ProxyLeft(proxy)

    def message_received(self, proxy: int, connection: StreamConnection) -> Iterable[Event] | None:
        """Reset the acknowledgement timeout of a stream over which a message was received.

        Returns:
            The events for the policy, which are not empty if the stream had timed out; None if the proxy's stream
            does not use this connection.
        """
        stream = find_stream(self.by_proxy, proxy, connection)
        if stream is not None:
            stream.ack_pending_since = None
            return ()
        stream = find_stream(self.timed_out, proxy, connection)
        if stream is not None:
            logger.info("stream resumed: connection={} reason=a message was received after the timeout", connection)
            return self.join(ProxyStream(proxy, stream.zone, stream.expected_rate, False, connection))
        return None

    def nonce_sent(self, proxy: int, nonce: int, now: float) -> None:
        """Record that a nonce was sent to a connected proxy; the oldest nonce is dropped if there are too many."""
        stream = self.by_proxy[proxy]
        if stream.ack_pending_since is None:
            stream.ack_pending_since = now
        stream.pending_nonces.pop(nonce, None)
        stream.pending_nonces[nonce] = now
        if len(stream.pending_nonces) > MAX_PENDING_NONCES:
            del stream.pending_nonces[next(iter(stream.pending_nonces))]

    def acknowledge(self, proxy: int, nonce: int, elapsed: float, now: float) -> bool:
        """Remove an acknowledged nonce of a connected proxy, and all earlier ones, which are thereby acknowledged.

        Returns:
            False if the nonce is not pending, or was sent less than `elapsed` ms ago.
        """
        stream = self.by_proxy[proxy]
        sent_at = stream.pending_nonces.get(nonce)
        if sent_at is None or elapsed > now - sent_at + CLOCK_TOLERANCE_MS:
            return False
        for pending in list(stream.pending_nonces):
            del stream.pending_nonces[pending]
            if pending == nonce:
                break
        return True

    def forget(self, server: ServerId) -> None:
        """Remove a server that is no longer remembered from the ejections of all streams."""
        for stream in self.by_proxy.values():
            stream.ejected.pop(server, None)

    def time_out(self, now: float) -> Iterator[Event]:
        """Move streams with overdue acknowledgements to `timed_out`, and yield the events that their proxies left."""
        earliest_valid = now - self.ack_timeout
        expired = [
            stream
            for stream in self.by_proxy.values()
            if stream.ack_pending_since is not None and stream.ack_pending_since < earliest_valid
        ]
        for stream in expired:
            logger.warning(
                "stream timed out: connection={} reason=neither an acknowledgement nor another message was received",
                stream.connection,
            )
            self.timed_out[stream.proxy] = self.by_proxy.pop(stream.proxy)
            yield ProxyLeft(stream.proxy)

    def rejoin(self) -> Iterator[Event]:
        """Yield the events that notify a restarted policy of the connected proxies; reset their assigned tables.

        The proxies themselves continue to use their current tables.
        """
        for stream in self.by_proxy.values():
            stream.table_by_class = {}
            stream.newly_started = False
            yield stream.joined_event()
