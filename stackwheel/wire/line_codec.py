"""Codec of the line protocol: decodes received lines to typed messages, and encodes updates for proxies as lines.

A line consists of a kind and fields `name=value`, separated by spaces, and ends with CRLF; field names are unique
within a line. Only this module contains the field names of the protocol (`lane`, `site`, `fail`, ...). The kinds are
defined in `messages.py`.
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
PONG = b"PONG" + LINE_END  # response to PING
NACK = b"NACK" + LINE_END  # sent to an unidentified connection before it is closed

MAX_UNIDENTIFIED_BYTES: Final = 4096  # data that a connection may send before it identifies itself
MAX_MESSAGE_BYTES: Final = 1 << 20  # size of one message from an identified connection
MAX_WORDS: Final = 64  # words of one message, its kind included; the longest message of the protocol has 8
MAX_LOAD_COLUMNS: Final = 64  # load columns of one report
MAX_COUNT: Final = (1 << 32) - 1  # maximum of request counts and of values of load columns
MAX_DURATION_MS: Final = 86_400_000.0  # one day
SIGNIFICANT_DIGITS: Final = 6  # precision of encoded weights and admission levels
MAX_QUOTED_CHARACTERS: Final = 40  # length of an invalid value that is quoted in an error message

DECIMAL_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?|\.[0-9]+")
INTEGER_PATTERN = re.compile(r"[0-9]{1,18}")
CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f\x7f]")  # not allowed in messages


class FieldError(InvalidInputError):
    """A field of a message is missing or invalid; `location` is the name of the field."""


class LineSplitter:
    """Splits received data into lines, independently of how the data is divided into reads.

    Attributes:
        pending: incomplete line at the end of the data received so far.
        max_line_bytes: maximum length of a line; longer lines are not returned.
        is_oversized: whether `pending` is longer than `max_line_bytes`.
        consumed_bytes: total size of the lines returned so far, including their line ends.
    """

    def __init__(self) -> None:
        """Create a splitter with the line limit of an unidentified connection."""
        self.pending = bytearray()
        self.max_line_bytes = MAX_UNIDENTIFIED_BYTES
        self.is_oversized = False
        self.consumed_bytes = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received data, and yield the lines that it completes, without their line ends."""
        self.pending += data
        search_start = max(0, len(self.pending) - len(data) - 1)
        while (end := self.pending.find(LINE_END, search_start)) >= 0:
            if end > self.max_line_bytes:
                break
            line = bytes(self.pending[:end])
            del self.pending[: end + len(LINE_END)]
            search_start = 0
            self.consumed_bytes += len(line) + len(LINE_END)
            yield line
        self.is_oversized = len(self.pending) > self.max_line_bytes


class MessageFields:
    """Typed access to the fields of a message by name. Its methods raise FieldError if a field is missing or invalid.

    Attributes:
        names: configured names, which the fields refer to.
        values: field values by field name.
    """

    def __init__(self, kind: str, pairs: Sequence[str], names: ConfiguredNames) -> None:
        """Split the fields of a line into names and values.

        Raises:
            ProtocolViolationError: a field is not of the form `name=value` or its name is repeated, for example because
                the line end between two messages was lost.
        """
        self.names = names
        self.values: dict[str, str] = {}
        for pair in pairs:
            name, equals, value = pair.partition("=")
            if not equals or not name or name in self.values:
                raise ProtocolViolationError(kind, f"not of the form name=value, or a repeated name: {quote(pair)}")
            self.values[name] = value

    def text(self, name: str) -> str:
        """Return a value that is not empty."""
        if not self.values.get(name):
            raise FieldError(name, "missing")
        return self.values[name]

    def duration(self, name: str) -> float:
        """Return a duration from 0 to MAX_DURATION_MS, in ms."""
        return parse_number(name, self.text(name), MAX_DURATION_MS)

    def window(self, name: str) -> float:
        """Return the duration of the period that a report covers, which is greater than 0, in ms."""
        value = self.duration(name)
        if value <= 0:
            raise FieldError(name, f"not greater than 0: {value:g}")
        return value

    def integer(self, name: str, maximum: int = MAX_COUNT) -> int:
        """Return an integer from 0 to `maximum`."""
        text = self.text(name)
        if not INTEGER_PATTERN.fullmatch(text) or int(text) > maximum:
            raise FieldError(name, f"not an integer from 0 to {maximum}: {quote(text)}")
        return int(text)

    def flag(self, name: str) -> bool:
        """Return a boolean, which is encoded as 0 or 1."""
        text = self.text(name)
        if text not in ("0", "1"):
            raise FieldError(name, f"neither 0 nor 1: {quote(text)}")
        return text == "1"

    def index(self, name: str, configured_names: tuple[str, ...]) -> int:
        """Return the index of the field's value in the configured names."""
        text = self.text(name)
        if text not in configured_names:
            raise FieldError(name, f"not a configured name: {quote(text)}")
        return configured_names.index(text)

    def zone(self) -> int:
        """Return the index of the message's zone."""
        return self.index("site", self.names.zones)


def quote(text: str) -> str:
    """Return an invalid value in quotes, truncated to MAX_QUOTED_CHARACTERS."""
    return repr(text[:MAX_QUOTED_CHARACTERS])


def parse_load(text: str, separator: str) -> tuple[tuple[str, float], ...]:
    """Parse the load columns that a server reports, under their canonical names; raises FieldError if one is invalid.

    Args:
        text: comma-separated columns, each with its name, the separator and its value.
        separator: text between the name and the value of a column.
    """
    columns = text.split(",", MAX_LOAD_COLUMNS)
    if len(columns) > MAX_LOAD_COLUMNS:
        raise FieldError("util", f"more than {MAX_LOAD_COLUMNS} load columns")
    pairs = [pair.partition(separator) for pair in columns if pair]
    return tuple((LOAD_COLUMN_ALIASES.get(column, column), parse_number(column, value)) for column, _, value in pairs)


def parse_number(name: str, text: str, maximum: float = MAX_COUNT) -> float:
    """Parse a decimal number from 0 to `maximum`; raises FieldError for the field `name` if the text is not one."""
    if not DECIMAL_PATTERN.fullmatch(text) or not float(text) <= maximum:
        raise FieldError(name, f"not a number from 0 to {maximum:.0f}: {quote(text)}")
    return float(text)


def parse_ping(_fields: MessageFields) -> PingMessage:
    """Parse PING, which has no fields."""
    return PingMessage()


def parse_collector(fields: MessageFields) -> CollectorMessage:
    """Parse SOURCE, which identifies the collector of a zone."""
    return CollectorMessage(fields.zone())


def parse_load_report(fields: MessageFields) -> LoadMessage:
    """Parse LOAD, a load report."""
    attempts = fields.integer("count")
    return LoadMessage(
        zone=fields.zone(),
        server_name=fields.text("target"),
        attempts=attempts,
        failures=fields.integer("fail", attempts),
        mean_latency=fields.duration("mean"),
        window=fields.window("over"),
        load=parse_load(fields.values.get("util", ""), ":"),
    )


def parse_demand_report(fields: MessageFields) -> DemandMessage:
    """Parse RATE, a demand report."""
    return DemandMessage(
        proxy=fields.integer("id"),
        request_class=fields.index("lane", fields.names.classes),
        requests=fields.integer("count"),
        unanswered=fields.integer("fail"),
        window=fields.window("over"),
    )


def parse_join(fields: MessageFields) -> JoinMessage:
    """Parse SUBSCRIBE, which identifies the stream of a proxy."""
    return JoinMessage(
        proxy=fields.integer("id"),
        zone=fields.zone(),
        expected_rate=parse_number("rps", fields.text("rps")),
        newly_started=fields.flag("new"),
    )


def parse_acknowledgement(fields: MessageFields) -> AckMessage:
    """Parse ACK, the acknowledgement of an update."""
    return AckMessage(proxy=fields.integer("id"), nonce=fields.integer("seq"), elapsed=fields.duration("ms"))


PARSERS: dict[str, Callable[[MessageFields], Message]] = {
    PingMessage.KIND: parse_ping,
    CollectorMessage.KIND: parse_collector,
    LoadMessage.KIND: parse_load_report,
    DemandMessage.KIND: parse_demand_report,
    JoinMessage.KIND: parse_join,
    AckMessage.KIND: parse_acknowledgement,
}
ENCODED_KINDS = tuple(kind.encode() for kind in PARSERS)
MAX_KIND_BYTES: Final = 64  # length of the part of an incomplete line that is searched for the end of its kind


def decode(line: bytes, names: ConfiguredNames) -> Message:
    """Decode one line without its line end.

    Raises:
        MalformedMessageError: the kind is known, but there are too many words, or a field is missing or invalid.
        ProtocolViolationError: the line is not a message of the protocol.
    """
    try:
        kind, *pairs = line.decode("utf-8").split(" ", MAX_WORDS)
    except UnicodeDecodeError as error:
        raise ProtocolViolationError("", f"not UTF-8 at byte {error.start}") from error
    if kind not in PARSERS:
        raise ProtocolViolationError("", f"unknown message kind: {quote(kind)}")
    if len(pairs) >= MAX_WORDS:
        raise MalformedMessageError(kind, f"more than {MAX_WORDS} words")
    fields = MessageFields(kind, [pair for pair in pairs if pair], names)
    try:
        return PARSERS[kind](fields)
    except FieldError as error:
        raise MalformedMessageError(f"{kind} {error.location}", error.problem) from error


def check_partial_line(pending: bytes | bytearray, checked_bytes: int = 0) -> None:
    """Check the beginning of a line, so that invalid data is rejected even if its line end is never received.

    Args:
        pending: the incomplete line.
        checked_bytes: size of its beginning that has been checked for control characters before.

    Raises:
        ProtocolViolationError: no message of the protocol begins with `pending`.
    """
    kind, space, _ = bytes(pending[:MAX_KIND_BYTES]).removesuffix(b"\r").partition(b" ")
    is_known = kind in ENCODED_KINDS if space else any(encoded_kind.startswith(kind) for encoded_kind in ENCODED_KINDS)
    if not is_known:
        raise ProtocolViolationError(
            "", f"unknown message kind: {quote(kind[:MAX_QUOTED_CHARACTERS].decode(errors='replace'))}"
        )
    first_unchecked = max(0, checked_bytes - 1)  # the last byte may have been the first one of a line end
    if control := CONTROL_CHARACTER.search(pending, first_unchecked, len(pending) - pending.endswith(b"\r")):
        raise ProtocolViolationError("", f"control character at byte {control.start()}")


def format_number(value: float) -> str:
    """Format a number with SIGNIFICANT_DIGITS and without an exponent; a positive value is never formatted as 0."""
    if value <= 0:
        return "0"
    decimals = max(0, SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(value)))
    text = f"{value:.{decimals}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


class Encoder:
    """Encodes updates to proxies as lines. A part that several updates of a batch share is encoded only once."""

    def __init__(self, names: ConfiguredNames, server_ids: ServerIds) -> None:
        """Create an encoder with the names of request classes in `names` and those of servers in `server_ids`."""
        self.names = names
        self.server_ids = server_ids

    def encode(self, updates: Sequence[ProxyUpdate]) -> Iterator[bytes]:
        """Yield the encoded updates in their order."""
        encoded_parts: dict[int, str] = {}
        for update in updates:
            for part in update.parts:
                if id(part) not in encoded_parts:
                    encoded_parts[id(part)] = self.encode_part(part)
            lines = [encoded_parts[id(part)] for part in update.parts]
            yield self.encode_message(update, lines)

    def encode_message(self, update: ProxyUpdate, lines: list[str]) -> bytes:
        """Join the encoded parts of an update into one message, whose last line has the ejections and the nonce."""
        if update.eject or update.restore or not lines:
            ejected = self.encode_servers("eject", update.eject)
            restored = self.encode_servers("restore", update.restore)
            lines = [*lines, "CONFIG" + ejected + restored]
        nonce = "" if update.nonce is None else f" nonce_out={update.nonce}"
        return (" continued=1\r\n".join(lines) + nonce + "\r\n").encode()

    def encode_part(self, part: UpdatePart) -> str:
        """Encode a part (a weight table for some request classes, or changes to one) as a line without line end."""
        fields = ["CONFIG", "routes=" + "+".join(self.names.classes[index] for index in part.classes)]
        if part.complete:
            fields.append("full=1")
        named_weights = [(self.server_ids.name(server), weight) for server, weight in part.lines]
        weights = ",".join(f"{name}:{format_number(weight)}" for name, weight in named_weights if name is not None)
        if weights:
            fields.append("endpoints=" + weights)
        if part.level is not None:
            admitted, retry = part.level
            fields.append(f"admit={format_number(admitted)} policy={int(retry)}")
        return " ".join(fields)

    def encode_servers(self, field: str, servers: tuple[ServerId, ...]) -> str:
        """Encode a field that lists servers, with a leading space; empty if none of the servers has a name."""
        names = [name for server in servers if (name := self.server_ids.name(server)) is not None]
        return f" {field}=" + ",".join(names) if names else ""
