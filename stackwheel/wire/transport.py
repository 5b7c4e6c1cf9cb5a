"""The network side of a planner: listener and connections, discovery client, health checks and gossip datagrams."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from loguru import logger

from stackwheel.interface import ServerId, Settings
from stackwheel.settings import ConfiguredNames
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import HealthCheckTarget, PlannerMessage
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate
from stackwheel.wire import timing
from stackwheel.wire.connection import Connection, ConnectionContext
from stackwheel.wire.connection_limits import BufferBudget, RateLimiter
from stackwheel.wire.connection_table import ConnectionTable
from stackwheel.wire.datagrams import GossipProtocol
from stackwheel.wire.discovery_client import ChangeAddress, Command, DiscoveryClient, DiscoveryOptions
from stackwheel.wire.health_check_runner import HealthCheckRunner
from stackwheel.wire.http import socket_closed, split_address
from stackwheel.wire.line_codec import Encoder
from stackwheel.wire.task_supervisor import TaskSupervisor


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where the planner listens and whom it calls, and its limits on descriptors and memory.

    All addresses are "host:port".

    Attributes:
        listen: where proxies and collectors connect.
        discovery: the discovery service; several replicas of one service have commas between them.
        peer_listen: where this planner receives gossip; empty if it does not.
        peers: the gossip addresses of all planners, by planner index; this one's own among them.
        peers_all: the address that reaches all planners; empty if there is none.
        sockets: descriptors that the process may hold.
        memory_mb: memory that the process may use, in MB.
    """

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
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, timing.RECEIVE_BUFFER_BYTES)
    listener.setblocking(False)
    return listener


class SocketTransport:
    """The planner's ports on sockets.

    Attributes:
        connection_table: all accepted connections.
        limiters: of proxies, whatever connection they have.
        buffer_budget: the common limit on bytes that connections buffer.
        supervisor: all background tasks.
        post: puts an item into the planner actor's mailbox.
    """

    def __init__(
        self,
        addresses: Addresses,
        settings: Settings,
        names: ConfiguredNames,
        endpoints: EndpointCache,
        clock: Clock,
        listen_at: Callable[[str], socket.socket] = open_listener,
        seed: int = 0,
    ) -> None:
        """Put the parts together; nothing is opened before `open`."""
        self.addresses = addresses
        self.settings = settings
        self.names = names
        self.endpoints = endpoints
        self.listen_at = listen_at
        self.post: Callable[[PlannerMessage], None] = discard
        self.encoder = Encoder(names, endpoints.server_ids)
        self.discovery = self._discovery_client(Random(seed))
        self.datagrams = GossipProtocol(addresses.peers, addresses.peers_all, settings.planner_index, self._post_item)
        self.supervisor = TaskSupervisor()
        self.connection_table = ConnectionTable(addresses.sockets)
        self.health_checks = HealthCheckRunner(names, clock, self.connection_table, self.supervisor, self._post_item)
        self.limiters: dict[int, RateLimiter] = {}
        self.buffer_budget = BufferBudget(timing.buffer_limit_bytes(addresses.memory_mb))
        self.connection_context = ConnectionContext(
            names=names,
            proxy_count=settings.proxy_count,
            post=self._post_item,
            on_identified=self.connection_table.on_identified,
            limiter=self.limiter,
            buffer_budget=self.buffer_budget,
            is_listed=self.is_listed,
        )

    def _post_item(self, item: PlannerMessage) -> None:
        self.post(item)

    def _discovery_client(self, random: Random) -> DiscoveryClient:
        settings = self.settings
        return DiscoveryClient(
            self.addresses.discovery,
            self.endpoints.generation,
            self._post_item,
            random,
            DiscoveryOptions(
                # the setting's negation: unless the policy has to ask for the list, it is watched from the start
                always_watch=not settings.endpoint_list_on_request,
                poll_deadline_ms=settings.list_poll_deadline,
                renewal_interval_ms=timing.watch_renewal_interval(settings.planner_count),
            ),
        )

    async def open(self, post: Callable[[PlannerMessage], None]) -> None:
        """Start everything, the listener last; `post` gets what arrives. OSError if an address can't be bound."""
        self.post = post
        loop = asyncio.get_running_loop()
        if self.settings.gossip_enabled and self.addresses.peer_listen:
            await loop.create_datagram_endpoint(
                lambda: self.datagrams, local_addr=split_address(self.addresses.peer_listen)
            )
        listener = self.listen_at(self.addresses.listen)
        self.supervisor.supervise("discovery client", self.discovery.run)
        self.supervisor.supervise("listener", lambda: self.listen(listener))
        self.supervisor.supervise("sweep", self.connection_table.sweep)

    def update_addresses(self, addresses: Addresses) -> None:
        """Apply a reloaded configuration; connections that are open stay."""
        self.addresses = addresses
        self.connection_table.max_descriptors = addresses.sockets
        self.buffer_budget.max_bytes = timing.buffer_limit_bytes(addresses.memory_mb)
        self.datagrams.update_peers(addresses.peers, addresses.peers_all)
        self.discovery.send(ChangeAddress(addresses.discovery))

    async def listen(self, listener: socket.socket) -> None:
        """Accept all pending connections in one go, so that proxies that come together join in one batch.

        Not asyncio's own server: short of descriptors it retries and logs without a pause.
        """
        loop = asyncio.get_running_loop()
        while True:
            while self.connection_table.arriving >= timing.MAX_CONCURRENT_ACCEPTS:
                await asyncio.sleep(0)
            await self.connection_table.wait_for_capacity()
            try:
                accepted, _ = await loop.sock_accept(listener)
            except OSError as error:
                logger.warning("connection not accepted: reason={}", error)
                self.connection_table.evict_one()
                await asyncio.sleep(timing.ACCEPT_RETRY_MS / 1000.0)
                continue
            self.connection_table.arriving += 1
            self.supervisor.start(self.serve_connection(accepted))
            self.connection_table.reserve_capacity()

    async def serve_connection(self, accepted: socket.socket) -> None:
        """Attend an accepted connection until its socket is closed."""
        try:
            reader, writer = await asyncio.open_connection(sock=accepted, limit=timing.READ_BYTES)
        except OSError as error:
            logger.info("connection lost before it was set up: reason={}", error)
            accepted.close()
            self.connection_table.released.set()
            return
        finally:
            self.connection_table.arriving -= 1
        connection = Connection(reader, writer, self.connection_context)
        self.connection_table.add(connection)
        try:
            await connection.run()
        except Exception as error:
            logger.exception("connection failed unexpectedly: connection={} reason={!r}", connection, error)
        finally:
            self.connection_table.on_ended(connection)
        await socket_closed(writer)
        self.connection_table.remove(connection)

    def is_listed(self, server: ServerId) -> bool:
        """Whether an endpoint list has named the server."""
        return self.endpoints.server_ids.name(server) is not None

    def limiter(self, proxy: int) -> RateLimiter:
        """A proxy's limiter: it outlives the proxy's streams, so that a new one does not start a new count."""
        if proxy not in self.limiters:
            self.limiters[proxy] = RateLimiter(
                self.settings.message_cap, self.settings.message_window + timing.BATCH_JITTER_MS
            )
        return self.limiters[proxy]

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Queue updates at those streams that run over sockets."""
        encoded = self.encoder.encode([update for _, update in messages])
        for (stream_connection, _), data in zip(messages, encoded, strict=True):
            if isinstance(stream_connection, Connection):
                stream_connection.send(data)

    def watch_endpoints(self, on: bool) -> None:
        """Open a watch of the endpoint list, or end it."""
        self.discovery.send(Command.WATCH if on else Command.STOP)

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list once."""
        self.discovery.send(Command.FETCH)

    def start_health_check(self, server: ServerId, target: HealthCheckTarget) -> None:
        """Check a server; dropped where no descriptor is free."""
        self.health_checks.start(server, target)

    def send_gossip(self, payload: bytes, peer: int | None) -> None:
        """Send a datagram to one planner, or to all of them."""
        self.datagrams.send(payload, peer)


def discard(_item: PlannerMessage) -> None:
    """Stands in for the planner's mailbox until the transport is opened."""
