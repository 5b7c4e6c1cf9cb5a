"""What planners tell each other, as datagrams: a line holds a server and the requests a second sent there."""

from __future__ import annotations

import struct
from collections.abc import Mapping

from stackwheel.interface import Server

LINE = struct.Struct(">6sH")  # a server's id; tenths of a request a second
LINES = 32  # of a datagram: 256 bytes are the protocol's most


def pack(rates: Mapping[Server, float]) -> list[bytes]:
    lines = [LINE.pack(server, round(max(0.0, min(65535.0, rate * 10)))) for server, rate in rates.items()]
    return [b"".join(lines[first:first + LINES]) for first in range(0, len(lines), LINES)]


def unpack(payload: bytes) -> dict[Server, float]:
    """The rates of a datagram; a line cut short is left out."""
    whole = len(payload) - len(payload) % LINE.size
    return {Server(server): rate / 10 for server, rate in LINE.iter_unpack(payload[:whole])}
