"""The socket transport in the test's own process, with raw client sockets against its listener."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from fake_services import config

from stackwheel import interface as face
from stackwheel.endpoints import EndpointList, Instance
from stackwheel.service.config import read_config
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import Item
from stackwheel.state.server_ids import ServerIds
from stackwheel.wire.transport import SocketTransport


class TransportHarness:
    def __init__(self, address: str = "127.0.0.1:1", proxies: int = 8, **limits: float) -> None:
        told = config("127.0.0.1:1", limits=limits)
        told["settings"]["family_info"]["agents"] = proxies
        found = read_config(told)
        roster = EndpointCache(found.names.zones, found.names.kinds, ServerIds())
        roster.apply(
            EndpointList(1, True, (Instance("s-0", address, "east", "small", 0, face.Availability.READY, 1.0, 0.0),))
        )
        self.links = SocketTransport(found.addresses, found.settings, found.names, roster, Clock())
        self.posted: list[Item] = []
        self.listen = found.addresses.listen.rpartition(":")

    async def open(self) -> None:
        await self.links.open(self.posted.append)

    def connect(self, data: bytes) -> socket.socket:
        """Without giving the listener a turn: it waits in the backlog."""
        connection = socket.create_connection((self.listen[0], int(self.listen[2])))
        connection.sendall(data)
        return connection


async def until(done: Callable[[], bool]) -> None:
    while not done():
        await asyncio.sleep(0)


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 60))


async def received(connection: socket.socket) -> bytes:
    """All that a connection brings until it ends."""
    connection.setblocking(False)
    found = b""
    try:
        while data := await asyncio.get_running_loop().sock_recv(connection, 65536):
            found += data
    except ConnectionError:
        pass
    return found
