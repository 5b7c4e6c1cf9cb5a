"""Simulated relays: the shipped service on the virtual loop, which paths lead through it, and whom else it serves."""

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
from stackwheel.trials.planner_config import EPOCH_S
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.relay_checks import RelayChecks
from stackwheel.trials.shape import zone_of
from stackwheel.trials.transport import Transport
from stackwheel.wire import timing
from stackwheel.wire.endpoint_watch import HEARTBEAT_CHUNK
from stackwheel.wire.http import split_address

PLANNERS_CELL = "s"  # all servers `s-0` and so on
OTHER_CELL = "t"  # shares relays and registry with it, and nothing else
CELL_PORTS = {PLANNERS_CELL: 9001, OTHER_CELL: 19001}
OTHER_SERVERS = 5
OTHER_CHANGE_INTERVAL_S = (0.5, 2.5)  # between changes in the other cell
CONNECTION_LIMIT = 1024
# A restarted numbering begins far below the one before, so that a trial never reaches its numbers: a registry that
# does so can't be told from one that goes on, by whoever was away meanwhile.
FIRST_GENERATION = 10**15
RESTART_DIVISOR = 100
CHECK_INTERVAL_S = 0.1  # between checks of which paths are open
STALE_LIST_S = 6.0  # that a relay, or a planner, holds a list for an older state
SETTLE_LIMIT_S = 120.0  # after a script's end within which its last fault must have ended
SETTLE_STEP_S = 1.0
MAX_VOUCHING_S = (
    timing.WATCH_SILENCE_TIMEOUT_MS + timing.HEARTBEAT_INTERVAL_MS
) / 1000.0  # after the registry was heard last


class RelayHost:
    """The machine a relay runs on.

    Attributes:
        registry_received_at: When the registry's answer last reached it, in s.
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
        """Whether a process lives."""
        return self.machine.alive and self.service is not None

    def start(self) -> None:
        """Start a process, which knows nothing."""
        context = self.context
        self.machine = context.successor(self.machine, self.host)
        self.incarnation += 1
        config = RelayConfig(self.machine.name, "{}:{}".format(*self.discovery.address), Path("plan"))
        environment = RelayEnvironment(self.open_listener, self.load_assignment, lambda: None)
        with context.loop.running_as(self.machine):
            assignment = self.load_assignment(config.name, config.plan)
            self.service = RelayService(config, assignment, CONNECTION_LIMIT, environment)
        context.loop.start_process(self.machine, self.service.run()).add_done_callback(self.process_ended)

    def open_listener(self, address: str) -> socket.socket:
        """Listen on the simulated network."""
        return cast(socket.socket, self.context.network.listen(self.machine, split_address(address)))

    def load_assignment(self, name: str, path: Path) -> RelayAssignment:
        """What the relay serves by the plan as it is now."""
        return assignment_for_relay(name, self.plan(), str(path))

    def process_ended(self, task: asyncio.Task[Any]) -> None:
        """The service has ended by itself, which it never should."""
        reason = "cancelled" if task.cancelled() else repr(task.exception())
        self.context.checker.report_violation(self.context.now_ms(), Rule.UPRIGHT, f"{self.machine} ended: {reason}")

    def kill(self, resets_connections: bool = True) -> None:
        """End the process; without resets its machine vanishes."""
        self.context.network.kill(self.machine, resets_connections)
        self.service = None

    def reload(self) -> None:
        """Send SIGHUP."""
        self.context.loop.deliver_signal(self.machine, signal.SIGHUP)


class OpenPath(NamedTuple):
    """Since when (s) a relay has led from the registry to a planner, and between which incarnations."""

    since: float
    relay_incarnation: int
    planner_incarnation: int


class RelayGroup:
    """All relays of a trial, between the simulated discovery (their registry) and the planners.

    Attributes:
        port_offset: How often the plan has given the cells other ports.
        open_paths: By relay and planner.
        settling: The script has ended: nothing new goes wrong.
        last_change_at: When something last changed or went wrong, in s.
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
            context.network.place(host.host, host.machine)
        self.hosts_by_name = {host.machine.name: host for host in self.hosts}
        self.open_paths: dict[tuple[int, int], OpenPath] = {}
        self.checks = RelayChecks(context, discovery, planners, PLANNERS_CELL)
        self.settling = False
        self.last_change_at = 0.0
        self.other_records = [self.other_record(number) for number in range(OTHER_SERVERS)]
        discovery.ordered_delays = True
        discovery.generation = FIRST_GENERATION
        discovery.records |= {record.name: record for record in self.other_records}

    # The plan.

    def plan(self) -> Plan:
        """The cell plan as it is now."""
        relays = tuple(Relay(f"relay-{number}", relay_host(number)) for number in range(self.context.shape.relays))
        cells = tuple(Cell(name, name, (), 0, 1, port + self.port_offset) for name, port in CELL_PORTS.items())
        return Plan(PLAN_FORMAT_VERSION, Limits(), dict.fromkeys(self.context.zones, "region-0"), relays, cells)

    def addresses_of(self, planner: int) -> str:
        """Where a planner calls for its endpoint list, the preferred relay first."""
        plan = self.plan()
        return discovery_addresses(plan, plan.cells[0], f"planner-{planner}")

    def change_ports(self) -> None:
        """Serve the cells at other ports: relays read the plan again."""
        self.port_offset += 1
        for host in self.hosts:
            if host.running:
                host.reload()

    def cell_records(self) -> Mapping[str, ServerRecord]:
        """The planners' cell's part of the registry's list."""
        return {name: record for name, record in self.discovery.records.items() if self.is_in_cell(name)}

    @staticmethod
    def is_in_cell(server: str) -> bool:
        """Whether a server is in the planners' cell."""
        return service_of(server) == PLANNERS_CELL

    def first_generation_after_restart(self) -> int:
        """Where the registry begins when it restarts its generations."""
        return max(1, self.discovery.generation // RESTART_DIVISOR)

    # The other cell.

    def other_record(self, number: int, started_at: float = 0.0) -> ServerRecord:
        """A server of the other cell, ready."""
        zone = zone_of(number, self.context.shape)
        return ServerRecord(
            f"{OTHER_CELL}-{number}", f"10.8.1.{number}:80", zone, 0, Availability.READY, started_at, 0.0
        )

    def change_other_cell(self) -> None:
        """One of its servers drains, leaves or returns: a generation that says nothing to the planners."""
        if self.settling:
            return
        number = self.random.randrange(OTHER_SERVERS)
        before = self.other_records[number]
        if before.availability is Availability.READY:
            now = replace(before, availability=Availability.DRAINING)
        elif before.availability is Availability.DRAINING:
            now = replace(before, availability=Availability.REMOVED)
        else:
            now = self.other_record(number, (EPOCH_S + self.context.loop.now) * 1000.0)
        self.other_records[number] = now
        self.discovery.change([now])
        self.checks.add_to_history([now])
        self.context.schedule_after(self.random.uniform(*OTHER_CHANGE_INTERVAL_S), self.change_other_cell)

    # The run.

    def begin(self) -> None:
        """Start the relays and what happens beside them."""
        for host in self.hosts:
            self.context.loop.schedule_at(0.0, None, host.start)
        self.check_paths()
        self.change_other_cell()

    def check_paths(self) -> None:
        """Note which paths are open, and what planners count as notified of by now."""
        now = self.context.loop.now
        for relay in self.hosts:
            for planner in self.planners:
                self.check_path(relay, planner, now)
        if self.is_disturbed():
            self.last_change_at = now
        for planner in self.planners:
            self.checks.assume_notified(planner.number, self.open_since(planner.number))
            self.checks.check_planner(planner)
        self.context.schedule_after(CHECK_INTERVAL_S, self.check_paths)

    def check_path(self, relay: RelayHost, planner: PlannerHost, now: float) -> None:
        """Note whether a path is open, and since when between the present incarnations."""
        key = relay.number, planner.number
        if not self.is_path_open(relay, planner):
            self.open_paths.pop(key, None)
            return
        present = OpenPath(now, relay.incarnation, planner.incarnation)
        known = self.open_paths.get(key)
        if known is None or known[1:] != present[1:]:
            self.open_paths[key] = present

    def is_path_open(self, relay: RelayHost, planner: PlannerHost) -> bool:
        """Whether what the registry writes can reach a planner through a relay."""
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
        """Since when one and the same relay has led from the registry to a planner, in s; None where none does."""
        paths = self.open_paths.items()
        return min((path.since for (_, target), path in paths if target == planner), default=None)

    def is_disturbed(self) -> bool:
        """Whether something is wrong now."""
        discovery = self.discovery
        if discovery.fault or discovery.watch_delays or discovery.unreadable:
            return True
        path_count = len(self.hosts) * len(self.planners)
        return self.context.network.conditions != Conditions() or len(self.open_paths) < path_count

    def records_changed(self, records: Sequence[ServerRecord]) -> None:
        """The registry has written a change in the cell."""
        self.last_change_at = self.context.loop.now
        self.checks.records_changed(records)

    def bytes_received(self, end: Transport, data: bytes) -> None:
        """Bytes have been taken by one end of a connection."""
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
        """A relay vouches for its list by answering a call, or by an empty line."""
        relay = self.hosts_by_name.get(end.machine.name)
        if relay is None or not (data.startswith(b"HTTP/1.1 200") or HEARTBEAT_CHUNK in data):
            return
        silence = self.context.loop.now - relay.registry_received_at
        if silence > MAX_VOUCHING_S:
            detail = f"{relay.machine} vouches {silence:.2f} s after it heard the registry last"
            self.context.checker.report_violation(self.context.now_ms(), Rule.VOUCHED, detail)

    def settle(self) -> None:
        """Go on until all faults have ended for long enough; then everyone holds what the registry holds.

        Raises:
            RuntimeError: Faults or changes do not end.
        """
        self.settling = True
        loop = self.context.loop
        rest = self.context.shape.list_poll_deadline / 1000.0 + 2 * STALE_LIST_S
        latest = loop.now + SETTLE_LIMIT_S
        while loop.now < self.last_change_at + rest:
            if loop.now > latest:
                seed = self.context.script.seed
                raise RuntimeError(f"seed {seed} does not settle within {SETTLE_LIMIT_S:g} s")
            loop.run_until(loop.now + SETTLE_STEP_S)
        self.checks.compare_planners(self.cell_records())
        for host in self.hosts:
            if host.service is not None:
                known = host.service.cache.instances.values()
                self.checks.compare_relay(str(host.machine), known)


def relay_host(number: int) -> str:
    """The address of a relay's machine."""
    return f"10.5.0.{number + 1}"
