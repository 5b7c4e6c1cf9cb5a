"""The policy's six-byte ids for the instances that discovery names: the same at every planner, always."""

from __future__ import annotations

import hashlib

from loguru import logger

from stackwheel.interface import Server

ID_BYTES = 6


def server_id(name: str) -> Server:
    return Server(hashlib.blake2b(name.encode(), digest_size=ID_BYTES).digest())


class ServerIds:
    """Names by id. What was listed stays known while a table or proxy may name it."""

    def __init__(self) -> None:
        self.names: dict[Server, str] = {}

    def learn(self, name: str) -> Server | None:
        """The id of a listed instance; None if another instance has it: that one would get its orders."""
        server = server_id(name)
        if self.names.setdefault(server, name) != name:
            logger.error("instances {} and {} share an id; {} is left out", self.names[server], name, name)
            return None
        return server

    def name(self, server: Server) -> str | None:
        return self.names.get(server)

    def forget(self, server: Server) -> None:
        self.names.pop(server, None)
