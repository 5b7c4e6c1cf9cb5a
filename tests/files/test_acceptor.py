"""Tests of the checks that decide which table updates a reader applies."""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stackwheel.files.acceptor import Acceptor, ReaderMemory
from stackwheel.files.errors import FileRejectedError, Stage
from stackwheel.files.records import FileVersion, Incarnation, Reservation, TableUpdate, WeightTable

FIRST = Incarnation(0, 1000, 5)
SECOND = Incarnation(0, 2000, 1)
NOW = 10_000.0


def complete(sequence: int, incarnation: Incarnation = FIRST, **fields: object) -> TableUpdate:
    values: dict[str, object] = {
        "expires_at": NOW + 20_000.0,
        "zone": "east",
        "tables": (WeightTable("read", {"a": float(sequence), "b": 1.0}),),
        **fields,
    }
    return TableUpdate("n0", incarnation, sequence, NOW, **values)  # type: ignore[arg-type]


def delta(sequence: int, base_sequence: int, incarnation: Incarnation = FIRST, **fields: object) -> TableUpdate:
    tables = (WeightTable("read", {"a": float(sequence)}),)
    return complete(sequence, incarnation, base_sequence=base_sequence, **{"tables": tables, **fields})


def apply(acceptor: Acceptor, *updates: TableUpdate, now: float = NOW) -> list[str]:
    """Apply updates; return "applied" with the accepted reservations, "known", or the failed stage for each."""
    outcomes: list[str] = []
    for update in updates:
        try:
            acceptance = acceptor.validate(update, now)
        except FileRejectedError as error:
            outcomes.append(error.stage.name)
            continue
        if acceptance is None:
            outcomes.append("known")
            continue
        acceptor.record_applied(acceptance, now)
        outcomes.append(" ".join(["applied", *(reservation.id for reservation in acceptance.reservations)]))
    return outcomes


def test_an_older_update_is_rejected_and_a_repeated_one_is_ignored() -> None:
    acceptor = Acceptor("east", 3)
    outcomes = apply(acceptor, complete(2), complete(1), complete(2), complete(3))
    assert outcomes == ["applied", "ORDER", "known", "applied"]


def test_an_update_of_an_earlier_incarnation_is_rejected_at_any_sequence_number() -> None:
    acceptor = Acceptor("east", 3)
    outcomes = apply(acceptor, complete(1, SECOND), complete(900, FIRST), complete(2, SECOND))
    assert outcomes == ["applied", "ORDER", "applied"]


def test_an_older_update_is_rejected_after_a_restart_of_the_reader() -> None:
    stopped = Acceptor("east", 3)
    apply(stopped, complete(5))
    memory = msgspec.json.decode(msgspec.json.encode(stopped.memory), type=ReaderMemory)
    restarted = Acceptor("east", 3, memory)
    outcomes = apply(restarted, complete(4), delta(6, 5), complete(5), delta(6, 5))
    assert outcomes == ["ORDER", "BASE", "applied", "applied"]


def test_a_delta_requires_its_base_but_no_earlier_delta() -> None:
    acceptor = Acceptor("east", 3)
    outcomes = apply(acceptor, delta(3, 1), complete(1), delta(4, 1), delta(3, 1), delta(6, 5))
    assert outcomes == ["BASE", "applied", "applied", "ORDER", "BASE"]
    assert acceptor.current["n0|east|all"].content.tables == {"read": {"a": 4.0, "b": 1.0}}


def test_a_reservation_takes_effect_once_when_several_updates_contain_it() -> None:
    reservations = (Reservation("n0.1", "book", 3, NOW + 5000.0),)
    acceptor = Acceptor("east", 3)
    outcomes = apply(
        acceptor,
        complete(1, reservations=reservations),
        complete(2, reservations=reservations),
        delta(3, 2, reservations=reservations),
    )
    assert outcomes == ["applied n0.1", "applied", "applied"]
    restarted = Acceptor("east", 3, acceptor.memory)
    outcomes = apply(restarted, complete(4, reservations=reservations), complete(1, SECOND, reservations=reservations))
    assert outcomes == ["applied", "applied"]


def test_a_reservation_created_before_the_reader_memory_is_ignored() -> None:
    """A reservation may have taken effect before the memory was lost, and newer files still contain it."""
    older = Reservation("old", "book", 1, NOW + 9e4, NOW - 500.0)
    newer = Reservation("new", "book", 1, NOW + 9e4, NOW)
    acceptor = Acceptor("east", 3, ReaderMemory(valid_since=NOW - 100.0))
    assert apply(acceptor, complete(1, reservations=(older, newer))) == ["applied new"]


def test_an_expired_reservation_is_ignored_and_removed_from_the_memory() -> None:
    acceptor = Acceptor("east", 3)
    reservations = (Reservation("n0.1", "book", 3, NOW + 5000.0),)
    apply(acceptor, complete(1, reservations=reservations))
    assert apply(acceptor, complete(2, reservations=reservations), now=NOW + 6000.0) == ["applied"]
    assert acceptor.memory.reservations == {}


@pytest.mark.parametrize(
    ("update", "stage"),
    [
        (complete(1, expires_at=NOW), Stage.AGE),
        (complete(1, zone="west"), Stage.TARGET),
        (complete(1, proxy=4), Stage.TARGET),
    ],
)
def test_an_expired_update_and_one_for_another_target_are_rejected(update: TableUpdate, stage: Stage) -> None:
    with pytest.raises(FileRejectedError) as rejected:
        Acceptor("east", 3).validate(update, NOW)
    assert rejected.value.stage is stage


def test_an_update_created_in_the_future_is_rejected() -> None:
    with pytest.raises(FileRejectedError) as rejected:
        Acceptor("east", 3).validate(complete(1), NOW - 6000.0)
    assert rejected.value.stage is Stage.AGE


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 10_000), st.integers(1, 3))
def test_the_newest_update_wins_in_any_order_of_delivery(seed: int, copies: int) -> None:
    generator = random.Random(seed)
    updates = [complete(1), delta(2, 1), delta(3, 1), complete(4), delta(5, 4, ejected=("b",)), complete(1, SECOND)]
    delivered = updates * copies
    generator.shuffle(delivered)
    acceptor = Acceptor("east", 3)
    versions: list[FileVersion] = []
    for update in delivered:
        apply(acceptor, update)
        if acceptor.memory.applied:
            versions.append(max(applied.version for applied in acceptor.memory.applied.values()))
        if generator.random() < 0.2:
            acceptor = Acceptor("east", 3, acceptor.memory)
    assert versions == sorted(versions)
    assert versions[-1] == (SECOND, 1)


def test_the_reader_memory_is_bounded() -> None:
    acceptor = Acceptor("east", 3)
    for number in range(100):
        apply(acceptor, TableUpdate(f"n{number}", FIRST, 1, NOW, NOW + 9e6, "east"))
    assert len(acceptor.memory.applied) == 64
    assert len(acceptor.current) == 64
    ids = itertools.count()
    for sequence in range(1, 13):
        reservations = tuple(Reservation(f"x{next(ids)}", "book", 1, NOW + 1e6) for _ in range(1000))
        apply(acceptor, complete(sequence, reservations=reservations))
    assert len(acceptor.memory.reservations) == 10_000
