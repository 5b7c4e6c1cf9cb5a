"""The proxies joined to this planner, one stream each."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from stackwheel import interface as face
from stackwheel.interface import Event, Server

MAX_PENDING_NONCES = 64  # unanswered of a stream: more than go out before it counts as silent
CLOCKS_APART = 1000.0  # ms: what a proxy measured may begin before our order was taken down


class StreamConnection(Protocol):
    """The connection that a stream runs over, as the streams know it: only its identity counts."""

    def on_superseded(self) -> None:
        """Another connection carries the stream from now on."""

    def on_attached(self) -> None:
        """This one carries it from now on, whatever was said of it before."""


@dataclass(slots=True)
class ProxyStream:
    proxy: int
    zone: int
    expected_rate: float
    newly_started: bool  # it holds only its standing tables: no planner has ejected anything there
    connection: StreamConnection
    table_by_class: dict[int, int] = field(default_factory=dict)  # by class: its table
    ejected: dict[Server, bool] = field(default_factory=dict)  # as ordered on this stream; False: restored
    ack_pending_since: float | None = None  # when the first mark went out that nothing has been heard since
    pending_nonces: dict[int, float] = field(default_factory=dict)  # unanswered, the oldest first: when they went out

    def tables(self) -> set[int]:
        return set(self.table_by_class.values())

    def joined(self) -> Event:
        return face.ProxyJoined(self.proxy, self.zone, self.expected_rate, self.newly_started)


def carried(streams: dict[int, ProxyStream], proxy: int, line: StreamConnection) -> ProxyStream | None:
    """The proxy's stream among these, if it runs over that connection."""
    stream = streams.get(proxy)
    return stream if stream is not None and stream.connection is line else None


class ProxyStreams:
    """A machine that vanishes gives no sign: a stream that leaves a mark unanswered and says nothing else for
    `silence` ms counts as left. Its connection stays, and its first word joins it again."""

    def __init__(self, silence: float = math.inf) -> None:
        self.silence = silence
        self.by_proxy: dict[int, ProxyStream] = {}
        self.silent: dict[int, ProxyStream] = {}

    def join(self, stream: ProxyStream) -> Iterable[Event]:
        """A new stream of a proxy takes the place of the old one, whose end is then no news."""
        old = self.by_proxy.pop(stream.proxy, None)
        quiet = self.silent.pop(stream.proxy, None)
        for replaced in (old, quiet):
            if replaced is not None and replaced.connection is not stream.connection:
                replaced.connection.on_superseded()
        stream.connection.on_attached()  # it may have joined, been superseded and joined again within one batch
        self.by_proxy[stream.proxy] = stream
        if old is not None:
            yield face.ProxyLeft(old.proxy)
        yield stream.joined()

    def leave(self, proxy: int, line: StreamConnection) -> Iterable[Event]:
        if carried(self.silent, proxy, line):
            del self.silent[proxy]
        elif carried(self.by_proxy, proxy, line):
            del self.by_proxy[proxy]
            yield face.ProxyLeft(proxy)

    def heard(self, proxy: int, line: StreamConnection) -> Iterable[Event] | None:
        """What a word over a connection means for its proxy; None if that connection does not carry it."""
        if stream := carried(self.by_proxy, proxy, line):
            stream.ack_pending_since = None
            return ()
        if quiet := carried(self.silent, proxy, line):
            logger.info("{}: speaks again, and joins anew", line)
            return self.join(ProxyStream(proxy, quiet.zone, quiet.expected_rate, False, line))
        return None

    def asked(self, proxy: int, mark: int, now: float) -> None:
        """A mark has gone out to it."""
        stream = self.by_proxy[proxy]
        stream.ack_pending_since = now if stream.ack_pending_since is None else stream.ack_pending_since
        stream.pending_nonces.pop(mark, None)
        stream.pending_nonces[mark] = now
        if len(stream.pending_nonces) > MAX_PENDING_NONCES:
            del stream.pending_nonces[next(iter(stream.pending_nonces))]

    def answered(self, proxy: int, mark: int, elapsed: float, now: float) -> bool:
        """Whether a mark went out so long ago; who answers it has applied those before as well."""
        stream = self.by_proxy[proxy]
        if mark not in stream.pending_nonces or elapsed > now - stream.pending_nonces[mark] + CLOCKS_APART:
            return False
        order = list(stream.pending_nonces)
        stream.pending_nonces = {later: stream.pending_nonces[later] for later in order[order.index(mark) + 1 :]}
        return True

    def forget(self, server: Server) -> None:
        """What was let back on a stream need not be known of a server that is gone for good."""
        for stream in self.by_proxy.values():
            stream.ejected.pop(server, None)

    def fall_silent(self, now: float) -> Iterable[Event]:
        late = now - self.silence
        for stream in [
            s for s in self.by_proxy.values() if s.ack_pending_since is not None and s.ack_pending_since < late
        ]:
            logger.warning("{}: says nothing and answers no mark; counts as left", stream.connection)
            self.silent[stream.proxy] = self.by_proxy.pop(stream.proxy)
            yield face.ProxyLeft(stream.proxy)

    def start_over(self) -> Iterable[Event]:
        """The joins that a fresh policy is told of; the proxies keep what the last one ordered."""
        for stream in self.by_proxy.values():
            stream.table_by_class, stream.newly_started = {}, False
            yield stream.joined()
