"""Tests that complete, valid files are decoded and all others are rejected."""

from __future__ import annotations

import hashlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stackwheel.files.codec import MAGIC, KeyRing, decode, encode
from stackwheel.files.errors import FileRejectedError, Stage
from stackwheel.files.records import (
    ClassDemand,
    Document,
    Incarnation,
    ProxyStatus,
    Reservation,
    ServerObservation,
    TableLevel,
    TableUpdate,
    WeightTable,
)

INCARNATION = Incarnation(0, 1000, 7)
UPDATE = TableUpdate(
    "n0",
    INCARNATION,
    3,
    5000.0,
    9000.0,
    "east",
    tables=(
        WeightTable("read", {"s-1": 0.5, "s-2": 1.5}, TableLevel(0.9, 1)),
        WeightTable("book", {"s-1": 1.0}),
    ),
    ejected=("s-3",),
    reservations=(Reservation("n0.3.1", "book", 5, 8000.0),),
)
STATUS = ProxyStatus(
    4,
    "east",
    INCARNATION,
    9,
    6000.0,
    "n0",
    INCARNATION,
    3,
    120.0,
    False,
    20.5,
    1000.0,
    (ClassDemand("read", 12, 1),),
    (ServerObservation("s-1", 20, 1, 80.5, {"outstanding": 3.0}),),
)
OLD_KEY = KeyRing({"k1": b"a" * 32}, "k1")
NEW_KEY = KeyRing({"k2": b"b" * 32}, "k2")
BOTH_KEYS = KeyRing({"k1": b"a" * 32, "k2": b"b" * 32}, "k2")


def rejection(data: bytes, keys: KeyRing | None = None) -> FileRejectedError:
    with pytest.raises(FileRejectedError) as rejected:
        decode(data, keys or KeyRing())
    return rejected.value


def decoded_if_accepted(data: bytes) -> Document | None:
    try:
        return decode(data)
    except FileRejectedError:
        return None


@pytest.mark.parametrize("document", [UPDATE, STATUS])
@pytest.mark.parametrize("keys", [KeyRing(), OLD_KEY, BOTH_KEYS])
def test_an_encoded_document_is_decoded_unchanged(document: Document, keys: KeyRing) -> None:
    assert decode(encode(document, keys), keys) == document


def test_equal_documents_are_encoded_to_equal_bytes() -> None:
    tables = (
        WeightTable("read", {"s-2": 1.5, "s-1": 0.5}, TableLevel(0.9, 1)),
        WeightTable("book", {"s-1": 1.0}),
    )
    equal_update = msgspec.structs.replace(UPDATE, tables=tables)
    assert encode(equal_update, OLD_KEY) == encode(UPDATE, OLD_KEY)


@pytest.mark.parametrize("keys", [KeyRing(), OLD_KEY])
def test_every_truncation_is_rejected(keys: KeyRing) -> None:
    data = encode(UPDATE, keys)
    for length in range(len(data)):
        rejection(data[:length], keys)


@pytest.mark.parametrize("keys", [KeyRing(), OLD_KEY])
def test_every_flipped_byte_is_rejected(keys: KeyRing) -> None:
    data = encode(UPDATE, keys)
    for position in range(len(data)):
        for mask in (0x01, 0x20, 0x80):
            flipped = bytearray(data)
            flipped[position] ^= mask
            rejection(bytes(flipped), keys)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=400), st.integers(0, 2))
def test_noise_in_place_of_or_next_to_a_file_is_rejected(noise: bytes, position: int) -> None:
    data = encode(UPDATE)
    document = decoded_if_accepted((noise, data + noise, noise + data)[position])
    assert document is None or (document == UPDATE and not noise)


def test_a_mix_of_two_versions_of_a_file_is_rejected() -> None:
    """A program that copies files in place overwrites the beginning of the old version first."""
    old = encode(UPDATE)
    new = encode(msgspec.structs.replace(UPDATE, sequence=4, tables=(WeightTable("read", {"s-9": 2.5}),)))
    for length in range(1, len(new)):
        assert decoded_if_accepted(new[:length] + old[length:]) in (None, UPDATE)


def with_trailer(head: bytes) -> bytes:
    digest = hashlib.blake2b(head, digest_size=32).hexdigest().encode()
    return head + b"\nend length=%d blake2b=%b\n" % (len(head), digest)


@pytest.mark.parametrize(
    ("data", "stage", "reason"),
    [
        (b"", Stage.TRAILER, "the file is empty"),
        (b"hello\n", Stage.TRAILER, "incomplete, or not a table file"),
        (with_trailer(b"other 1\n{}"), Stage.VERSION, "first line is"),
        (with_trailer(MAGIC + b" 2\n{}"), Stage.VERSION, "expected stackwheel-table 1"),
        (with_trailer(MAGIC + b" 1\n{"), Stage.CONTENT, "truncated"),
        (with_trailer(MAGIC + b' 1\n{"kind":"orders"}'), Stage.CONTENT, "missing required field `planner`"),
        (
            with_trailer(MAGIC + b" 1\n" + msgspec.json.encode(UPDATE).replace(b'"s-1":0.5', b'"s-1":-0.5')),
            Stage.CONTENT,
            "$.tables[0]",
        ),
        (
            with_trailer(MAGIC + b" 1\n" + msgspec.json.encode(UPDATE).replace(b'"n0"', b'"../n0"')),
            Stage.CONTENT,
            "$.planner",
        ),
        (with_trailer(MAGIC + b" 1\n" + b"[" * 100_000), Stage.CONTENT, ""),
        (b"x" * ((16 << 20) + 1), Stage.SIZE, "at most 16777216 are allowed"),
    ],
)
def test_a_rejection_states_the_failed_check_and_the_reason(data: bytes, stage: Stage, reason: str) -> None:
    error = rejection(data)
    assert error.stage is stage
    assert reason in error.reason
    assert "\n" not in str(error)


def test_a_signed_file_is_accepted_during_a_key_rotation_and_without_keys() -> None:
    signed = encode(UPDATE, OLD_KEY)
    assert decode(signed, BOTH_KEYS) == UPDATE
    assert decode(signed) == UPDATE


@pytest.mark.parametrize(
    ("data", "keys", "stage"),
    [
        (encode(UPDATE, OLD_KEY), NEW_KEY, Stage.KEY),
        (encode(UPDATE), OLD_KEY, Stage.KEY),
        (encode(UPDATE, OLD_KEY), KeyRing({"k1": b"c" * 32}), Stage.SIGNATURE),
    ],
)
def test_a_file_without_a_valid_signature_is_rejected(data: bytes, keys: KeyRing, stage: Stage) -> None:
    assert rejection(data, keys).stage is stage


def test_a_forged_body_with_a_valid_digest_is_rejected() -> None:
    body = encode(UPDATE, OLD_KEY).partition(b"\nend ")[0].replace(b'"s-1":0.5', b'"s-1":9.5')
    signature = encode(UPDATE, OLD_KEY).rpartition(b" key=")[2]
    forged = with_trailer(body)[:-1] + b" key=" + signature
    assert rejection(forged, OLD_KEY).stage is Stage.SIGNATURE


@pytest.mark.parametrize(
    ("keys", "signing"),
    [
        ({"a": b"x" * 16, "b": b"x" * 16, "c": b"x" * 16}, None),
        ({"a": b"short"}, None),
        ({"a b": b"x" * 16}, None),
        ({"a": b"x" * 16}, "b"),
    ],
)
def test_an_invalid_key_ring_raises_value_error(keys: dict[str, bytes], signing: str | None) -> None:
    with pytest.raises(ValueError, match=r"keys are given|has 5 bytes|key id|is not among the keys"):
        KeyRing(keys, signing)
