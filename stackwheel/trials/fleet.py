"""The servers of a simulation: their incarnations and their records in the endpoint list."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

from stackwheel.interface import Availability
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.discovery import Discovery
from stackwheel.trials.discovery_records import ServerRecord
from stackwheel.trials.planner_config import START_UNIX_TIME_S
from stackwheel.trials.servers import Server
from stackwheel.trials.shape import zone_of

LIST_CHANGE_DELAY_RANGE_S = (0.2, 1.0)  # the endpoint list changes later than the server
REPLACEMENT_DRAIN_DURATION_S = 3.0
SERVERS_PER_SUBNET = 250


class ServerFleet:
    """All current and former servers.

    Attributes:
        servers: All servers by name, former ones included.
        current_servers: By slot: the server that currently occupies it.
        created: Number of servers created so far.
        warming_up: By name: the servers in their slow start.
        listed_names: Names of all servers that were ever listed.
        cell_records: Returns the records of the planners' servers in the endpoint list, by name.
        on_list_changed: Called with the records that have just been changed in the endpoint list.
    """

    def __init__(
        self,
        context: SimulationContext,
        discovery: Discovery,
        cell_records: Callable[[], Mapping[str, ServerRecord]],
        on_list_changed: Callable[[Sequence[ServerRecord]], None],
    ) -> None:
        self.context = context
        self.discovery = discovery
        self.cell_records = cell_records
        self.on_list_changed = on_list_changed
        shape = context.shape
        self.servers: dict[str, Server] = {}
        for number in range(shape.servers):
            server = Server(f"s-{number}", number, zone_of(number, shape), shape)
            self.servers[server.name] = server
        self.current_servers = list(self.servers.values())
        self.created = shape.servers
        self.warming_up: dict[str, Server] = {}
        self.listed_names: dict[str, None] = {}
        records = {server.name: self.record_of(server) for server in self.servers.values()}
        discovery.records.update(records)
        self.listed_names.update(dict.fromkeys(records))

    # The endpoint list.

    @staticmethod
    def record_of(server: Server) -> ServerRecord:
        """Return the current record of a server."""
        started_at = 0.0 if server.started_at is None else (START_UNIX_TIME_S + server.started_at) * 1000.0
        subnet, host = divmod(server.number, SERVERS_PER_SUBNET)
        return ServerRecord(
            server.name,
            f"10.9.{subnet}.{host + 1}:80",
            server.zone,
            server.kind,
            server.availability,
            started_at,
            server.warm_at(),
        )

    def schedule_list_change(self, *servers: Server) -> None:
        """Schedule a change of the endpoint list to the current records of some servers."""
        records = tuple(self.record_of(server) for server in servers)
        self.listed_names.update(dict.fromkeys(record.name for record in records))
        self.context.schedule_after(self.context.random.uniform(*LIST_CHANGE_DELAY_RANGE_S), self.change_list, records)

    def change_list(self, records: tuple[ServerRecord, ...]) -> None:
        """Change the endpoint list, ignoring removals of servers that are not listed."""
        changed = [
            record
            for record in records
            if record.availability is not Availability.REMOVED or record.name in self.discovery.records
        ]
        if changed:
            self.discovery.change(changed)
            self.on_list_changed(changed)

    def standing_table(self, zone: int, generator: random.Random) -> Sequence[str]:
        """Draw the standing table of a proxy from the ready servers of its zone, or of all zones if it has none."""
        ready = [record.name for record in self.cell_records().values() if record.availability is Availability.READY]
        candidates = [name for name in ready if self.servers[name].zone == zone] or ready
        size = min(len(candidates), self.context.shape.standing_table_size)
        return generator.sample(candidates, size)

    # Incarnations of servers.

    def start(self, server: Server) -> None:
        """Start a new incarnation of a server, which begins with a slow start."""
        server.start(self.context.loop.now)
        self.warming_up[server.name] = server
        self.schedule_list_change(server)

    def crash(self, server: Server, restart_after: float) -> None:
        """Stop a server at once and restart it after `restart_after` s; 0 means no restart."""
        server.stop()
        server.availability = Availability.REMOVED
        self.schedule_list_change(server)
        if restart_after:
            self.context.schedule_after(restart_after, self.restart, server, server.incarnation)

    def restart(self, server: Server, incarnation: int) -> None:
        """Start a crashed server, unless it has been started or replaced in the meantime."""
        if server.incarnation == incarnation and self.current_servers[server.slot] is server:
            self.start(server)

    def drain(self, server: Server, removed_after: float, restart_after: float) -> None:
        """Drain a running server and stop it after `removed_after` s."""
        if not server.alive:
            return
        server.availability = Availability.DRAINING
        self.schedule_list_change(server)
        self.context.schedule_after(removed_after, self.stop_drained, server, server.incarnation, restart_after)

    def stop_drained(self, server: Server, incarnation: int, restart_after: float) -> None:
        """Stop a drained server if its incarnation is still the same."""
        if server.alive and server.incarnation == incarnation:
            self.crash(server, restart_after)

    def replace(self, slot: int) -> None:
        """Drain and stop the server of a slot without a restart, and start a new server in the same slot."""
        replaced = self.current_servers[slot]
        self.drain(replaced, REPLACEMENT_DRAIN_DURATION_S, 0.0)
        server = Server(f"s-{self.created}", self.created, replaced.zone, self.context.shape)
        server.slot = slot
        self.created += 1
        self.servers[server.name] = server
        self.current_servers[slot] = server
        self.start(server)

    # Load columns of servers.

    def in_flight(self, name: str) -> int | None:
        """Return the number of requests in flight at a server; None if servers do not report it."""
        server = self.servers.get(name)
        if server is None or not self.context.shape.load_columns_enabled:
            return None
        return server.in_flight(self.context.loop.now)
