"""What planners tell each other, as datagrams: how many proxies they have, and what those send to each server."""

from __future__ import annotations

import struct
from collections.abc import Mapping

from stackwheel.interface import Server

HEAD = struct.Struct(">H")  # proxies joined
LINE = struct.Struct(">6sH")  # a server's id; tenths of a request a second
LINES = 31  # of a datagram: 256 bytes are the protocol's most
MOST = 65535


def pack(proxies: int, rates: Mapping[Server, float]) -> list[bytes]:
    head = HEAD.pack(min(MOST, proxies))
    lines = [LINE.pack(server, round(max(0.0, min(MOST, rate * 10)))) for server, rate in rates.items()]
    return [head + b"".join(lines[first : first + LINES]) for first in range(0, len(lines), LINES)]


def unpack(payload: bytes) -> tuple[int, dict[Server, float]] | None:
    """The proxies and rates of a datagram; None where it is none of ours."""
    if len(payload) % LINE.size != HEAD.size:
        return None
    rates = {Server(server): rate / 10 for server, rate in LINE.iter_unpack(payload[HEAD.size :])}
    return HEAD.unpack_from(payload)[0], rates
