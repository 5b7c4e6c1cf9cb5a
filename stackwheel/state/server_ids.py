"""Server ids, which are derived from server names and therefore the same at all planners and after restarts."""

from __future__ import annotations

import hashlib

from loguru import logger

from stackwheel.interface import ServerId

ID_BYTES = 6
"""Length of a server id, as defined by the simulator's wire format."""


def server_id(name: str) -> ServerId:
    """Return the id of the server with this name."""
    return ServerId(hashlib.blake2b(name.encode(), digest_size=ID_BYTES).digest())


class ServerIds:
    """Server names by id, which are required to encode updates; owned by the endpoint cache.

    Attributes:
        names: names of the listed servers, and of removed servers to which a table or a proxy may still refer.
    """

    def __init__(self) -> None:
        self.names: dict[ServerId, str] = {}

    def register(self, name: str) -> ServerId | None:
        """Store the name of a listed server and return its id; None if the id collides with that of another server.

        The other server would otherwise get the updates that are meant for this one.
        """
        server = server_id(name)
        registered_name = self.names.setdefault(server, name)
        if registered_name != name:
            logger.error("endpoint ignored: server={} reason=server {} has the same id", name, registered_name)
            return None
        return server

    def name(self, server: ServerId) -> str | None:
        """Return the name of a server; None if it is unknown."""
        return self.names.get(server)

    def forget(self, server: ServerId) -> None:
        """Remove the name of a server."""
        self.names.pop(server, None)
