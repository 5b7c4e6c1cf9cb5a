"""Starts the processes of one run (registry, relays and planners), sends them requests and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from dataclasses import replace
from pathlib import Path
from typing import TypeVar

from stackwheel.cells.plan import Plan
from stackwheel.scale import bounds
from stackwheel.scale.bounds import ResourceEstimate, RunSize
from stackwheel.scale.children import Child, Children, Role
from stackwheel.scale.control import (
    ControlError,
    CountPlannersWithList,
    Follow,
    HollowPlanner,
    Load,
    Message,
    PlannersWithList,
    Ready,
)
from stackwheel.scale.entries import Entry
from stackwheel.scale.fleet import FleetShape, draw_fleet
from stackwheel.scale.layout import (
    FULL_LIST_CELL,
    PlacedPlanner,
    assign_to_processes,
    choose_real_planners,
    full_list_layout,
    peer_address,
)
from stackwheel.scale.ports import HOST, free_port, reserve_port
from stackwheel.scale.real import RealPlanner
from stackwheel.scale.relays import LoopbackNetwork, design_plan, relay_layout, start_relays
from stackwheel.scale.report import Arguments, Progress
from stackwheel.scale.sampling import ByteCounts
from stackwheel.scale.scenarios import largest_group

READY_POLL_INTERVAL_S = 0.5
MAX_CONCURRENT_REAL_STARTS = 4  # Each start of a real planner occupies a core.
# A prime above the number of planners, so that the planners of runs with different seeds have different seeds.
PLANNER_SEED_FACTOR = 1_000_003
MAX_LOG_LINE_CHARACTERS = 200

Answered = TypeVar("Answered", bound=Message)


class RunProcesses:
    """Owns all processes of a run together with the fleet, the layout and the addresses that they use."""

    def __init__(self, arguments: Arguments, folder: Path, progress: Progress) -> None:
        self.arguments = arguments
        self.folder = folder
        self.progress = progress
        self.children = Children(folder, bounds.MAX_PROCESSES)
        self.fleet = draw_fleet(fleet_shape(arguments))
        self.real_numbers = choose_real_planners(
            len(self.fleet.planners), arguments.real_planners, largest_group(self.fleet)
        )
        self.hollow_numbers = frozenset(range(len(self.fleet.planners))) - self.real_numbers
        self.known_servers = {server.name for server in self.fleet.servers}
        self.peer_port_reservation = reserve_port(socket.SOCK_DGRAM)
        self.peer_port = int(self.peer_port_reservation.getsockname()[1])
        self.network = LoopbackNetwork() if arguments.relays else None
        self.plan = self.design_cells(self.network) if self.network is not None else None
        self.layout = relay_layout(self.fleet, self.plan) if self.plan else full_list_layout(self.fleet, "")
        self.registry: Child
        self.registry_address = ""
        self.hollow_process_by_number: dict[int, Child] = {}
        self.real_planner_by_number: dict[int, RealPlanner] = {}

    def design_cells(self, network: LoopbackNetwork) -> Plan:
        """Design the cell plan for this run's fleet and relays."""
        return design_plan(self.fleet, [network.host(number) for number in range(self.arguments.relays)])

    def estimate_resources(self) -> ResourceEstimate:
        """Return the resources that this run is expected to need.

        Raises:
            ScaleError: the machine cannot provide them.
        """
        entry_counts = self.layout.entries_per_planner(self.fleet)
        arguments = self.arguments
        real_entries = sum(entry_counts[number] for number in self.real_numbers)
        full_list_planners = arguments.full_list_planners
        return bounds.check_run_size(
            RunSize(
                servers=arguments.servers,
                planners=arguments.planners,
                real_planners=arguments.real_planners + full_list_planners,
                relays=arguments.relays,
                hollow_entries=sum(entry_counts) - real_entries,
                real_entries=real_entries + full_list_planners * arguments.servers,
            )
        )

    async def start_registry(self) -> None:
        """Start the registry stand-in, and the relays that follow it if the run has any."""
        self.progress(f"starting the registry with {self.arguments.servers} servers")
        self.registry = await self.children.start_module(Role.REGISTRY, "registry", "stackwheel.scale.registry")
        entries = [Entry(server.name, server.address, server.zone) for server in self.fleet.servers]
        ready = await self.registry.request(Load(HOST, entries), Ready)
        self.registry_address = ready.address
        if self.plan is None:
            self.layout = full_list_layout(self.fleet, self.registry_address)
        else:
            self.progress(f"starting {len(self.plan.relays)} relays for {len(self.plan.cells)} cells")
            await start_relays(self.children, self.folder, self.plan, self.registry_address)
            self.check_processes()

    async def start_planners(self) -> float:
        """Start all planners and return the time in s until real ones are ready and hollow ones have their list."""
        began = time.monotonic()
        await asyncio.gather(self.start_hollow_planners(), self.start_real_planners())
        while (planners_with_list := await self.count_planners_with_list()) < len(self.hollow_process_by_number):
            self.progress(
                f"{planners_with_list} of {len(self.hollow_process_by_number)} hollow planners have received a list"
            )
            self.check_processes()
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        return time.monotonic() - began

    async def start_hollow_planners(self) -> None:
        """Start all hollow planners in as few processes as the limit of planners per process permits."""
        hollow = [placed for placed in self.layout.placed if placed.number not in self.real_numbers]
        groups = assign_to_processes(hollow, bounds.hollow_processes(len(hollow)))
        self.progress(f"starting {len(hollow)} hollow planners in {len(groups)} processes")
        await asyncio.gather(*(self.start_hollow_process(index, group) for index, group in enumerate(groups)))

    async def start_hollow_process(self, index: int, numbers: list[int]) -> None:
        """Start one process of hollow planners and request that they watch the endpoint list."""
        child = await self.children.start_module(Role.HOLLOW_PLANNER, f"hollow-{index}", "stackwheel.scale.hollow")
        await child.receive_answer(Ready)
        self.hollow_process_by_number.update(dict.fromkeys(numbers, child))
        by_cell = self.layout.planners_by_cell()
        planners = [self.hollow_planner(self.layout.placed[number], by_cell) for number in numbers]
        await child.request(Follow(sorted(self.fleet.regions), planners), Ready)

    def hollow_planner(self, placed: PlacedPlanner, by_cell: dict[str, list[int]]) -> HollowPlanner:
        """Return the record from which a process starts one hollow planner.

        Its peers are the other hollow planners of its cell. Real planners exchange no datagrams in a run.
        """
        others = [n for n in by_cell[placed.cell] if n != placed.number and n not in self.real_numbers]
        peers = tuple(peer_address(number, self.peer_port) for number in others) if placed.cell else ()
        return HollowPlanner(
            number=placed.number,
            cell=placed.cell,
            discovery=placed.discovery,
            seed=self.arguments.seed * PLANNER_SEED_FACTOR + placed.number,
            listen=peer_address(placed.number, self.peer_port),
            peers=peers,
        )

    async def start_real_planners(self) -> None:
        """Start the real planners, at most `MAX_CONCURRENT_REAL_STARTS` at a time."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_REAL_STARTS)
        full_list_planners = range(self.arguments.full_list_planners)
        await asyncio.gather(
            *(self.start_cell_planner(number, limit) for number in sorted(self.real_numbers)),
            *(self.start_full_list_planner(index, limit) for index in full_list_planners),
        )

    async def start_cell_planner(self, number: int, limit: asyncio.Semaphore) -> None:
        """Start one real planner of the fleet, which follows the endpoint list of its cell."""
        async with limit:
            planner = RealPlanner(
                self.layout.placed[number], f"{HOST}:{free_port()}", self.known_servers, self.arguments.seed + number
            )
            await self.prepare_and_start(number, planner)

    async def start_full_list_planner(self, index: int, limit: asyncio.Semaphore) -> None:
        """Start one additional real planner, which follows the registry directly instead of a relay."""
        async with limit:
            number = len(self.fleet.planners) + index
            drawn = replace(self.fleet.planners[index % len(self.fleet.planners)], name=f"planner-whole-{index}")
            placed = PlacedPlanner(number, drawn, FULL_LIST_CELL, self.registry_address)
            await self.prepare_and_start(
                number,
                RealPlanner(placed, f"{HOST}:{free_port()}", self.known_servers, number, Role.FULL_LIST_PLANNER),
            )

    async def prepare_and_start(self, number: int, planner: RealPlanner) -> None:
        """Write a real planner's configuration, start the planner and wait until it is ready."""
        self.real_planner_by_number[number] = planner
        await planner.prepare(self.folder, HOST, sorted(self.fleet.regions))
        await planner.start(self.children, self.folder)

    def hollow_processes(self) -> list[Child]:
        """Return all processes of hollow planners."""
        return self.children.with_role(Role.HOLLOW_PLANNER)

    async def count_planners_with_list(self) -> int:
        """Return the number of hollow planners that have received an endpoint list."""
        answers = await self.request_hollow_processes(CountPlannersWithList(), PlannersWithList)
        return sum(answer.planners for answer in answers)

    async def request_hollow_processes(self, message: Message, kind: type[Answered]) -> list[Answered]:
        """Send the same request to all processes of hollow planners and return their answers."""
        return await asyncio.gather(*(child.request(message, kind) for child in self.hollow_processes()))

    def real_planner_bytes(self, role: Role) -> ByteCounts:
        """Return the bytes so far between discovery and the real planners of a role, summed over the planners."""
        planners = [planner for planner in self.real_planner_by_number.values() if planner.role is role]
        return ByteCounts(
            received=sum(planner.bytes_in() for planner in planners),
            sent=sum(planner.bytes_out() for planner in planners),
        )

    def check_processes(self) -> None:
        """Check that no process has ended unexpectedly.

        Raises:
            ControlError: a process has ended that the run has not ended itself.
        """
        for child in self.children.unexpectedly_ended():
            raise ControlError(
                f"process {child.name} ended unexpectedly with exit code {child.process.returncode}, last log line: "
                f"{last_log_line(self.folder, child)}"
            )

    async def end_all(self) -> None:
        """End all processes and release the reserved addresses and the reserved port."""
        for planner in self.real_planner_by_number.values():
            planner.close()
        await self.children.end_all()
        self.peer_port_reservation.close()
        if self.network is not None:
            self.network.close()


def fleet_shape(arguments: Arguments) -> FleetShape:
    """Return the size and seed from which the fleet is generated; its planners include the real ones."""
    return FleetShape(arguments.servers, arguments.zones, arguments.planners + arguments.real_planners, arguments.seed)


def last_log_line(folder: Path, child: Child) -> str:
    """Return the last line of a process's log, which usually states why the process ended."""
    with contextlib.suppress(OSError):
        lines = (folder / f"{child.name}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1][:MAX_LOG_LINE_CHARACTERS] if lines else "(the log is empty)"
    return "(no log file)"
