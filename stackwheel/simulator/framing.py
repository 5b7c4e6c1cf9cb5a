"""Frames of the simulator's wire: reads batches and splits them into records, builds replies out of records."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from stackwheel.simulator.errors import WireError
from stackwheel.simulator.wire import EVENT_NAMES

BATCH_HEADER = struct.Struct(">dIII")  # clock in ms, length of the body, number of records, number of the batch
REPLY_HEADER = struct.Struct(">III")  # number of records, length of the body, number of the batch
RECORD_HEADER = struct.Struct(">BI")  # code, length of the record's body
MAX_BODY_BYTES = 1 << 28  # a batch may be megabytes long; a header that announces more than this is broken


class Frame(NamedTuple):
    """One batch as it came: its header and the body that the header announces."""

    header: bytes
    body: bytes


class BatchHeader(NamedTuple):
    """The fields of a batch's header."""

    clock: float  # ms on the planners' clock
    body_length: int
    record_count: int
    number: int


class Record(NamedTuple):
    """One event record, not yet decoded."""

    code: int
    body: bytes
    place: str  # batch, position and name, for messages


def read_frame(stream: BinaryIO) -> Frame | None:
    """Read the next batch; None at the end of input.

    Raises:
        WireError: the input ends within a batch, or the announced length is impossible.
    """
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError("", f"input ends inside a header, after {len(header)} bytes")
    length = BATCH_HEADER.unpack(header)[1]
    if length > MAX_BODY_BYTES:
        raise WireError("", f"header announces {length} bytes, over the {MAX_BODY_BYTES} a batch may hold")
    body = stream.read(length)
    if len(body) < length:
        raise WireError("", f"input ends inside a batch, after {len(body)} of {length} bytes")
    return Frame(header, body)


def parse_header(frame: Frame) -> BatchHeader:
    """Unpack the header of a frame.

    Raises:
        WireError: the clock is not a finite time, or the body has another length than the header says.
    """
    header = BatchHeader(*BATCH_HEADER.unpack(frame.header))
    place = f"batch {header.number}"
    if not math.isfinite(header.clock):
        raise WireError(place, "clock is not a finite time")
    if header.body_length != len(frame.body):
        raise WireError(place, f"{len(frame.body)} bytes where the header says {header.body_length}")
    return header


def split_records(header: BatchHeader, body: bytes) -> Iterator[Record]:
    """Yield the records of a body one by one; each is checked only when the one before it has been used.

    Raises:
        WireError: a record is cut off or has an unknown code, or bytes are left after the last one.
    """
    offset = 0
    for position in range(header.record_count):
        place = f"batch {header.number}, record {position}"
        if offset + RECORD_HEADER.size > len(body):
            raise WireError(place, f"missing, the frame ends at byte {offset}")
        code, length = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        if code not in EVENT_NAMES:
            raise WireError(place, f"unknown event code {code}")
        if offset + length > len(body):
            raise WireError(place, f"{length} bytes announced, {len(body) - offset} left")
        yield Record(code, body[offset : offset + length], f"{place} ({EVENT_NAMES[code]})")
        offset += length
    if offset != len(body):
        raise WireError(f"batch {header.number}", f"{len(body) - offset} bytes after the last record")


def encode_record(code: int, body: bytes) -> bytes:
    """A record of a reply: its header and body."""
    return RECORD_HEADER.pack(code, len(body)) + body


def encode_reply(batch_number: int, records: list[bytes]) -> bytes:
    """The reply to a batch, of encoded records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body), batch_number) + body
