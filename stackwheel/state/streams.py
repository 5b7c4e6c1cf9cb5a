"""The proxies joined to this planner, one stream each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from stackwheel import interface as face
from stackwheel.interface import Event, Server


class Line(Protocol):
    """The connection that a stream runs over, as the streams know it: only its identity counts."""

    def superseded(self) -> None:
        """Another connection carries the stream from now on."""


@dataclass(slots=True)
class Stream:
    proxy: int
    zone: int
    rate: float
    fresh: bool  # it holds only its standing tables: no planner has shut out anything there
    line: Line
    bound: dict[int, int] = field(default_factory=dict)  # by class: its table
    shut: dict[Server, bool] = field(default_factory=dict)  # as ordered on this stream: out, or let back

    def tables(self) -> set[int]:
        return set(self.bound.values())

    def joined(self) -> Event:
        return face.ProxyJoined(self.proxy, self.zone, self.rate, self.fresh)


class Streams:
    def __init__(self) -> None:
        self.by_proxy: dict[int, Stream] = {}

    def join(self, stream: Stream) -> Iterable[Event]:
        """A new stream of a proxy takes the place of the old one, whose end is then no news."""
        old = self.by_proxy.get(stream.proxy)
        self.by_proxy[stream.proxy] = stream
        if old is not None:
            if old.line is not stream.line:
                old.line.superseded()
            yield face.ProxyLeft(old.proxy)
        yield stream.joined()

    def leave(self, proxy: int, line: Line) -> Iterable[Event]:
        if self.carried_by(proxy, line):
            del self.by_proxy[proxy]
            yield face.ProxyLeft(proxy)

    def carried_by(self, proxy: int, line: Line) -> bool:
        stream = self.by_proxy.get(proxy)
        return stream is not None and stream.line is line

    def start_over(self) -> Iterable[Event]:
        """The joins that a fresh policy is told of; the proxies keep what the last one ordered."""
        for stream in self.by_proxy.values():
            stream.bound, stream.fresh = {}, False
            yield stream.joined()
