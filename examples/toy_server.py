"""A toy deployment to try the planner with: discovery, and servers that answer probes.

python examples/toy_server.py            # discovery on 127.0.0.1:8500, three servers
python examples/toy_server.py --drain 10 # the first server drains after ten seconds, and is gone later
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from typing import Any

import h11

BEAT = 2.0  # seconds: a watch hears from discovery so often
LIST = "/registry/instances"


class Registry:
    """Discovery: the whole list, or a watch on what changes."""

    def __init__(self) -> None:
        self.generation = 1
        self.instances: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()

    def add(self, name: str, address: str, zone: str, kind: str = "small") -> None:
        self.instances[name] = {
            "instanceId": name,
            "hostPort": address,
            "zone": zone,
            "machineType": kind,
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def update(self, name: str, **news: Any) -> None:
        """Change an entry, and tell all who watch."""
        async with self.changed:
            entry = {**self.instances[name], **news}
            self.instances[name] = entry
            if entry["lifecycle"] == "terminated":
                del self.instances[name]
            self.generation += 1
            self.changes.append((self.generation, entry))
            self.changed.notify_all()

    def document(self, since: int | None) -> bytes:
        """The whole list, or what has come since a version."""
        found = list(self.instances.values())
        if since is not None:
            found = list({e["instanceId"]: e for at, e in self.changes if at > since}.values())
        body = {"generation": self.generation, "reset": since is None, "instances": found}
        return json.dumps(body).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            target = await read_request(http, reader)
            path, _, query = target.partition("?")
            if path != LIST:
                await answer(http, writer, 404, b"")
            elif "follow=1" in query:
                words = dict(word.partition("=")[::2] for word in query.split("&"))
                await self.watch(http, writer, int(words.get("since", "0")))
            else:
                await answer(http, writer, 200, self.document(None))
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    async def watch(self, http: h11.Connection, writer: asyncio.StreamWriter, since: int) -> None:
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        writer.write(http.send(h11.Response(status_code=200, headers=headers)))
        piece = self.document(since if 0 < since <= self.generation else None)
        while True:
            told = self.generation
            writer.write(http.send(h11.Data(piece)))
            await writer.drain()
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.generation > told), BEAT)  # noqa: B023
                    piece = self.document(told)
                except TimeoutError:  # a change may have come just then
                    piece = self.document(told) if self.generation > told else b"\n"


async def read_request(http: h11.Connection, reader: asyncio.StreamReader) -> str:
    while True:
        event = http.next_event()
        if isinstance(event, h11.Request):
            return event.target.decode()
        if event is not h11.NEED_DATA:
            raise ConnectionError("no request")
        http.receive_data(await reader.read(65536))


async def answer(http: h11.Connection, writer: asyncio.StreamWriter, status: int, body: bytes) -> None:
    head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
    writer.write(http.send(head) + http.send(h11.Data(body)) + http.send(h11.EndOfMessage()))
    await writer.drain()


async def serve_probe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server with nothing to do: it is alive, and holds no requests."""
    http = h11.Connection(h11.SERVER)
    try:
        target = await read_request(http, reader)
        found = target in ("/health/live", "/stats")
        await answer(http, writer, 200 if found else 404, b"inflight=0" if target == "/stats" else b"")
    except (OSError, h11.ProtocolError):
        pass
    finally:
        writer.close()


async def main(host: str, port: int, zones: list[str], servers: int, drain: float | None) -> None:
    registry = Registry()
    for number in range(servers):
        toy = await asyncio.start_server(serve_probe, host, 0)
        address = "{}:{}".format(*toy.sockets[0].getsockname()[:2])
        registry.add(f"toy-{number}", address, zones[number % len(zones)])
    listener = await asyncio.start_server(registry.serve, host, port)
    print("discovery on {}:{}".format(*listener.sockets[0].getsockname()[:2]), flush=True)
    if drain is not None:
        for lifecycle in ("terminating", "terminated"):
            await asyncio.sleep(drain)
            await registry.update("toy-0", lifecycle=lifecycle)
            print(f"toy-0 is {lifecycle}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8500)
    parser.add_argument("--zones", nargs="+", default=["east", "west"])
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--drain", type=float, metavar="SECONDS")
    given = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(given.host, given.port, given.zones, given.servers, given.drain))
