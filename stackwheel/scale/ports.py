"""Free ports of the loopback address, for the processes of a run."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


def reserve_port(kind: socket.SocketKind) -> socket.socket:
    """A socket bound to a free port, which is reserved until the socket is closed; OSError if there is none."""
    reserved = socket.socket(socket.AF_INET, kind)
    reserved.bind((HOST, 0))
    return reserved


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that is free at this moment."""
    with reserve_port(kind) as reserved:
        return int(reserved.getsockname()[1])
