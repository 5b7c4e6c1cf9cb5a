"""Framing and codec of the simulator's wire: big-endian frames of coded records."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import BinaryIO, TypeAlias

from stackwheel import interface as face
from stackwheel.interface import Action, Availability, EndpointEntry, Event, Server, UpdateKind

BATCH_HEADER = struct.Struct(">dIII")
REPLY_HEADER = struct.Struct(">III")
RECORD_HEADER = struct.Struct(">BI")
ENTRY = struct.Struct(">6sHHHBfd")
MOST_BYTES = 1 << 28  # a batch may be megabytes long; more than this is a broken length
EVERYONE = 0xFFFF
SCOPES = {0: UpdateKind.CACHED, 1: UpdateKind.FULL, 2: UpdateKind.FAILED, 3: UpdateKind.DELTA}


class WireError(ValueError):
    """Something on the wire is malformed."""


@dataclass(frozen=True, slots=True)
class Create:
    seed: int
    settings: bytes


@dataclass(frozen=True, slots=True)
class Down:
    pass


Item: TypeAlias = Create | Down | Event


@dataclass(frozen=True, slots=True)
class Batch:
    clock: float
    number: int
    records: list[tuple[int, Item]]


class Cursor:
    """Reads fields one after another from a record, never past its end."""

    def __init__(self, data: bytes, where: str) -> None:
        self.data, self.at, self.where = data, 0, where

    def take(self, layout: str) -> tuple[int | float | bytes, ...]:
        size = struct.calcsize(layout)
        return struct.unpack(layout, self.raw(size))

    def raw(self, size: int) -> bytes:
        end = self.at + size
        if end > len(self.data):
            raise WireError(f"{self.where}: field at byte {self.at + 5} runs past the record's end")
        chunk = self.data[self.at : end]
        self.at = end
        return chunk

    def whole(self, layout: str) -> int:
        return int(self.take(">" + layout)[0])

    def real(self, layout: str = "d") -> float:
        return float(self.take(">" + layout)[0])

    def server(self) -> Server:
        return Server(self.raw(6))

    def flag(self) -> bool:
        value = self.whole("B")
        if value > 1:
            raise WireError(f"{self.where}: flag at byte {self.at + 4} is {value}")
        return value == 1

    def load(self) -> tuple[float, ...]:
        count = self.whole("B")
        return tuple(float(value) for value in self.take(f">{count}f"))

    def end(self) -> None:
        if self.at != len(self.data):
            raise WireError(f"{self.where}: {len(self.data) - self.at} bytes too many")


class Decoder:
    """Turns frames into batches; keeps the process-wide numbered server lists."""

    def __init__(self) -> None:
        self.pages: dict[int, tuple[EndpointEntry, ...]] = {}
        self.readers: dict[int, tuple[str, Callable[[Cursor], Item]]] = {
            1: ("create", read_create),
            2: ("directory_update", self.read_directory),
            3: ("reminder", lambda c: face.TimerFired(c.whole("Q"))),
            4: ("probed", read_probed),
            5: ("whisper", lambda c: face.GossipReceived(c.whole("I"), c.raw(c.whole("H")))),
            6: ("down", lambda c: Down()),
            7: ("joined", read_joined),
            8: ("disconnected", lambda c: face.ProxyLeft(c.whole("H"))),
            9: ("installed", lambda c: face.Acknowledged(c.whole("H"), c.whole("Q"), c.real())),
            10: ("digest", read_digest),
            11: ("usage", read_usage),
            12: ("weight_seen", read_weight_seen),
            13: ("tenure", lambda c: face.KeyRangeGranted(c.whole("H"), c.flag())),
            14: ("held", read_held),
        }

    def batch(self, header: bytes, body: bytes) -> Batch:
        clock, length, count, number = BATCH_HEADER.unpack(header)
        if clock != clock or clock in (float("inf"), float("-inf")):
            raise WireError(f"batch {number}: clock is not a finite time")
        if length != len(body):
            raise WireError(f"batch {number}: {len(body)} bytes where the header says {length}")
        records: list[tuple[int, Item]] = []
        for code, cursor in self.split(body, count, number):
            if code == 15:
                self.read_ledger(cursor)
                continue
            instance = cursor.whole("H")
            records.append((instance, self.readers[code][1](cursor)))
            cursor.end()
        return Batch(clock, number, records)

    def split(self, body: bytes, count: int, number: int) -> Iterator[tuple[int, Cursor]]:
        at = 0
        for place in range(count):
            where = f"batch {number}, record {place}"
            if at + RECORD_HEADER.size > len(body):
                raise WireError(f"{where}: missing, the frame ends at byte {at}")
            code, size = RECORD_HEADER.unpack_from(body, at)
            at += RECORD_HEADER.size
            if code != 15 and code not in self.readers:
                raise WireError(f"{where}: unknown event code {code}")
            if at + size > len(body):
                raise WireError(f"{where}: {size} bytes announced, {len(body) - at} left")
            name = "ledger" if code == 15 else self.readers[code][0]
            yield code, Cursor(body[at : at + size], f"{where} ({name})")
            at += size
        if at != len(body):
            raise WireError(f"batch {number}: {len(body) - at} bytes after the last record")

    def read_ledger(self, cursor: Cursor) -> None:
        page, count = cursor.whole("B"), cursor.whole("I")
        if page > 15:
            raise WireError(f"{cursor.where}: list number {page} is over 15")
        if count * ENTRY.size != len(cursor.data) - cursor.at:
            raise WireError(f"{cursor.where}: {count} entries do not fill the record")
        self.pages[page] = tuple(read_entry(cursor) for _ in range(count))

    def read_directory(self, cursor: Cursor) -> Event:
        scope, version, page = cursor.whole("B"), cursor.whole("Q"), cursor.whole("B")
        if scope not in SCOPES:
            raise WireError(f"{cursor.where}: unknown scope {scope}")
        if SCOPES[scope] is UpdateKind.FAILED:
            return face.EndpointUpdate(UpdateKind.FAILED, version)
        if page not in self.pages:
            raise WireError(f"{cursor.where}: list {page} was never defined")
        return face.EndpointUpdate(SCOPES[scope], version, self.pages[page])


def read_entry(cursor: Cursor) -> EndpointEntry:
    server, zone, kind, cell, state, size, started = ENTRY.unpack(cursor.raw(ENTRY.size))
    if state > max(Availability):
        raise WireError(f"{cursor.where}: availability {state} is reserved")
    return EndpointEntry(Server(server), zone, kind, cell, Availability(state), size, started)


def read_create(cursor: Cursor) -> Create:
    seed = cursor.whole("Q")
    return Create(seed, cursor.raw(cursor.whole("I")))


def read_probed(cursor: Cursor) -> Event:
    server, outcome = cursor.server(), cursor.whole("H")
    if outcome > 7:
        raise WireError(f"{cursor.where}: outcome {outcome} is reserved")
    return face.HealthCheckResult(server, outcome, cursor.real(), cursor.load())


def read_joined(cursor: Cursor) -> Event:
    return face.ProxyJoined(cursor.whole("H"), cursor.whole("H"), cursor.real("f"), cursor.flag())


def read_digest(cursor: Cursor) -> Event:
    zone, server = cursor.whole("H"), cursor.server()
    tries, failures = cursor.whole("I"), cursor.whole("I")
    mean, window = cursor.real(), cursor.real()
    return face.LoadReport(zone, server, tries, failures, mean, window, cursor.load())


def read_usage(cursor: Cursor) -> Event:
    unanswered, proxy, requests = cursor.whole("I"), cursor.whole("H"), cursor.whole("I")
    window, place = cursor.real(), cursor.whole("H")
    return face.DemandReport(proxy, place, requests, unanswered, window)


def read_weight_seen(cursor: Cursor) -> Event:
    unanswered, place = cursor.whole("I"), cursor.whole("H")
    window, requests, table = cursor.real(), cursor.whole("I"), cursor.whole("H")
    return face.KeyRangeDemand(table, place, requests, unanswered, window)


def read_held(cursor: Cursor) -> Event:
    weight, table = cursor.real("f"), cursor.whole("H")
    return face.KeyRangeWeight(table, cursor.server(), weight)


def class_bits(classes: tuple[int, ...]) -> int:
    return sum(1 << place for place in classes)


def encode_action(instance: int, action: Action) -> bytes:
    match action:
        case face.SetWeight(table, server, weight):
            return record(72, ">HH6sf", instance, table, server, weight)
        case face.AssignTable(proxy, table, classes):
            return record(75, ">HHHH", instance, proxy, table, class_bits(classes))
        case face.SetAdmission(table, classes, level, retry):
            return record(76, ">HHHfB", instance, table, class_bits(classes), level, retry)
        case face.ClearTable(table):
            return record(73, ">HH", instance, table)
        case face.SetEjection(server, out):
            return record(74, ">H6sB", instance, server, out)
        case face.AttachNonce(mark, everyone):
            return record(77, ">HQB", instance, mark, everyone)
        case face.SetTimer(delay, token):
            return record(65, ">HdQ", instance, delay, token)
        case face.StartHealthCheck(server):
            return record(66, ">H6s", instance, server)
        case face.WatchEndpoints(on):
            return record(70, ">HB", instance, on)
        case face.FetchEndpoints():
            return record(71, ">H", instance)
        case face.SendGossip(payload, peer):
            to = EVERYONE if peer is None else peer
            return record(67, f">HHH{len(payload)}s", instance, to, len(payload), payload)
        case face.Log(text):
            return encode_text(68, instance, text)


def encode_fault(instance: int, text: str) -> bytes:
    return encode_text(69, instance, text)


def encode_text(code: int, instance: int, text: str) -> bytes:
    octets = text.encode("utf-8", "replace")[:2000]
    return record(code, f">HH{len(octets)}s", instance, len(octets), octets)


def record(code: int, layout: str, *fields: object) -> bytes:
    body = struct.pack(layout, *fields)
    return RECORD_HEADER.pack(code, len(body)) + body


def encode_reply(number: int, records: list[bytes]) -> bytes:
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body), number) + body


def read_frame(stream: BinaryIO) -> tuple[bytes, bytes] | None:
    """The next header and body; None at the end of input."""
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"input ends inside a header, after {len(header)} bytes")
    length = BATCH_HEADER.unpack(header)[1]
    if length > MOST_BYTES:
        raise WireError(f"header announces {length} bytes, over the {MOST_BYTES} a batch may hold")
    body = stream.read(length)
    if len(body) < length:
        raise WireError(f"input ends inside a batch, after {len(body)} of {length} bytes")
    return header, body
