"""A harness that runs the socket transport in the test process, with raw client sockets."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from fake_services import config

from stackwheel import interface
from stackwheel.endpoints import EndpointList, Instance
from stackwheel.service.config import read_config
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.server_ids import ServerIds
from stackwheel.wire.transport import SocketTransport

TEST_TIMEOUT_S = 60


class TransportHarness:
    """A transport whose endpoint list contains one server, `s-0`, and which posts into a list.

    Attributes:
        transport: the transport.
        table: its table of connections.
        posted: all items that the transport has posted.
        listen_address: host and port of its listener.
    """

    def __init__(self, server_address: str = "127.0.0.1:1", proxies: int = 8, **limits: float) -> None:
        document = config("127.0.0.1:1", limits=limits)
        document["settings"]["family_info"]["agents"] = proxies
        loaded = read_config(document)
        server = Instance("s-0", server_address, "east", "small", 0, interface.Availability.READY, 1.0, 0.0)
        endpoints = EndpointCache(loaded.names.zones, loaded.names.kinds, ServerIds())
        endpoints.apply(EndpointList(1, True, (server,)))
        self.transport = SocketTransport(loaded.addresses, loaded.settings, loaded.names, endpoints, Clock())
        self.table = self.transport.connection_table
        self.posted: list[PlannerMessage] = []
        host, _, port = loaded.addresses.listen.rpartition(":")
        self.listen_address = (host, int(port))

    async def open(self) -> None:
        await self.transport.open(self.posted.append)

    def connect(self, data: bytes) -> socket.socket:
        """Connect and send data without running the event loop, so that the connection waits in the backlog."""
        client = socket.create_connection(self.listen_address)
        client.sendall(data)
        return client


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


def run_async(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, TEST_TIMEOUT_S))


async def read_until_closed(client: socket.socket) -> bytes:
    """Return all data received on a connection until the other side closes it."""
    client.setblocking(False)
    received = b""
    try:
        while data := await asyncio.get_running_loop().sock_recv(client, 65536):
            received += data
    except ConnectionError:
        pass
    return received
