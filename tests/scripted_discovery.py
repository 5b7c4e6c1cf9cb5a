"""A discovery service whose responses a test controls call by call, and a harness for the client under test."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from stackwheel.endpoints import EndpointList
from stackwheel.state.messages import EndpointListFailed
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.discovery_commands import ChangeAddress, Command, DiscoveryOptions

WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TEST_TIMEOUT_S = 60.0


def endpoint_list_json(generation: int, complete: bool, *names: str) -> bytes:
    """Encode an endpoint list with a ready server for each name."""
    instances = [
        {"instanceId": name, "hostPort": "127.0.0.1:1", "zone": "east", "lifecycle": "in_service"} for name in names
    ]
    return json.dumps({"generation": generation, "reset": complete, "instances": instances}).encode()


class ScriptedCall:
    """One call to the service; the service sends only what the test sends.

    Attributes:
        target: path and query of the request.
        writer: stream of the connection.
        head_sent: whether the head of a watch's response has been sent.
        ended: set when the client has closed the connection.
    """

    def __init__(self, target: str, writer: asyncio.StreamWriter) -> None:
        self.target = target
        self.writer = writer
        self.head_sent = False
        self.ended = asyncio.Event()

    @property
    def is_watch(self) -> bool:
        """Whether the call is a watch."""
        return "follow=1" in self.target

    def respond(self, body: bytes, status: str = "200 OK") -> None:
        """Send a complete response."""
        self.writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def send(self, data: bytes) -> None:
        """Send data on a watch as one chunk, which may contain incomplete lines."""
        if not self.head_sent:
            self.writer.write(WATCH_HEAD)
        self.head_sent = True
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def send_list(self, generation: int, complete: bool, *names: str) -> None:
        """Send an endpoint list as a line of a watch."""
        self.send(endpoint_list_json(generation, complete, *names) + b"\n")

    def send_heartbeat(self) -> None:
        """Send an empty line on a watch."""
        self.send(b"\n")

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


class ScriptedDiscovery:
    """A service that queues each call for the test.

    Attributes:
        calls: calls that the test has not taken yet.
        address: "host:port" of the service; empty before `start`.
    """

    def __init__(self) -> None:
        self.calls: asyncio.Queue[ScriptedCall] = asyncio.Queue()
        self.address = ""

    async def start(self) -> ScriptedDiscovery:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Queue a call, and set its `ended` event when the client closes the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        call = ScriptedCall(head.split(b" ")[1].decode(), writer)
        self.calls.put_nowait(call)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        call.ended.set()


class ClientHarness:
    """A running discovery client.

    Attributes:
        posted: items that the client has posted and the test has not taken yet.
        client: the client.
        task: task that runs the client.
    """

    def __init__(self, address: str, **options: Any) -> None:
        self.posted: asyncio.Queue[EndpointList | EndpointListFailed] = asyncio.Queue()
        self.client = DiscoveryClient(address, 0, self.posted.put_nowait, Random(3), DiscoveryOptions(**options))
        self.task = asyncio.create_task(self.client.run())

    def send(self, command: Command | ChangeAddress) -> None:
        """Send a command to the client."""
        self.client.send(command)

    async def next_list(self) -> tuple[int, bool, set[str]]:
        """Return the generation, completeness and server names of the next posted item, which has to be a list."""
        item = await self.posted.get()
        assert isinstance(item, EndpointList)
        return item.generation, item.complete, {instance.name for instance in item.instances}

    async def next_is_failure(self) -> bool:
        """Return whether the next posted item is a failure."""
        return isinstance(await self.posted.get(), EndpointListFailed)


def run_async(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the coroutine of a test with a time limit."""
    asyncio.run(asyncio.wait_for(scenario(), TEST_TIMEOUT_S))


async def start_watching(
    discovery: ScriptedDiscovery, generation: int, *names: str, **options: Any
) -> tuple[ClientHarness, ScriptedCall]:
    """Start a client, and deliver a complete list on its watch."""
    harness = ClientHarness(discovery.address, **options)
    harness.send(Command.WATCH)
    watch = await discovery.calls.get()
    watch.send_list(generation, True, *names)
    assert await harness.next_list() == (generation, True, set(names))
    return harness, watch
