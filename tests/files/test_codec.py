"""A file is used whole or not at all, and only if it is genuine."""

from __future__ import annotations

import hashlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stackwheel.files.codec import MAGIC, KeyRing, Refusal, Stage, decode, encode
from stackwheel.files.records import Answer, Booking, Came, Incarnation, Level, Met, Orders, Table

LIFE = Incarnation(0, 1000, 7)
ORDERS = Orders(
    "n0",
    LIFE,
    3,
    5000.0,
    9000.0,
    "east",
    tables=(Table("read", {"s-1": 0.5, "s-2": 1.5}, Level(0.9, 1)), Table("book", {"s-1": 1.0})),
    withdrawn=("s-3",),
    bookings=(Booking("n0.3.1", "book", 5, 8000.0),),
)
ANSWER = Answer(
    4,
    "east",
    LIFE,
    9,
    6000.0,
    "n0",
    LIFE,
    3,
    120.0,
    False,
    20.5,
    1000.0,
    (Came("read", 12, 1),),
    (Met("s-1", 20, 1, 80.5, {"outstanding": 3.0}),),
)
OLD, NEW = KeyRing({"k1": b"a" * 32}, "k1"), KeyRing({"k2": b"b" * 32}, "k2")
BOTH = KeyRing({"k1": b"a" * 32, "k2": b"b" * 32}, "k2")


@pytest.mark.parametrize("document", [ORDERS, ANSWER])
@pytest.mark.parametrize("keys", [KeyRing(), OLD, BOTH])
def test_what_was_written_is_read(document: Orders | Answer, keys: KeyRing) -> None:
    assert decode(encode(document, keys), keys) == document


def test_the_same_document_has_the_same_bytes() -> None:
    again = msgspec.structs.replace(
        ORDERS, tables=(Table("read", {"s-2": 1.5, "s-1": 0.5}, Level(0.9, 1)), Table("book", {"s-1": 1.0}))
    )
    assert encode(again, OLD) == encode(ORDERS, OLD)


@pytest.mark.parametrize("keys", [KeyRing(), OLD])
def test_every_truncation_is_refused(keys: KeyRing) -> None:
    data = encode(ORDERS, keys)
    for length in range(len(data)):
        assert isinstance(decode(data[:length], keys), Refusal), length


@pytest.mark.parametrize("keys", [KeyRing(), OLD])
def test_every_flipped_byte_is_refused(keys: KeyRing) -> None:
    data = encode(ORDERS, keys)
    for place in range(len(data)):
        for mask in (0x01, 0x20, 0x80):
            spoilt = bytearray(data)
            spoilt[place] ^= mask
            assert isinstance(decode(bytes(spoilt), keys), Refusal), (place, mask)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=400), st.integers(0, 2))
def test_nothing_else_is_ever_taken_for_a_file(noise: bytes, where: int) -> None:
    data = encode(ORDERS)
    found = decode((noise, data + noise, noise + data)[where])
    assert isinstance(found, Refusal) or (found == ORDERS and not noise)


def test_a_file_torn_between_two_versions_is_refused() -> None:
    """A pusher that copies in place: the start of the new one over the old one."""
    old = encode(ORDERS)
    new = encode(msgspec.structs.replace(ORDERS, sequence=4, tables=(Table("read", {"s-9": 2.5}),)))
    for length in range(1, len(new)):
        found = decode(new[:length] + old[length:])
        assert isinstance(found, Refusal) or found == ORDERS


def resigned(head: bytes) -> bytes:
    return head + b"\nend length=%d blake2b=%b\n" % (
        len(head),
        hashlib.blake2b(head, digest_size=32).hexdigest().encode(),
    )


@pytest.mark.parametrize(
    ("data", "stage", "told"),
    [
        (b"", Stage.TRAILER, "empty"),
        (b"hello\n", Stage.TRAILER, "half written, or no table file"),
        (resigned(b"other 1\n{}"), Stage.VERSION, "begins with"),
        (resigned(MAGIC + b" 2\n{}"), Stage.VERSION, "not stackwheel-table 1"),
        (resigned(MAGIC + b" 1\n{"), Stage.CONTENT, "truncated"),
        (resigned(MAGIC + b' 1\n{"kind":"orders"}'), Stage.CONTENT, "missing required field `planner`"),
        (
            resigned(MAGIC + b" 1\n" + msgspec.json.encode(ORDERS).replace(b'"s-1":0.5', b'"s-1":-0.5')),
            Stage.CONTENT,
            "$.tables[0]",
        ),
        (
            resigned(MAGIC + b" 1\n" + msgspec.json.encode(ORDERS).replace(b'"n0"', b'"../n0"')),
            Stage.CONTENT,
            "$.planner",
        ),
        (resigned(MAGIC + b" 1\n" + b"[" * 100_000), Stage.CONTENT, ""),
        (b"x" * ((16 << 20) + 1), Stage.SIZE, "at most"),
    ],
)
def test_a_refusal_says_how_far_the_reading_had_come(data: bytes, stage: Stage, told: str) -> None:
    found = decode(data)
    assert isinstance(found, Refusal) and found.stage is stage and told in found.reason
    assert "\n" not in str(found)


def test_keys() -> None:
    signed = encode(ORDERS, OLD)
    assert decode(signed, BOTH) == ORDERS  # while both are valid
    assert decode(signed) == ORDERS  # who has no key asks for none
    for data, keys, stage in (
        (signed, NEW, Stage.KEY),
        (encode(ORDERS), OLD, Stage.KEY),
        (signed, KeyRing({"k1": b"c" * 32}), Stage.SIGNATURE),
    ):
        found = decode(data, keys)
        assert isinstance(found, Refusal) and found.stage is stage


def test_a_forged_body_with_a_sound_digest_is_refused() -> None:
    body = encode(ORDERS, OLD).partition(b"\nend ")[0].replace(b'"s-1":0.5', b'"s-1":9.5')
    trailer = encode(ORDERS, OLD).rpartition(b" key=")[2]
    found = decode(resigned(body)[:-1] + b" key=" + trailer, OLD)
    assert isinstance(found, Refusal) and found.stage is Stage.SIGNATURE


@pytest.mark.parametrize(
    ("keys", "signing"),
    [
        ({"a": b"x" * 16, "b": b"x" * 16, "c": b"x" * 16}, None),
        ({"a": b"short"}, None),
        ({"a b": b"x" * 16}, None),
        ({"a": b"x" * 16}, "b"),
    ],
)
def test_a_key_ring_that_cannot_be(keys: dict[str, bytes], signing: str | None) -> None:
    with pytest.raises(ValueError):
        KeyRing(keys, signing)
