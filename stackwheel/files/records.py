"""What a file says, as typed records. Times are Unix ms, spans ms; `docs/files.md` is the format."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

VERSION = 1
Time = Annotated[float, Meta(ge=0, le=1e14)]
Number = Annotated[int, Meta(ge=0, le=(1 << 53) - 1)]  # exact in any JSON reader
Word = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x20\x7f/]+$")]
Weight = Annotated[float, Meta(ge=0, le=1e12)]
LINES_MOST, TABLES_MOST, ORDERS_MOST, REPORTS_MOST = 10_000, 64, 1_000, 100_000


class Incarnation(Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """One life of a planner. Lives order by epoch, then start, then by chance: what is greater is later.

    `epoch` comes from a fence the operators keep, where there is one; without it lives order by the clock.
    """

    epoch: Number = 0
    started: Number = 0
    salt: Number = 0


class Level(Struct, frozen=True, forbid_unknown_fields=True):
    """What is let in of a class, and how it is tried again (0 to 3, as on the stream)."""

    admit: Weight
    policy: Annotated[int, Meta(ge=0, le=3)]


class Table(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The lines of one class. In a change file a weight of 0 takes a line out, others are set."""

    route: Word
    lines: Annotated[dict[Word, Weight], Meta(max_length=LINES_MOST)] = {}
    level: Level | None = None
    whole: bool = False  # in a change file: these lines are all there are


class Booking(Struct, frozen=True, forbid_unknown_fields=True):
    """An order that must take effect once, whatever brings it: leave to send so many requests of a class, beyond its
    level, until a time. `id` is its own on every way it takes."""

    id: Word
    route: Word
    grant: Annotated[int, Meta(ge=1, le=1_000_000)]
    until: Time
    made: Time = 0.0  # when it was first ordered, however often it comes


class Orders(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, tag_field="kind", tag="orders"):
    """What a planner orders the forwarders of a zone, or one of them."""

    planner: Word
    incarnation: Incarnation
    sequence: Annotated[int, Meta(ge=1, le=(1 << 53) - 1)]
    made: Time
    until: Time  # it may be used so long
    zone: Word
    proxy: Annotated[int, Meta(ge=0, le=65535)] | None = None  # for this one alone
    base: Number | None = None  # a change file: the sequence of the whole one it builds on
    tables: Annotated[tuple[Table, ...], Meta(max_length=TABLES_MOST)] = ()
    withdrawn: Annotated[tuple[Word, ...], Meta(max_length=LINES_MOST)] = ()  # all that are shut out
    bookings: Annotated[tuple[Booking, ...], Meta(max_length=ORDERS_MOST)] = ()

    @property
    def whole(self) -> bool:
        return self.base is None

    @property
    def mark(self) -> tuple[Incarnation, int]:
        return self.incarnation, self.sequence


class Met(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What a forwarder met at a server within a span."""

    server: Word
    tries: Number
    failures: Number = 0
    mean: Time = 0.0
    load: dict[Word, Weight] = {}


class Came(Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of a class that came to a forwarder within a span."""

    route: Word
    requests: Number
    unanswered: Number = 0


class Answer(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True, tag_field="kind", tag="answer"):
    """What a forwarder says by a file of its own: what it has applied, what came and what it met."""

    proxy: Annotated[int, Meta(ge=0, le=65535)]
    zone: Word
    life: Incarnation  # of the forwarder
    sequence: Annotated[int, Meta(ge=1, le=(1 << 53) - 1)]
    made: Time
    planner: Word | None = None  # whose orders it holds
    incarnation: Incarnation | None = None
    applied: Number = 0  # their sequence
    took: Time = 0.0  # from the making of the file to its use
    fresh: bool = True  # it holds only its standing table
    rate: Weight = 0.0  # requests a second, roughly
    over: Annotated[float, Meta(ge=0, le=86_400_000)] = 0.0
    came: Annotated[tuple[Came, ...], Meta(max_length=TABLES_MOST)] = ()
    met: Annotated[tuple[Met, ...], Meta(max_length=REPORTS_MOST)] = ()


Document = Orders | Answer
ENCODER = msgspec.json.Encoder(order="deterministic")
DECODER = msgspec.json.Decoder(Document)
