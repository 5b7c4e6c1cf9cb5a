"""A discovery service that a test scripts call by call, and the client under test beside it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from stackwheel.endpoints import EndpointList
from stackwheel.state.messages import EndpointListFailed
from stackwheel.wire.discovery_client import ChangeAddress, Command, DiscoveryClient, DiscoveryOptions

WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TEST_TIMEOUT_S = 60.0


def document(generation: int, complete: bool, *names: str) -> bytes:
    """The JSON of an endpoint list with a ready server of each name."""
    instances = [
        {"instanceId": name, "hostPort": "127.0.0.1:1", "zone": "east", "lifecycle": "in_service"} for name in names
    ]
    return json.dumps({"generation": generation, "reset": complete, "instances": instances}).encode()


class ScriptedCall:
    """One call to the service, which sends nothing but what the test sends."""

    def __init__(self, target: str, writer: asyncio.StreamWriter) -> None:
        self.target = target
        self.writer = writer
        self.head_sent = False
        self.ended = asyncio.Event()

    @property
    def is_watch(self) -> bool:
        """Whether the call asks for a watch."""
        return "follow=1" in self.target

    def respond(self, body: bytes, status: str = "200 OK") -> None:
        """Send a complete response."""
        self.writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def send(self, data: bytes) -> None:
        """Send a piece of a watch, wherever it is cut."""
        if not self.head_sent:
            self.writer.write(WATCH_HEAD)
        self.head_sent = True
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def send_list(self, generation: int, complete: bool, *names: str) -> None:
        """Send a line of a watch with an endpoint list."""
        self.send(document(generation, complete, *names) + b"\n")

    def send_heartbeat(self) -> None:
        """Send an empty line of a watch."""
        self.send(b"\n")

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


class ScriptedDiscovery:
    """Listens, and queues each call for the test."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[ScriptedCall] = asyncio.Queue()
        self.address = ""

    async def start(self) -> ScriptedDiscovery:
        """Listen on a port of the system's choice."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Queue a call, and note when its connection has ended."""
        head = await reader.readuntil(b"\r\n\r\n")
        call = ScriptedCall(head.split(b" ")[1].decode(), writer)
        self.calls.put_nowait(call)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        call.ended.set()


class ClientHarness:
    """A running client, and what it has posted."""

    def __init__(self, address: str, **options: Any) -> None:
        self.posted: asyncio.Queue[EndpointList | EndpointListFailed] = asyncio.Queue()
        self.client = DiscoveryClient(address, 0, self.posted.put_nowait, Random(3), DiscoveryOptions(**options))
        self.task = asyncio.create_task(self.client.run())

    def send(self, command: Command | ChangeAddress) -> None:
        """Give the client a command."""
        self.client.send(command)

    async def next_list(self) -> tuple[int, bool, set[str]]:
        """Generation, whether it is complete, and the names of the next posted item, which has to be a list."""
        item = await self.posted.get()
        assert isinstance(item, EndpointList)
        return item.generation, item.complete, {instance.name for instance in item.instances}

    async def next_is_failure(self) -> bool:
        """Whether the next posted item is a failure."""
        return isinstance(await self.posted.get(), EndpointListFailed)


def run(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test's coroutine with a time limit."""
    asyncio.run(asyncio.wait_for(work(), TEST_TIMEOUT_S))


async def start_watching(
    discovery: ScriptedDiscovery, generation: int, *names: str, **options: Any
) -> tuple[ClientHarness, ScriptedCall]:
    """A client whose watch has delivered a complete list."""
    harness = ClientHarness(discovery.address, **options)
    harness.send(Command.WATCH)
    watch = await discovery.calls.get()
    watch.send_list(generation, True, *names)
    assert await harness.next_list() == (generation, True, set(names))
    return harness, watch
