"""Relays of a trial: the shipped service on the virtual loop, which ways lead through it, and who else it serves."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections.abc import Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

from stackwheel.cells.assignment import discovery_addresses, service_of
from stackwheel.cells.plan import FORMAT_VERSION, Cell, Limits, Plan, Relay
from stackwheel.interface import Availability
from stackwheel.rules.violations import Rule
from stackwheel.service.relay import RelayEnvironment, RelayService
from stackwheel.service.relay_config import RelayAssignment, RelayConfig, assignment_for_relay
from stackwheel.trials.discovery import Call, Record
from stackwheel.trials.loop import Machine
from stackwheel.trials.network import Conditions, Transport
from stackwheel.trials.planners import EPOCH
from stackwheel.trials.relay_views import RelayViews, ways_open_since
from stackwheel.wire import timing
from stackwheel.wire.endpoint_watch import HEARTBEAT_CHUNK
from stackwheel.wire.http import split_address

if TYPE_CHECKING:
    from stackwheel.trials.planners import PlannerHost
    from stackwheel.trials.world import World

CELL = "s"  # the planners' cell: all of `s-0` and so on
OTHER_CELL = "t"  # shares relays and registry with it, and nothing else
PORTS = {CELL: 9001, OTHER_CELL: 19001}
OTHER_SERVERS = 5
OTHER_CHANGES = (0.5, 2.5)  # s between changes in the other cell
CONNECTIONS = 1024
FIRST_GENERATION = 10**15  # a numbering begins far below the one before, so that a trial never reaches its numbers:
NEXT_NUMBERING = 100  # a registry that does so can't be told from one that goes on, by whoever was away meanwhile
LOOK = 0.1  # s between looks at which ways are open
SETTLING_LISTS = 2 * 6.0  # s: a list that a relay, and then a planner, holds for an older state
SETTLES_WITHIN = 120.0  # s after a script's end within which its last fault must have ended
VOUCHES_MOST = (
    timing.WATCH_SILENCE_TIMEOUT_MS + timing.HEARTBEAT_INTERVAL_MS
) / 1000.0  # s after the registry was heard last


class RelayHost:
    """The machine a relay runs on."""

    def __init__(self, group: RelayGroup, number: int) -> None:
        self.group, self.number = group, number
        self.host = f"10.5.0.{number + 1}"
        self.machine = Machine(f"relay-{number}")
        self.service: RelayService | None = None
        self.lives = 0
        self.heard_at = 0.0  # s: when the registry's answer last reached it

    @property
    def running(self) -> bool:
        return self.machine.alive and self.service is not None

    def start(self) -> None:
        """A new process, which knows nothing."""
        world, old = self.group.world, self.machine
        if not old.alive:
            self.machine = Machine(old.name)
            world.graves.append(old)
        world.network.settle(self.host, self.machine)
        world.network.return_of(old)
        self.lives += 1
        config = RelayConfig(self.machine.name, "{}:{}".format(*world.discovery.address), Path("plan"))
        environment = RelayEnvironment(self.open_listener, self.load_assignment, lambda: None)
        previous, world.loop.machine = world.loop.machine, self.machine
        try:
            self.service = RelayService(
                config, self.load_assignment(config.name, config.plan), CONNECTIONS, environment
            )
        finally:
            world.loop.machine = previous
        world.loop.start(self.machine, self.service.run()).add_done_callback(self.ended)

    def open_listener(self, address: str) -> socket.socket:
        return cast(socket.socket, self.group.world.network.listen(self.machine, split_address(address)))

    def load_assignment(self, name: str, path: Path) -> RelayAssignment:
        return assignment_for_relay(name, self.group.plan(), str(path))

    def ended(self, task: asyncio.Task[Any]) -> None:
        world = self.group.world
        why = "cancelled" if task.cancelled() else repr(task.exception())
        world.checker.break_rule(world.ms(), Rule.UPRIGHT, f"{self.machine} ended: {why}")

    def kill(self, sign: bool = True) -> None:
        self.group.world.network.kill(self.machine, sign)
        self.service = None

    def reload(self) -> None:
        self.group.world.loop.signal(self.machine, signal.SIGHUP)


class RelayGroup:
    """All relays of a trial, between the scripted discovery and the planners."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.chance = random.Random(f"relays {world.script.seed}")
        self.moves = 0  # how often the plan has given the cells other ports
        self.hosts = [RelayHost(self, number) for number in range(world.shape.relays)]
        for host in self.hosts:
            world.zone_of_machine[host.machine.name] = host.number % world.shape.zones
            world.network.settle(host.host, host.machine)
        self.by_name = {host.machine.name: host for host in self.hosts}
        self.open_since: dict[tuple[int, int], tuple[float, int, int]] = {}  # relay, planner: since when, their lives
        self.views = RelayViews(world, CELL)
        self.ends = False  # of the script: from here on nothing goes wrong any more
        self.unquiet_at = 0.0  # s: when something last changed or went wrong
        self.others = [self.other(number) for number in range(OTHER_SERVERS)]
        world.discovery.in_order = True
        world.discovery.generation = FIRST_GENERATION
        world.discovery.records |= {record.name: record for record in self.others}

    def plan(self) -> Plan:
        relays = tuple(Relay(f"relay-{n}", f"10.5.0.{n + 1}") for n in range(self.world.shape.relays))
        cells = tuple(Cell(name, name, (), 0, 1, port + self.moves) for name, port in PORTS.items())
        return Plan(FORMAT_VERSION, Limits(), dict.fromkeys(self.world.zones, "region-0"), relays, cells)

    def addresses_of(self, planner: int) -> str:
        plan = self.plan()
        return discovery_addresses(plan, plan.cells[0], f"planner-{planner}")

    def part(self) -> Mapping[str, Record]:
        """The cell's part of the registry's list."""
        return {name: one for name, one in self.world.discovery.records.items() if self.concerns(name)}

    @staticmethod
    def concerns(server: str) -> bool:
        """Whether a server is in the planners' cell."""
        return service_of(server) == CELL

    def move(self) -> None:
        """Another plan: the cells are served at other ports."""
        self.moves += 1
        for host in self.hosts:
            if host.running:
                host.reload()

    def next_numbering(self) -> int:
        """Where the registry begins when it counts anew."""
        return max(1, self.world.discovery.generation // NEXT_NUMBERING)

    # the other cell

    def other(self, number: int, started: float = 0.0) -> Record:
        zone = number % self.world.shape.zones
        return Record(f"{OTHER_CELL}-{number}", f"10.8.1.{number}:80", zone, 0, Availability.READY, started, 0.0)

    def change_other(self) -> None:
        """One of its servers drains, leaves, or is back: a generation that says nothing to the planners."""
        if self.ends:
            return
        number = self.chance.randrange(OTHER_SERVERS)
        before = self.others[number]
        if before.state is Availability.READY:
            now = replace(before, state=Availability.DRAINING)
        elif before.state is Availability.DRAINING:
            now = replace(before, state=Availability.REMOVED)
        else:
            now = self.other(number, (EPOCH + self.world.loop.now) * 1000.0)
        self.others[number] = now
        self.world.discovery.change([now])
        self.views.remember([now])
        self.later(self.chance.uniform(*OTHER_CHANGES), self.change_other)

    # the run

    def later(self, delay: float, call: Any) -> None:
        self.world.loop.at(self.world.loop.now + delay, None, call)

    def begin(self) -> None:
        for host in self.hosts:
            self.world.loop.at(0.0, None, host.start)
        self.look()
        self.change_other()

    def look(self) -> None:
        """Note which ways are open, and what counts as told by now."""
        now = self.world.loop.now
        planners = self.world.hosts
        for relay in self.hosts:
            for planner in planners:
                key, lives = (relay.number, planner.number), (relay.lives, planner.lives)
                if not self.way_open(relay, planner):
                    self.open_since.pop(key, None)
                elif self.open_since.get(key, (0.0, 0, 0))[1:] != lives:
                    self.open_since[key] = now, *lives
        discovery = self.world.discovery
        troubled = discovery.trouble or discovery.late_for or discovery.unreadable
        if troubled or self.world.network.now != Conditions() or len(self.open_since) < len(self.hosts) * len(planners):
            self.unquiet_at = now
        for planner in planners:
            self.views.pass_time(planner.number, ways_open_since(self.open_since, planner.number))
            self.views.look(planner)
        self.later(LOOK, self.look)

    def way_open(self, relay: RelayHost, planner: PlannerHost) -> bool:
        """Whether what discovery writes can reach a planner through a relay."""
        network, discovery = self.world.network, self.world.discovery
        if discovery.trouble or not (relay.running and planner.running):
            return False
        if relay.machine.still or planner.machine.still:
            return False
        ways: Sequence[tuple[Machine, Machine]] = (
            (discovery.machine, relay.machine),
            (relay.machine, planner.machine),
        )
        return not any(network.is_cut(a, b) or network.is_cut(b, a) for a, b in ways)

    def changed(self, records: Sequence[Record]) -> None:
        """The registry has written a change in the cell."""
        self.unquiet_at = self.world.loop.now
        self.views.changed(records)

    def planner_up(self, planner: int) -> None:
        self.views.planner_up(planner)

    def seen(self, end: Transport, data: bytes) -> None:
        """Bytes have been taken by one end of a connection."""
        relay = self.by_name.get(end.machine.name)
        if relay is not None:
            speaker = end.far.protocol
            if isinstance(speaker, Call) and speaker.followed:
                relay.heard_at = self.world.loop.now
        elif end.far.machine.name in self.by_name and end.machine.name in self.world.by_host:
            self.views.taken(self.world.by_host[end.machine.name].number, end, data)

    def wrote(self, end: Transport, data: bytes) -> None:
        """A relay says that the list is the present one by answering a call, or by an empty line."""
        relay = self.by_name.get(end.machine.name)
        if relay is None or not (data.startswith(b"HTTP/1.1 200") or HEARTBEAT_CHUNK in data):
            return
        quiet = self.world.loop.now - relay.heard_at
        if quiet > VOUCHES_MOST:
            detail = f"{relay.machine} vouches {quiet:.2f} s after it heard the registry last"
            self.world.checker.break_rule(self.world.ms(), Rule.VOUCHED, detail)

    def settle(self) -> None:
        """Go on until all faults have ended for long enough; then everyone holds what the registry holds."""
        self.ends, loop = True, self.world.loop
        settles = self.world.shape.ask_within / 1000.0 + SETTLING_LISTS
        latest = loop.now + SETTLES_WITHIN
        while loop.now < self.unquiet_at + settles:
            if loop.now > latest:
                raise RuntimeError(f"seed {self.world.script.seed} does not settle within {SETTLES_WITHIN:g} s")
            loop.run_until(loop.now + 1.0)
        self.views.compare_all(self.part(), [host for host in self.hosts if host.service is not None])
