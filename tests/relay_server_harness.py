"""A relay's server on real sockets, and clients that read only when the test reads, to simulate slow readers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

from endpoint_lists import REMOVED, decode_line, delta_list, instance, snapshot_list, watch_cache_of

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.relay.watch_cache import WatchCache
from stackwheel.wire.endpoint_list_server import HEARTBEAT_SLICES, EndpointListServer
from stackwheel.wire.endpoint_watch import EndpointWatch

LIST_PATH = "/registry/instances"
NAME_PADDING = "x" * 200
TEST_TIMEOUT_S = 15


class Caller:
    """A client connection that sends and receives only on request of the test."""

    open_sockets: ClassVar[list[socket.socket]] = []  # closed at the end of the test

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.open_sockets.append(connection)

    @classmethod
    async def open(cls, address: str, request: str = "", receive_buffer: int = 0) -> Caller:
        host, _, port = address.rpartition(":")
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        caller = cls(connection)
        if request:
            await caller.send(f"{request} HTTP/1.1\r\nHost: relay\r\n\r\n")
        return caller

    async def send(self, text: str) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, text.encode())

    async def receive(self) -> bytes:
        """Receive some bytes, or b"" at the end of the connection."""
        try:
            return await asyncio.get_running_loop().sock_recv(self.socket, 1 << 16)
        except ConnectionError:
            return b""

    async def receive_all(self) -> bytes:
        data = b""
        while received_bytes := await self.receive():
            data += received_bytes
        return data

    async def status(self) -> int:
        return int((await self.receive_all()).split(b" ", 2)[1])


class Watcher:
    """Parses the chunked response of a watch."""

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.unparsed = b""
        self.head_read = False

    async def receive_until(self, end: bytes) -> bytes:
        while end not in self.unparsed:
            received_bytes = await self.caller.receive()
            if not received_bytes:
                raise EOFError
            self.unparsed += received_bytes
        data, self.unparsed = self.unparsed.split(end, 1)
        return data

    async def next_line(self) -> bytes:
        """Receive the next line, or b"" for a heartbeat."""
        if not self.head_read:
            assert b" 200 " in await self.receive_until(b"\r\n\r\n")
            self.head_read = True
        size = int(await self.receive_until(b"\r\n"), 16)
        while len(self.unparsed) < size + 2:
            self.unparsed += await self.caller.receive()
        data = self.unparsed[:size]
        self.unparsed = self.unparsed[size + 2 :]
        return data.strip()

    async def read_to_end(self) -> None:
        """Receive lines until the response ends with EOFError."""
        while True:
            await self.next_line()

    async def next_list(self) -> EndpointList:
        while not (line := await self.next_line()):
            pass
        return decode_line(line)


class RelayServer:
    """A server of the cell `a`, whose watch cache receives endpoint lists from the test."""

    started: ClassVar[list[EndpointListServer]] = []  # closed at the end of the test

    def __init__(self, cache: WatchCache, max_connections: int = 100, max_snapshot_bytes: int = 64 << 20) -> None:
        self.cache = cache
        self.server = EndpointListServer(cache, max_connections, max_snapshot_bytes)
        self.started.append(self.server)

    async def start(self) -> RelayServer:
        with socket.create_server(("127.0.0.1", 0)) as placeholder:
            self.address = f"127.0.0.1:{placeholder.getsockname()[1]}"
        await self.server.listen({self.address: "a"})
        return self

    def apply(self, endpoint_list: EndpointList) -> None:
        self.server.perform(self.cache.apply(endpoint_list, self.server.now()))

    async def get_list(self) -> Caller:
        return await Caller.open(self.address, f"GET {LIST_PATH}")

    async def watch(self, since: int | None = None, receive_buffer: int = 0) -> Watcher:
        resume = "" if since is None else f"&since={since}"
        return Watcher(await Caller.open(self.address, f"GET {LIST_PATH}?follow=1{resume}", receive_buffer))

    async def wait_for_watches(self, count: int) -> list[EndpointWatch]:
        """Wait until exactly `count` watches are open, and return them."""
        while len(self.server.watches.get("a", ())) != count:
            await asyncio.sleep(0)
        return list(self.server.watches.get("a", ()))

    def send_heartbeats(self) -> None:
        for heartbeat_slice in range(HEARTBEAT_SLICES):
            self.server.send_heartbeats(heartbeat_slice)

    def lose_upstream(self, timeout: float) -> None:
        self.cache.upstream.last_seen_at = self.server.now() - timeout


def run(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test, then close all its sockets and servers."""

    async def run_and_clean_up() -> None:
        try:
            await asyncio.wait_for(scenario(), TEST_TIMEOUT_S)
        finally:
            while Caller.open_sockets:
                Caller.open_sockets.pop().close()
            while RelayServer.started:
                server = RelayServer.started.pop()
                server.close()
                while server.connections:
                    await asyncio.sleep(0)
            await asyncio.sleep(0)

    asyncio.run(run_and_clean_up())


async def start_relay(*listed: Instance, **options: Any) -> RelayServer:
    """Start a server with a list of instances of generation 5, or without a list if there are no instances."""
    relay = await RelayServer(watch_cache_of("a"), **options).start()
    if listed:
        relay.apply(snapshot_list(5, *listed))
    return relay


def large_delta(generation: int) -> EndpointList:
    """Return changes with an encoded size of about 30 KB."""
    return delta_list(generation, *(instance(f"a-{n}{NAME_PADDING}", weight=float(generation)) for n in range(80)))


def merge_lists(received: list[EndpointList]) -> dict[str, Instance]:
    """Return the entries that a watcher lists after it received some lists."""
    listed: dict[str, Instance] = {}
    for endpoint_list in received:
        listed = {} if endpoint_list.complete else listed
        listed |= {entry.name: entry for entry in endpoint_list.instances}
    return {name: entry for name, entry in listed.items() if entry.availability is not REMOVED}


async def wait_until_idle(watch: EndpointWatch) -> None:
    """Wait until a watch has no unwritten data."""
    while watch.is_writing or watch.pending or watch.is_snapshot_due:
        await asyncio.sleep(0)


async def wait_until_blocked(watch: EndpointWatch) -> None:
    """Wait until a write of a watch is blocked because the client does not read."""
    while not (watch.is_writing and watch.writer.transport.get_write_buffer_size()):
        await asyncio.sleep(0)
