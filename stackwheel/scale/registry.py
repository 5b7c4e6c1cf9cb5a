"""The registry stand-in, a process of its own: serves list and watch as the protocol's page says.

It is written from that page, not from the planner's client. `python -m stackwheel.scale.registry` speaks with the
run over standard input and output.
"""

from __future__ import annotations

import asyncio
import time
from urllib.parse import parse_qs, urlsplit

import h11

from stackwheel.scale.control import (
    Apply,
    FullList,
    GetFullList,
    GetTraffic,
    Lines,
    Load,
    Ready,
    Request,
    Stop,
    Traffic,
    standard_lines,
)
from stackwheel.scale.registry_list import RegistryList

LIST_PATH = "/registry/instances"
BEAT = 2.0  # s: the protocol's empty line while nothing changes
MAX_CONNECTIONS = 18_000  # of the 20,000 descriptors of a process
MAX_PENDING_BYTES = 256 << 20  # bytes of first answers not yet written: 30 whole lists of 48,000 servers; beyond it 503
MAX_UNSENT_BYTES = 32 << 20  # bytes that one watch leaves unread: four whole lists of 48,000 servers; then it is reset
READ_BYTES = 16 << 10
REQUEST_WITHIN = 2.0  # s from accepting to a whole request
BACKLOG = 4_096


class Framer:
    """The bytes of a chunked answer, which are the same for every watch."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER)
        self.http.receive_data(b"GET / HTTP/1.1\r\nHost: registry\r\n\r\n")
        while not isinstance(self.http.next_event(), h11.EndOfMessage):
            pass
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        self.head = self.sent(h11.Response(status_code=200, headers=headers))

    def sent(self, event: h11.Response | h11.Data) -> bytes:
        """The bytes of one event of the shared response."""
        found = self.http.send(event)
        assert found is not None
        return found

    def chunk(self, piece: bytes) -> bytes:
        """One piece of a body, as a chunk."""
        return self.sent(h11.Data(piece))


class Registry:
    """All connections of the registry, and what they are told."""

    def __init__(self, endpoint_list: RegistryList) -> None:
        self.endpoint_list = endpoint_list
        self.framer = Framer()
        self.watches: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self.pending = 0  # bytes of first answers that are still being written
        self.bytes_in = self.bytes_out = self.refused = 0
        self.beat: asyncio.TimerHandle | None = None

    async def start(self, host: str) -> str:
        """Begin to serve; the address."""
        server = await asyncio.start_server(self.serve, host, 0, backlog=BACKLOG)
        self.schedule_beat()
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def schedule_beat(self) -> None:
        """Write a heartbeat once nothing has been written for a while."""
        if self.beat is not None:
            self.beat.cancel()
        self.beat = asyncio.get_running_loop().call_later(BEAT, self.broadcast, b"\n")

    def broadcast(self, line: bytes) -> None:
        """Tell a line to every watch: framed once, written to each."""
        data = self.framer.chunk(line)
        for writer in list(self.watches):
            if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                writer.transport.abort()
                self.watches.discard(writer)
            else:
                self.write(writer, data)
        self.schedule_beat()

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write to one connection, and count the bytes."""
        writer.write(data)
        self.bytes_out += len(data)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection: one request, then its answer, or a watch until the connection ends."""
        self.connections += 1
        try:
            http = h11.Connection(h11.SERVER)
            request = await asyncio.wait_for(self.request(http, reader), REQUEST_WITHIN)
            await self.answer(request, http, reader, writer)
        except (OSError, h11.ProtocolError, TimeoutError):
            pass
        finally:
            self.connections -= 1
            self.watches.discard(writer)
            writer.transport.abort()

    async def request(self, http: h11.Connection, reader: asyncio.StreamReader) -> h11.Request:
        """The request that a connection begins with; ConnectionError if it is none."""
        while True:
            event = http.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                raise ConnectionError("no request")
            data = await reader.read(READ_BYTES)
            self.bytes_in += len(data)
            http.receive_data(data)

    async def answer(
        self, request: h11.Request, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request: the list, a watch, 404 for another path, 503 when overloaded."""
        parts = urlsplit(request.target.decode("ascii", "replace"))
        words = parse_qs(parts.query)
        since = words.get("since", [""])[0]
        if request.method != b"GET" or parts.path != LIST_PATH:
            await self.plain(http, writer, 404, b"")
            return
        follow = words.get("follow") == ["1"]
        first = self.endpoint_list.since(int(since) if follow and since.isdecimal() else None)
        if self.connections > MAX_CONNECTIONS or (self.pending and self.pending + len(first) > MAX_PENDING_BYTES):
            self.refused += 1
            await self.plain(http, writer, 503, b"")
        elif follow:
            await self.watch(first, reader, writer)
        else:
            await self.plain(http, writer, 200, first)

    async def plain(self, http: h11.Connection, writer: asyncio.StreamWriter, status: int, body: bytes) -> None:
        """Answer with a body of known length and close the connection."""
        head = h11.Response(
            status_code=status, headers=[("Content-Length", str(len(body))), ("Content-Type", "application/json")]
        )
        for event in (head, h11.Data(body), h11.EndOfMessage()):
            self.write(writer, http.send(event) or b"")
        await self.written(writer, len(body))
        writer.close()
        await writer.wait_closed()

    async def watch(self, first: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The first answer, and from then on every broadcast: nothing can come between the two."""
        self.write(writer, self.framer.head + self.framer.chunk(first))
        self.watches.add(writer)
        await self.written(writer, len(first))
        while data := await reader.read(READ_BYTES):
            self.bytes_in += len(data)

    async def written(self, writer: asyncio.StreamWriter, size: int) -> None:
        """Until the kernel has taken nearly all of a first answer; it counts as pending until then."""
        self.pending += size
        try:
            await writer.drain()
        finally:
            self.pending -= size

    def apply(self, change: Apply) -> None:
        """Change entries as one generation, and write the change to every watch."""
        self.broadcast(self.endpoint_list.apply(change.entries, time.monotonic()))

    def traffic(self) -> Traffic:
        """Bytes so far, and the calls that were answered with 503."""
        return Traffic(self.bytes_in, self.bytes_out, failures=self.refused)

    def full_list(self) -> FullList:
        """All entries, and the changes made so far."""
        return FullList(
            self.endpoint_list.generation, list(self.endpoint_list.entries.values()), self.endpoint_list.made
        )


async def load(lines: Lines[Request]) -> Registry | None:
    """Wait for the list to serve, and serve it; None where the run ends before."""
    message = await lines.receive()
    if not isinstance(message, Load):
        return None
    registry = Registry(RegistryList(message.entries))
    await lines.send(Ready(await registry.start(message.host)))
    return registry


async def main() -> None:
    """Serve until told to stop, or until the run's end of the control connection is gone."""
    lines = await standard_lines()
    registry = await load(lines)
    while registry is not None:
        match await lines.receive():
            case Apply() as change:
                registry.apply(change)
            case GetTraffic():
                await lines.send(registry.traffic())
            case GetFullList():
                await lines.send(registry.full_list())
            case Stop() | None:
                return
            case other:
                raise TypeError(f"the registry can't do {other}")


if __name__ == "__main__":
    asyncio.run(main())
