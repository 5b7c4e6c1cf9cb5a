"""The network side of a planner: the listener with its connections, discovery, probes and peer datagrams."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from itertools import islice
from random import Random

from loguru import logger

from stackwheel import interface as face
from stackwheel.interface import Server, Settings
from stackwheel.settings import Names
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import HealthCheckCompleted, HealthCheckTarget, PlannerMessage
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate
from stackwheel.wire import timing
from stackwheel.wire.connection import BufferBudget, Connection, RateLimiter
from stackwheel.wire.datagrams import Datagrams
from stackwheel.wire.discovery_client import DiscoveryClient, Move
from stackwheel.wire.health_checks import probe, probe_call
from stackwheel.wire.http import socket_closed, split_address
from stackwheel.wire.line_codec import Encoder


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where the planner listens and whom it calls (`host:port`), with the limits on descriptors and memory (MB)."""

    listen: str
    discovery: str
    peer_listen: str
    peers: tuple[str, ...]
    peers_all: str
    sockets: int
    memory_mb: float


def open_listener(address: str) -> socket.socket:
    """A non-blocking listening socket; OSError if the address can't be bound."""
    listener = socket.create_server(split_address(address), backlog=timing.LISTEN_BACKLOG)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, timing.RECEIVE_BUFFER)
    listener.setblocking(False)
    return listener


class SocketTransport:
    """The module's `Outside` on sockets. Owns all connections and keeps them within the limit on descriptors."""

    def __init__(
        self,
        addresses: Addresses,
        settings: Settings,
        names: Names,
        roster: EndpointCache,
        clock: Clock,
        listen_at: Callable[[str], socket.socket] = open_listener,
        seed: int = 0,
    ) -> None:
        self.addresses, self.settings, self.names = addresses, settings, names
        self.endpoints, self.clock, self.listen_at = roster, clock, listen_at
        self.encoder = Encoder(names, roster.server_ids)
        self.discovery = DiscoveryClient(
            addresses.discovery,
            roster.generation,
            not settings.endpoint_list_on_request,
            lambda item: self.post(item),
            Random(seed),
            settings.list_poll_deadline,
            timing.renewal(settings.planner_count),
        )
        self.datagrams = Datagrams(
            addresses.peers, addresses.peers_all, settings.planner_index, lambda item: self.post(item)
        )
        self.unidentified: dict[Connection, None] = {}  # the first to come first
        self.arriving = 0  # connections taken, but not attended yet
        self.health_checks_in_flight = 0  # probes that hold a descriptor
        self.connections: dict[
            Connection, None
        ] = {}  # attended, until their sockets are closed; the first to come first
        self.closing: set[Connection] = set()  # of the peers, those that ended or were told to
        self.released = asyncio.Event()  # set whenever one of these has given its descriptor back
        self.collectors: dict[int, list[Connection]] = {}  # of each zone; the older ones are heard too
        self.limiters: dict[int, RateLimiter] = {}  # of proxies, whatever connection they have
        self.buffer_budget = BufferBudget(timing.waiting_most(addresses.memory_mb))
        self.post: Callable[[PlannerMessage], None] = lambda item: None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, post: Callable[[PlannerMessage], None]) -> None:
        """Start everything, the listener last; `post` gets what arrives. OSError if an address can't be bound."""
        self.post = post
        loop = asyncio.get_running_loop()
        if self.settings.gossip_enabled and self.addresses.peer_listen:
            await loop.create_datagram_endpoint(
                lambda: self.datagrams, local_addr=split_address(self.addresses.peer_listen)
            )
        listener = self.listen_at(self.addresses.listen)
        self.supervise("list", self.discovery.run)
        self.supervise("listener", lambda: self.listen(listener))
        self.supervise("sweep", self.sweep)

    def readdress(self, addresses: Addresses) -> None:
        """Apply a reloaded configuration; connections that are open stay."""
        self.addresses = addresses
        self.buffer_budget.most = timing.waiting_most(addresses.memory_mb)
        self.datagrams.readdress(addresses.peers, addresses.peers_all)
        self.discovery.mailbox.put_nowait(Move(addresses.discovery))

    def start_task(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def supervise(self, name: str, work: Callable[[], Coroutine[object, object, None]]) -> None:
        """Run a task that the process can't do without: after an unexpected error it is logged and restarted."""

        async def restart_on_error() -> None:
            while True:
                try:
                    return await work()
                except Exception as error:
                    logger.opt(exception=True).error("{}: fault {!r}; it begins again", name, error)
                    await asyncio.sleep(timing.FAULT_AGAIN / 1000.0)

        self.start_task(restart_on_error())

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("fault {!r}", error)

    async def listen(self, listener: socket.socket) -> None:
        """Accept all pending connections in one go, so that proxies that come together join in one batch.

        Not asyncio's own server: short of descriptors it retries and logs without a pause.
        """
        loop = asyncio.get_running_loop()
        while True:
            while self.arriving >= timing.ACCEPT_BURST:
                await asyncio.sleep(0)
            await self.wait_for_room()
            try:
                connection, _ = await loop.sock_accept(listener)
            except OSError as error:
                logger.warning("connection not accepted: {}", error)
                self.evict_one()
                await asyncio.sleep(timing.ACCEPT_AGAIN / 1000.0)
                continue
            self.arriving += 1
            self.start_task(self.serve_connection(connection))
            self.reserve_room()

    async def wait_for_room(self) -> None:
        """Wait until another connection may be held: an evicted one counts until its socket is closed."""
        while self.full():
            self.released.clear()
            if self.closing or self.evict_one():
                await self.released.wait()
            else:
                await asyncio.sleep(timing.YOUNG / 5000.0)

    def full(self) -> bool:
        """Whether connections and probes, with those being closed, hold all descriptors that they may."""
        return self.held >= self.capacity

    @property
    def held(self) -> int:
        """Descriptors that connections and probes hold, those being closed among them."""
        return self.arriving + len(self.connections) + self.health_checks_in_flight

    @property
    def capacity(self) -> int:
        """Descriptors that connections and probes may hold."""
        return max(1, self.addresses.sockets - timing.KEPT_SOCKETS)

    def reserve_room(self) -> None:
        """Close the oldest unidentified connections until those that come in one turn of the loop find room.

        Those whose first bytes may be unread stay, and so does who is identified.
        """
        excess = self.held - len(self.closing) - (self.capacity - timing.accept_reserve(self.capacity))
        ripe_before = asyncio.get_running_loop().time() - timing.SETTLED / 1000.0
        for peer in list(islice(self.unidentified, max(0, excess))):
            if peer.unidentified_since > ripe_before:
                return
            self.close_unidentified(peer, "as no descriptor is left")

    def evict_one(self) -> bool:
        """Close the oldest unidentified connection, or else the longest quiet peer; whether one is being closed.

        Not an unidentified one whose first bytes may be unread.
        """
        now = asyncio.get_running_loop().time()
        if (first := next(iter(self.unidentified), None)) is not None:
            if first.unidentified_since > now - timing.YOUNG / 1000.0:
                return False
            self.close_unidentified(first, "as no descriptor is left")
            return True
        quiet = min(self.connections, key=lambda peer: peer.last_received_at, default=None)
        if quiet is None or quiet.ended or quiet.last_received_at > now - timing.QUIET / 1000.0:
            return False
        quiet.end("as no descriptor is left and it says nothing")
        return True

    async def serve_connection(self, connection: socket.socket) -> None:
        try:
            reader, writer = await asyncio.open_connection(sock=connection, limit=timing.READ_BYTES)
        except OSError as error:
            logger.info("a connection ended before it was attended: {}", error)
            connection.close()
            self.released.set()
            return
        finally:
            self.arriving -= 1
        peer = Connection(
            reader,
            writer,
            self.names,
            self.settings.proxy_count,
            self.post,
            self.on_identified,
            self.limiter,
            self.buffer_budget,
            lambda server: self.endpoints.server_ids.name(server) is not None,
        )
        self.connections[peer] = None
        self.on_identified(peer, False)
        try:
            await peer.run()
        except Exception as error:
            logger.exception("{}: fault {!r}", peer, error)
        finally:
            self.closing.add(peer)
            self.unidentified.pop(peer, None)
            if peer.zone is not None:
                self.collectors[peer.zone].remove(peer)
        await socket_closed(writer)
        self.connections.pop(peer, None)
        self.closing.discard(peer)
        self.released.set()

    def limiter(self, proxy: int) -> RateLimiter:
        """A proxy's limiter: it outlives the proxy's streams, so that a new one starts no new count."""
        if proxy not in self.limiters:
            self.limiters[proxy] = RateLimiter(self.settings.message_cap, self.settings.message_window + timing.JITTER)
        return self.limiters[proxy]

    def on_identified(self, peer: Connection, identified: bool) -> None:
        """Track unidentified peers, and each zone's collectors: over COLLECTORS_MOST the longest quiet is closed."""
        self.unidentified.pop(peer, None)
        if not identified:
            self.unidentified[peer] = None
        elif peer.zone is not None:
            others = [other for other in self.collectors.get(peer.zone, []) if other is not peer]
            self.collectors[peer.zone] = [*others, peer]
            if len(others) >= timing.COLLECTORS_MOST:
                min(others, key=lambda other: other.last_received_at).end("as its zone has newer collectors")

    def close_unidentified(self, peer: Connection, why: str) -> None:
        self.unidentified.pop(peer, None)
        self.closing.add(peer)
        peer.end(why)

    async def sweep(self) -> None:
        """Close connections that are unidentified IDENTIFY ms after they were accepted, whatever they sent."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + timing.SWEEP / 1000.0
            await asyncio.sleep(timing.SWEEP / 1000.0)
            if loop.time() > due + timing.GRACE / 1000.0:  # this process stood still
                await asyncio.sleep(timing.GRACE / 1000.0)
            until = loop.time() - timing.IDENTIFY / 1000.0
            for peer in [peer for peer in self.unidentified if peer.unidentified_since < until]:
                self.close_unidentified(peer, f"as it has not said what it is for {timing.IDENTIFY / 1000.0:g} s")

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        encoded = self.encoder.encode([message for _, message in messages])
        for (line, _), data in zip(messages, encoded, strict=True):
            if isinstance(line, Connection):
                line.send(data)

    def watch_endpoints(self, on: bool) -> None:
        self.discovery.mailbox.put_nowait("watch" if on else "stop")

    def fetch_endpoints(self) -> None:
        self.discovery.mailbox.put_nowait("fetch")

    def start_health_check(self, server: Server, asked: HealthCheckTarget) -> None:
        async def ask() -> None:
            call = probe_call(asked.address, self.names)
            try:
                self.post(HealthCheckCompleted(asked, await probe(server, call, self.names, self.clock)))
            finally:
                await call.closed()
                self.health_checks_in_flight -= 1
                self.released.set()

        if self.full():  # connections that come need the descriptors
            return
        if asked.address:
            self.health_checks_in_flight += 1  # from now on: many may be asked for in one turn
            self.start_task(ask())
        else:  # no list has told where it is
            self.post(
                HealthCheckCompleted(asked, face.HealthCheckResult(server, face.HealthCheckOutcome.UNREACHABLE, 0.0))
            )

    def send_gossip(self, payload: bytes, peer: int | None) -> None:
        self.datagrams.send(payload, peer)
