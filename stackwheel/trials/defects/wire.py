"""Deliberate defects of the wire layer: the codec, the connections and the discovery client."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from stackwheel.rules.violations import Rule
from stackwheel.state.table_updates import UpdatePart
from stackwheel.trials.defects.planting import Defect, Patch, returns
from stackwheel.wire import connection, line_codec
from stackwheel.wire.connection import Connection
from stackwheel.wire.connection_limits import BufferBudget
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.line_codec import Encoder
from stackwheel.wire.messages import MalformedMessageError
from stackwheel.wire.transport import SocketTransport

LOST_LENGTH_DIVISOR_BYTES = 17


def watch_never_resumed() -> Sequence[Patch]:
    """Do not repeat a discovery call that failed."""
    return [Patch(DiscoveryClient, "report_failure", returns(None))]


def complete_flag_omitted() -> Sequence[Patch]:
    """Encode a message that replaces a table as one that changes it."""
    original = Encoder.encode_part

    def encode_part(self: Encoder, part: UpdatePart) -> Any:
        """Replacement for `Encoder.encode_part`."""
        return original(self, replace(part, complete=False))

    return [Patch(Encoder, "encode_part", encode_part)]


def zero_weights_omitted() -> Sequence[Patch]:
    """Omit lines with weight 0 from encoded messages."""
    original = Encoder.encode_part

    def encode_part(self: Encoder, part: UpdatePart) -> Any:
        """Replacement for `Encoder.encode_part`."""
        positive = tuple((server, weight) for server, weight in part.lines if weight > 0)
        return original(self, replace(part, lines=positive))

    return [Patch(Encoder, "encode_part", encode_part)]


def messages_lost() -> Sequence[Patch]:
    """Do not write table updates whose length is a multiple of `LOST_LENGTH_DIVISOR_BYTES`."""
    original = Connection.send

    def send(self: Connection, data: bytes) -> None:
        """Replacement for `Connection.send`."""
        if not (data.startswith(b"CONFIG") and len(data) % LOST_LENGTH_DIVISOR_BYTES == 0):
            original(self, data)

    return [Patch(Connection, "send", send)]


def weights_with_exponent() -> Sequence[Patch]:
    """Encode weights with an exponent, which the protocol does not allow."""
    return [Patch(line_codec, "format_number", lambda value: f"{value:.5e}")]


def buffered_bytes_never_released() -> Sequence[Patch]:
    """Add each count of buffered bytes to the total without subtracting the previous one."""

    def account(self: BufferBudget, owner: Connection, byte_count: int) -> None:
        """Replacement for `BufferBudget.account`."""
        self.total_bytes += byte_count
        self.bytes_by_connection[owner] = byte_count

    return [Patch(BufferBudget, "account", account)]


def unidentified_connections_kept() -> Sequence[Patch]:
    """Never remove connections from the unidentified ones."""

    class GrowingDict(dict[Any, None]):
        """A dict whose `pop` does not remove items."""

        def pop(self, *_: Any) -> Any:
            """Return None without removing an item."""
            return None

    original = SocketTransport.__init__

    def initialize(self: SocketTransport, *args: Any, **keywords: Any) -> None:
        """Replacement for `SocketTransport.__init__`."""
        original(self, *args, **keywords)
        self.connection_table.unidentified = GrowingDict()

    return [Patch(SocketTransport, "__init__", initialize)]


def malformed_report_raises() -> Sequence[Patch]:
    """Raise an exception that no caller handles for a malformed line."""
    original = line_codec.decode

    def decode(line: bytes, names: Any) -> Any:
        """Replacement for `line_codec.decode`."""
        try:
            return original(line, names)
        except MalformedMessageError as error:
            raise KeyError(str(error)) from error

    return [Patch(connection, "decode", decode)]


WIRE_DEFECTS: tuple[Defect, ...] = (
    Defect(
        "watch-ends",
        "wire",
        (Rule.DRAINS,),
        watch_never_resumed,
        "a watch that failed is not taken up again",
    ),
    Defect(
        "whole-not-said",
        "wire",
        (Rule.AGREES, Rule.DRAINS),
        complete_flag_omitted,
        "whole tables go out as changes",
    ),
    Defect(
        "removals-not-written",
        "wire",
        (Rule.AGREES, Rule.DRAINS),
        zero_weights_omitted,
        "lines with weight 0 are not written",
    ),
    Defect(
        "message-lost",
        "wire",
        (Rule.AGREES, Rule.DRAINS),
        messages_lost,
        "some messages are not written",
    ),
    Defect(
        "exponents",
        "wire",
        (Rule.USABLE,),
        weights_with_exponent,
        "weights are written with an exponent",
    ),
    Defect(
        "bytes-never-given-back",
        "wire",
        (Rule.BOUNDED,),
        buffered_bytes_never_released,
        "what waited for a peer stays counted",
    ),
    Defect(
        "strangers-kept",
        "wire",
        (Rule.BOUNDED, Rule.UPRIGHT),
        unidentified_connections_kept,
        "connections that ended stay in the list of strangers",
    ),
    Defect(
        "spoilt-kills",
        "wire",
        (Rule.UPRIGHT,),
        malformed_report_raises,
        "a spoilt report raises an exception",
    ),
)
