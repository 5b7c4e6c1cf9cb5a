"""The line protocol's codec: received lines become typed messages, updates for proxies become lines.

A line is a kind and fields `name=value`, each name once, separated by spaces and ended by CRLF. The protocol's own
names of fields (`lane`, `site`, `fail`, ...) appear in this module only, those of its kinds in `messages.py`.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator, Sequence
from typing import Final

from stackwheel.errors import InvalidInputError
from stackwheel.interface import ServerId
from stackwheel.settings import LOAD_COLUMN_ALIASES, ConfiguredNames
from stackwheel.state.server_ids import ServerIds
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart
from stackwheel.wire.messages import (
    AckMessage,
    CollectorMessage,
    DemandMessage,
    JoinMessage,
    LoadMessage,
    MalformedMessageError,
    Message,
    PingMessage,
    ProtocolViolationError,
)

LINE_END = b"\r\n"
PONG = b"PONG" + LINE_END  # answer to PING
NACK = b"NACK" + LINE_END  # sent to an unidentified connection before it is closed

MAX_UNIDENTIFIED_BYTES: Final = 4096  # that a connection may send in all before it identifies itself
MAX_MESSAGE_BYTES: Final = 1 << 20  # of one message of an identified connection
MAX_COUNT: Final = (1 << 32) - 1  # of requests in one report, and of a figure in a load report
MAX_DURATION_MS: Final = 86_400_000.0  # a day: no window, latency or delay is as long
SIGNIFICANT_DIGITS: Final = 6  # of a weight or admission level that is written
SHOWN_CHARACTERS: Final = 40  # of an offending value in an error

DECIMAL_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?|\.[0-9]+")
INTEGER_PATTERN = re.compile(r"[0-9]{1,18}")
CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f\x7f]")  # never part of a message


class FieldError(InvalidInputError):
    """A field of a message is missing or its value can't be used; `place` is the field's name."""


class LineSplitter:
    """Cuts received data, in whatever pieces it comes, into lines.

    Attributes:
        pending: the start of a line whose end has not come yet.
        max_line_bytes: a line longer than this is never returned.
        is_oversized: whether `pending` is over that limit.
        consumed_bytes: of all lines returned so far.
    """

    def __init__(self) -> None:
        """Start with the limit of an unidentified connection."""
        self.pending = bytearray()
        self.max_line_bytes = MAX_UNIDENTIFIED_BYTES
        self.is_oversized = False
        self.consumed_bytes = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The lines that are complete now, without their ends."""
        self.pending += data
        searched = max(0, len(self.pending) - len(data) - 1)
        while (end := self.pending.find(LINE_END, searched)) >= 0:
            if end > self.max_line_bytes:
                break
            line = bytes(self.pending[:end])
            del self.pending[: end + len(LINE_END)]
            searched = 0
            self.consumed_bytes += len(line) + len(LINE_END)
            yield line
        self.is_oversized = len(self.pending) > self.max_line_bytes


class MessageFields:
    """The fields of one message by name, each read as the type that it should have; FieldError where it has not."""

    def __init__(self, kind: str, pairs: Sequence[str], names: ConfiguredNames) -> None:
        """Split the fields of a line; ProtocolViolationError unless all are name=value, each name once.

        Messages that ran into each other look so.
        """
        self.names = names
        self.values: dict[str, str] = {}
        for pair in pairs:
            name, equals, value = pair.partition("=")
            if not equals or not name or name in self.values:
                raise ProtocolViolationError(kind, f"no name=value, or a repeated name: {shorten(pair)}")
            self.values[name] = value

    def text(self, name: str) -> str:
        """A value that is not empty."""
        if not self.values.get(name):
            raise FieldError(name, "missing")
        return self.values[name]

    def duration(self, name: str) -> float:
        """A time in ms, at most a day."""
        return read_figure(name, self.text(name), MAX_DURATION_MS)

    def window(self, name: str) -> float:
        """The time that a report covers, in ms; it can't be 0."""
        value = self.duration(name)
        if value <= 0:
            raise FieldError(name, f"not above 0: {value:g}")
        return value

    def integer(self, name: str, maximum: int = MAX_COUNT) -> int:
        """An integer from 0 to `maximum`."""
        text = self.text(name)
        if not INTEGER_PATTERN.fullmatch(text) or int(text) > maximum:
            raise FieldError(name, f"no integer from 0 to {maximum}: {shorten(text)}")
        return int(text)

    def flag(self, name: str) -> bool:
        """0 or 1."""
        text = self.text(name)
        if text not in ("0", "1"):
            raise FieldError(name, f"neither 0 nor 1: {shorten(text)}")
        return text == "1"

    def index(self, name: str, known_names: tuple[str, ...]) -> int:
        """The index of a name among those that the settings give."""
        text = self.text(name)
        if text not in known_names:
            raise FieldError(name, f"unknown name: {shorten(text)}")
        return known_names.index(text)

    def zone(self) -> int:
        """The index of the zone that the message names."""
        return self.index("site", self.names.zones)


def shorten(text: str) -> str:
    """The start of an offending value, quoted."""
    return repr(text[:SHOWN_CHARACTERS])


def read_load(text: str, separator: str) -> tuple[tuple[str, float], ...]:
    """A server's own figures by load column, in the settings' names; FieldError where one is no figure."""
    pairs = [pair.partition(separator) for pair in text.split(",") if pair]
    return tuple((LOAD_COLUMN_ALIASES.get(column, column), read_figure(column, value)) for column, _, value in pairs)


def read_figure(name: str, text: str, maximum: float = MAX_COUNT) -> float:
    """A decimal number from 0 to `maximum`; FieldError names the field where it is none."""
    if not DECIMAL_PATTERN.fullmatch(text) or not float(text) <= maximum:
        raise FieldError(name, f"no number from 0 to {maximum:.0f}: {shorten(text)}")
    return float(text)


def read_ping(_fields: MessageFields) -> PingMessage:
    """PING; it has no fields."""
    return PingMessage()


def read_collector(fields: MessageFields) -> CollectorMessage:
    """SOURCE: the collector of a zone."""
    return CollectorMessage(fields.zone())


def read_load_report(fields: MessageFields) -> LoadMessage:
    """LOAD: a load report."""
    attempts = fields.integer("count")
    return LoadMessage(
        zone=fields.zone(),
        server_name=fields.text("target"),
        attempts=attempts,
        failures=fields.integer("fail", attempts),
        mean_latency=fields.duration("mean"),
        window=fields.window("over"),
        load=read_load(fields.values.get("util", ""), ":"),
    )


def read_demand_report(fields: MessageFields) -> DemandMessage:
    """RATE: a demand report."""
    return DemandMessage(
        proxy=fields.integer("id"),
        request_class=fields.index("lane", fields.names.classes),
        requests=fields.integer("count"),
        unanswered=fields.integer("fail"),
        window=fields.window("over"),
    )


def read_join(fields: MessageFields) -> JoinMessage:
    """SUBSCRIBE: a proxy joins."""
    return JoinMessage(
        proxy=fields.integer("id"),
        zone=fields.zone(),
        expected_rate=read_figure("rps", fields.text("rps")),
        newly_started=fields.flag("new"),
    )


def read_acknowledgement(fields: MessageFields) -> AckMessage:
    """ACK: an update has been applied."""
    return AckMessage(proxy=fields.integer("id"), nonce=fields.integer("seq"), elapsed=fields.duration("ms"))


READERS: dict[str, Callable[[MessageFields], Message]] = {
    PingMessage.KIND: read_ping,
    CollectorMessage.KIND: read_collector,
    LoadMessage.KIND: read_load_report,
    DemandMessage.KIND: read_demand_report,
    JoinMessage.KIND: read_join,
    AckMessage.KIND: read_acknowledgement,
}
ENCODED_KINDS = tuple(kind.encode() for kind in READERS)
LONGEST_KIND_SEARCHED: Final = 64  # bytes of a partial line in which the end of its kind is looked for


def decode(line: bytes, names: ConfiguredNames) -> Message:
    """Read one line.

    Raises:
        MalformedMessageError: its kind is known, but a field can't be used.
        ProtocolViolationError: it is no message at all.
    """
    try:
        kind, *pairs = line.decode("utf-8").split(" ")
    except UnicodeDecodeError as error:
        raise ProtocolViolationError("", f"not UTF-8 at byte {error.start}") from error
    if kind not in READERS:
        raise ProtocolViolationError("", f"unknown kind {shorten(kind)}")
    fields = MessageFields(kind, [pair for pair in pairs if pair], names)
    try:
        return READERS[kind](fields)
    except FieldError as error:
        raise MalformedMessageError(f"{kind} {error.location}", error.problem) from error


def check_partial_line(pending: bytes | bytearray) -> None:
    """Raise ProtocolViolationError if the start of a line can't become a message, as its end may never come."""
    kind, space, _ = bytes(pending[:LONGEST_KIND_SEARCHED]).removesuffix(b"\r").partition(b" ")
    is_known = kind in ENCODED_KINDS if space else any(known.startswith(kind) for known in ENCODED_KINDS)
    if not is_known:
        raise ProtocolViolationError("", f"unknown kind {shorten(kind[:SHOWN_CHARACTERS].decode(errors='replace'))}")
    if control := CONTROL_CHARACTER.search(pending, 0, len(pending) - pending.endswith(b"\r")):
        raise ProtocolViolationError("", f"control character at byte {control.start()}")


def format_number(value: float) -> str:
    """A number without an exponent; a value above 0 is never written as 0."""
    if value <= 0:
        return "0"
    decimals = max(0, SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(value)))
    text = f"{value:.{decimals}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


class Encoder:
    """Writes updates as lines. Proxies share parts, so each part of a batch is encoded once."""

    def __init__(self, names: ConfiguredNames, ids: ServerIds) -> None:
        """Write classes by the settings' names and servers by the names that discovery lists."""
        self.names = names
        self.ids = ids

    def encode(self, updates: Sequence[ProxyUpdate]) -> Iterator[bytes]:
        """The bytes of each update, in the same order."""
        encoded_parts: dict[int, str] = {}
        for update in updates:
            for part in update.parts:
                if id(part) not in encoded_parts:
                    encoded_parts[id(part)] = self.encode_part(part)
            lines = [encoded_parts[id(part)] for part in update.parts]
            yield self.encode_message(update, lines)

    def encode_message(self, update: ProxyUpdate, lines: list[str]) -> bytes:
        """Join an update's encoded parts to one message, with its ejections and its nonce in the last line."""
        if update.eject or update.restore or not lines:
            ejected = self.encode_servers("eject", update.eject)
            restored = self.encode_servers("restore", update.restore)
            lines = [*lines, "CONFIG" + ejected + restored]
        nonce = "" if update.nonce is None else f" nonce_out={update.nonce}"
        return (" continued=1\r\n".join(lines) + nonce + "\r\n").encode()

    def encode_part(self, part: UpdatePart) -> str:
        """One line without its end: a table, or changes of one, for some classes."""
        fields = ["CONFIG", "routes=" + "+".join(self.names.classes[index] for index in part.classes)]
        if part.complete:
            fields.append("full=1")
        named_weights = [(self.ids.name(server), weight) for server, weight in part.lines]
        weights = ",".join(f"{name}:{format_number(weight)}" for name, weight in named_weights if name is not None)
        if weights:
            fields.append("endpoints=" + weights)
        if part.level is not None:
            admitted, retry = part.level
            fields.append(f"admit={format_number(admitted)} policy={int(retry)}")
        return " ".join(fields)

    def encode_servers(self, field: str, servers: tuple[ServerId, ...]) -> str:
        """A field that lists servers, with a leading space; empty if none of them has a name."""
        names = [name for server in servers if (name := self.ids.name(server)) is not None]
        return f" {field}=" + ",".join(names) if names else ""
