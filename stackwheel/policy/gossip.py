"""The datagrams between planners: how many proxies one has, and the rate they send to each server."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from typing import NamedTuple

from stackwheel.errors import InvalidInputError
from stackwheel.interface import ServerId

HEADER = struct.Struct(">H")
"""Proxies joined to the sender."""

LINE = struct.Struct(">6sH")
"""A server's id and its rate."""

RATE_UNITS_PER_REQUEST = 10
"""A line states tenths of a request a second."""

MAX_LINES_PER_DATAGRAM = 31
"""The protocol allows 256 bytes: a header and so many lines."""

MAX_FIELD = 65535
"""Largest number of a 16-bit field; larger figures are stated as this."""


class GossipMessage(NamedTuple):
    """One datagram of a peer; a peer with many servers sends several."""

    proxies: int
    rates: dict[ServerId, float]
    """Requests a second that its proxies send, by server."""


class MalformedGossipError(InvalidInputError):
    """A datagram that no planner of this version sends."""


def encode(proxies: int, rates: Mapping[ServerId, float]) -> list[bytes]:
    """Encode a planner's figures in as many datagrams as they need; none where it knows no server."""
    header = HEADER.pack(min(MAX_FIELD, proxies))
    lines = [
        LINE.pack(server, round(max(0.0, min(MAX_FIELD, rate * RATE_UNITS_PER_REQUEST))))
        for server, rate in rates.items()
    ]
    starts = range(0, len(lines), MAX_LINES_PER_DATAGRAM)
    return [header + b"".join(lines[start : start + MAX_LINES_PER_DATAGRAM]) for start in starts]


def decode(payload: bytes) -> GossipMessage:
    """Decode a datagram.

    Raises:
        MalformedGossipError: its length fits no number of lines.
    """
    if len(payload) % LINE.size != HEADER.size:
        raise MalformedGossipError("gossip datagram", f"{len(payload)} bytes are no header and lines")
    (proxies,) = HEADER.unpack_from(payload)
    lines = LINE.iter_unpack(payload[HEADER.size :])
    return GossipMessage(proxies, {ServerId(server): rate / RATE_UNITS_PER_REQUEST for server, rate in lines})
