"""A minimal deployment for trying the planner: a discovery service, and servers that answer health checks.

python examples/toy_server.py            # discovery on 127.0.0.1:8500, three servers
python examples/toy_server.py --drain 10 # the first server drains after 10 s, and is removed 10 s later
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from typing import Any, NamedTuple

import h11

HEARTBEAT_INTERVAL_S = 2.0  # time between the empty lines that a watch receives while there are no changes
MAX_READ_BYTES = 65536
LIST_PATH = "/registry/instances"
LIVENESS_PATH = "/health/live"
LOAD_PATH = "/stats"


class Change(NamedTuple):
    """An entry of the list and the generation in which it changed."""

    generation: int
    entry: dict[str, Any]


class DiscoveryService:
    """A discovery service, which returns the complete endpoint list or streams its changes."""

    def __init__(self) -> None:
        self.generation = 1
        self.instances: dict[str, dict[str, Any]] = {}
        self.changes: list[Change] = []
        self.changed = asyncio.Condition()

    def add(self, name: str, address: str, zone: str, kind: str = "small") -> None:
        """Add a server to the initial list."""
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

    async def update(self, name: str, **fields: Any) -> None:
        """Change fields of an entry and notify all watches; a terminated server is removed from the list."""
        async with self.changed:
            entry = {**self.instances[name], **fields}
            self.instances[name] = entry
            if entry["lifecycle"] == "terminated":
                del self.instances[name]
            self.generation += 1
            self.changes.append(Change(self.generation, entry))
            self.changed.notify_all()

    def document(self, since: int | None) -> bytes:
        """Encode the entries that have changed since a generation, or the complete list if `since` is None."""
        entries = list(self.instances.values())
        if since is not None:
            recent = [change.entry for change in self.changes if change.generation > since]
            entries = list({entry["instanceId"]: entry for entry in recent}.values())
        body = {"generation": self.generation, "reset": since is None, "instances": entries}
        return json.dumps(body).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request and close the connection."""
        http = h11.Connection(h11.SERVER)
        try:
            target = await read_request(http, reader)
            path, _, query = target.partition("?")
            if path != LIST_PATH:
                await send_response(http, writer, 404, b"")
            elif "follow=1" in query:
                parameters = dict(parameter.partition("=")[::2] for parameter in query.split("&"))
                await self.watch(http, writer, int(parameters.get("since", "0")))
            else:
                await send_response(http, writer, 200, self.document(None))
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    async def watch(self, http: h11.Connection, writer: asyncio.StreamWriter, since: int) -> None:
        """Stream the changes since a generation; if it is unknown, send the complete list first."""
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        writer.write(http.send(h11.Response(status_code=200, headers=headers)))
        line = self.document(since if 0 < since <= self.generation else None)
        while True:
            sent_generation = self.generation
            writer.write(http.send(h11.Data(line)))
            await writer.drain()
            line = await self.next_line(sent_generation)

    async def next_line(self, sent_generation: int) -> bytes:
        """Wait for changes since a generation and return them; return an empty line if there are none in time."""
        async with self.changed:
            with contextlib.suppress(TimeoutError):  # a change may coincide with the timeout
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: self.generation > sent_generation), HEARTBEAT_INTERVAL_S
                )
            return self.document(sent_generation) if self.generation > sent_generation else b"\n"


async def read_request(http: h11.Connection, reader: asyncio.StreamReader) -> str:
    """Return the target of the next request; raises ConnectionError if the client sends none."""
    while True:
        event = http.next_event()
        if isinstance(event, h11.Request):
            return event.target.decode()
        if event is not h11.NEED_DATA:
            raise ConnectionError("connection closed before a request was received")
        http.receive_data(await reader.read(MAX_READ_BYTES))


async def send_response(http: h11.Connection, writer: asyncio.StreamWriter, status: int, body: bytes) -> None:
    """Send a response with a Content-Length header."""
    head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
    writer.write(http.send(head) + http.send(h11.Data(body)) + http.send(h11.EndOfMessage()))
    await writer.drain()


async def serve_health_check(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer a health check as an idle server: alive, with no requests in flight."""
    http = h11.Connection(h11.SERVER)
    try:
        target = await read_request(http, reader)
        status = 200 if target in (LIVENESS_PATH, LOAD_PATH) else 404
        await send_response(http, writer, status, b"inflight=0" if target == LOAD_PATH else b"")
    except (OSError, h11.ProtocolError):
        pass
    finally:
        writer.close()


async def drain_first_server(discovery: DiscoveryService, interval_s: float) -> None:
    """Drain the first server after an interval, and remove it after another one."""
    for lifecycle in ("terminating", "terminated"):
        await asyncio.sleep(interval_s)
        await discovery.update("toy-0", lifecycle=lifecycle)
        print(f"toy-0 is {lifecycle}", flush=True)


async def main(host: str, port: int, zones: list[str], servers: int, drain_s: float | None) -> None:
    """Start the servers and the discovery service, and run until cancelled."""
    discovery = DiscoveryService()
    for number in range(servers):
        server = await asyncio.start_server(serve_health_check, host, 0)
        discovery.add(f"toy-{number}", address_of(server), zones[number % len(zones)])
    listener = await asyncio.start_server(discovery.serve, host, port)
    print(f"discovery on {address_of(listener)}", flush=True)
    if drain_s is not None:
        await drain_first_server(discovery, drain_s)
    await asyncio.Event().wait()


def address_of(server: asyncio.Server) -> str:
    """Return the address of a server as "host:port"."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def parse_arguments() -> argparse.Namespace:
    """Parse the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8500)
    parser.add_argument("--zones", nargs="+", default=["east", "west"])
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--drain", type=float, metavar="SECONDS")
    return parser.parse_args()


if __name__ == "__main__":
    options = parse_arguments()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(options.host, options.port, options.zones, options.servers, options.drain))
