"""The sockets of a planner: listener and connections, discovery client, health checks and gossip datagrams."""

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
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.discovery_commands import ChangeAddress, Command, DiscoveryOptions
from stackwheel.wire.health_check_runner import HealthCheckRunner
from stackwheel.wire.http import socket_closed, split_address
from stackwheel.wire.line_codec import Encoder
from stackwheel.wire.read_turns import ReadTurns
from stackwheel.wire.task_supervisor import TaskSupervisor


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses of a planner and of its remote services, each "host:port", and its limits on descriptors and memory.

    Attributes:
        listen: listening address for proxies and collectors.
        discovery: address of the discovery service; comma-separated addresses if it has several replicas.
        peer_listen: local address for gossip; empty if this planner does not receive gossip.
        peers: gossip addresses of all planners by planner index, including this planner.
        peers_all: gossip address that reaches all planners; empty if there is none.
        sockets: maximum number of file descriptors of the process.
        memory_mb: maximum memory of the process, in MB.
    """

    listen: str
    discovery: str
    peer_listen: str
    peers: tuple[str, ...]
    peers_all: str
    sockets: int
    memory_mb: float


def open_listener(address: str) -> socket.socket:
    """Open a non-blocking listening socket; raises OSError if the address cannot be bound."""
    listener = socket.create_server(split_address(address), backlog=timing.LISTEN_BACKLOG)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, timing.RECEIVE_BUFFER_BYTES)
    listener.setblocking(False)
    return listener


class SocketTransport:
    """The planner actor's access to the network, implemented with sockets.

    Attributes:
        connection_table: all accepted connections.
        limiters: rate limiters by proxy number, each shared by the successive connections of a proxy.
        buffer_budget: limit on the bytes that all connections buffer.
        supervisor: all background tasks.
        post: puts a message into the planner actor's mailbox.
    """

    def __init__(
        self,
        addresses: Addresses,
        settings: Settings,
        names: ConfiguredNames,
        endpoints: EndpointCache,
        clock: Clock,
        open_listener: Callable[[str], socket.socket] = open_listener,
        seed: int = 0,
    ) -> None:
        """Create the transport without opening any socket; see `open`."""
        self.addresses = addresses
        self.settings = settings
        self.names = names
        self.endpoints = endpoints
        self.open_listener = open_listener
        self.post: Callable[[PlannerMessage], None] = discard
        self.encoder = Encoder(names, endpoints.server_ids)
        self.discovery = self._discovery_client(Random(seed))
        self.datagrams = GossipProtocol(addresses.peers, addresses.peers_all, settings.planner_index, self._post_item)
        self.supervisor = TaskSupervisor()
        self.connection_table = ConnectionTable(addresses.sockets)
        self.health_checks = HealthCheckRunner(names, clock, self.connection_table, self.supervisor, self._post_item)
        self.limiters: dict[int, RateLimiter] = {}
        self.buffer_budget = BufferBudget(self.buffer_limit_bytes)
        self.connection_context = ConnectionContext(
            names=names,
            proxy_count=settings.proxy_count,
            post=self._post_item,
            on_identified=self.connection_table.on_identified,
            limiter=self.limiter,
            buffer_budget=self.buffer_budget,
            is_listed=self.is_listed,
            turns=ReadTurns(),
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
                # The client watches the endpoint list from the start unless the policy has to request it.
                always_watch=not settings.endpoint_list_on_request,
                poll_deadline_ms=settings.list_poll_deadline,
                renewal_interval_ms=timing.watch_renewal_interval(settings.planner_count),
            ),
        )

    async def open(self, post: Callable[[PlannerMessage], None]) -> None:
        """Open the sockets and start the background tasks.

        Args:
            post: called with each message for the planner actor; never blocks.

        Raises:
            OSError: an address cannot be bound.
        """
        self.post = post
        loop = asyncio.get_running_loop()
        if self.settings.gossip_enabled and self.addresses.peer_listen:
            await loop.create_datagram_endpoint(
                lambda: self.datagrams, local_addr=split_address(self.addresses.peer_listen)
            )
        listener = self.open_listener(self.addresses.listen)
        self.supervisor.supervise("discovery client", self.discovery.run)
        self.supervisor.supervise("listener", lambda: self.listen(listener))
        self.supervisor.supervise("sweep", self.connection_table.sweep)

    def update_addresses(self, addresses: Addresses) -> None:
        """Apply the addresses and limits of a reloaded configuration; open connections are not closed."""
        self.addresses = addresses
        self.connection_table.max_descriptors = addresses.sockets
        self.datagrams.update_peers(addresses.peers, addresses.peers_all)
        self.discovery.send(ChangeAddress(addresses.discovery))

    async def listen(self, listener: socket.socket) -> None:
        """Accept all pending connections without a pause, so that proxies that connect together join in one batch.

        asyncio's own server is not used because it retries and logs without a delay when no descriptor is free.
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
        """Set up and run an accepted connection until its socket is closed."""
        try:
            reader, writer = await asyncio.open_connection(sock=accepted, limit=timing.ACCEPTED_READ_BYTES)
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

    def buffer_limit_bytes(self) -> int:
        """Return the limit on buffered data, which leaves memory for all connections and for proxies still to join."""
        connections = max(len(self.connection_table.connections), self.settings.proxy_count)
        return timing.buffer_limit_bytes(self.addresses.memory_mb, connections)

    def is_listed(self, server: ServerId) -> bool:
        """Return whether any endpoint list so far contained the server."""
        return self.endpoints.server_ids.name(server) is not None

    def limiter(self, proxy: int) -> RateLimiter:
        """Return the rate limiter of a proxy, which counts the messages of all its successive streams together."""
        if proxy not in self.limiters:
            self.limiters[proxy] = RateLimiter(
                self.settings.message_cap, self.settings.message_window + timing.BATCH_JITTER_MS
            )
        return self.limiters[proxy]

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Queue updates on the connections of this transport; updates for other connections are ignored."""
        encoded = self.encoder.encode([update for _, update in messages])
        for (stream_connection, _), data in zip(messages, encoded, strict=True):
            if isinstance(stream_connection, Connection):
                stream_connection.send(data)

    def watch_endpoints(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""
        self.discovery.send(Command.WATCH if on else Command.STOP)

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list once."""
        self.discovery.send(Command.FETCH)

    def start_health_check(self, server: ServerId, target: HealthCheckTarget) -> None:
        """Start a health check of a server; does nothing if no descriptor is free."""
        self.health_checks.start(server, target)

    def send_gossip(self, payload: bytes, peer: int | None) -> None:
        """Send a datagram to the planner with index `peer`, or to all planners if `peer` is None."""
        self.datagrams.send(payload, peer)


def discard(_item: PlannerMessage) -> None:
    """Ignore a message; used as `post` until the transport is opened."""
