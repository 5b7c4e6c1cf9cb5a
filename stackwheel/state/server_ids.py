"""The policy's ids for the servers that discovery names: the same at every planner and after every restart."""

from __future__ import annotations

import hashlib

from loguru import logger

from stackwheel.interface import ServerId

ID_BYTES = 6
"""Length of an id, as the simulator's wire has it."""


def server_id(name: str) -> ServerId:
    """The id of the server with that name."""
    return ServerId(hashlib.blake2b(name.encode(), digest_size=ID_BYTES).digest())


class ServerIds:
    """Names by id, for writing updates; owned by the endpoint cache.

    Attributes:
        names: of the servers that are listed, and of removed ones while a table or a proxy may name them.
    """

    def __init__(self) -> None:
        self.names: dict[ServerId, str] = {}

    def register(self, name: str) -> ServerId | None:
        """The id of a listed server; None if another server has the same, which would then get its updates."""
        server = server_id(name)
        known = self.names.setdefault(server, name)
        if known != name:
            logger.error("endpoint left out: server={} reason=server {} has the same id", name, known)
            return None
        return server

    def name(self, server: ServerId) -> str | None:
        """The name of a server; None if it is not known."""
        return self.names.get(server)

    def forget(self, server: ServerId) -> None:
        """Forget a server."""
        self.names.pop(server, None)
