"""Simulated relays: the unmodified service on the virtual loop, the paths through it, and a second cell."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple, cast

from stackwheel.cells.assignment import discovery_addresses, service_of
from stackwheel.cells.plan import PLAN_FORMAT_VERSION, Cell, Limits, Plan, Relay
from stackwheel.interface import Availability
from stackwheel.rules.violations import Rule
from stackwheel.service.relay import RelayEnvironment, RelayService
from stackwheel.service.relay_config import RelayAssignment, RelayConfig, assignment_for_relay
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.discovery import Discovery, DiscoveryCall
from stackwheel.trials.discovery_records import ServerRecord
from stackwheel.trials.loop import Machine
from stackwheel.trials.network import Conditions
from stackwheel.trials.planner_config import START_UNIX_TIME_S
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.relay_checks import RelayChecks
from stackwheel.trials.shape import zone_of
from stackwheel.trials.transport import Transport
from stackwheel.wire import timing
from stackwheel.wire.endpoint_watch import HEARTBEAT_CHUNK
from stackwheel.wire.http import split_address

PLANNERS_CELL = "s"  # names of servers begin with the name of their cell
OTHER_CELL = "t"  # a second cell with the same relays and registry
CELL_PORTS = {PLANNERS_CELL: 9001, OTHER_CELL: 19001}
OTHER_SERVERS = 5
OTHER_CHANGE_INTERVAL_RANGE_S = (0.5, 2.5)
MAX_CONNECTIONS = 1024
# Generations after a restart of the numbering are far below those before it, so that a trial never reaches a former
# generation again: a client that missed the restart could not distinguish the two.
FIRST_GENERATION = 10**15
GENERATION_RESTART_DIVISOR = 100
PATH_CHECK_INTERVAL_S = 0.1
MAX_LIST_STALENESS_S = 6.0  # relays and planners defer a list of an older generation for this time
MAX_SETTLE_DURATION_S = 120.0  # measured from the end of the script
SETTLE_CHECK_INTERVAL_S = 1.0
MAX_REGISTRY_SILENCE_S = (timing.WATCH_SILENCE_TIMEOUT_MS + timing.HEARTBEAT_INTERVAL_MS) / 1000.0


class RelayHost:
    """The machine of a relay; it starts, kills and reloads the service.

    Attributes:
        plan: Returns the current cell plan.
        service: The running service; None before the first start and after a kill.
        incarnation: Number of processes started so far.
        registry_received_at: Time at which the relay last received data from the registry, in s.
    """

    def __init__(self, context: SimulationContext, discovery: Discovery, plan: Callable[[], Plan], number: int) -> None:
        self.context = context
        self.discovery = discovery
        self.plan = plan
        self.number = number
        self.host = relay_host(number)
        self.machine = Machine(f"relay-{number}")
        self.service: RelayService | None = None
        self.incarnation = 0
        self.registry_received_at = 0.0

    @property
    def running(self) -> bool:
        """Whether the process of the relay is running."""
        return self.machine.alive and self.service is not None

    def start(self) -> None:
        """Start a process without any state of a former one."""
        context = self.context
        self.machine = context.start_machine(self.machine, self.host)
        self.incarnation += 1
        config = RelayConfig(self.machine.name, "{}:{}".format(*self.discovery.address), Path("plan"))
        environment = RelayEnvironment(self.open_listener, self.load_assignment, lambda: None)
        with context.loop.running_as(self.machine):
            assignment = self.load_assignment(config.name, config.plan)
            self.service = RelayService(config, assignment, MAX_CONNECTIONS, environment)
        context.loop.start_process(self.machine, self.service.run()).add_done_callback(self.process_ended)

    def open_listener(self, address: str) -> socket.socket:
        """Open a listener on the simulated network."""
        return cast(socket.socket, self.context.network.listen(self.machine, split_address(address)))

    def load_assignment(self, name: str, path: Path) -> RelayAssignment:
        """Return the assignment of a relay according to the current plan."""
        return assignment_for_relay(name, self.plan(), str(path))

    def process_ended(self, task: asyncio.Task[Any]) -> None:
        """Report a violation because the service has ended by itself."""
        reason = "cancelled" if task.cancelled() else repr(task.exception())
        self.context.checker.report_violation(
            self.context.now_ms(), Rule.UPRIGHT, f"service of {self.machine} ended unexpectedly: {reason}"
        )

    def kill(self, resets_connections: bool = True) -> None:
        """End the process; without resets, its peers are not notified."""
        self.context.network.kill(self.machine, resets_connections)
        self.service = None

    def reload(self) -> None:
        """Send SIGHUP to the service."""
        self.context.loop.deliver_signal(self.machine, signal.SIGHUP)


class OpenPath(NamedTuple):
    """An open path from the registry through a relay to a planner: its begin in s, and the incarnations of both."""

    since: float
    relay_incarnation: int
    planner_incarnation: int


class RelayGroup:
    """All relays of a trial, between the simulated discovery service (their registry) and the planners.

    Attributes:
        port_offset: Number of changes of the cells' ports so far.
        open_paths: Open paths by numbers of relay and planner.
        checks: Checks of the lists that relays and planners have.
        settling: Whether the script has ended, so that the other cell no longer changes.
        last_change_at: Time of the last change or disturbance, in s.
        other_records: Records of the servers of the other cell.
    """

    def __init__(self, context: SimulationContext, discovery: Discovery, planners: Sequence[PlannerHost]) -> None:
        self.context = context
        self.discovery = discovery
        self.planners = planners
        self.random = random.Random(f"relays {context.script.seed}")
        self.port_offset = 0
        self.hosts = [RelayHost(context, discovery, self.plan, number) for number in range(context.shape.relays)]
        for host in self.hosts:
            context.zone_of_machine[host.machine.name] = zone_of(host.number, context.shape)
            context.network.assign_host(host.host, host.machine)
        self.hosts_by_name = {host.machine.name: host for host in self.hosts}
        self.open_paths: dict[tuple[int, int], OpenPath] = {}
        self.checks = RelayChecks(context, discovery, planners, PLANNERS_CELL)
        self.settling = False
        self.last_change_at = 0.0
        self.other_records = [self.other_record(number) for number in range(OTHER_SERVERS)]
        discovery.keeps_order = True
        discovery.generation = FIRST_GENERATION
        discovery.records |= {record.name: record for record in self.other_records}

    # The cell plan.

    def plan(self) -> Plan:
        """Return the current cell plan."""
        relays = tuple(Relay(f"relay-{number}", relay_host(number)) for number in range(self.context.shape.relays))
        cells = tuple(Cell(name, name, (), 0, 1, port + self.port_offset) for name, port in CELL_PORTS.items())
        return Plan(PLAN_FORMAT_VERSION, Limits(), dict.fromkeys(self.context.zones, "region-0"), relays, cells)

    def addresses_of(self, planner: int) -> str:
        """Return the addresses at which a planner fetches its endpoint list, the preferred relay first."""
        plan = self.plan()
        return discovery_addresses(plan, plan.cells[0], f"planner-{planner}")

    def change_ports(self) -> None:
        """Change the ports of the cells in the plan and reload the running relays."""
        self.port_offset += 1
        for host in self.hosts:
            if host.running:
                host.reload()

    def cell_records(self) -> Mapping[str, ServerRecord]:
        """Return the records of the planners' cell in the registry's list, by name."""
        return {name: record for name, record in self.discovery.records.items() if self.is_in_cell(name)}

    @staticmethod
    def is_in_cell(server: str) -> bool:
        """Return whether a server belongs to the planners' cell."""
        return service_of(server) == PLANNERS_CELL

    def first_generation_after_restart(self) -> int:
        """Return the first generation of the registry after a restart of its numbering."""
        return max(1, self.discovery.generation // GENERATION_RESTART_DIVISOR)

    # Records and changes of the second cell.

    def other_record(self, number: int, started_at: float = 0.0) -> ServerRecord:
        """Return the record of a ready server of the other cell."""
        zone = zone_of(number, self.context.shape)
        return ServerRecord(
            f"{OTHER_CELL}-{number}", f"10.8.1.{number}:80", zone, 0, Availability.READY, started_at, 0.0
        )

    def change_other_cell(self) -> None:
        """Change the availability of a server of the other cell, and schedule the next change."""
        if self.settling:
            return
        number = self.random.randrange(OTHER_SERVERS)
        before = self.other_records[number]
        if before.availability is Availability.READY:
            now = replace(before, availability=Availability.DRAINING)
        elif before.availability is Availability.DRAINING:
            now = replace(before, availability=Availability.REMOVED)
        else:
            now = self.other_record(number, (START_UNIX_TIME_S + self.context.loop.now) * 1000.0)
        self.other_records[number] = now
        self.discovery.change([now])
        self.checks.add_to_history([now])
        self.context.schedule_after(self.random.uniform(*OTHER_CHANGE_INTERVAL_RANGE_S), self.change_other_cell)

    # Start, periodic checks and end of the trial.

    def begin(self) -> None:
        """Start the relays, the checks of paths and the changes of the other cell."""
        for host in self.hosts:
            self.context.loop.schedule_at(0.0, None, host.start)
        self.check_paths()
        self.change_other_cell()

    def check_paths(self) -> None:
        """Record the open paths, run the checks of all planners and schedule the next check."""
        now = self.context.loop.now
        for relay in self.hosts:
            for planner in self.planners:
                self.check_path(relay, planner, now)
        if self.is_disturbed():
            self.last_change_at = now
        for planner in self.planners:
            self.checks.assume_notified(planner.number, self.open_since(planner.number))
            self.checks.check_planner(planner)
        self.context.schedule_after(PATH_CHECK_INTERVAL_S, self.check_paths)

    def check_path(self, relay: RelayHost, planner: PlannerHost, now: float) -> None:
        """Record whether a path is open, and since when it has been open between the current incarnations."""
        key = relay.number, planner.number
        if not self.is_path_open(relay, planner):
            self.open_paths.pop(key, None)
            return
        current = OpenPath(now, relay.incarnation, planner.incarnation)
        recorded = self.open_paths.get(key)
        if recorded is None or recorded[1:] != current[1:]:
            self.open_paths[key] = current

    def is_path_open(self, relay: RelayHost, planner: PlannerHost) -> bool:
        """Return whether changes of the registry can reach a planner through a relay."""
        if self.discovery.fault or not (relay.running and planner.running):
            return False
        if relay.machine.stalled or planner.machine.stalled:
            return False
        network = self.context.network
        return not (
            network.is_cut_between(self.discovery.machine, relay.machine)
            or network.is_cut_between(relay.machine, planner.machine)
        )

    def open_since(self, planner: int) -> float | None:
        """Return the time since which a planner has had an open path through one relay, in s; None without a path."""
        paths = self.open_paths.items()
        return min((path.since for (_, target), path in paths if target == planner), default=None)

    def is_disturbed(self) -> bool:
        """Return whether a fault is active or a path is closed."""
        discovery = self.discovery
        if discovery.fault or discovery.watch_delays or discovery.unreadable:
            return True
        path_count = len(self.hosts) * len(self.planners)
        return self.context.network.conditions != Conditions() or len(self.open_paths) < path_count

    def records_changed(self, records: Sequence[ServerRecord]) -> None:
        """Record changes that the registry has written in the planners' cell."""
        self.last_change_at = self.context.loop.now
        self.checks.records_changed(records)

    def bytes_received(self, end: Transport, data: bytes) -> None:
        """Process bytes that one end of a connection has received."""
        relay = self.hosts_by_name.get(end.machine.name)
        if relay is not None:
            call = end.peer.protocol
            if isinstance(call, DiscoveryCall) and call.was_watch:
                relay.registry_received_at = self.context.loop.now
        elif end.peer.machine.name in self.hosts_by_name:
            planner = self.context.planner_of(end.machine)
            if planner is not None:
                self.checks.bytes_received(planner, end, data)

    def bytes_written(self, end: Transport, data: bytes) -> None:
        """Record a violation if a relay sends a response or a heartbeat after the registry was silent for too long."""
        relay = self.hosts_by_name.get(end.machine.name)
        if relay is None or not (data.startswith(b"HTTP/1.1 200") or HEARTBEAT_CHUNK in data):
            return
        silence = self.context.loop.now - relay.registry_received_at
        if silence > MAX_REGISTRY_SILENCE_S:
            detail = f"{relay.machine} presents its list as current {silence:.2f} s after the last data of the registry"
            self.context.checker.report_violation(self.context.now_ms(), Rule.VOUCHED, detail)

    def settle(self) -> None:
        """Run until all faults have ended and lists have converged, then compare them with the registry's list.

        Raises:
            RuntimeError: Faults or changes continue beyond the maximum duration.
        """
        self.settling = True
        loop = self.context.loop
        convergence_duration = self.context.shape.list_poll_deadline / 1000.0 + 2 * MAX_LIST_STALENESS_S
        latest = loop.now + MAX_SETTLE_DURATION_S
        while loop.now < self.last_change_at + convergence_duration:
            if loop.now > latest:
                seed = self.context.script.seed
                raise RuntimeError(
                    f"seed {seed}: faults or changes persist {MAX_SETTLE_DURATION_S:g} s after the script"
                )
            loop.run_until(loop.now + SETTLE_CHECK_INTERVAL_S)
        self.checks.compare_planners(self.cell_records())
        for host in self.hosts:
            if host.service is not None:
                cached = host.service.cache.instances.values()
                self.checks.compare_relay(str(host.machine), cached)


def relay_host(number: int) -> str:
    """Return the host address of a relay."""
    return f"10.5.0.{number + 1}"
