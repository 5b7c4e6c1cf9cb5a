"""Deliberate defects of the wire: the codec, the connections and the discovery client."""

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

LOST_LENGTH = 17  # bytes: messages whose length is a multiple of it are lost


def watch_never_resumed() -> Sequence[Patch]:
    """A discovery call that failed is not repeated."""
    return [Patch(DiscoveryClient, "report_failure", returns(None))]


def complete_flag_omitted() -> Sequence[Patch]:
    """A part that replaces a table is encoded as one that changes it."""
    original = Encoder.encode_part

    def encode_part(self: Encoder, part: UpdatePart) -> Any:
        """In place of `Encoder.encode_part`."""
        return original(self, replace(part, complete=False))

    return [Patch(Encoder, "encode_part", encode_part)]


def zero_weights_omitted() -> Sequence[Patch]:
    """Lines with weight 0 are left out of what is encoded."""
    original = Encoder.encode_part

    def encode_part(self: Encoder, part: UpdatePart) -> Any:
        """In place of `Encoder.encode_part`."""
        positive = tuple((server, weight) for server, weight in part.lines if weight > 0)
        return original(self, replace(part, lines=positive))

    return [Patch(Encoder, "encode_part", encode_part)]


def messages_lost() -> Sequence[Patch]:
    """Updates of some lengths are not written."""
    original = Connection.send

    def send(self: Connection, data: bytes) -> None:
        """In place of `Connection.send`."""
        if not (data.startswith(b"CONFIG") and len(data) % LOST_LENGTH == 0):
            original(self, data)

    return [Patch(Connection, "send", send)]


def weights_with_exponent() -> Sequence[Patch]:
    """Weights are written in a form that the protocol does not have."""
    return [Patch(line_codec, "format_number", lambda value: f"{value:.5e}")]


def buffered_bytes_never_released() -> Sequence[Patch]:
    """The total of buffered bytes grows by each count, and forgets no connection."""

    def account(self: BufferBudget, peer: Connection, count: int) -> None:
        """In place of `BufferBudget.account`."""
        self.total_bytes += count
        self.bytes_by_connection[peer] = count

    return [Patch(BufferBudget, "account", account)]


def unidentified_connections_kept() -> Sequence[Patch]:
    """Nothing is ever taken from the unidentified connections."""

    class GrowingDict(dict[Any, None]):
        """A dict that keeps what is taken from it."""

        def pop(self, *_: Any) -> Any:
            """Take nothing."""
            return None

    original = SocketTransport.__init__

    def initialise(self: SocketTransport, *args: Any, **keywords: Any) -> None:
        """In place of `SocketTransport.__init__`."""
        original(self, *args, **keywords)
        self.connection_table.unidentified = GrowingDict()

    return [Patch(SocketTransport, "__init__", initialise)]


def malformed_report_raises() -> Sequence[Patch]:
    """A malformed line raises an exception that nobody expects."""
    original = line_codec.decode

    def decode(line: bytes, names: Any) -> Any:
        """In place of `line_codec.decode`."""
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
