"""Stand-ins for the environment of one process under test: discovery, servers and peer planners."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence

import h11
import msgspec

from stackwheel.policy import gossip
from stackwheel.scale.accounting import Traffic
from stackwheel.scale.discovery_http import CHUNKED_JSON_HEADERS, read_request
from stackwheel.scale.entries import IN_SERVICE, TERMINATED, TERMINATING, Entry
from stackwheel.scale.ports import HOST
from stackwheel.scale.registry_list import RegistryList
from stackwheel.state.server_ids import server_id
from stackwheel.wire import timing
from stackwheel.wire.datagrams import MAX_DATAGRAM_BYTES

READ_BYTES = 64 * 1024
# The cost of reading a peer's datagram does not depend on these values.
PEER_REQUESTS_PER_SECOND = 1.0
PEER_PROXIES = 4


class FakeDiscovery:
    """Discovery for one process under test, which serves the full list and watches.

    Servers restart one after another. Each change is the next step of a restart: draining, removed, and in service as
    a new process.
    """

    def __init__(self, entries: Sequence[Entry], traffic: Traffic) -> None:
        self.entries = list(entries)  # Includes removed servers, so that indices do not change.
        self.traffic = traffic
        self.list = RegistryList(entries)
        self.watches: dict[asyncio.StreamWriter, h11.Connection] = {}
        self.restarting_index = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection: respond to a fetch, or serve a watch until the connection ends."""
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError), contextlib.closing(writer):
            request = await read_request(http, reader, READ_BYTES, self.count_received_bytes)
            self.traffic.count_sent(0)
            target = request.target.decode()
            if "follow=1" in target:
                await self.watch(http, reader, writer, known_generation(target))
            else:
                self.write(http, writer, self.list.encode_full_list())
                writer.write(http.send(h11.EndOfMessage()))
                await writer.drain()

    def count_received_bytes(self, size: int) -> None:
        """Count bytes sent by the process under test; the complete request is counted as a message separately."""
        self.traffic.count_sent(size, 0)

    async def watch(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, known: int | None
    ) -> None:
        """Serve a watch: send the changes after generation `known`, then every later change, and heartbeats."""
        self.write(http, writer, self.list.encode_since(known))
        self.watches[writer] = http
        last_generation = self.list.generation
        try:
            while not reader.at_eof():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(READ_BYTES), timing.HEARTBEAT_INTERVAL_MS / 1000.0)
                    continue
                if last_generation == self.list.generation:
                    self.write(http, writer, b"\n")
                last_generation = self.list.generation
        finally:
            del self.watches[writer]

    def change(self, count: int = 1) -> None:
        """Apply the next `count` restart steps as one generation."""
        self.broadcast([self.next_step() for _ in range(count)])

    def remove_zone(self, zone: str) -> None:
        """Remove all servers of a zone in one generation."""
        for index, entry in enumerate(self.entries):
            if entry.zone == zone:
                self.entries[index] = msgspec.structs.replace(entry, lifecycle=TERMINATED)
        self.broadcast([entry for entry in self.entries if entry.zone == zone])

    def broadcast(self, changed: Sequence[Entry]) -> None:
        """Apply changed entries as one generation and write the delta to every watch."""
        line = self.list.apply(changed, time.monotonic())
        for writer, http in list(self.watches.items()):
            self.write(http, writer, line)

    def next_step(self) -> Entry:
        """Apply the next restart step to the restarting server and return its changed entry."""
        entry = self.entries[self.restarting_index]
        if entry.lifecycle == TERMINATED:
            changed = msgspec.structs.replace(entry, lifecycle=IN_SERVICE, started_at_ms=self.list.generation + 1)
        else:
            next_lifecycle = TERMINATING if entry.lifecycle == IN_SERVICE else TERMINATED
            changed = msgspec.structs.replace(entry, lifecycle=next_lifecycle)
        self.entries[self.restarting_index] = changed
        if changed.lifecycle == IN_SERVICE:
            self.restarting_index = (self.restarting_index + 1) % len(self.entries)
        return changed

    def write(self, http: h11.Connection, writer: asyncio.StreamWriter, body: bytes) -> None:
        """Write one chunk of a body, the first one after the head of the response."""
        data = b""
        if http.our_state is h11.SEND_RESPONSE:
            data = http.send(h11.Response(status_code=200, headers=list(CHUNKED_JSON_HEADERS)))
        data += http.send(h11.Data(body))
        writer.write(data)
        self.traffic.count_received(len(data))


def known_generation(target: str) -> int | None:
    """Return the generation in the `since` parameter of a request target, or None if there is none."""
    query = dict(field.partition("=")[::2] for field in target.partition("?")[2].split("&"))
    return int(query["since"]) if query.get("since", "").isdecimal() else None


class FakeServers:
    """Responds to the health checks of all servers at one address, with a load report."""

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to one health check and close the connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError), contextlib.closing(writer):
            request = await reader.readuntil(b"\r\n\r\n")
            self.traffic.count_sent(len(request))
            body = b"inflight=1"
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (len(body), body)
            writer.write(answer)
            self.traffic.count_received(len(answer))
            await writer.drain()


class FakePeerSocket(asyncio.DatagramProtocol):
    """Datagram socket of a peer: counts the datagrams from the planner under test and sends datagrams to it."""

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Store the transport for sending."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:  # noqa: ARG002 - signature of asyncio
        """Count a datagram sent by the planner under test."""
        self.traffic.count_sent(len(data))

    def address(self) -> str:
        """Return the address of the socket as HOST:PORT."""
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def send(self, payload: bytes, address: tuple[str, int]) -> None:
        """Send one datagram to the planner under test."""
        assert self.transport is not None
        assert len(payload) <= MAX_DATAGRAM_BYTES
        self.transport.sendto(payload, address)
        self.traffic.count_received(len(payload))


class FakePeerPlanners:
    """Peers of the planner under test: each sends its load once per report interval within the policy's limit."""

    def __init__(self, servers: Sequence[str], max_datagrams: int, traffic: Traffic) -> None:
        self.payloads = gossip.encode(PEER_PROXIES, {server_id(name): PEER_REQUESTS_PER_SECOND for name in servers})
        self.max_datagrams = max_datagrams  # Maximum that a planner reads in a report interval.
        self.traffic = traffic
        self.broadcast_socket = FakePeerSocket(traffic)
        self.sockets: list[FakePeerSocket] = []

    async def open(self, count: int) -> None:
        """Open the sockets of `count` peers and the socket of their broadcast address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.broadcast_socket, local_addr=(HOST, 0))
        for _ in range(count):
            _, peer = await loop.create_datagram_endpoint(lambda: FakePeerSocket(self.traffic), local_addr=(HOST, 0))
            self.sockets.append(peer)

    async def run(self, planner: tuple[str, int]) -> None:
        """Send datagrams until cancelled; send none if `max_datagrams` per report interval would be exceeded."""
        if not 0 < len(self.sockets) * len(self.payloads) <= self.max_datagrams:
            return
        while True:
            for peer in self.sockets:
                for payload in self.payloads:
                    peer.send(payload, planner)
                await asyncio.sleep(1.0 / len(self.sockets))

    def close(self) -> None:
        """Close all sockets."""
        for peer in (self.broadcast_socket, *self.sockets):
            if peer.transport is not None:
                peer.transport.close()
