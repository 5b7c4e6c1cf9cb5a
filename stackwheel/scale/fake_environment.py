"""All that one planner under test speaks with: discovery, servers that answer probes, other planners."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence

import h11
import msgspec

from stackwheel.policy import gossip
from stackwheel.scale.accounting import Traffic
from stackwheel.scale.entries import IN_SERVICE, TERMINATED, TERMINATING, Entry
from stackwheel.scale.ports import HOST
from stackwheel.scale.registry_list import RegistryList
from stackwheel.state.server_ids import server_id
from stackwheel.wire import timing
from stackwheel.wire.datagrams import MAX_DATAGRAM_BYTES

LIST_PATH = "/registry/instances"
READ_BYTES = 64 * 1024
RATE_OF_A_PEER = 1.0  # requests a second that a peer says it sends to each server: any figure costs the same
PEER_PROXIES = 4


class FakeDiscovery:
    """Discovery for one planner: the whole list, and a watch that is told changes one by one.

    Changes take a server through the three steps of a restart (drains, has left, is back as a new process), one
    step a change, servers in turn.
    """

    def __init__(self, entries: Sequence[Entry], traffic: Traffic) -> None:
        # with those that have left, each at its place
        self.entries = list(entries)
        self.traffic = traffic
        self.list = RegistryList(entries)
        self.watches: dict[asyncio.StreamWriter, h11.Connection] = {}
        self.place = 0  # of the server that is being restarted

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection: a fetch, or a watch until it ends."""
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError), contextlib.closing(writer):
            target = await self.read_request(http, reader)
            if "follow=1" in target:
                await self.watch(http, reader, writer, since(target))
            else:
                self.write(http, writer, self.list.full_list())
                writer.write(http.send(h11.EndOfMessage()))
                await writer.drain()

    async def read_request(self, http: h11.Connection, reader: asyncio.StreamReader) -> str:
        """The target of the request that a connection begins with."""
        while True:
            event = http.next_event()
            if isinstance(event, h11.Request):
                self.traffic.sent(0)
                return event.target.decode()
            if event is not h11.NEED_DATA:
                raise ConnectionError("no request")
            data = await reader.read(READ_BYTES)
            self.traffic.sent(len(data), 0)
            http.receive_data(data)

    async def watch(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, known: int | None
    ) -> None:
        """Answer a watch: first what is new after `known`, then every change, and a heartbeat in between."""
        self.write(http, writer, self.list.since(known))
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
        """Tell so many changes as one generation."""
        self.broadcast([self.next_step() for _ in range(count)])

    def remove_zone(self, zone: str) -> None:
        """All servers of a zone have left, told as one generation."""
        for place, entry in enumerate(self.entries):
            if entry.zone == zone:
                self.entries[place] = msgspec.structs.replace(entry, lifecycle=TERMINATED)
        self.broadcast([entry for entry in self.entries if entry.zone == zone])

    def broadcast(self, changed: Sequence[Entry]) -> None:
        """Apply changes as one generation and write them to every watch."""
        line = self.list.apply(changed, time.monotonic())
        for writer, http in list(self.watches.items()):
            self.write(http, writer, line)

    def next_step(self) -> Entry:
        """The next change: the server in turn drains, is removed, or is back as a new process."""
        entry = self.entries[self.place]
        if entry.lifecycle == TERMINATED:
            changed = msgspec.structs.replace(entry, lifecycle=IN_SERVICE, started_at_ms=self.list.generation + 1)
        else:
            after = TERMINATING if entry.lifecycle == IN_SERVICE else TERMINATED
            changed = msgspec.structs.replace(entry, lifecycle=after)
        self.entries[self.place] = changed
        if changed.lifecycle == IN_SERVICE:
            self.place = (self.place + 1) % len(self.entries)
        return changed

    def write(self, http: h11.Connection, writer: asyncio.StreamWriter, body: bytes) -> None:
        """Write one chunk of a body, with the response's head before the first."""
        data = b""
        if http.our_state is h11.SEND_RESPONSE:
            headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
            data = http.send(h11.Response(status_code=200, headers=headers))
        data += http.send(h11.Data(body))
        writer.write(data)
        self.traffic.received(len(data))


def since(target: str) -> int | None:
    """The generation that a watch names, if any."""
    words = dict(word.partition("=")[::2] for word in target.partition("?")[2].split("&"))
    return int(words["since"]) if words.get("since", "").isdecimal() else None


class FakeServers:
    """One address at which all servers answer probes: alive, with a load report."""

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One probe."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError), contextlib.closing(writer):
            request = await reader.readuntil(b"\r\n\r\n")
            self.traffic.sent(len(request))
            body = b"inflight=1"
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (len(body), body)
            writer.write(answer)
            self.traffic.received(len(answer))
            await writer.drain()


class FakePeerSocket(asyncio.DatagramProtocol):
    """One end at which a planner's datagrams are counted, and from which a peer's are sent."""

    def __init__(self, traffic: Traffic) -> None:
        self.traffic = traffic
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Keep the transport to send with."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Count a datagram that the planner under test has sent."""
        self.traffic.sent(len(data))

    def address(self) -> str:
        """Where it receives."""
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def send(self, payload: bytes, address: tuple[str, int]) -> None:
        """Send one datagram to the planner under test."""
        assert self.transport is not None
        assert len(payload) <= MAX_DATAGRAM_BYTES
        self.transport.sendto(payload, address)
        self.traffic.received(len(payload))


class FakePeerPlanners:
    """The other planners of a tier: each tells its load once a cycle, as long as the policy would send so much."""

    def __init__(self, servers: Sequence[str], datagrams_most: int, traffic: Traffic) -> None:
        self.payloads = gossip.encode(PEER_PROXIES, {server_id(name): RATE_OF_A_PEER for name in servers})
        self.max_datagrams = datagrams_most
        self.traffic = traffic
        self.broadcast_end = FakePeerSocket(traffic)
        self.ends: list[FakePeerSocket] = []

    async def open(self, others: int) -> None:
        """Stand up so many peers, and the address of all."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.broadcast_end, local_addr=(HOST, 0))
        for _ in range(others):
            _, end = await loop.create_datagram_endpoint(lambda: FakePeerSocket(self.traffic), local_addr=(HOST, 0))
            self.ends.append(end)

    async def run(self, planner: tuple[str, int]) -> None:
        """Send until cancelled; nothing where the planner would have to read over `datagrams_most` a cycle."""
        if not 0 < len(self.ends) * len(self.payloads) <= self.max_datagrams:
            return
        while True:
            for end in self.ends:
                for payload in self.payloads:
                    end.send(payload, planner)
                await asyncio.sleep(1.0 / len(self.ends))

    def close(self) -> None:
        """Close all sockets."""
        for end in (self.broadcast_end, *self.ends):
            if end.transport is not None:
                end.transport.close()
