"""Stand-in for the discovery registry: a process that serves the endpoint list and watches of it over HTTP.

It implements the documented protocol independently of the planner's client. A run starts
`python -m stackwheel.scale.registry` and sends it requests over standard input and output.
"""

from __future__ import annotations

import asyncio
import time
from urllib.parse import parse_qs, urlsplit

import h11

from stackwheel.scale.control import (
    Apply,
    ControlConnection,
    FullList,
    GetFullList,
    GetTraffic,
    Load,
    Ready,
    Request,
    Stop,
    Traffic,
    connect_standard_streams,
)
from stackwheel.scale.discovery_http import CHUNKED_JSON_HEADERS, LIST_PATH, read_request
from stackwheel.scale.registry_list import RegistryList

HEARTBEAT_INTERVAL_S = 2.0
# Below the limit of 20,000 file descriptors of a process. Calls on further connections are answered with 503.
MAX_CONNECTIONS = 18_000
# Limit on the first responses that are still being written, about 30 lists of 48,000 servers. Further calls are
# answered with 503.
MAX_PENDING_BYTES = 256 << 20
# About four lists of 48,000 servers. A watch with more unsent data is reset.
MAX_UNSENT_BYTES_PER_WATCH = 32 << 20
MAX_READ_BYTES = 16 << 10
REQUEST_TIMEOUT_S = 2.0
LISTEN_BACKLOG = 4_096  # Large, because all planners of a run connect at the same time.


class ChunkEncoder:
    """Encodes a chunked HTTP response once for all watches."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER)
        self.http.receive_data(b"GET / HTTP/1.1\r\nHost: registry\r\n\r\n")
        while not isinstance(self.http.next_event(), h11.EndOfMessage):
            pass
        self.head = self.encode(h11.Response(status_code=200, headers=list(CHUNKED_JSON_HEADERS)))

    def encode(self, event: h11.Response | h11.Data) -> bytes:
        """Return the bytes of one event of the response."""
        encoded = self.http.send(event)
        assert encoded is not None
        return encoded

    def chunk(self, body: bytes) -> bytes:
        """Encode a part of the response body as one chunk."""
        return self.encode(h11.Data(body))


class Registry:
    """Serves an endpoint list on all connections of the registry and counts their bytes."""

    def __init__(self, endpoint_list: RegistryList) -> None:
        self.endpoint_list = endpoint_list
        self.chunk_encoder = ChunkEncoder()
        self.watches: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self.pending_bytes = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.rejected_calls = 0
        self.heartbeat_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str) -> str:
        """Start the server and return its address as HOST:PORT."""
        server = await asyncio.start_server(self.serve, host, 0, backlog=LISTEN_BACKLOG)
        self.schedule_heartbeat()
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def schedule_heartbeat(self) -> None:
        """Schedule a heartbeat, an empty line, after `HEARTBEAT_INTERVAL_S` without another broadcast."""
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        self.heartbeat_timer = asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self.broadcast, b"\n")

    def broadcast(self, line: bytes) -> None:
        """Encode a line once and write it to every watch; reset the watches with too much unsent data."""
        data = self.chunk_encoder.chunk(line)
        for writer in list(self.watches):
            if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES_PER_WATCH:
                writer.transport.abort()
                self.watches.discard(writer)
            else:
                self.write(writer, data)
        self.schedule_heartbeat()

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write data to one connection and count the bytes."""
        writer.write(data)
        self.bytes_out += len(data)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection: read a request and send its response, or serve a watch until the client disconnects."""
        self.connections += 1
        try:
            http = h11.Connection(h11.SERVER)
            request = await asyncio.wait_for(
                read_request(http, reader, MAX_READ_BYTES, self.count_received_bytes), REQUEST_TIMEOUT_S
            )
            await self.answer(request, http, reader, writer)
        except (OSError, h11.ProtocolError, TimeoutError):
            pass
        finally:
            self.connections -= 1
            self.watches.discard(writer)
            writer.transport.abort()

    def count_received_bytes(self, size: int) -> None:
        """Add to the number of bytes received."""
        self.bytes_in += size

    async def answer(
        self, request: h11.Request, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request with the endpoint list or a watch.

        The response is 404 for any other path or method, and 503 if the registry is overloaded.
        """
        target = urlsplit(request.target.decode("ascii", "replace"))
        query = parse_qs(target.query)
        since = query.get("since", [""])[0]
        if request.method != b"GET" or target.path != LIST_PATH:
            await self.respond(http, writer, 404, b"")
            return
        follow = query.get("follow") == ["1"]
        first_body = self.endpoint_list.encode_since(int(since) if follow and since.isdecimal() else None)
        if self.connections > MAX_CONNECTIONS or (
            self.pending_bytes and self.pending_bytes + len(first_body) > MAX_PENDING_BYTES
        ):
            self.rejected_calls += 1
            await self.respond(http, writer, 503, b"")
        elif follow:
            await self.watch(first_body, reader, writer)
        else:
            await self.respond(http, writer, 200, first_body)

    async def respond(self, http: h11.Connection, writer: asyncio.StreamWriter, status: int, body: bytes) -> None:
        """Write a response with a body of known length and close the connection."""
        head = h11.Response(
            status_code=status, headers=[("Content-Length", str(len(body))), ("Content-Type", "application/json")]
        )
        for event in (head, h11.Data(body), h11.EndOfMessage()):
            self.write(writer, http.send(event) or b"")
        await self.drain_first_body(writer, len(body))
        writer.close()
        await writer.wait_closed()

    async def watch(self, first_body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write the first response body, then serve every broadcast until the client disconnects.

        The watch is registered before the first `await`, so that no broadcast is missed.
        """
        self.write(writer, self.chunk_encoder.head + self.chunk_encoder.chunk(first_body))
        self.watches.add(writer)
        await self.drain_first_body(writer, len(first_body))
        while data := await reader.read(MAX_READ_BYTES):
            self.count_received_bytes(len(data))

    async def drain_first_body(self, writer: asyncio.StreamWriter, size: int) -> None:
        """Wait until the connection's write buffer has drained; count the response body as pending meanwhile."""
        self.pending_bytes += size
        try:
            await writer.drain()
        finally:
            self.pending_bytes -= size

    def apply(self, change: Apply) -> None:
        """Apply changed entries as one generation and write the delta to every watch."""
        self.broadcast(self.endpoint_list.apply(change.entries, time.monotonic()))

    def traffic(self) -> Traffic:
        """Return the bytes counted so far, with the requests that were answered with 503 as failures."""
        return Traffic(self.bytes_in, self.bytes_out, failures=self.rejected_calls)

    def full_list(self) -> FullList:
        """Return all entries and the changes made so far."""
        endpoint_list = self.endpoint_list
        return FullList(endpoint_list.generation, list(endpoint_list.entries.values()), endpoint_list.made_changes)


async def start_serving(connection: ControlConnection[Request]) -> Registry | None:
    """Wait for the endpoint list from the run and start serving it; return None if the run ends first."""
    message = await connection.receive()
    if not isinstance(message, Load):
        return None
    registry = Registry(RegistryList(message.entries))
    await connection.send(Ready(await registry.start(message.host)))
    return registry


async def main() -> None:
    """Handle the run's requests until it sends `Stop` or closes the control connection."""
    connection = await connect_standard_streams()
    registry = await start_serving(connection)
    while registry is not None:
        match await connection.receive():
            case Apply() as change:
                registry.apply(change)
            case GetTraffic():
                await connection.send(registry.traffic())
            case GetFullList():
                await connection.send(registry.full_list())
            case Stop() | None:
                return
            case other:
                raise TypeError(f"unexpected request to the registry: {other}")


if __name__ == "__main__":
    asyncio.run(main())
