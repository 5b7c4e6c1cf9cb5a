"""The servers of a simulation: their incarnations, and how discovery comes to list them."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

from stackwheel.interface import Availability
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.discovery import Discovery
from stackwheel.trials.discovery_records import ServerRecord
from stackwheel.trials.planner_config import EPOCH_S
from stackwheel.trials.servers import Server
from stackwheel.trials.shape import zone_of

LIST_CHANGE_DELAY_S = (0.2, 1.0)  # until discovery knows of a change
REPLACEMENT_DRAIN_S = 3.0  # from the drain of a replaced server to its end
SERVERS_PER_SUBNET = 250


class ServerFleet:
    """All servers that there are or were.

    Attributes:
        servers: By name, former ones included.
        current_servers: By slot: the server that runs there now.
        warming_up: By name: servers whose slow start is not over.
        listed_names: Names that discovery has ever listed.
        cell_records: What discovery lists of the planners' servers.
        on_list_changed: Called with what discovery has just listed.
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

    # Listing.

    @staticmethod
    def record_of(server: Server) -> ServerRecord:
        """A server as discovery would list it now."""
        started_at = 0.0 if server.started_at is None else (EPOCH_S + server.started_at) * 1000.0
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
        """Let discovery learn of changes, a moment late."""
        records = tuple(self.record_of(server) for server in servers)
        self.listed_names.update(dict.fromkeys(record.name for record in records))
        self.context.schedule_after(self.context.random.uniform(*LIST_CHANGE_DELAY_S), self.change_list, records)

    def change_list(self, records: tuple[ServerRecord, ...]) -> None:
        """Discovery has learnt of changes."""
        known = [
            record
            for record in records
            if record.availability is not Availability.REMOVED or record.name in self.discovery.records
        ]
        if known:
            self.discovery.change(known)
            self.on_list_changed(known)

    def standing_table(self, zone: int, generator: random.Random) -> Sequence[str]:
        """Draw the table that a proxy of a zone starts with: ready servers of the zone, of all where it has none."""
        ready = [record.name for record in self.cell_records().values() if record.availability is Availability.READY]
        candidates = [name for name in ready if self.servers[name].zone == zone] or ready
        size = min(len(candidates), self.context.shape.standing_table_size)
        return generator.sample(candidates, size)

    # Incarnations.

    def start(self, server: Server) -> None:
        """Start a server anew, cold."""
        server.start(self.context.loop.now)
        self.warming_up[server.name] = server
        self.schedule_list_change(server)

    def crash(self, server: Server, restart_after: float) -> None:
        """End a server at once; it starts again after `restart_after` s unless that is 0."""
        server.stop()
        server.availability = Availability.REMOVED
        self.schedule_list_change(server)
        if restart_after:
            self.context.schedule_after(restart_after, self.restart, server, server.incarnation)

    def restart(self, server: Server, incarnation: int) -> None:
        """Start a server that crashed, unless it has been started or replaced meanwhile."""
        if server.incarnation == incarnation and self.current_servers[server.slot] is server:
            self.start(server)

    def drain(self, server: Server, removed_after: float, restart_after: float) -> None:
        """Drain a server that runs; it ends after `removed_after` s."""
        if not server.alive:
            return
        server.availability = Availability.DRAINING
        self.schedule_list_change(server)
        self.context.schedule_after(removed_after, self.end_drained, server, server.incarnation, restart_after)

    def end_drained(self, server: Server, incarnation: int, restart_after: float) -> None:
        """End a server that was drained, if it is still the same incarnation."""
        if server.alive and server.incarnation == incarnation:
            self.crash(server, restart_after)

    def replace(self, slot: int) -> None:
        """Drain the server of a slot for good and start a new one in its place."""
        former = self.current_servers[slot]
        self.drain(former, REPLACEMENT_DRAIN_S, 0.0)
        server = Server(f"s-{self.created}", self.created, former.zone, self.context.shape)
        server.slot = slot
        self.created += 1
        self.servers[server.name] = server
        self.current_servers[slot] = server
        self.start(server)

    # What servers report.

    def in_flight(self, name: str) -> int | None:
        """How many requests a server works on; None where servers do not report it."""
        server = self.servers.get(name)
        if server is None or not self.context.shape.load_columns_enabled:
            return None
        return server.in_flight(self.context.loop.now)
