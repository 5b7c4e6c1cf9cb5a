"""Tables as ordered, and what one reply of the policy means for each proxy: at most one message."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from stackwheel import interface as face
from stackwheel.interface import Action, AdmissionLevel, Server
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.streams import ProxyStream, ProxyStreams

ALL_TABLES = 0xFFFF  # in a level: all tables, standing ones included
NONCES_PER_INCARNATION = 1 << 16  # the policy's marks are below it; each of its lives has so many of its own
Lines = dict[Server, float]


@dataclass(frozen=True, slots=True)
class UpdatePart:
    """Lines and a level for some classes of a proxy; `whole`: the lines are all there are."""

    classes: tuple[int, ...]
    complete: bool
    lines: tuple[tuple[Server, float], ...] = ()
    level: AdmissionLevel | None = None


@dataclass(frozen=True, slots=True)
class ProxyUpdate:
    """What a proxy is sent for one reply, to be applied as one."""

    proxy: int
    parts: tuple[UpdatePart, ...] = ()
    eject: tuple[Server, ...] = ()
    restore: tuple[Server, ...] = ()
    nonce: int | None = None

    def cost(self) -> int:
        """Its lines, as the channel counts them, but for what every message costs."""
        parts = sum(len(p.lines) + p.complete + (p.level is not None) for p in self.parts)
        return parts + len(self.eject) + len(self.restore) + (self.nonce is not None)


@dataclass(slots=True)
class Touched:
    """What a reply changed."""

    lines: dict[int, dict[Server, None]] = field(default_factory=dict)  # by table
    levels: dict[int, set[int]] = field(default_factory=dict)  # by table: classes
    cleared: set[int] = field(default_factory=set)
    assigned: dict[int, set[int]] = field(default_factory=dict)  # by proxy: classes
    health: dict[Server, None] = field(default_factory=dict)
    mark: face.AttachNonce | None = None


class TableUpdates:
    def __init__(self, classes: int, streams: ProxyStreams, roster: EndpointCache) -> None:
        self.classes, self.streams, self.roster = range(classes), streams, roster
        self.tables: dict[int, Lines] = {}
        self.levels: dict[int, dict[int, AdmissionLevel]] = {}  # by table and class
        self.withdrawn: dict[Server, None] = {}
        self.doubt: dict[Server, None] = {}  # withdrawn at some time: who comes with tables may have it ejected
        self.first_mark = 0

    def start_over(self) -> None:
        self.tables, self.levels, self.withdrawn = {}, {}, {}
        self.first_mark += NONCES_PER_INCARNATION

    def own_mark(self, mark: int) -> int | None:
        """The policy's mark that an acknowledged one stands for; None if an earlier policy set it."""
        return mark - self.first_mark if mark >= self.first_mark else None

    def names(self, server: Server) -> bool:
        """Whether a table, a withdrawal or a stream that shut it out still names a server."""
        return (
            server in self.withdrawn
            or any(server in lines for lines in self.tables.values())
            or any(stream.ejected.get(server) for stream in self.streams.by_proxy.values())
        )

    def take(self, actions: Iterable[Action]) -> list[ProxyUpdate]:
        """Bring the tables to the end state of a reply; a message to each proxy that it concerns."""
        touched = Touched()
        for action in actions:
            self.apply(action, touched)
        if touched == Touched():  # most batches order nothing
            return []
        parts: dict[tuple[object, ...], tuple[UpdatePart, ...]] = {}  # proxies of a table share its parts
        messages = [self.message(stream, touched, parts) for stream in self.streams.by_proxy.values()]
        everyone = touched.mark is not None and touched.mark.to_all_proxies
        return [m for m in messages if everyone or m.parts or m.eject or m.restore]

    def apply(self, action: Action, touched: Touched) -> None:
        match action:
            case face.SetWeight(table, server, weight):
                lines = self.tables.setdefault(table, {})
                lines[server] = weight
                if weight <= 0:
                    del lines[server]
                touched.lines.setdefault(table, {})[server] = None
            case face.ClearTable(table):
                self.tables[table], self.levels[table] = {}, {}
                touched.cleared.add(table)
            case face.AssignTable(proxy, table, classes):
                if (stream := self.streams.by_proxy.get(proxy)) is not None:
                    named = classes or tuple(self.classes)
                    stream.table_by_class.update(dict.fromkeys(named, table))
                    touched.assigned.setdefault(proxy, set()).update(named)
            case face.SetAdmission(table, classes, level, retry):
                for place in classes or self.classes:
                    self.levels.setdefault(table, {})[place] = AdmissionLevel(level, retry)
                    touched.levels.setdefault(table, set()).add(place)
            case face.SetEjection(server, out):
                self.withdrawn.pop(server, None)
                if out:
                    self.withdrawn[server] = self.doubt[server] = None
                touched.health[server] = None
            case face.AttachNonce():
                touched.mark = action
            case _:
                pass

    def level(self, place: int, table: int | None) -> AdmissionLevel | None:
        """Where a table and all tables have a level, the lower holds, and the table's way of trying again."""
        everywhere = self.levels.get(ALL_TABLES, {}).get(place)
        own = self.levels.get(table, {}).get(place) if table is not None else None
        if own is None or everywhere is None:
            return own or everywhere
        return AdmissionLevel(min(own.admitted, everywhere.admitted), own.retry)

    def message(
        self, stream: ProxyStream, touched: Touched, parts: dict[tuple[object, ...], tuple[UpdatePart, ...]]
    ) -> ProxyUpdate:
        mine = tuple(self.parts(stream, touched, parts))
        eject, restore = self.health(stream, touched, mine)
        mark = self.first_mark + touched.mark.nonce if touched.mark is not None else None
        return ProxyUpdate(stream.proxy, mine, eject, restore, mark)

    def parts(
        self, stream: ProxyStream, touched: Touched, known: dict[tuple[object, ...], tuple[UpdatePart, ...]]
    ) -> Iterator[UpdatePart]:
        """Classes that share a table share its lines, and those with one level a part that tells it."""
        groups: dict[tuple[int | None, bool], dict[int, AdmissionLevel | None]] = {}
        for place in self.classes:
            table = stream.table_by_class.get(place)
            whole = place in touched.assigned.get(stream.proxy, ()) or table in touched.cleared
            changed = any(place in touched.levels.get(t, ()) for t in (table, ALL_TABLES) if t is not None)
            if whole or changed or (table is not None and table in touched.lines):
                level = self.level(place, table) if whole or changed else None
                groups.setdefault((table, whole), {})[place] = level
        for (table, whole), levels in groups.items():
            key = table, whole, *levels.items()
            if key not in known:
                known[key] = tuple(self.parts_of(table, whole, levels, touched))
            yield from known[key]

    def parts_of(
        self, table: int | None, whole: bool, levels: dict[int, AdmissionLevel | None], touched: Touched
    ) -> Iterator[UpdatePart]:
        """A table's lines for its classes; their levels with them if they are alike, else in parts that follow."""
        lines = self.tables.get(table, {}) if table is not None else {}
        if not whole and table is not None:
            lines = {s: lines.get(s, 0.0) for s in touched.lines.get(table, ())}
        alike = len(set(levels.values())) == 1
        level = next(iter(levels.values())) if alike else None
        if whole or lines or level is not None:
            yield UpdatePart(tuple(levels), whole, tuple(lines.items()), level)
        if not alike:
            for one in dict.fromkeys(level for level in levels.values() if level is not None):
                yield UpdatePart(tuple(place for place, level in levels.items() if level == one), False, (), one)

    def health(
        self, stream: ProxyStream, touched: Touched, parts: tuple[UpdatePart, ...]
    ) -> tuple[tuple[Server, ...], tuple[Server, ...]]:
        """Servers to shut out or let back: those its tables hold, and any if it holds others' tables too."""
        if not (self.doubt or touched.health):  # a policy that withdraws nothing pays nothing
            return (), ()
        held = [self.tables.get(table, {}) for table in stream.tables()]
        foreign = len(stream.table_by_class) < len(self.classes)
        named = dict.fromkeys(s for part in parts for s, weight in part.lines if weight > 0)
        news = [s for s in touched.health if foreign or stream.ejected.get(s) or any(s in lines for lines in held)]
        eject: list[Server] = []
        restore: list[Server] = []
        for server in dict.fromkeys([*news, *named]):
            out = server in self.withdrawn
            if out != stream.ejected.get(server, not stream.newly_started and server in self.doubt and not out):
                (eject if out else restore).append(server)
                stream.ejected[server] = out
        return tuple(eject), tuple(restore)

    def forget(self, server: Server) -> None:
        self.doubt.pop(server, None)
