"""Selects which of a proxy's sources is in force: its stream, a planner's files, or what remains of either. No I/O.

The rules, in this order:

1. A server that a planner has ejected stays ejected, whichever source said so, until a later update of the same planner
   restores it. A drain announced by file is binding while a stream is half open, and the other way round.
2. A connected stream that is not silent and has sent complete tables takes precedence. A new one does once it has
   sent them.
3. Otherwise the unexpired files of the planner preferred so far do; else those of the planner whose files are newest.
   A stream's tables are as old as its last update: older files do not take their place.
4. Expired tables are kept for `expired_grace` ms at most. Then `fallback` holds: `even` spreads over all servers that
   are known and not ejected, with equal weights; `refuse` has no tables at all.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Literal

from stackwheel.files.acceptor import CurrentTables
from stackwheel.files.content import TableContent

Fallback = Literal["even", "refuse"]
MAX_SERVERS = 10_000  # remembered as ejected, and as known; the oldest are forgotten first


class Source(Enum):
    """Where the tables in force come from; the values are those of the JSON output."""

    NONE = "nothing"
    STREAM = "stream"
    FILE = "file"
    EXPIRED = "kept"  # expired, but within the grace period
    EVEN = "even"


@dataclass(frozen=True, slots=True)
class PrecedenceSettings:
    """What the operators' file sets.

    Attributes:
        stream_timeout: ms without a message after which a stream has no precedence.
        table_lifetime: ms that a stream's tables are valid once it is silent.
        expired_grace: ms that expired tables are still used.
        fallback: what holds afterwards.
    """

    stream_timeout: float = 3_000.0
    table_lifetime: float = 30_000.0
    expired_grace: float = 10_000.0
    fallback: Fallback = "even"


@dataclass(slots=True)
class StreamState:
    """The proxy's stream; points in time are Unix ms.

    Attributes:
        content: all that its updates amount to; None until complete tables have come.
        planner: at its other end.
        connected: whether it is open.
        last_received_at: when anything came.
        last_updated_at: when an update came.
    """

    content: TableContent | None = None
    planner: str = ""
    connected: bool = False
    last_received_at: float = 0.0
    last_updated_at: float = 0.0


@dataclass(slots=True)
class Ejection:
    """Which planner ejected a server, and when."""

    planner: str
    ejected_at: float


@dataclass(slots=True)
class Selection:
    """What is in force.

    Attributes:
        source: where it comes from.
        planner: whose tables they are, "" where nobody's.
        content: the tables.
        recheck_at: when to select again, Unix ms; 0: only after an update.
    """

    source: Source
    planner: str = ""
    content: TableContent = field(default_factory=TableContent)
    recheck_at: float = 0.0


@dataclass(frozen=True, slots=True)
class _Tables:
    """Tables of some source, and when they expire."""

    expires_at: float
    planner: str
    content: TableContent


class SourcePrecedence:
    """Keeps what the sources said; `select` depends on that alone.

    Attributes:
        files: tables by target key.
        preferred_planner: whose files are in force among those of several planners.
        ejections: by server, in their order.
        known_servers: servers that any source named, for an even spread.
    """

    def __init__(self, settings: PrecedenceSettings) -> None:
        self.settings = settings
        self.stream = StreamState()
        self.files: dict[str, CurrentTables] = {}
        self.preferred_planner = ""
        self.ejections: dict[str, Ejection] = {}
        self.known_servers: dict[str, None] = {}

    def stream_connected(self, planner: str, now: float) -> None:
        """A stream has been opened; the tables of the former one are no longer its own."""
        last_updated_at = self.stream.last_updated_at if self.stream.content is not None else 0.0
        self.stream = StreamState(None, planner, True, now, last_updated_at)

    def stream_received(self, now: float) -> None:
        """Something came by the stream."""
        self.stream.last_received_at = now

    def stream_updated(self, content: TableContent, complete: bool, now: float) -> None:
        """An update came by the stream.

        Args:
            content: what all of the stream's updates amount to.
            complete: whether this one held complete tables.
            now: Unix ms.
        """
        stream = self.stream
        stream.last_received_at = now
        stream.last_updated_at = now
        if complete or stream.content is not None:
            stream.content = content
        self._record_servers(stream.planner, content, now)

    def stream_disconnected(self) -> None:
        """The stream has ended."""
        self.stream.connected = False

    def file_applied(self, key: str, tables: CurrentTables, now: float) -> None:
        """A file for that target has been applied."""
        self.files[key] = tables
        self._record_servers(tables.update.planner, tables.content, now)

    def remove_file(self, key: str) -> None:
        """Forget the tables of a target. No actor calls this yet."""
        self.files.pop(key, None)

    def select(self, now: float) -> Selection:
        """What is in force now."""
        stream = self.stream
        stream_timeout_at = stream.last_received_at + self.settings.stream_timeout
        if stream.content is not None and stream.connected and now < stream_timeout_at:
            return self._in_force(Source.STREAM, _Tables(stream_timeout_at, stream.planner, stream.content))
        file = self._preferred_file(now)
        if file is not None:
            update = file.update
            return self._in_force(Source.FILE, _Tables(update.expires_at, update.planner, file.content))
        expired = self._last_expired()
        if expired is not None:
            grace_ends_at = expired.expires_at + self.settings.expired_grace
            if now < grace_ends_at:
                return self._in_force(Source.EXPIRED, _Tables(grace_ends_at, expired.planner, expired.content))
        return self._fallback()

    def _record_servers(self, planner: str, content: TableContent, now: float) -> None:
        """Note ejected and known servers; a planner restores only those that it ejected itself."""
        for server in content.ejected:
            self.ejections.setdefault(server, Ejection(planner, now))
        for server, ejection in list(self.ejections.items()):
            if ejection.planner == planner and server not in content.ejected:
                del self.ejections[server]
        for lines in content.tables.values():
            self.known_servers.update(dict.fromkeys(lines))
        _forget_oldest(self.ejections)
        _forget_oldest(self.known_servers)

    def _preferred_file(self, now: float) -> CurrentTables | None:
        """The unexpired file that is in force once the stream is not; None where all are older than its tables."""
        stream = self.stream
        oldest = stream.last_updated_at if stream.content is not None else 0.0
        candidates = [
            file for file in self.files.values() if file.update.expires_at > now and file.update.created_at >= oldest
        ]
        if not candidates:
            return None
        if all(file.update.planner != self.preferred_planner for file in candidates):
            newest = max(candidates, key=lambda file: (file.update.created_at, file.update.planner))
            self.preferred_planner = newest.update.planner
        # Of a planner's file for the zone and its file for this proxy, the newer one counts.
        return max(
            (file for file in candidates if file.update.planner == self.preferred_planner),
            key=lambda file: (file.update.incarnation, file.update.created_at, file.update.proxy is not None),
        )

    def _last_expired(self) -> _Tables | None:
        """Of all tables ever received and still remembered, those that expired last."""
        candidates = [
            _Tables(file.update.expires_at, file.update.planner, file.content) for file in self.files.values()
        ]
        stream = self.stream
        if stream.content is not None:
            expires_at = stream.last_received_at + self.settings.table_lifetime
            candidates.append(_Tables(expires_at, stream.planner, stream.content))
        return max(candidates, key=lambda tables: tables.expires_at, default=None)

    def _in_force(self, source: Source, tables: _Tables) -> Selection:
        """Lines of ejected servers go; a class left without any gets all known servers that are not ejected."""
        content = tables.content
        by_class = {request_class: self._not_ejected(lines) for request_class, lines in content.tables.items()}
        if self.settings.fallback == "even":
            even = self._even_weights()
            by_class = {request_class: lines or dict(even) for request_class, lines in by_class.items()}
        result = TableContent(by_class, dict(content.levels), tuple(self.ejections))
        return Selection(source, tables.planner, result, tables.expires_at)

    def _fallback(self) -> Selection:
        ejected = tuple(self.ejections)
        if self.settings.fallback == "refuse" or not self._even_weights():
            return Selection(Source.NONE, content=TableContent(ejected=ejected))
        tables = {request_class: self._even_weights() for request_class in self._known_classes()}
        return Selection(Source.EVEN, content=TableContent(tables, {}, ejected))

    def _not_ejected(self, lines: Mapping[str, float]) -> dict[str, float]:
        return {server: weight for server, weight in lines.items() if server not in self.ejections}

    def _even_weights(self) -> dict[str, float]:
        return {server: 1.0 for server in self.known_servers if server not in self.ejections}

    def _known_classes(self) -> Iterable[str]:
        """The request classes that a remembered source has a table for."""
        classes: dict[str, None] = {}
        if self.stream.content is not None:
            classes.update(dict.fromkeys(self.stream.content.tables))
        for file in self.files.values():
            classes.update(dict.fromkeys(file.content.tables))
        return classes


def _forget_oldest(servers: dict[str, Ejection] | dict[str, None]) -> None:
    excess = max(0, len(servers) - MAX_SERVERS)
    for server in list(servers)[:excess]:
        del servers[server]
