"""The weight tables as the policy set them, and the one update that a reply of the policy means for each proxy."""

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
"""In `SetAdmission`: all tables, standing ones included."""

NONCES_PER_INCARNATION = 1 << 16
"""The policy's nonces are below it; on the wire each incarnation of the policy has as many of its own."""

TableLines: TypeAlias = dict[ServerId, float]
"""Weights above 0 by server, in the order in which they were set first."""

ClassLevels: TypeAlias = dict[int, AdmissionLevel | None]
"""Admission levels to send, by class; None: nothing to send."""


@dataclass(frozen=True, slots=True)
class UpdatePart:
    """Lines and an admission level for some classes of a proxy.

    Attributes:
        classes: the classes.
        complete: whether the lines replace the classes' table, instead of changing lines of it.
        lines: servers and weights; 0 removes the line.
        level: the admission level; None: unchanged, or none if the part is complete.
    """

    classes: tuple[int, ...]
    complete: bool
    lines: tuple[tuple[ServerId, float], ...] = ()
    level: AdmissionLevel | None = None

    def cost(self) -> int:
        """Its lines, as the channel counts them."""
        return len(self.lines) + self.complete + (self.level is not None)


@dataclass(frozen=True, slots=True)
class ProxyUpdate:
    """What one proxy is sent for one reply of the policy, to be applied as a whole.

    Attributes:
        proxy: the proxy's number.
        parts: changes of its tables.
        eject: servers that it has to avoid.
        restore: servers that it may use again.
        nonce: what it has to acknowledge, if anything.
    """

    proxy: int
    parts: tuple[UpdatePart, ...] = ()
    eject: tuple[ServerId, ...] = ()
    restore: tuple[ServerId, ...] = ()
    nonce: int | None = None

    def cost(self) -> int:
        """Its lines, as the channel counts them, without what every message costs."""
        parts = sum(part.cost() for part in self.parts)
        return parts + len(self.eject) + len(self.restore) + (self.nonce is not None)


@dataclass(slots=True)
class ReplyChanges:
    """What one reply of the policy changed.

    Attributes:
        lines: servers whose weight was set, by table, in order.
        levels: classes whose admission level was set, by table.
        cleared: tables that were cleared.
        assigned: classes for which a table was assigned, by proxy.
        ejections: servers that were ejected or restored, in order.
        nonce: the nonce to attach, if any.
    """

    lines: dict[int, dict[ServerId, None]] = field(default_factory=dict)
    levels: dict[int, set[int]] = field(default_factory=dict)
    cleared: set[int] = field(default_factory=set)
    assigned: dict[int, set[int]] = field(default_factory=dict)
    ejections: dict[ServerId, None] = field(default_factory=dict)
    nonce: AttachNonce | None = None

    def level_changed(self, request_class: int, table: int | None) -> bool:
        """Whether the admission level of a class was set, in its table or in all."""
        in_table = table is not None and request_class in self.levels.get(table, ())
        return in_table or request_class in self.levels.get(ALL_TABLES, ())


class PartsKey(NamedTuple):
    """What determines the parts that a proxy is sent for classes which share a table."""

    table: int | None
    complete: bool
    levels: tuple[tuple[int, AdmissionLevel | None], ...]


PartsCache: TypeAlias = dict[PartsKey, tuple[UpdatePart, ...]]
"""Parts already made for one reply: proxies that use a table share them, so that each is encoded once."""


class TableUpdates:
    """The tables, their admission levels and the ejected servers; owned by the planner actor.

    `SetEjection` is an action of the interface that the present policy does not use: it ejects a server by its
    weights. The simulator's wire and the line protocol carry it, so it is translated here.

    Attributes:
        classes: all request classes.
        streams: the joined proxies, with the tables that each of them uses.
        tables: lines by table; bounded by the tables that the policy sets.
        levels: admission levels by table and class.
        ejected: the servers that are ejected now.
        ever_ejected: servers that have been ejected at some time, so that a proxy which joins with tables may still
            avoid them; forgotten with the server.
        first_nonce: what the nonce 0 of the present incarnation of the policy is on the wire.
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
        """Drop the tables of a policy that failed; its nonces are recognized from now on."""
        self.tables = {}
        self.levels = {}
        self.ejected = {}
        self.first_nonce += NONCES_PER_INCARNATION

    def policy_nonce(self, nonce: int) -> int | None:
        """The policy's nonce for one on the wire; None if an earlier incarnation set it."""
        return nonce - self.first_nonce if nonce >= self.first_nonce else None

    def references(self, server: ServerId) -> bool:
        """Whether a table, an ejection or a stream that ejected it still names a server."""
        return (
            server in self.ejected
            or any(server in lines for lines in self.tables.values())
            or any(stream.ejected.get(server) for stream in self.streams.by_proxy.values())
        )

    def forget(self, server: ServerId) -> None:
        """Forget a server that nothing references."""
        self.ever_ejected.pop(server, None)

    def apply_action(self, actions: Iterable[Action]) -> list[ProxyUpdate]:
        """Bring the tables to the end state of a reply.

        Returns:
            An update for each proxy that the reply concerns, in the order in which the proxies joined.
        """
        changes = ReplyChanges()
        for action in actions:
            self._apply_action(action, changes)
        if changes == ReplyChanges():  # most batches change nothing
            return []
        cache: PartsCache = {}
        updates = [self._update(stream, changes, cache) for stream in self.streams.by_proxy.values()]
        if changes.nonce is not None and changes.nonce.to_all_proxies:
            return updates
        return [update for update in updates if update.parts or update.eject or update.restore]

    def admission_level(self, request_class: int, table: int | None) -> AdmissionLevel | None:
        """The admission level of a class.

        Where both its table and all tables have a level, the lower one holds, with the retry mode of the table.
        """
        everywhere = self.levels.get(ALL_TABLES, {}).get(request_class)
        of_table = self.levels.get(table, {}).get(request_class) if table is not None else None
        if of_table is None or everywhere is None:
            return of_table or everywhere
        return AdmissionLevel(min(of_table.admitted, everywhere.admitted), of_table.retry)

    # Actions in

    def _apply_action(self, action: Action, changes: ReplyChanges) -> None:
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
                pass  # the actor carries it out

    def _set_weight(self, action: SetWeight, changes: ReplyChanges) -> None:
        """Set a line of a table; weight 0 removes it, and proxies are sent the 0."""
        lines = self.tables.setdefault(action.table, {})
        if action.weight <= 0:
            lines.pop(action.server, None)
        else:
            lines[action.server] = action.weight
        changes.lines.setdefault(action.table, {})[action.server] = None

    def _assign_table(self, action: AssignTable, changes: ReplyChanges) -> None:
        stream = self.streams.by_proxy.get(action.proxy)
        if stream is None:
            return
        classes = action.classes or tuple(self.classes)
        stream.table_by_class.update(dict.fromkeys(classes, action.table))
        changes.assigned.setdefault(action.proxy, set()).update(classes)

    def _set_admission(self, action: SetAdmission, changes: ReplyChanges) -> None:
        for request_class in action.classes or self.classes:
            self.levels.setdefault(action.table, {})[request_class] = AdmissionLevel(action.admitted, action.retry)
            changes.levels.setdefault(action.table, set()).add(request_class)

    def _set_ejection(self, action: SetEjection, changes: ReplyChanges) -> None:
        self.ejected.pop(action.server, None)
        if action.ejected:
            self.ejected[action.server] = None
            self.ever_ejected[action.server] = None
        changes.ejections[action.server] = None

    # Updates out

    def _update(self, stream: ProxyStream, changes: ReplyChanges, cache: PartsCache) -> ProxyUpdate:
        parts = tuple(self._parts(stream, changes, cache))
        eject, restore = self._ejections(stream, changes, parts)
        nonce = self.first_nonce + changes.nonce.nonce if changes.nonce is not None else None
        return ProxyUpdate(stream.proxy, parts, eject, restore, nonce)

    def _parts(self, stream: ProxyStream, changes: ReplyChanges, cache: PartsCache) -> Iterator[UpdatePart]:
        """Group the proxy's classes by table: those that share one share its lines."""
        groups: dict[tuple[int | None, bool], ClassLevels] = {}
        for request_class in self.classes:
            table = stream.table_by_class.get(request_class)
            complete = request_class in changes.assigned.get(stream.proxy, ()) or table in changes.cleared
            sends_level = complete or changes.level_changed(request_class, table)
            if sends_level or (table is not None and table in changes.lines):
                level = self.admission_level(request_class, table) if sends_level else None
                groups.setdefault((table, complete), {})[request_class] = level
        for (table, complete), levels in groups.items():
            key = PartsKey(table, complete, tuple(levels.items()))
            if key not in cache:
                cache[key] = tuple(self._table_parts(table, complete, levels, changes))
            yield from cache[key]

    def _table_parts(
        self, table: int | None, complete: bool, levels: ClassLevels, changes: ReplyChanges
    ) -> Iterator[UpdatePart]:
        """A table's lines for its classes, with their level if all have the same, else levels in parts that follow.

        Of a changed table these are the changed lines alone; one that has been removed has weight 0.
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
        """A part for each distinct level, without lines, for the classes that have it."""
        for level in distinct:
            if level is not None:
                classes = tuple(one for one, class_level in levels.items() if class_level == level)
                yield UpdatePart(classes, False, (), level)

    def _ejections(
        self, stream: ProxyStream, changes: ReplyChanges, parts: tuple[UpdatePart, ...]
    ) -> tuple[tuple[ServerId, ...], tuple[ServerId, ...]]:
        """The servers that a proxy has to be sent as ejected, and those to restore, as they stand now.

        These are the changed ones that it may use, and any that these parts add to its tables.
        """
        if not (self.ever_ejected or changes.ejections):  # a policy that ejects nothing pays nothing
            return (), ()
        added = [server for part in parts for server, weight in part.lines if weight > 0]
        changed = [server for server in changes.ejections if self._may_use(stream, server)]
        eject: list[ServerId] = []
        restore: list[ServerId] = []
        for server in dict.fromkeys([*changed, *added]):
            ejected = server in self.ejected
            if ejected != self._believed_ejected(stream, server):
                (eject if ejected else restore).append(server)
                stream.ejected[server] = ejected
        return tuple(eject), tuple(restore)

    def _may_use(self, stream: ProxyStream, server: ServerId) -> bool:
        """Whether a proxy may use or avoid a server: one of its tables has it, or it has tables of another planner."""
        return (
            len(stream.table_by_class) < len(self.classes)
            or stream.ejected.get(server, False)
            or any(server in self.tables.get(table, {}) for table in stream.tables())
        )

    def _believed_ejected(self, stream: ProxyStream, server: ServerId) -> bool:
        """Whether a proxy avoids a server as far as is known.

        Over a stream that has not named the server, a proxy that ran before may still avoid one that was ejected
        at some time and no longer is.
        """
        unknown = not stream.newly_started and server in self.ever_ejected and server not in self.ejected
        return stream.ejected.get(server, unknown)
