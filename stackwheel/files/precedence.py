"""Which of a forwarder's sources holds: its stream, a planner's files, or what is left of either. No I/O.

The rules, in this order:

1. What a planner has told to be out stays out, whichever source told it, until a later word of the same planner lets
   it back, or a source that prevails lists it after the telling. A drain told by file binds while a stream is half
   open, and the other way round.
2. A stream that is heard and has ordered whole tables prevails. A new one prevails once it has ordered them.
3. Else the files of the planner that prevails already, while they are fresh; else those made last among the
   fresh. A stream's tables count as made when its last order was applied: older files do not take their place.
4. What is over its time is kept for `keep` ms at most. Then `after` holds: `even` spreads over all servers known
   and not out, by even weights; `refuse` holds nothing, and says so.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Literal

from stackwheel.files.accept import Content, Held

After = Literal["even", "refuse"]
OUT_MOST = 10_000  # servers remembered as out; the first to go out are forgotten first


class Source(Enum):
    NOTHING = "nothing"
    STREAM = "stream"
    FILE = "file"
    KEPT = "kept"  # over its time, but not for long
    EVEN = "even"


@dataclass(frozen=True, slots=True)
class Terms:
    """What the settings allow, ms."""

    silence: float = 3_000.0  # a stream unheard of for so long no longer prevails
    life: float = 30_000.0  # of a stream's tables once it is silent
    keep: float = 10_000.0  # of tables that are over their time
    after: After = "even"


@dataclass(slots=True)
class StreamState:
    """What came by stream."""

    content: Content | None = None  # None until whole tables have been ordered
    planner: str = ""
    up: bool = False
    heard: float = 0.0
    ordered: float = 0.0


@dataclass(slots=True)
class Out:
    """A server that a planner took out."""

    by: str  # planner
    at: float


@dataclass(slots=True)
class Choice:
    """What the forwarder goes by now."""

    source: Source
    planner: str = ""
    content: Content = field(default_factory=Content)
    until: float = 0.0  # when this has to be looked at again; 0: only at news


class SourcePrecedence:
    """Keeps what the sources said; `choose` answers from it alone."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.stream = StreamState()
        self.files: dict[str, Held] = {}  # by target
        self.chosen = ""  # planner that prevails among those that push files
        self.out: dict[str, Out] = {}
        self.known: dict[str, None] = {}  # servers named by anyone, for an even spread

    # what the sources say

    def stream_up(self, planner: str, now: float) -> None:
        """A stream has come up; what the last one ordered is no longer its word."""
        self.stream = StreamState(None, planner, True, now, self.stream.ordered if self.stream.content else 0.0)

    def stream_heard(self, now: float) -> None:
        self.stream.heard = now

    def stream_ordered(self, content: Content, whole: bool, now: float) -> None:
        """Orders came; `content` is all that the stream's tables say by now."""
        stream = self.stream
        stream.heard = stream.ordered = now
        if whole or stream.content is not None:
            stream.content = content
        self.told(stream.planner, content, now)

    def stream_down(self) -> None:
        self.stream.up = False

    def file(self, key: str, held: Held, now: float) -> None:
        self.files[key] = held
        self.told(held.orders.planner, held.content, now)

    def forget_file(self, key: str) -> None:
        self.files.pop(key, None)

    def told(self, planner: str, content: Content, now: float) -> None:
        """Servers out by this planner's word, and those that it lets back: it may undo only what it said itself."""
        for server in content.withdrawn:
            self.out.setdefault(server, Out(planner, now))
        for server, out in list(self.out.items()):
            if out.by == planner and server not in content.withdrawn:
                del self.out[server]
        for lines in content.tables.values():
            self.known.update(dict.fromkeys(lines))
        for server in list(self.out)[: max(0, len(self.out) - OUT_MOST)]:
            del self.out[server]
        for server in list(self.known)[: max(0, len(self.known) - OUT_MOST)]:
            del self.known[server]

    # what follows

    def choose(self, now: float) -> Choice:
        terms, stream = self.terms, self.stream
        if stream.content is not None and stream.up and now < stream.heard + terms.silence:
            return self.usable(Source.STREAM, stream.planner, stream.content, stream.heard + terms.silence)
        fresh = {key: held for key, held in self.files.items() if held.orders.until > now}
        ordered = stream.ordered if stream.content is not None else 0.0
        newer = {key: held for key, held in fresh.items() if held.orders.made >= ordered}
        if newer:
            if all(held.orders.planner != self.chosen for held in newer.values()):
                last = max(newer.values(), key=lambda held: (held.orders.made, held.orders.planner))
                self.chosen = last.orders.planner
            # a planner says the same to all of a zone or something else to one: its newest word holds
            held = max(
                (one for one in newer.values() if one.orders.planner == self.chosen),
                key=lambda one: (one.orders.incarnation, one.orders.made, one.orders.proxy is not None),
            )
            return self.usable(Source.FILE, held.orders.planner, held.content, held.orders.until)
        candidates = [(held.orders.until, held.orders.planner, held.content) for held in self.files.values()]
        if stream.content is not None:
            candidates.append((stream.heard + terms.life, stream.planner, stream.content))
        until, planner, content = max(candidates, key=lambda c: c[0], default=(0.0, "", Content()))
        if candidates and now < until + terms.keep:
            return self.usable(Source.KEPT, planner, content, until + terms.keep)
        return self.last_resort()

    def usable(self, source: Source, planner: str, content: Content, until: float) -> Choice:
        """Lines of servers that are out go; a class left bare gets what is known and not out, evenly."""
        tables = {route: self.open(lines) for route, lines in content.tables.items()}
        if self.terms.after == "even":
            spare = self.even()
            tables = {route: lines or dict(spare) for route, lines in tables.items()}
        return Choice(source, planner, Content(tables, dict(content.levels), tuple(self.out)), until)

    def open(self, lines: Mapping[str, float]) -> dict[str, float]:
        return {server: weight for server, weight in lines.items() if server not in self.out}

    def even(self) -> dict[str, float]:
        return {server: 1.0 for server in self.known if server not in self.out}

    def last_resort(self) -> Choice:
        if self.terms.after == "refuse" or not self.even():
            return Choice(Source.NOTHING, content=Content(withdrawn=tuple(self.out)))
        routes = self.routes()
        return Choice(Source.EVEN, content=Content({r: self.even() for r in routes}, {}, tuple(self.out)))

    def routes(self) -> Iterable[str]:
        """Classes that any source ever had a table for."""
        found: dict[str, None] = dict.fromkeys(self.stream.content.tables if self.stream.content else ())
        for held in self.files.values():
            found.update(dict.fromkeys(held.content.tables))
        return found
