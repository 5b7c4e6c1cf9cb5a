"""Free ports of the loopback address for the processes of a run."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


def reserve_port(kind: socket.SocketKind) -> socket.socket:
    """Bind a socket to a free port, which stays reserved until the socket is closed.

    Raises:
        OSError: no port is free.
    """
    reserved = socket.socket(socket.AF_INET, kind)
    reserved.bind((HOST, 0))
    return reserved


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is currently free; another process may bind it at any time."""
    with reserve_port(kind) as reserved:
        return int(reserved.getsockname()[1])
