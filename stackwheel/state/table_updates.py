"""The weight tables as set by the policy, and the updates that the policy's actions cause for each proxy."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from stackwheel.interface import (
    Action,
    AdmissionLevel,
    AssignTable,
    AttachNonce,
    ClearTable,
    ServerId,
    SetAdmission,
    SetEjection,
    SetWeight,
)
from stackwheel.state.streams import ProxyStream, ProxyStreams

ALL_TABLES = 0xFFFF
"""Table number in `SetAdmission` that stands for all tables, including standing tables."""

NONCES_PER_INCARNATION = 1 << 16
"""Size of the range of nonces on the wire of one incarnation of the policy, whose own nonces are all smaller."""

TableLines: TypeAlias = dict[ServerId, float]
"""Positive weights by server, in the order in which the servers were added."""

ClassLevels: TypeAlias = dict[int, AdmissionLevel | None]
"""Admission levels to send, by request class; None if the level of a class is not sent."""


@dataclass(frozen=True, slots=True)
class UpdatePart:
    """Lines and an admission level for some request classes of a proxy.

    Attributes:
        classes: indexes of the request classes.
        complete: whether the lines replace all lines of the classes' table; otherwise they change single lines.
        lines: servers and weights; a weight of 0 removes the line.
        level: admission level; None leaves the level unchanged, or removes it if the part is complete.
    """

    classes: tuple[int, ...]
    complete: bool
    lines: tuple[tuple[ServerId, float], ...] = ()
    level: AdmissionLevel | None = None

    def cost(self) -> int:
        """Return the number of lines that the part counts for in the channel."""
        return len(self.lines) + self.complete + (self.level is not None)


@dataclass(frozen=True, slots=True)
class ProxyUpdate:
    """The update of one proxy for one list of the policy's actions, which the proxy applies as a whole.

    Attributes:
        proxy: number of the proxy.
        parts: changes of the proxy's tables.
        eject: servers that the proxy has to avoid.
        restore: servers that the proxy may use again.
        nonce: nonce that the proxy has to acknowledge, if any.
    """

    proxy: int
    parts: tuple[UpdatePart, ...] = ()
    eject: tuple[ServerId, ...] = ()
    restore: tuple[ServerId, ...] = ()
    nonce: int | None = None

    def cost(self) -> int:
        """Return the number of lines that the update counts for in the channel, without the overhead per message."""
        parts = sum(part.cost() for part in self.parts)
        return parts + len(self.eject) + len(self.restore) + (self.nonce is not None)


@dataclass(slots=True)
class TableChanges:
    """The changes that one list of the policy's actions has made.

    Attributes:
        lines: servers whose weight was set, in order, by table.
        levels: classes whose admission level was set, by table.
        cleared: tables that were cleared.
        assigned: classes for which a table was assigned, by proxy.
        ejections: servers that were ejected or restored, in order.
        nonce: the action that attaches a nonce, if any.
    """

    lines: dict[int, dict[ServerId, None]] = field(default_factory=dict)
    levels: dict[int, set[int]] = field(default_factory=dict)
    cleared: set[int] = field(default_factory=set)
    assigned: dict[int, set[int]] = field(default_factory=dict)
    ejections: dict[ServerId, None] = field(default_factory=dict)
    nonce: AttachNonce | None = None

    def level_changed(self, request_class: int, table: int | None) -> bool:
        """Return whether the admission level of a class was set in its table or for all tables."""
        in_table = table is not None and request_class in self.levels.get(table, ())
        return in_table or request_class in self.levels.get(ALL_TABLES, ())


class PartsKey(NamedTuple):
    """The values that determine the parts for the classes of a proxy that share a table.

    Attributes:
        table: number of the table; None for the standing table.
        complete: whether the complete table is sent.
        levels: pairs of class and admission level to send.
    """

    table: int | None
    complete: bool
    levels: tuple[tuple[int, AdmissionLevel | None], ...]


PartsCache: TypeAlias = dict[PartsKey, tuple[UpdatePart, ...]]
"""Parts created for one list of actions; proxies with the same table share them, so that each is encoded once."""


class TableUpdates:
    """The tables, their admission levels and the ejected servers; owned by the planner actor.

    The current policy ejects a server by reducing its weights and does not use the `SetEjection` action. The action
    is supported because it is part of the simulator's wire format and of the line protocol.

    Attributes:
        classes: indexes of all request classes.
        streams: the streams of the connected proxies, with the tables that each proxy uses.
        tables: lines by table; their number is limited by the tables that the policy uses.
        levels: admission levels by table and class.
        ejected: servers that are currently ejected.
        ever_ejected: servers that have been ejected at any time and that a proxy which joins with earlier tables
            may therefore still avoid; entries are removed when the server is forgotten.
        first_nonce: value on the wire of the nonce 0 of the current incarnation of the policy.
    """

    def __init__(self, class_count: int, streams: ProxyStreams) -> None:
        self.classes = range(class_count)
        self.streams = streams
        self.tables: dict[int, TableLines] = {}
        self.levels: dict[int, dict[int, AdmissionLevel]] = {}
        self.ejected: dict[ServerId, None] = {}
        self.ever_ejected: dict[ServerId, None] = {}
        self.first_nonce = 0

    def restart(self) -> None:
        """Drop the tables of a failed policy, and start a new range of nonces."""
        self.tables = {}
        self.levels = {}
        self.ejected = {}
        self.first_nonce += NONCES_PER_INCARNATION

    def policy_nonce(self, nonce: int) -> int | None:
        """Convert a nonce on the wire to the policy's nonce; None if it belongs to an earlier incarnation."""
        return nonce - self.first_nonce if nonce >= self.first_nonce else None

    def references(self, server: ServerId) -> bool:
        """Return whether a server is in a table, is ejected, or is avoided by a proxy due to an earlier ejection."""
        return (
            server in self.ejected
            or any(server in lines for lines in self.tables.values())
            or any(stream.ejected.get(server) for stream in self.streams.by_proxy.values())
        )

    def forget(self, server: ServerId) -> None:
        """Remove the record of ejections of a server that is no longer referenced."""
        self.ever_ejected.pop(server, None)

    def apply_actions(self, actions: Iterable[Action]) -> list[ProxyUpdate]:
        """Apply a list of the policy's actions to the tables.

        Returns:
            One update for each proxy that is affected by the final state, in the order in which the proxies joined.
        """
        changes = TableChanges()
        for action in actions:
            self._apply_action(action, changes)
        if changes == TableChanges():  # the usual case
            return []
        cache: PartsCache = {}
        updates = [self._update(stream, changes, cache) for stream in self.streams.by_proxy.values()]
        if changes.nonce is not None and changes.nonce.to_all_proxies:
            return updates
        return [update for update in updates if update.parts or update.eject or update.restore]

    def admission_level(self, request_class: int, table: int | None) -> AdmissionLevel | None:
        """Return the admission level of a class; None if it has none.

        If a level is set both for the class's table and for all tables, the result combines the lower admitted share
        or rate with the retry mode of the table.
        """
        global_level = self.levels.get(ALL_TABLES, {}).get(request_class)
        table_level = self.levels.get(table, {}).get(request_class) if table is not None else None
        if table_level is None or global_level is None:
            return table_level or global_level
        return AdmissionLevel(min(table_level.admitted, global_level.admitted), table_level.retry)

    # Actions of the policy

    def _apply_action(self, action: Action, changes: TableChanges) -> None:
        match action:
            case SetWeight():
                self._set_weight(action, changes)
            case ClearTable(table):
                self.tables[table] = {}
                self.levels[table] = {}
                changes.cleared.add(table)
            case AssignTable():
                self._assign_table(action, changes)
            case SetAdmission():
                self._set_admission(action, changes)
            case SetEjection():
                self._set_ejection(action, changes)
            case AttachNonce():
                changes.nonce = action
            case _:
                pass  # other actions are executed by the actor

    def _set_weight(self, action: SetWeight, changes: TableChanges) -> None:
        """Set a line of a table; a weight of 0 removes it, and is sent to the proxies."""
        lines = self.tables.setdefault(action.table, {})
        if action.weight <= 0:
            lines.pop(action.server, None)
        else:
            lines[action.server] = action.weight
        changes.lines.setdefault(action.table, {})[action.server] = None

    def _assign_table(self, action: AssignTable, changes: TableChanges) -> None:
        stream = self.streams.by_proxy.get(action.proxy)
        if stream is None:
            return
        classes = action.classes or tuple(self.classes)
        stream.table_by_class.update(dict.fromkeys(classes, action.table))
        changes.assigned.setdefault(action.proxy, set()).update(classes)

    def _set_admission(self, action: SetAdmission, changes: TableChanges) -> None:
        for request_class in action.classes or self.classes:
            self.levels.setdefault(action.table, {})[request_class] = AdmissionLevel(action.admitted, action.retry)
            changes.levels.setdefault(action.table, set()).add(request_class)

    def _set_ejection(self, action: SetEjection, changes: TableChanges) -> None:
        self.ejected.pop(action.server, None)
        if action.ejected:
            self.ejected[action.server] = None
            self.ever_ejected[action.server] = None
        changes.ejections[action.server] = None

    # Updates of the proxies

    def _update(self, stream: ProxyStream, changes: TableChanges, cache: PartsCache) -> ProxyUpdate:
        parts = tuple(self._parts(stream, changes, cache))
        eject, restore = self._ejections(stream, changes, parts)
        nonce = self.first_nonce + changes.nonce.nonce if changes.nonce is not None else None
        return ProxyUpdate(stream.proxy, parts, eject, restore, nonce)

    def _parts(self, stream: ProxyStream, changes: TableChanges, cache: PartsCache) -> Iterator[UpdatePart]:
        """Create the parts for a proxy; classes that share a table share the parts with its lines."""
        groups: dict[tuple[int | None, bool], ClassLevels] = {}
        for request_class in self.classes:
            table = stream.table_by_class.get(request_class)
            complete = request_class in changes.assigned.get(stream.proxy, ()) or table in changes.cleared
            includes_level = complete or changes.level_changed(request_class, table)
            if includes_level or (table is not None and table in changes.lines):
                level = self.admission_level(request_class, table) if includes_level else None
                groups.setdefault((table, complete), {})[request_class] = level
        for (table, complete), levels in groups.items():
            key = PartsKey(table, complete, tuple(levels.items()))
            if key not in cache:
                cache[key] = tuple(self._table_parts(table, complete, levels, changes))
            yield from cache[key]

    def _table_parts(
        self, table: int | None, complete: bool, levels: ClassLevels, changes: TableChanges
    ) -> Iterator[UpdatePart]:
        """Create a part with the lines of a table, and parts with the levels of the classes if these differ.

        If the part is not complete, it contains only the changed lines; removed lines have a weight of 0.
        """
        lines = self.tables.get(table, {}) if table is not None else {}
        if not complete and table is not None:
            lines = {server: lines.get(server, 0.0) for server in changes.lines.get(table, ())}
        distinct = tuple(dict.fromkeys(levels.values()))
        common_level = distinct[0] if len(distinct) == 1 else None
        if complete or lines or common_level is not None:
            yield UpdatePart(tuple(levels), complete, tuple(lines.items()), common_level)
        if len(distinct) > 1:
            yield from self._level_parts(levels, distinct)

    def _level_parts(self, levels: ClassLevels, distinct: tuple[AdmissionLevel | None, ...]) -> Iterator[UpdatePart]:
        """Create a part without lines for each distinct level and the classes that have it."""
        for level in distinct:
            if level is not None:
                classes = tuple(class_index for class_index, class_level in levels.items() if class_level == level)
                yield UpdatePart(classes, False, (), level)

    def _ejections(
        self, stream: ProxyStream, changes: TableChanges, parts: tuple[UpdatePart, ...]
    ) -> tuple[tuple[ServerId, ...], tuple[ServerId, ...]]:
        """Return the servers to eject and the servers to restore at a proxy, and record them in its stream.

        The candidates are the servers with changed ejections that the proxy may use, and the servers that the parts
        add to its tables.
        """
        if not (self.ever_ejected or changes.ejections):  # avoids the computation for policies that do not eject
            return (), ()
        added = [server for part in parts for server, weight in part.lines if weight > 0]
        changed = [server for server in changes.ejections if self._may_use(stream, server)]
        eject: list[ServerId] = []
        restore: list[ServerId] = []
        for server in dict.fromkeys([*changed, *added]):
            is_ejected = server in self.ejected
            if is_ejected != self._is_assumed_ejected(stream, server):
                (eject if is_ejected else restore).append(server)
                stream.ejected[server] = is_ejected
        return tuple(eject), tuple(restore)

    def _may_use(self, stream: ProxyStream, server: ServerId) -> bool:
        """Return whether a proxy may use or avoid a server.

        This holds for servers in the tables of the proxy and for servers that were ejected there, and for all
        servers if some of its tables were not assigned by this planner.
        """
        return (
            len(stream.table_by_class) < len(self.classes)
            or stream.ejected.get(server, False)
            or any(server in self.tables.get(table, {}) for table in stream.tables())
        )

    def _is_assumed_ejected(self, stream: ProxyStream, server: ServerId) -> bool:
        """Return whether a proxy is assumed to avoid a server.

        If no ejection of the server was sent over the stream, a proxy that is not newly started may still avoid it
        because of an earlier ejection that has since ended.
        """
        default = not stream.newly_started and server in self.ever_ejected and server not in self.ejected
        return stream.ejected.get(server, default)
