"""What a reader takes of the files it finds: order, targets, ages and bases decided, without I/O or clock.

The highest (incarnation, sequence) applied is kept for each planner, zone and target; nothing at or below it is
applied again, also after the reader has restarted from its `Memory`. A change file holds all that moved since the whole
one it names, so that any of them applies without those between.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from stackwheel.files.codec import Refusal, Stage
from stackwheel.files.records import Booking, Incarnation, Level, Number, Orders, Table, Time, Word

AHEAD_MOST = 5_000.0  # ms that a file may seem to come from the future: clocks that differ
PLANNERS_MOST = 64  # remembered for one reader; the longest unheard of goes
BOOKINGS_MOST = 10_000  # ids remembered; beyond it no order of that kind is taken until some are over
MARKS_LIFE = 7 * 86_400_000.0  # ms that the mark of a planner unheard of is kept: no file lives as long


class Mark(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What was applied last of a planner's files for a target."""

    incarnation: Incarnation
    sequence: Number
    until: Time
    at: Time  # when it was applied


class Memory(msgspec.Struct, forbid_unknown_fields=True):
    """What a reader must not forget: kept on disk before anything takes effect."""

    version: Literal[1] = 1
    since: Time = 0.0  # when it was begun: what was made before may have taken effect in a life it does not know
    marks: dict[Word, Mark] = {}  # by planner, zone and target
    bookings: dict[Word, Time] = {}  # ids that took effect, and until when they can come again


@dataclass(slots=True)
class Content:
    """Tables and withdrawals as they hold after a file."""

    tables: dict[str, dict[str, float]] = field(default_factory=dict)  # by class
    levels: dict[str, Level | None] = field(default_factory=dict)
    withdrawn: tuple[str, ...] = ()


@dataclass(slots=True)
class Held:
    """What one planner's files say at present."""

    orders: Orders  # the newest applied
    whole: Orders  # the whole one under it
    content: Content


@dataclass(frozen=True, slots=True)
class Accepted:
    """A file is to be used; `bookings` are those that have not taken effect yet."""

    held: Held
    bookings: tuple[Booking, ...]


@dataclass(frozen=True, slots=True)
class Known:
    """The very file that is applied already: nothing changes."""


def target(orders: Orders) -> str:
    """What marks are kept by."""
    return f"{orders.planner}|{orders.zone}|{'all' if orders.proxy is None else orders.proxy}"


def content_of(whole: Orders, change: Orders | None = None) -> Content:
    """Tables of a whole file, and of a change on it."""
    found = Content(
        {t.route: {s: w for s, w in t.lines.items() if w > 0} for t in whole.tables},
        {t.route: t.level for t in whole.tables},
        whole.withdrawn,
    )
    for table in change.tables if change is not None else ():
        lines = {} if table.whole else found.tables.get(table.route, {})
        found.tables[table.route] = {s: w for s, w in {**lines, **table.lines}.items() if w > 0}
        found.levels[table.route] = (
            table.level if table.level is not None or table.whole else (found.levels.get(table.route))
        )
    if change is not None:
        found.withdrawn = change.withdrawn
    return found


def difference(whole: Orders, content: Content) -> tuple[Table, ...]:
    """The tables of a change file that brings the content of a whole one to another."""
    base = content_of(whole)
    found: list[Table] = []
    for route in sorted({*base.tables, *content.tables}):
        old, new = base.tables.get(route, {}), content.tables.get(route, {})
        lines = {s: new.get(s, 0.0) for s in sorted({*old, *new}) if old.get(s) != new.get(s)}
        level, before = content.levels.get(route), base.levels.get(route)
        if level is None and before is not None:  # a level that goes has to be forgotten with its table
            found.append(Table(route, dict(sorted(new.items())), None, True))
        elif lines or level != before:
            found.append(Table(route, lines, level if level != before else None))
    return tuple(found)


class Acceptor:
    """Decides for one forwarder; `memory` outlives it, what it holds of tables does not."""

    def __init__(self, zone: str, proxy: int | None, memory: Memory | None = None) -> None:
        self.zone, self.proxy = zone, proxy
        self.memory = memory or Memory()
        self.held: dict[str, Held] = {}  # by target

    def offer(self, orders: Orders, now: float) -> Accepted | Known | Refusal:
        """What is to be done with a file that could be read; nothing has changed yet."""
        key = target(orders)
        if orders.zone != self.zone or orders.proxy not in (None, self.proxy):
            return Refusal(Stage.TARGET, f"for zone {orders.zone}, proxy {orders.proxy}")
        if orders.made > now + AHEAD_MOST:
            return Refusal(Stage.AGE, f"made {(orders.made - now) / 1000.0:.1f} s from now")
        if orders.until <= now:
            return Refusal(Stage.AGE, f"its time was over {(now - orders.until) / 1000.0:.1f} s ago")
        mark, held = self.memory.marks.get(key), self.held.get(key)
        if mark is not None:
            last = (mark.incarnation, mark.sequence)
            if orders.mark == last and held is not None:
                return Known()
            if orders.mark < last:
                return Refusal(Stage.ORDER, older(orders, mark))
            # orders.mark == last without its content: a reader that restarted takes it up again
        if orders.base is not None:
            whole = self.base_of(orders, held)
            if isinstance(whole, Refusal):
                return whole
            content = content_of(whole, orders)
        else:
            whole, content = orders, content_of(orders)
        news = tuple(
            b
            for b in orders.bookings
            if b.id not in self.memory.bookings and b.until > now and b.made >= self.memory.since
        )
        if len(self.memory.bookings) + len(news) > BOOKINGS_MOST:
            news = news[: max(0, BOOKINGS_MOST - len(self.memory.bookings))]
        return Accepted(Held(orders, whole, content), news)

    def base_of(self, orders: Orders, held: Held | None) -> Orders | Refusal:
        """The whole file that a change builds on, if that is held."""
        if held is None:
            return Refusal(Stage.BASE, f"changes whole file {orders.base}, and none is held")
        if (held.whole.incarnation, held.whole.sequence) != (orders.incarnation, orders.base):
            return Refusal(Stage.BASE, f"changes whole file {orders.base}, {held.whole.sequence} is held")
        return held.whole

    def commit(self, accepted: Accepted, now: float) -> Memory:
        """Take it as applied. The memory has to be kept before any booking takes effect: should the reader die
        between the two, such an order is lost, and never doubled."""
        orders = accepted.held.orders
        key = target(orders)
        self.held[key] = accepted.held
        marks = {k: m for k, m in self.memory.marks.items() if k != key and m.at > now - MARKS_LIFE}
        marks[key] = Mark(orders.incarnation, orders.sequence, orders.until, now)
        for gone in list(marks)[: max(0, len(marks) - PLANNERS_MOST)]:
            del marks[gone]
            self.held.pop(gone, None)
        bookings = {name: until for name, until in self.memory.bookings.items() if until > now}
        bookings.update((b.id, b.until) for b in accepted.bookings)
        self.memory = Memory(1, self.memory.since, marks, bookings)
        return self.memory

    def lapse(self, now: float, keep: float) -> list[str]:
        """Forget content whose time was over for `keep` ms; the targets that went."""
        gone = [key for key, held in self.held.items() if held.orders.until + keep <= now]
        for key in gone:
            del self.held[key]
        return gone


def older(orders: Orders, mark: Mark) -> str:
    if orders.incarnation != mark.incarnation:
        return f"of an earlier life of {orders.planner} than the one applied"
    return f"number {orders.sequence}, {mark.sequence} is applied"


def next_incarnation(now: float, salt: int, seen: Iterable[Incarnation], epoch: int = 0) -> Incarnation:
    """A life later than all that are known of a planner's own name.

    Lives order by a fence's epoch, else by the clock. A planner without a disk knows its former lives from its
    own files and from its readers' answers; a clock that was stepped back, or two starts within one millisecond, then
    do no harm. With neither file nor answer in reach a stepped clock does: its files are refused until it has caught
    up or an answer has been read.
    """
    best = max(seen, default=None)
    started = int(now)
    if best is not None and (epoch, started, salt) <= (best.epoch, best.started, best.salt):
        epoch, started = max(epoch, best.epoch), best.started + 1
    return Incarnation(epoch, started, salt)
