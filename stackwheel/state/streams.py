"""The proxies joined to this planner, one stream each, and the acknowledgements each of them owes."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from stackwheel.interface import Event, ProxyJoined, ProxyLeft, ServerId

MAX_PENDING_NONCES = 64
"""Unacknowledged nonces remembered for a stream: more than are sent before it times out."""

CLOCK_TOLERANCE = 1000.0
"""ms: by how much a proxy's own measure of an update's time may exceed the planner's, which starts later."""


class StreamConnection(Protocol):
    """The connection that a stream uses. To the streams only its identity counts."""

    def on_superseded(self) -> None:
        """Another connection carries the proxy's stream from now on."""

    def on_attached(self) -> None:
        """This connection carries the proxy's stream from now on, even if it was superseded before."""


@dataclass(slots=True)
class ProxyStream:
    """A proxy's stream; owned by `ProxyStreams` once it has joined.

    Attributes:
        proxy: the proxy's number.
        zone: its zone.
        expected_rate: requests per second that it expects.
        newly_started: whether it has only its standing tables, so that no planner has ejected a server there.
        connection: what carries the stream.
        table_by_class: its table for each class; at most one entry a class.
        ejected: servers that were ejected (True) or restored (False) over this stream; at most one entry a listed
            or remembered server.
        ack_pending_since: ms, when the first nonce was sent after which nothing has been received; None: no
            acknowledgement is pending, or the proxy has sent something since.
        pending_nonces: unacknowledged nonces, the oldest first, and when each was sent (ms); at most
            `MAX_PENDING_NONCES`.
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
        """The tables assigned to it."""
        return set(self.table_by_class.values())

    def joined_event(self) -> Event:
        """The event that notifies the policy of it."""
        return ProxyJoined(self.proxy, self.zone, self.expected_rate, self.newly_started)


def find_stream(streams: Mapping[int, ProxyStream], proxy: int, connection: StreamConnection) -> ProxyStream | None:
    """The proxy's stream among these, if that connection carries it."""
    stream = streams.get(proxy)
    return stream if stream is not None and stream.connection is connection else None


class ProxyStreams:
    """The streams of the joined proxies; owned by the planner actor.

    A machine that vanishes gives no sign. A stream that leaves a nonce unacknowledged and sends nothing else for
    `ack_timeout` ms times out: its proxy counts as left. Its connection stays open, and the first message that
    arrives over it makes the proxy join again.

    Attributes:
        ack_timeout: ms.
        by_proxy: the streams in use; at most one a proxy.
        timed_out: those that timed out and whose connection is still open; at most one a proxy.
    """

    def __init__(self, ack_timeout: float = math.inf) -> None:
        self.ack_timeout = ack_timeout
        self.by_proxy: dict[int, ProxyStream] = {}
        self.timed_out: dict[int, ProxyStream] = {}

    def join(self, stream: ProxyStream) -> Iterator[Event]:
        """Add a proxy's stream in place of its former one, whose end is then ignored."""
        active = self.by_proxy.pop(stream.proxy, None)
        timed_out = self.timed_out.pop(stream.proxy, None)
        for former in (active, timed_out):
            if former is not None and former.connection is not stream.connection:
                former.connection.on_superseded()
        stream.connection.on_attached()  # it may have joined, been superseded and joined again within one batch
        self.by_proxy[stream.proxy] = stream
        if active is not None:
            yield ProxyLeft(active.proxy)
        yield stream.joined_event()

    def leave(self, proxy: int, connection: StreamConnection) -> Iterator[Event]:
        """Remove the proxy's stream, if that connection carried it."""
        if find_stream(self.timed_out, proxy, connection) is not None:
            del self.timed_out[proxy]
        elif find_stream(self.by_proxy, proxy, connection) is not None:
            del self.by_proxy[proxy]
            yield ProxyLeft(proxy)

    def message_received(self, proxy: int, connection: StreamConnection) -> Iterable[Event] | None:
        """Note that a connection is alive.

        Returns:
            The events that follow for the policy; None if that connection does not carry the proxy.
        """
        stream = find_stream(self.by_proxy, proxy, connection)
        if stream is not None:
            stream.ack_pending_since = None
            return ()
        stream = find_stream(self.timed_out, proxy, connection)
        if stream is not None:
            logger.info("stream resumed: connection={} reason=it sent a message after its timeout", connection)
            return self.join(ProxyStream(proxy, stream.zone, stream.expected_rate, False, connection))
        return None

    def nonce_sent(self, proxy: int, nonce: int, now: float) -> None:
        """Note that a nonce has been sent to a joined proxy."""
        stream = self.by_proxy[proxy]
        if stream.ack_pending_since is None:
            stream.ack_pending_since = now
        stream.pending_nonces.pop(nonce, None)
        stream.pending_nonces[nonce] = now
        if len(stream.pending_nonces) > MAX_PENDING_NONCES:
            del stream.pending_nonces[next(iter(stream.pending_nonces))]

    def acknowledge(self, proxy: int, nonce: int, elapsed: float, now: float) -> bool:
        """Take an acknowledgement of a joined proxy in: updates before it have been applied as well.

        Returns:
            False if that nonce is not pending, or was sent less than `elapsed` ms ago.
        """
        stream = self.by_proxy[proxy]
        sent_at = stream.pending_nonces.get(nonce)
        if sent_at is None or elapsed > now - sent_at + CLOCK_TOLERANCE:
            return False
        for pending in list(stream.pending_nonces):
            del stream.pending_nonces[pending]
            if pending == nonce:
                break
        return True

    def forget(self, server: ServerId) -> None:
        """Forget ejections of a server that is remembered no longer."""
        for stream in self.by_proxy.values():
            stream.ejected.pop(server, None)

    def time_out(self, now: float) -> Iterator[Event]:
        """Time out the streams that have sent nothing for too long."""
        oldest = now - self.ack_timeout
        expired = [
            stream
            for stream in self.by_proxy.values()
            if stream.ack_pending_since is not None and stream.ack_pending_since < oldest
        ]
        for stream in expired:
            logger.warning(
                "stream timed out: connection={} reason=no message and no acknowledgement of a nonce", stream.connection
            )
            self.timed_out[stream.proxy] = self.by_proxy.pop(stream.proxy)
            yield ProxyLeft(stream.proxy)

    def rejoin(self) -> Iterator[Event]:
        """The joins that a restarted policy is notified of; the proxies keep the tables that they have."""
        for stream in self.by_proxy.values():
            stream.table_by_class = {}
            stream.newly_started = False
            yield stream.joined_event()
