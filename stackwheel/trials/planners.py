"""A simulated planner: the shipped service, from configuration to accept to write, on the virtual loop."""

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
from stackwheel.trials.planner_config import CONNECTION_LIMIT, EPOCH_S, LISTEN_PORT, planner_document, planner_host
from stackwheel.wire.connection import Connection

MAX_MAILBOX = 20_000  # messages
MAX_TIMERS = 256
MAX_LIST_CALLS = 16  # calls for the endpoint list at once
MAX_PENDING_NONCES = 64  # of one stream


class PlannerEnvironment(Protocol):
    """What a planner's machine needs of the rest of a simulation."""

    def discovery_addresses(self, planner: int) -> str:
        """Where a planner is configured to call for the endpoint list."""

    def known_list(self) -> dict[str, object]:
        """The endpoint list as it is now, as a document."""

    def transports_of(self, planner: PlannerHost, context: PlannerContext) -> list[ProxyTransport]:
        """The planner's transports beside its sockets."""

    def planner_started(self, planner: PlannerHost) -> None:
        """A planner is ready to serve."""

    def planner_stopped(self, planner: PlannerHost) -> None:
        """A planner's process is about to end."""


@dataclass(frozen=True, slots=True)
class BelievedState:
    """What a planner believes a proxy to hold.

    Attributes:
        lines: By class: weights by server.
        levels: By class: the admission level.
        ejected: By server: whether it is ejected there.
    """

    lines: Mapping[int, Mapping[str, float]]
    levels: Mapping[int, AdmissionLevel | None]
    ejected: Mapping[str, bool]


class PlannerHost:
    """The machine a planner runs on: start, kill, reload, and what can be seen of it from outside.

    Attributes:
        service: The running service; None after a kill.
        publisher: What writes files, where there are files.
        incarnation: How often a process was started.
        discovery: The addresses of discovery, as configured.
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
        """Whether a process lives."""
        return self.machine.alive and self.service is not None

    def document(self) -> dict[str, Any]:
        """The deploy file as it is now."""
        return planner_document(
            self.context.shape,
            self.context.zones,
            self.number,
            self.context.script.seed,
            self.incarnation,
            self.discovery,
            self.environment.known_list(),
        )

    def load_config(self) -> Config:
        """Read the configuration, as the service does at its start and at SIGHUP."""
        return read_config(self.document())

    def start(self) -> None:
        """Start a process: it knows the list as it is now and nothing else."""
        context = self.context
        self.machine = context.successor(self.machine, self.host)
        self.incarnation += 1
        self.discovery = self.environment.discovery_addresses(self.number)
        config = self.load_config()
        loop = context.loop
        environment = ProcessEnvironment(
            transports=self.make_transports,
            wall_clock=lambda: EPOCH_S + loop.now,
            monotonic_clock=lambda: loop.now,
            load_config=self.load_config,
            open_listener=self.listen_at,
            unblock_signals=self.ready,
        )
        with loop.running_as(self.machine):
            self.service = Service(config, environment)
        loop.start_process(self.machine, self.service.run())

    def make_transports(self, context: PlannerContext) -> list[ProxyTransport]:
        """The transports beside the sockets."""
        return self.environment.transports_of(self, context)

    def listen_at(self, _address: str) -> socket.socket:
        """Listen on the simulated network."""
        return cast(socket.socket, self.context.network.listen(self.machine, self.address))

    def ready(self) -> None:
        """The service has begun to listen."""
        self.environment.planner_started(self)

    def kill(self, resets_connections: bool = True) -> None:
        """End the process; without resets its machine vanishes."""
        if not self.machine.alive:
            return
        self.environment.planner_stopped(self)
        self.context.network.kill(self.machine, resets_connections)
        self.service = None

    def reload(self) -> None:
        """Let the configuration name where discovery is now, and send SIGHUP."""
        self.discovery = self.environment.discovery_addresses(self.number)
        self.context.loop.deliver_signal(self.machine, signal.SIGHUP)

    # What can be seen.

    def stream_of(self, proxy: int) -> ProxyStream | None:
        """The planner's stream of a proxy."""
        assert self.service is not None
        return self.service.planner.streams.by_proxy.get(proxy)

    def believed_state(self, proxy: int) -> BelievedState | None:
        """What it believes a proxy to hold; None without a stream."""
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
        return BelievedState(lines, levels, ejected)

    def last_pending_nonce(self, proxy: int) -> int | None:
        """The newest nonce that it has sent a proxy and got no answer to."""
        stream = self.stream_of(proxy)
        return next(reversed(stream.pending_nonces), None) if stream is not None else None

    def unsent_bytes(self, proxy: int) -> int:
        """Bytes for a proxy that still wait in the planner."""
        stream = self.stream_of(proxy)
        return stream.connection.unsent_bytes if stream is not None and isinstance(stream.connection, Connection) else 0

    def bounded_sizes(self) -> Iterator[BoundedCount]:
        """What it keeps for others; the names appear in verdicts."""
        assert self.service is not None
        shape = self.context.shape
        transport = self.service.transport
        planner = self.service.planner
        endpoints = self.service.endpoints
        budget = transport.buffer_budget
        table = transport.connection_table
        connections = table.connections
        yield BoundedCount("streams", len(planner.streams.by_proxy) + len(planner.streams.timed_out), shape.proxies)
        yield BoundedCount("limiters", len(transport.limiters), shape.proxies)
        yield BoundedCount("bytes that wait", budget.total_bytes, budget.max_bytes)
        yield BoundedCount(
            "bytes that wait, beside their sum", abs(budget.total_bytes - sum(budget.bytes_by_connection.values())), 0
        )
        yield BoundedCount(
            "peers that hold bytes, not attended",
            sum(peer not in connections for peer in budget.bytes_by_connection),
            0,
        )
        yield BoundedCount("unidentified not attended", sum(peer not in connections for peer in table.unidentified), 0)
        yield BoundedCount("connections", len(connections) + table.arriving, CONNECTION_LIMIT)
        yield BoundedCount("tasks", len(transport.supervisor.tasks), 8 + 2 * len(connections) + 4 * shape.servers)
        yield BoundedCount("calls for the list", len(transport.discovery.fetch_tasks), MAX_LIST_CALLS)
        yield BoundedCount("gone servers", len(endpoints.removed), 64 + 3 * len(endpoints.entries) + 8)
        yield BoundedCount(
            "names", len(endpoints.server_ids.names), len(endpoints.entries) + len(endpoints.removed) + 8
        )
        yield BoundedCount("mailbox", len(planner.mailbox), MAX_MAILBOX)
        yield BoundedCount("timers", len(planner.timers), MAX_TIMERS)
        for stream in planner.streams.by_proxy.values():
            yield BoundedCount(f"marks of proxy {stream.proxy}", len(stream.pending_nonces), MAX_PENDING_NONCES)
