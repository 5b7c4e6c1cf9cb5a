"""Simulated planners: the unmodified service on the virtual loop and network."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, cast

from stackwheel.files.publisher import FilePublisher
from stackwheel.interface import AdmissionLevel
from stackwheel.rules.invariants import BoundedCount
from stackwheel.service.app import ProcessEnvironment, Service
from stackwheel.service.config import Config, read_config
from stackwheel.service.ports import PlannerContext, ProxyTransport
from stackwheel.state.streams import ProxyStream
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.loop import Address, Machine
from stackwheel.trials.planner_config import (
    LISTEN_PORT,
    MAX_CONNECTIONS,
    START_UNIX_TIME_S,
    planner_document,
    planner_host,
)
from stackwheel.wire.connection import Connection

MAX_MAILBOX_MESSAGES = 20_000
MAX_TIMERS = 256
MAX_LIST_FETCHES = 16  # concurrent fetches of the endpoint list
MAX_PENDING_NONCES_PER_STREAM = 64


class PlannerEnvironment(Protocol):
    """The part of the simulation that planners use."""

    def discovery_addresses(self, planner: int) -> str:
        """Return the configured addresses at which a planner fetches the endpoint list."""

    def current_list(self) -> dict[str, object]:
        """Return the current endpoint list as a document."""

    def create_transports(self, planner: PlannerHost, context: PlannerContext) -> list[ProxyTransport]:
        """Create the transports of a planner in addition to its sockets."""

    def planner_started(self, planner: PlannerHost) -> None:
        """Register that a planner has started to listen."""

    def planner_stopped(self, planner: PlannerHost) -> None:
        """Register that the process of a planner is about to end."""


@dataclass(frozen=True, slots=True)
class AssumedProxyState:
    """The state that a planner assumes a proxy to have.

    Attributes:
        lines: By class index: weights by server name.
        levels: By class index: the admission level, or None.
        ejected: By server name: whether the server is ejected.
    """

    lines: Mapping[int, Mapping[str, float]]
    levels: Mapping[int, AdmissionLevel | None]
    ejected: Mapping[str, bool]


class PlannerHost:
    """The machine of a planner; it starts, kills and reloads the service and inspects its state.

    Attributes:
        service: The running service; None before the first start and after a kill.
        publisher: The publisher of files; None in trials without files.
        incarnation: Number of processes started so far.
        discovery: The configured addresses of the endpoint list.
    """

    def __init__(self, context: SimulationContext, environment: PlannerEnvironment, number: int) -> None:
        self.context = context
        self.environment = environment
        self.number = number
        self.host = planner_host(number)
        self.address: Address = (self.host, LISTEN_PORT)
        self.machine = Machine(f"planner-{number}")
        self.service: Service | None = None
        self.publisher: FilePublisher | None = None
        self.incarnation = 0
        self.discovery = environment.discovery_addresses(number)

    @property
    def running(self) -> bool:
        """Whether the process of the planner is running."""
        return self.machine.alive and self.service is not None

    def document(self) -> dict[str, Any]:
        """Return the current deploy file."""
        return planner_document(
            self.context.shape,
            self.context.zones,
            self.number,
            self.context.script.seed,
            self.incarnation,
            self.discovery,
            self.environment.current_list(),
        )

    def load_config(self) -> Config:
        """Read the configuration from the current deploy file."""
        return read_config(self.document())

    def start(self) -> None:
        """Start a process; its only initial knowledge is its configuration with the current endpoint list."""
        context = self.context
        self.machine = context.start_machine(self.machine, self.host)
        self.incarnation += 1
        self.discovery = self.environment.discovery_addresses(self.number)
        config = self.load_config()
        loop = context.loop
        environment = ProcessEnvironment(
            transports=self.additional_transports,
            wall_clock=lambda: START_UNIX_TIME_S + loop.now,
            monotonic_clock=lambda: loop.now,
            load_config=self.load_config,
            open_listener=self.open_listener,
            unblock_signals=self.listening_started,
        )
        with loop.running_as(self.machine):
            self.service = Service(config, environment)
        loop.start_process(self.machine, self.service.run())

    def additional_transports(self, context: PlannerContext) -> list[ProxyTransport]:
        """Create the transports of this planner in addition to its sockets."""
        return self.environment.create_transports(self, context)

    def open_listener(self, _address: str) -> socket.socket:
        """Open a listener on the simulated network at this planner's address."""
        return cast(socket.socket, self.context.network.listen(self.machine, self.address))

    def listening_started(self) -> None:
        """Notify the simulation that the service has started to listen."""
        self.environment.planner_started(self)

    def kill(self, resets_connections: bool = True) -> None:
        """End the process; without resets, its peers are not notified."""
        if not self.machine.alive:
            return
        self.environment.planner_stopped(self)
        self.context.network.kill(self.machine, resets_connections)
        self.service = None

    def reload(self) -> None:
        """Configure the current addresses of the endpoint list and send SIGHUP to the service."""
        self.discovery = self.environment.discovery_addresses(self.number)
        self.context.loop.deliver_signal(self.machine, signal.SIGHUP)

    # Inspection of the service's state.

    def stream_of(self, proxy: int) -> ProxyStream | None:
        """Return the stream of a proxy to this planner; None without a stream."""
        assert self.service is not None
        return self.service.planner.streams.by_proxy.get(proxy)

    def assumed_state(self, proxy: int) -> AssumedProxyState | None:
        """Return the state that the planner assumes a proxy to have; None without a stream."""
        assert self.service is not None
        tables = self.service.planner.updates
        name_of = self.service.endpoints.server_ids.name
        stream = self.stream_of(proxy)
        if stream is None:
            return None
        lines: dict[int, dict[str, float]] = {}
        levels: dict[int, AdmissionLevel | None] = {}
        for class_index, table in stream.table_by_class.items():
            weights = tables.tables.get(table, {})
            lines[class_index] = {
                name: weight for server, weight in weights.items() if (name := name_of(server)) is not None
            }
            levels[class_index] = tables.admission_level(class_index, table)
        ejected = {
            name: is_ejected for server, is_ejected in stream.ejected.items() if (name := name_of(server)) is not None
        }
        return AssumedProxyState(lines, levels, ejected)

    def last_pending_nonce(self, proxy: int) -> int | None:
        """Return the newest nonce sent to a proxy and not acknowledged yet; None if there is none."""
        stream = self.stream_of(proxy)
        return next(reversed(stream.pending_nonces), None) if stream is not None else None

    def unsent_bytes(self, proxy: int) -> int:
        """Return the number of bytes for a proxy that the planner has not written yet."""
        stream = self.stream_of(proxy)
        return stream.connection.unsent_bytes if stream is not None and isinstance(stream.connection, Connection) else 0

    def bounded_sizes(self) -> Iterator[BoundedCount]:
        """Iterate over the sizes of the planner's collections, with their maximum sizes and names for violations."""
        assert self.service is not None
        shape = self.context.shape
        transport = self.service.transport
        planner = self.service.planner
        endpoints = self.service.endpoints
        budget = transport.buffer_budget
        table = transport.connection_table
        connections = table.connections
        yield BoundedCount("streams", len(planner.streams.by_proxy) + len(planner.streams.timed_out), shape.proxies)
        yield BoundedCount("rate limiters", len(transport.limiters), shape.proxies)
        yield BoundedCount("buffered bytes", budget.total_bytes, budget.limit_bytes())
        yield BoundedCount(
            "difference of buffered bytes from their sum over connections",
            abs(budget.total_bytes - sum(budget.bytes_by_connection.values())),
            0,
        )
        yield BoundedCount(
            "peers with buffered bytes and no connection",
            sum(peer not in connections for peer in budget.bytes_by_connection),
            0,
        )
        yield BoundedCount(
            "unidentified peers without a connection", sum(peer not in connections for peer in table.unidentified), 0
        )
        yield BoundedCount("connections", len(connections) + table.arriving, MAX_CONNECTIONS)
        yield BoundedCount("tasks", len(transport.supervisor.tasks), 8 + 2 * len(connections) + 4 * shape.servers)
        yield BoundedCount("fetches of the endpoint list", len(transport.discovery.fetch_tasks), MAX_LIST_FETCHES)
        yield BoundedCount("removed servers", len(endpoints.removed), 64 + 3 * len(endpoints.entries) + 8)
        yield BoundedCount(
            "server names", len(endpoints.server_ids.names), len(endpoints.entries) + len(endpoints.removed) + 8
        )
        yield BoundedCount("mailbox messages", len(planner.mailbox), MAX_MAILBOX_MESSAGES)
        yield BoundedCount("timers", len(planner.timers), MAX_TIMERS)
        for stream in planner.streams.by_proxy.values():
            yield BoundedCount(
                f"pending nonces of proxy {stream.proxy}", len(stream.pending_nonces), MAX_PENDING_NONCES_PER_STREAM
            )
