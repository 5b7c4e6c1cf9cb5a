"""A planner's side of the files: what each forwarder that reads them has been ordered, and what its answers mean.

Orders of the module become the content of each forwarder's tables; those of a zone that hold the same share a file,
one that differs gets its own. Answers become items for the module's mailbox. No I/O, no clock but the one handed in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from stackwheel import interface as face
from stackwheel.files.accept import Content, difference, next_incarnation
from stackwheel.files.records import Answer, Booking, Incarnation, Level, Orders, Table
from stackwheel.interface import Server
from stackwheel.settings import Names
from stackwheel.state.planner_actor import Item, StreamEnded, StreamMessage
from stackwheel.state.server_ids import server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate

SILENT_ANSWERS = 6.0  # cycles without an answer after which a forwarder counts as left
BOOKINGS_MOST = 1_000  # orders for bookings that go along until they are over


class FileLine:
    """The connection of a forwarder that is spoken to by files: only its identity counts."""

    def __init__(self, proxy: int) -> None:
        self.proxy = proxy

    def __str__(self) -> str:
        return f"proxy {self.proxy} by files"

    def on_superseded(self) -> None:
        """Another way of speaking carries the forwarder now; its answers are heard no more until that ends."""

    def on_attached(self) -> None:
        """Files are read by who wants to: there is nothing to take up again."""


@dataclass(slots=True)
class Forwarder:
    proxy: int
    zone: str
    line: FileLine
    life: Incarnation
    sequence: int  # of its newest answer
    heard: float
    content: Content = field(default_factory=Content)
    out: dict[str, None] = field(default_factory=dict)  # servers shut out, in order
    marks: dict[int, int | None] = field(default_factory=dict)  # mark: sequence of the file that carries it
    ordered: bool = False  # whole tables have been ordered


@dataclass(slots=True)
class Target:
    """One file: for a zone, or for one forwarder."""

    zone: str
    proxy: int | None
    sequence: int = 0
    made: float = 0.0
    whole: Orders | None = None
    since_whole: int = 0
    content: Content | None = None


@dataclass(frozen=True, slots=True)
class Terms:
    """What the operators' file sets; ms."""

    life: float = 30_000.0
    whole_every: int = 20
    cycle: float = 1_000.0


class Ledger:
    def __init__(
        self, planner: str, names: Names, proxies: int, terms: Terms, name_of: Callable[[Server], str | None], salt: int
    ) -> None:
        self.planner, self.names, self.proxies, self.terms = planner, names, proxies, terms
        self.name_of, self.salt = name_of, salt
        self.incarnation: Incarnation | None = None
        self.sequence = 0  # of this life's files, whatever target: a later one holds what an earlier one said
        self.forwarders: dict[int, Forwarder] = {}
        self.targets: dict[tuple[str, int | None], Target] = {}
        self.bookings: dict[str, Booking] = {}
        self.refused = 0  # answers that could not be used

    # lives

    def begin(self, now: float, seen: list[Incarnation]) -> Incarnation:
        """A life above all that are known of this planner's name; all files are whole again."""
        self.incarnation, self.sequence = next_incarnation(now, self.salt, seen), 0
        for target in self.targets.values():
            target.sequence, target.whole, target.content, target.made = 0, None, None, 0.0
        for forwarder in self.forwarders.values():
            forwarder.marks = dict.fromkeys(forwarder.marks)
        return self.incarnation

    # orders

    def order(self, message: ProxyUpdate) -> bool:
        """Bring a forwarder's content to what a message says; False if it is spoken to otherwise."""
        forwarder = self.forwarders.get(message.proxy)
        if forwarder is None:
            return False
        content = forwarder.content
        for part in message.parts:
            lines = {name: weight for server, weight in part.lines if (name := self.name_of(server)) is not None}
            for place in part.classes:
                route = self.names.classes[place]
                old = {} if part.complete else content.tables.get(route, {})
                content.tables[route] = {s: w for s, w in {**old, **lines}.items() if w > 0}
                if part.level is not None:
                    content.levels[route] = Level(part.level[0], int(part.level[1]))
                elif part.complete:
                    content.levels[route] = None
                forwarder.ordered |= part.complete
        for server in message.eject:
            if (name := self.name_of(server)) is not None:
                forwarder.out[name] = None
        for server in message.restore:
            forwarder.out.pop(self.name_of(server) or "", None)
        content.withdrawn = tuple(forwarder.out)
        if message.nonce is not None:
            forwarder.marks[message.nonce] = None
        return True

    def book(self, order: Booking, now: float) -> bool:
        """An order that takes effect once: it goes along with every file until it is over."""
        self.bookings = {b.id: b for b in self.bookings.values() if b.until > now}
        if len(self.bookings) >= BOOKINGS_MOST:
            return False
        self.bookings[order.id] = order
        return True

    # files

    def due(self, now: float) -> Iterator[Orders]:
        """The files whose content has moved, and those that would be over soon."""
        by_zone: dict[str, list[Forwarder]] = {}
        for forwarder in self.forwarders.values():
            if forwarder.ordered:
                by_zone.setdefault(forwarder.zone, []).append(forwarder)
        for zone, members in by_zone.items():
            usual = self.commonest(members)
            yield from self.write(zone, None, usual, [m for m in members if m.content == usual], now)
            for member in members:  # who had a file of its own goes by that until the zone's is newer
                if member.content != usual or self.own_holds(member):
                    yield from self.write(zone, member.proxy, member.content, [member], now)

    def own_holds(self, forwarder: Forwarder) -> bool:
        """Whether a forwarder's own file may be newer to it than its zone's, which says the same by now."""
        own, shared = self.targets.get((forwarder.zone, forwarder.proxy)), self.targets[forwarder.zone, None]
        if own is None:
            return False
        if own.content == forwarder.content and shared.made > own.made:
            del self.targets[forwarder.zone, forwarder.proxy]
            return False
        return True

    @staticmethod
    def commonest(members: list[Forwarder]) -> Content:
        """What most forwarders of a zone hold; of equals what the first does."""
        groups: list[tuple[Content, int]] = []
        for member in members:
            for at, (content, count) in enumerate(groups):
                if content == member.content:
                    groups[at] = content, count + 1
                    break
            else:
                groups.append((member.content, 1))
        return max(groups, key=lambda group: group[1])[0]

    def write(
        self, zone: str, proxy: int | None, content: Content, members: list[Forwarder], now: float
    ) -> Iterator[Orders]:
        target = self.targets.setdefault((zone, proxy), Target(zone, proxy))
        waiting = any(number is None for m in members for number in m.marks.values())
        aged = now >= target.made + self.terms.life / 2
        if target.content == content and not waiting and not aged:
            return
        orders = self.make(target, content, now)
        for member in members:
            member.marks = {mark: number or target.sequence for mark, number in member.marks.items()}
        yield orders

    def make(self, target: Target, content: Content, now: float) -> Orders:
        """The next file of a target: a change on its whole one, or a whole one where that is due."""
        assert self.incarnation is not None
        self.sequence += 1
        target.sequence = self.sequence
        bookings = tuple(b for b in self.bookings.values() if b.until > now)
        whole = target.whole
        change = whole is not None and target.since_whole < self.terms.whole_every
        tables = (
            difference(whole, content)
            if change and whole is not None
            else tuple(
                Table(route, dict(sorted(lines.items())), content.levels.get(route))
                for route, lines in sorted(content.tables.items())
            )
        )
        orders = Orders(
            self.planner,
            self.incarnation,
            target.sequence,
            now,
            now + self.terms.life,
            target.zone,
            target.proxy,
            whole.sequence if change and whole is not None else None,
            tables,
            content.withdrawn,
            bookings,
        )
        target.since_whole = target.since_whole + 1 if change else 0
        target.whole = whole if change else orders
        target.content = Content(
            {r: dict(lines) for r, lines in content.tables.items()}, dict(content.levels), content.withdrawn
        )
        target.made = now
        return orders

    def whole_again(self, zone: str, proxy: int | None) -> None:
        """A reader misses the base: the next file of the target is whole."""
        if (target := self.targets.get((zone, proxy))) is not None:
            target.whole, target.content = None, None

    # answers

    def answer(self, answer: Answer, now: float) -> Iterator[Item]:
        """What a forwarder's file means for the module; nothing if it says nothing new or what can't be."""
        if answer.proxy >= self.proxies or answer.zone not in self.names.zones:
            self.refused += 1
            return
        known = self.forwarders.get(answer.proxy)
        if known is not None and (answer.life, answer.sequence) <= (known.life, known.sequence):
            return
        if known is None or answer.life != known.life:
            known = self.forwarders[answer.proxy] = Forwarder(
                answer.proxy, answer.zone, FileLine(answer.proxy), answer.life, answer.sequence, now
            )
            yield ProxyStream(answer.proxy, self.names.zones.index(answer.zone), answer.rate, answer.fresh, known.line)
        known.sequence, known.heard = answer.sequence, now
        yield StreamMessage(known.proxy, None, known.line)  # it lives
        if answer.planner == self.planner and answer.incarnation == self.incarnation:
            yield from self.confirmed(known, answer)
        elif (
            answer.planner == self.planner
            and answer.incarnation is not None
            and (self.incarnation is not None and answer.incarnation > self.incarnation)
        ):
            self.begin(now, [answer.incarnation])  # a former life of ours is later than this one: be later still
        yield from self.reports(known, answer)

    def confirmed(self, forwarder: Forwarder, answer: Answer) -> Iterator[Item]:
        """The marks that went along with files up to the one it has applied."""
        done = [mark for mark, number in forwarder.marks.items() if number is not None and number <= answer.applied]
        for mark in done:
            del forwarder.marks[mark]
        if done:  # who answers the last has applied those before
            yield StreamMessage(
                forwarder.proxy, face.Acknowledged(forwarder.proxy, done[-1], answer.took), forwarder.line
            )

    def reports(self, forwarder: Forwarder, answer: Answer) -> Iterator[Item]:
        if answer.over <= 0:
            return
        for came in answer.came:
            if came.route in self.names.classes:
                place = self.names.classes.index(came.route)
                report = face.DemandReport(forwarder.proxy, place, came.requests, came.unanswered, answer.over)
                yield StreamMessage(forwarder.proxy, report, forwarder.line)
        zone = self.names.zones.index(forwarder.zone)
        for met in answer.met:
            server = server_id(met.server)
            if self.name_of(server) is not None and met.failures <= met.tries:
                load = tuple(met.load.get(column, float("nan")) for column in self.names.columns) if met.load else ()
                yield face.LoadReport(zone, server, met.tries, met.failures, met.mean, answer.over, load)

    def silent(self, now: float) -> Iterator[Item]:
        """Forwarders that have not answered for long count as left, and are forgotten."""
        late = now - SILENT_ANSWERS * self.terms.cycle
        for forwarder in [f for f in self.forwarders.values() if f.heard < late]:
            del self.forwarders[forwarder.proxy]
            self.targets.pop((forwarder.zone, forwarder.proxy), None)
            yield StreamEnded(forwarder.proxy, forwarder.line)
