"""Encoding of gossip datagrams: the number of a planner's proxies and their request rate to each server."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from typing import NamedTuple

from stackwheel.errors import InvalidInputError
from stackwheel.interface import ServerId

HEADER = struct.Struct(">H")
"""Number of proxies connected to the sender."""

LINE = struct.Struct(">6sH")
"""Id of a server and the request rate to it."""

RATE_UNITS_PER_REQUEST = 10
"""Number of rate units per request: rates are encoded in tenths of a request per second."""

MAX_LINES_PER_DATAGRAM = 31
"""Maximum number of lines after the header in a datagram of at most 256 bytes."""

MAX_FIELD_VALUE = 65535
"""Maximum value of a 16-bit field; larger numbers are encoded as this value."""


class GossipMessage(NamedTuple):
    """Content of one datagram; the rates of a planner can be divided among several datagrams.

    Attributes:
        proxies: number of proxies connected to the sender.
        rates: requests per second that these proxies send, by server.
    """

    proxies: int
    rates: dict[ServerId, float]


class MalformedGossipError(InvalidInputError):
    """The datagram has an invalid format."""


def encode(proxies: int, rates: Mapping[ServerId, float]) -> list[bytes]:
    """Encode the state of a planner as datagrams.

    Args:
        proxies: number of connected proxies.
        rates: requests per second that these proxies send, by server.

    Returns:
        As many datagrams as the rates require; none if there are no rates.
    """
    header = HEADER.pack(min(MAX_FIELD_VALUE, proxies))
    lines = [
        LINE.pack(server, round(max(0.0, min(MAX_FIELD_VALUE, rate * RATE_UNITS_PER_REQUEST))))
        for server, rate in rates.items()
    ]
    starts = range(0, len(lines), MAX_LINES_PER_DATAGRAM)
    return [header + b"".join(lines[start : start + MAX_LINES_PER_DATAGRAM]) for start in starts]


def decode(payload: bytes) -> GossipMessage:
    """Decode a datagram.

    Raises:
        MalformedGossipError: the datagram does not consist of a header and complete lines.
    """
    if len(payload) % LINE.size != HEADER.size:
        raise MalformedGossipError("gossip datagram", f"{len(payload)} bytes, not a header and complete lines")
    (proxies,) = HEADER.unpack_from(payload)
    lines = LINE.iter_unpack(payload[HEADER.size :])
    return GossipMessage(proxies, {ServerId(server): rate / RATE_UNITS_PER_REQUEST for server, rate in lines})
