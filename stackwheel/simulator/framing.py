"""Framing of the simulator protocol: reads batches, splits them into records, and builds replies from records.

The simulator sends a batch, whose records are events and requests for planner instances, and receives one reply to
each batch, whose records are the actions of these instances.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from stackwheel.simulator.errors import WireError
from stackwheel.simulator.wire import EVENT_NAMES

BATCH_HEADER = struct.Struct(">dIII")
"""Header of a batch: clock in ms, length of the body in bytes, number of records, number of the batch."""

REPLY_HEADER = struct.Struct(">III")
"""Header of a reply: number of records, length of the body in bytes, number of the batch."""

RECORD_HEADER = struct.Struct(">BI")
"""Header of a record: code, length of the body in bytes."""

MAX_BODY_BYTES = 1 << 28
"""Maximum length of the body of a batch; a greater length in a header means that the input is malformed."""


class Frame(NamedTuple):
    """An encoded batch, divided into its header and its body."""

    header: bytes
    body: bytes


class BatchHeader(NamedTuple):
    """The fields of the header of a batch.

    Attributes:
        clock: time on the planners' clock, ms.
        body_length: length of the body, bytes.
        record_count: number of records in the body.
        number: number of the batch.
    """

    clock: float
    body_length: int
    record_count: int
    number: int


class Record(NamedTuple):
    """An event record with an undecoded body.

    Attributes:
        code: code of the event.
        body: the encoded fields.
        location: batch, index and event name of the record, for error messages.
    """

    code: int
    body: bytes
    location: str


def read_frame(stream: BinaryIO) -> Frame | None:
    """Read the next batch; return None at the end of the input.

    Raises:
        WireError: the input ends within a batch, or the length in the header exceeds `MAX_BODY_BYTES`.
    """
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError("", f"input ends inside a header: got {len(header)} of {BATCH_HEADER.size} bytes")
    length = BATCH_HEADER.unpack(header)[1]
    if length > MAX_BODY_BYTES:
        raise WireError("", f"body of {length} bytes is over the limit of {MAX_BODY_BYTES}")
    body = stream.read(length)
    if len(body) < length:
        raise WireError("", f"input ends inside a batch: got {len(body)} of {length} bytes")
    return Frame(header, body)


def parse_header(frame: Frame) -> BatchHeader:
    """Unpack the header of a frame.

    Raises:
        WireError: the clock is not finite, or the length of the body differs from the header.
    """
    header = BatchHeader(*BATCH_HEADER.unpack(frame.header))
    location = f"batch {header.number}"
    if not math.isfinite(header.clock):
        raise WireError(location, f"clock is not finite: {header.clock}")
    if header.body_length != len(frame.body):
        raise WireError(location, f"body of {len(frame.body)} bytes, but the header says {header.body_length}")
    return header


def split_records(header: BatchHeader, body: bytes) -> Iterator[Record]:
    """Yield the records of a body; each record is validated when it is requested.

    Raises:
        WireError: a record is truncated or has an unknown code, or bytes are left after the last record.
    """
    offset = 0
    for position in range(header.record_count):
        location = f"batch {header.number}, record {position}"
        if offset + RECORD_HEADER.size > len(body):
            raise WireError(location, f"missing record header, the body ends at byte {offset}")
        code, length = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        if code not in EVENT_NAMES:
            raise WireError(location, f"unknown event code {code}")
        if offset + length > len(body):
            raise WireError(location, f"truncated record: expected {length} bytes, got {len(body) - offset}")
        yield Record(code, body[offset : offset + length], f"{location} ({EVENT_NAMES[code]})")
        offset += length
    if offset != len(body):
        raise WireError(f"batch {header.number}", f"{len(body) - offset} unexpected bytes after the last record")


def encode_record(code: int, body: bytes) -> bytes:
    """Encode a record of a reply."""
    return RECORD_HEADER.pack(code, len(body)) + body


def encode_reply(batch_number: int, records: list[bytes]) -> bytes:
    """Encode the reply to a batch from encoded records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body), batch_number) + body
