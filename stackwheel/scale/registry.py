"""The registry stand-in, a process that serves the list and watches as the protocol's page says.

It is written from that page, not from the planner's client. `python -m stackwheel.scale.registry` is started by a run
and takes its requests over standard input and output.
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

HEARTBEAT_INTERVAL_S = 2.0  # s: the protocol's empty line while nothing changes
MAX_CONNECTIONS = 18_000  # of the 20,000 descriptors of a process; more are answered with 503
MAX_PENDING_BYTES = 256 << 20  # of first answers not yet written: 30 lists of 48,000 servers; more are answered by 503
MAX_UNSENT_BYTES_PER_WATCH = (
    32 << 20
)  # that one watch leaves unread: four lists of 48,000 servers; beyond it the watch is reset
MAX_READ_BYTES = 16 << 10
REQUEST_TIMEOUT_S = 2.0  # s from accepting a connection to a complete request
LISTEN_BACKLOG = 4_096  # connections that the kernel may hold: many planners start at once


class ChunkEncoder:
    """Encodes a chunked response once for all watches."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER)
        self.http.receive_data(b"GET / HTTP/1.1\r\nHost: registry\r\n\r\n")
        while not isinstance(self.http.next_event(), h11.EndOfMessage):
            pass
        self.head = self.encode(h11.Response(status_code=200, headers=list(CHUNKED_JSON_HEADERS)))

    def encode(self, event: h11.Response | h11.Data) -> bytes:
        """The bytes of one event of the response."""
        encoded = self.http.send(event)
        assert encoded is not None
        return encoded

    def chunk(self, body: bytes) -> bytes:
        """A piece of a body as a chunk."""
        return self.encode(h11.Data(body))


class Registry:
    """Serves a list on all connections of the registry, and counts their bytes."""

    def __init__(self, endpoint_list: RegistryList) -> None:
        self.endpoint_list = endpoint_list
        self.chunk_encoder = ChunkEncoder()
        self.watches: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self.pending_bytes = 0  # bytes of first answers that are still being written
        self.bytes_in = 0
        self.bytes_out = 0
        self.rejected_calls = 0  # calls answered with 503
        self.heartbeat_timer: asyncio.TimerHandle | None = None

    async def start(self, host: str) -> str:
        """Begin to serve; the address, HOST:PORT."""
        server = await asyncio.start_server(self.serve, host, 0, backlog=LISTEN_BACKLOG)
        self.schedule_heartbeat()
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def schedule_heartbeat(self) -> None:
        """Broadcast a heartbeat if nothing else is broadcast before."""
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        self.heartbeat_timer = asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self.broadcast, b"\n")

    def broadcast(self, line: bytes) -> None:
        """Write a line to every watch, framed once; reset the watches that leave too much unread."""
        data = self.chunk_encoder.chunk(line)
        for writer in list(self.watches):
            if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES_PER_WATCH:
                writer.transport.abort()
                self.watches.discard(writer)
            else:
                self.write(writer, data)
        self.schedule_heartbeat()

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write to one connection, and count the bytes."""
        writer.write(data)
        self.bytes_out += len(data)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection: one request, then its answer, or a watch until the connection ends."""
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
        """Count bytes received."""
        self.bytes_in += size

    async def answer(
        self, request: h11.Request, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request: the list, a watch, 404 for another path, 503 when overloaded."""
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
        """Write a response with a body of known length, and close the connection."""
        head = h11.Response(
            status_code=status, headers=[("Content-Length", str(len(body))), ("Content-Type", "application/json")]
        )
        for event in (head, h11.Data(body), h11.EndOfMessage()):
            self.write(writer, http.send(event) or b"")
        await self.drain_first_body(writer, len(body))
        writer.close()
        await writer.wait_closed()

    async def watch(self, first_body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write the first answer, and from then on every broadcast: no broadcast can come between the two."""
        self.write(writer, self.chunk_encoder.head + self.chunk_encoder.chunk(first_body))
        self.watches.add(writer)
        await self.drain_first_body(writer, len(first_body))
        while data := await reader.read(MAX_READ_BYTES):
            self.count_received_bytes(len(data))

    async def drain_first_body(self, writer: asyncio.StreamWriter, size: int) -> None:
        """Wait until the kernel has accepted nearly all of a first answer; it counts as pending until then."""
        self.pending_bytes += size
        try:
            await writer.drain()
        finally:
            self.pending_bytes -= size

    def apply(self, change: Apply) -> None:
        """Change entries as one generation, and write the change to every watch."""
        self.broadcast(self.endpoint_list.apply(change.entries, time.monotonic()))

    def traffic(self) -> Traffic:
        """Bytes so far; calls answered with 503 count as failures."""
        return Traffic(self.bytes_in, self.bytes_out, failures=self.rejected_calls)

    def full_list(self) -> FullList:
        """All entries, and the changes made so far."""
        endpoint_list = self.endpoint_list
        return FullList(endpoint_list.generation, list(endpoint_list.entries.values()), endpoint_list.made_changes)


async def start_serving(connection: ControlConnection[Request]) -> Registry | None:
    """Wait for the list to serve, and begin to serve it; None if the run ends before."""
    message = await connection.receive()
    if not isinstance(message, Load):
        return None
    registry = Registry(RegistryList(message.entries))
    await connection.send(Ready(await registry.start(message.host)))
    return registry


async def main() -> None:
    """Carry out the run's requests until it sends `Stop` or closes the control connection."""
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
                raise TypeError(f"the registry can't do {other}")


if __name__ == "__main__":
    asyncio.run(main())
