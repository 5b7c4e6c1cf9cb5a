"""Selects the tables that a proxy uses, from its stream, the files of planners, or expired tables, without I/O.

The rules, in order of precedence:

1. A server that a planner has ejected, by stream or by file, remains ejected until a later update of the same planner
   restores it. Ejections by file also apply to tables from the stream, and the reverse.
2. A connected stream that has sent complete tables and has not timed out takes precedence.
3. Otherwise the unexpired files of the preferred planner are used; if it has none, the planner with the newest file
   becomes the preferred one. Files older than the last update of the stream are not used.
4. Expired tables are used for up to `expired_grace` ms. After that, `fallback` applies: `even` gives equal weights to
   all known servers that are not ejected, and `refuse` results in no tables.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Literal

from stackwheel.files.acceptor import CurrentTables
from stackwheel.files.content import TableContent

Fallback = Literal["even", "refuse"]
MAX_SERVERS = 10_000
"""Maximum number of ejected servers and of known servers; the oldest ones are removed first."""


class Source(Enum):
    """Source of the tables in force; the values are those in the JSON output."""

    NONE = "nothing"
    STREAM = "stream"
    FILE = "file"
    EXPIRED = "kept"  # expired tables that are used during the grace period
    EVEN = "even"


@dataclass(frozen=True, slots=True)
class PrecedenceSettings:
    """Timeouts of the sources and the fallback.

    Attributes:
        stream_timeout: time without a message after which a stream loses its precedence, ms.
        table_lifetime: time from the last message of a stream to the expiry of its tables, ms.
        expired_grace: period for which expired tables are used, ms.
        fallback: equal weights (`even`) or no tables (`refuse`) after the grace period.
    """

    stream_timeout: float = 3_000.0
    table_lifetime: float = 30_000.0
    expired_grace: float = 10_000.0
    fallback: Fallback = "even"


@dataclass(slots=True)
class StreamState:
    """State of the proxy's stream; points in time are in Unix ms.

    Attributes:
        content: content that results from the stream's updates; None until it has sent complete tables.
        planner: name of the planner that sends the stream.
        is_connected: whether the stream is open.
        last_received_at: time of the last message.
        last_updated_at: time of the last update.
    """

    content: TableContent | None = None
    planner: str = ""
    is_connected: bool = False
    last_received_at: float = 0.0
    last_updated_at: float = 0.0


@dataclass(slots=True)
class Ejection:
    """Ejection of a server by a planner, with its time in Unix ms."""

    planner: str
    ejected_at: float


@dataclass(slots=True)
class Selection:
    """Tables in force.

    Attributes:
        source: source of the tables.
        planner: name of the planner that published the tables; empty for the fallback.
        content: tables, admission levels and ejections.
        recheck_at: time at which to select again, Unix ms; 0 if only a new update can change the selection.
    """

    source: Source
    planner: str = ""
    content: TableContent = field(default_factory=TableContent)
    recheck_at: float = 0.0


@dataclass(frozen=True, slots=True)
class _Tables:
    """Tables of one source, with their expiry in Unix ms."""

    expires_at: float
    planner: str
    content: TableContent


class SourcePrecedence:
    """Records the tables of all sources and selects the ones in force.

    Attributes:
        settings: timeouts and fallback.
        stream: state of the proxy's stream.
        files: current tables from files, by target key.
        preferred_planner: name of the planner whose files are used if several planners have unexpired files.
        ejections: ejections by server, in the order of their creation.
        known_servers: servers that any source has listed, for the fallback `even`.
    """

    def __init__(self, settings: PrecedenceSettings) -> None:
        self.settings = settings
        self.stream = StreamState()
        self.files: dict[str, CurrentTables] = {}
        self.preferred_planner = ""
        self.ejections: dict[str, Ejection] = {}
        self.known_servers: dict[str, None] = {}

    def stream_connected(self, planner: str, now: float) -> None:
        """Record that a stream was opened; it has no tables until it sends complete ones."""
        last_updated_at = self.stream.last_updated_at if self.stream.content is not None else 0.0
        self.stream = StreamState(None, planner, True, now, last_updated_at)

    def stream_received(self, now: float) -> None:
        """Record that a message was received on the stream."""
        self.stream.last_received_at = now

    def stream_updated(self, content: TableContent, complete: bool, now: float) -> None:
        """Record an update that was received on the stream.

        Args:
            content: content that results from all updates of the stream.
            complete: whether the update contained complete tables.
            now: current time, Unix ms.
        """
        stream = self.stream
        stream.last_received_at = now
        stream.last_updated_at = now
        if complete or stream.content is not None:
            stream.content = content
        self._record_servers(stream.planner, content, now)

    def stream_disconnected(self) -> None:
        """Record the end of the stream."""
        self.stream.is_connected = False

    def file_applied(self, key: str, tables: CurrentTables, now: float) -> None:
        """Record the current tables of a target after a file was applied."""
        self.files[key] = tables
        self._record_servers(tables.update.planner, tables.content, now)

    def remove_file(self, key: str) -> None:
        """Remove the tables of a target. Not called yet."""
        self.files.pop(key, None)

    def select(self, now: float) -> Selection:
        """Return the tables in force."""
        stream = self.stream
        stream_timeout_at = stream.last_received_at + self.settings.stream_timeout
        if stream.content is not None and stream.is_connected and now < stream_timeout_at:
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
        """Record ejected and known servers; a planner can restore only servers that it has ejected itself."""
        for server in content.ejected:
            self.ejections.setdefault(server, Ejection(planner, now))
        for server, ejection in list(self.ejections.items()):
            if ejection.planner == planner and server not in content.ejected:
                del self.ejections[server]
        for lines in content.tables.values():
            self.known_servers.update(dict.fromkeys(lines))
        _remove_oldest(self.ejections)
        _remove_oldest(self.known_servers)

    def _preferred_file(self, now: float) -> CurrentTables | None:
        """Return the unexpired file to use instead of the stream; None if there is none newer than its last update."""
        stream = self.stream
        min_created_at = stream.last_updated_at if stream.content is not None else 0.0
        candidates = [
            file
            for file in self.files.values()
            if file.update.expires_at > now and file.update.created_at >= min_created_at
        ]
        if not candidates:
            return None
        if all(file.update.planner != self.preferred_planner for file in candidates):
            newest = max(candidates, key=lambda file: (file.update.created_at, file.update.planner))
            self.preferred_planner = newest.update.planner
        # The preferred planner may have a file for the zone and one for this proxy; the newer one is used.
        return max(
            (file for file in candidates if file.update.planner == self.preferred_planner),
            key=lambda file: (file.update.incarnation, file.update.created_at, file.update.proxy is not None),
        )

    def _last_expired(self) -> _Tables | None:
        """Return the recorded tables with the latest expiry; None if no tables are recorded."""
        candidates = [
            _Tables(file.update.expires_at, file.update.planner, file.content) for file in self.files.values()
        ]
        stream = self.stream
        if stream.content is not None:
            expires_at = stream.last_received_at + self.settings.table_lifetime
            candidates.append(_Tables(expires_at, stream.planner, stream.content))
        return max(candidates, key=lambda tables: tables.expires_at, default=None)

    def _in_force(self, source: Source, tables: _Tables) -> Selection:
        """Return tables without ejected servers; empty ones get equal weights if the fallback is `even`."""
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
        """Return the request classes for which any source has a table."""
        classes: dict[str, None] = {}
        if self.stream.content is not None:
            classes.update(dict.fromkeys(self.stream.content.tables))
        for file in self.files.values():
            classes.update(dict.fromkeys(file.content.tables))
        return classes


def _remove_oldest(servers: dict[str, Ejection] | dict[str, None]) -> None:
    excess = max(0, len(servers) - MAX_SERVERS)
    for server in list(servers)[:excess]:
        del servers[server]
