"""Ports of the loopback address that the processes of a run are given."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


def reserve_port(kind: socket.SocketKind) -> socket.socket:
    """A socket on a port that nobody else has as long as it is open; OSError if there is none."""
    found = socket.socket(socket.AF_INET, kind)
    found.bind((HOST, 0))
    return found


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that nobody holds now."""
    with reserve_port(kind) as found:
        return int(found.getsockname()[1])
