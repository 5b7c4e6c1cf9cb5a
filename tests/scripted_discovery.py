"""A discovery service that a test scripts call by call, and the client under test beside it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from stackwheel.endpoints import EndpointList
from stackwheel.state.planner_actor import EndpointListFailed
from stackwheel.wire import discovery_client as wire

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def document(generation: int, whole: bool, *names: str) -> bytes:
    return json.dumps(
        {
            "generation": generation,
            "reset": whole,
            "instances": [
                {"instanceId": name, "hostPort": "127.0.0.1:1", "zone": "east", "lifecycle": "in_service"}
                for name in names
            ],
        }
    ).encode()


class ScriptedCall:
    """One call: nothing is said but what the test says."""

    def __init__(self, target: str, writer: asyncio.StreamWriter) -> None:
        self.target, self.writer = target, writer
        self.begun = False
        self.ended = asyncio.Event()

    @property
    def watch(self) -> bool:
        return "follow=1" in self.target

    def answer(self, body: bytes, status: str = "200 OK") -> None:
        self.writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def tell(self, data: bytes) -> None:
        """A piece of a watch, however it ends."""
        if not self.begun:
            self.writer.write(HEAD)
        self.begun = True
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def line(self, generation: int, whole: bool, *names: str) -> None:
        self.tell(document(generation, whole, *names) + b"\n")


class ScriptedDiscovery:
    def __init__(self) -> None:
        self.calls: asyncio.Queue[ScriptedCall] = asyncio.Queue()
        self.address = ""

    async def start(self) -> ScriptedDiscovery:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        asked = ScriptedCall(head.split(b" ")[1].decode(), writer)
        self.calls.put_nowait(asked)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        asked.ended.set()


class ClientHarness:
    def __init__(self, address: str, **how: Any) -> None:
        self.posted: asyncio.Queue[EndpointList | EndpointListFailed] = asyncio.Queue()
        self.actor = wire.DiscoveryClient(
            address, 0, how.pop("follow_always", False), self.posted.put_nowait, Random(3), **how
        )
        self.task = asyncio.create_task(self.actor.run())

    def ask(self, what: str | wire.Move) -> None:
        self.actor.mailbox.put_nowait(what)

    async def listing(self) -> tuple[int, bool, set[str]]:
        found = await self.posted.get()
        assert isinstance(found, EndpointList)
        return found.generation, found.complete, {one.name for one in found.instances}


def run(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(work(), 60))


async def watching(
    first: ScriptedDiscovery, generation: int, *names: str, **how: Any
) -> tuple[ClientHarness, ScriptedCall]:
    actor = ClientHarness(first.address, **how)
    actor.ask("watch")
    watch = await first.calls.get()
    watch.line(generation, True, *names)
    assert await actor.listing() == (generation, True, set(names))
    return actor, watch
