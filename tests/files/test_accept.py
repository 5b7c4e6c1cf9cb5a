"""What a reader takes: nothing older, nothing twice, no change without its base, no order for bookings again."""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stackwheel.files.accept import (
    Accepted,
    Acceptor,
    Content,
    Known,
    Memory,
    content_of,
    difference,
    next_incarnation,
)
from stackwheel.files.codec import Refusal, Stage
from stackwheel.files.records import Booking, Incarnation, Level, Orders, Table

LIFE, NEXT = Incarnation(0, 1000, 5), Incarnation(0, 2000, 1)
NOW = 10_000.0


def whole(sequence: int, life: Incarnation = LIFE, **more: object) -> Orders:
    fields: dict[str, object] = {
        "until": NOW + 20_000.0,
        "zone": "east",
        "tables": (Table("read", {"a": float(sequence), "b": 1.0}),),
    }
    return Orders("n0", life, sequence, NOW, **{**fields, **more})  # type: ignore[arg-type]


def change(sequence: int, base: int, life: Incarnation = LIFE, **more: object) -> Orders:
    return whole(sequence, life, base=base, **{"tables": (Table("read", {"a": float(sequence)}),), **more})


def take(acceptor: Acceptor, *orders: Orders, now: float = NOW) -> list[str]:
    """What became of each: taken, known, or the stage of its refusal; with the bookings that took effect."""
    told: list[str] = []
    for one in orders:
        found = acceptor.offer(one, now)
        if isinstance(found, Accepted):
            acceptor.commit(found, now)
            told.append("taken" + "".join(f" {b.id}" for b in found.bookings))
        else:
            told.append("known" if isinstance(found, Known) else found.stage.name)
    return told


def test_older_files_after_newer_ones_are_refused_and_the_same_one_changes_nothing() -> None:
    acceptor = Acceptor("east", 3)
    assert take(acceptor, whole(2), whole(1), whole(2), whole(3)) == ["taken", "ORDER", "known", "taken"]


def test_an_earlier_life_is_refused_whatever_its_number() -> None:
    acceptor = Acceptor("east", 3)
    assert take(acceptor, whole(1, NEXT), whole(900, LIFE), whole(2, NEXT)) == ["taken", "ORDER", "taken"]


def test_also_after_the_reader_has_restarted() -> None:
    first = Acceptor("east", 3)
    take(first, whole(5))
    again = Acceptor("east", 3, msgspec.json.decode(msgspec.json.encode(first.memory), type=Memory))
    assert take(again, whole(4), change(6, 5), whole(5), change(6, 5)) == ["ORDER", "BASE", "taken", "taken"]


def test_a_change_waits_for_its_whole_file_and_needs_none_between() -> None:
    acceptor = Acceptor("east", 3)
    assert take(acceptor, change(3, 1), whole(1), change(4, 1), change(3, 1), change(6, 5)) == [
        "BASE",
        "taken",
        "taken",
        "ORDER",
        "BASE",
    ]
    assert acceptor.held["n0|east|all"].content.tables == {"read": {"a": 4.0, "b": 1.0}}


def test_an_order_for_bookings_takes_effect_once_however_it_comes() -> None:
    order = Booking("n0.1", "book", 3, NOW + 5000.0)
    acceptor = Acceptor("east", 3)
    assert take(
        acceptor, whole(1, bookings=(order,)), whole(2, bookings=(order,)), change(3, 2, bookings=(order,))
    ) == ["taken n0.1", "taken", "taken"]
    again = Acceptor("east", 3, acceptor.memory)
    assert take(again, whole(4, bookings=(order,)), whole(1, NEXT, bookings=(order,))) == ["taken", "taken"]


def test_after_a_lost_memory_an_order_made_before_takes_no_effect_though_a_newer_file_brings_it() -> None:
    """Seed 368 with files: it goes along with every file until it is over, and took effect once more."""
    before, after = Booking("old", "book", 1, NOW + 9e4, NOW - 500.0), Booking("new", "book", 1, NOW + 9e4, NOW)
    acceptor = Acceptor("east", 3, Memory(since=NOW - 100.0))
    assert take(acceptor, whole(1, bookings=(before, after))) == ["taken new"]


def test_an_order_that_is_over_takes_no_effect_and_is_forgotten() -> None:
    acceptor = Acceptor("east", 3)
    order = Booking("n0.1", "book", 3, NOW + 5000.0)
    take(acceptor, whole(1, bookings=(order,)))
    assert take(acceptor, whole(2, bookings=(order,)), now=NOW + 6000.0) == ["taken"]
    assert acceptor.memory.bookings == {}


@pytest.mark.parametrize(
    ("orders", "stage"),
    [(whole(1, until=NOW), Stage.AGE), (whole(1, zone="west"), Stage.TARGET), (whole(1, proxy=4), Stage.TARGET)],
)
def test_what_is_over_or_for_others_is_refused(orders: Orders, stage: Stage) -> None:
    found = Acceptor("east", 3).offer(orders, NOW)
    assert isinstance(found, Refusal) and found.stage is stage


def test_what_comes_from_the_future_is_refused() -> None:
    found = Acceptor("east", 3).offer(whole(1), NOW - 6000.0)
    assert isinstance(found, Refusal) and found.stage is Stage.AGE


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 10_000), st.integers(1, 3))
def test_in_whatever_order_and_however_often_the_end_is_the_newest(seed: int, copies: int) -> None:
    chance = random.Random(seed)
    files = [whole(1), change(2, 1), change(3, 1), whole(4), change(5, 4, withdrawn=("b",)), whole(1, NEXT)]
    pushed = files * copies
    chance.shuffle(pushed)
    acceptor, marks = Acceptor("east", 3), []
    for one in pushed:
        take(acceptor, one)
        marks.append(
            max((m.incarnation, m.sequence) for m in acceptor.memory.marks.values()) if acceptor.memory.marks else None
        )
        if chance.random() < 0.2:
            acceptor = Acceptor("east", 3, acceptor.memory)
    told = [mark for mark in marks if mark is not None]
    assert told == sorted(told) and told[-1] == (NEXT, 1)


LINES = st.dictionaries(st.sampled_from("abcd"), st.sampled_from([0.5, 1.0, 2.0]), max_size=4)
CONTENT = st.builds(
    Content,
    st.fixed_dictionaries({"read": LINES, "book": LINES}),
    st.fixed_dictionaries(
        {"read": st.sampled_from([None, Level(0.5, 1)]), "book": st.sampled_from([None, Level(0.9, 1)])}
    ),
    st.just(()),
)


@settings(max_examples=200, deadline=None)
@given(CONTENT, CONTENT)
def test_a_whole_file_and_its_change_make_the_content(old: Content, new: Content) -> None:
    base = whole(1, tables=tuple(Table(r, old.tables[r], old.levels[r]) for r in old.tables))
    found = content_of(base, change(2, 1, tables=difference(base, new)))
    assert found.tables == new.tables and {r: found.levels.get(r) for r in new.levels} == new.levels


def test_lives_order_without_a_disk() -> None:
    """Within one millisecond, with a clock stepped back, with the same chance: later is greater."""
    seen: list[Incarnation] = []
    for now, salt in ((5000.0, 9), (5000.0, 9), (5000.0, 1), (1000.0, 3), (6000.0, 0)):
        life = next_incarnation(now, salt, seen)
        assert all(life > earlier for earlier in seen)
        seen.append(life)
    assert next_incarnation(1.0, 0, seen, epoch=1) > max(seen)


def test_memory_is_bounded() -> None:
    acceptor = Acceptor("east", 3)
    for number in range(100):
        take(acceptor, Orders(f"n{number}", LIFE, 1, NOW, NOW + 9e6, "east"))
    assert len(acceptor.memory.marks) == 64 and len(acceptor.held) == 64
    ids = itertools.count()
    for sequence in range(1, 13):
        take(
            acceptor,
            whole(sequence, bookings=tuple(Booking(f"x{next(ids)}", "book", 1, NOW + 1e6) for _ in range(1000))),
        )
    assert len(acceptor.memory.bookings) == 10_000
