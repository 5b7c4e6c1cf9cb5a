"""One run: starts its processes, lets the scenario happen, compares what everybody holds, and reports."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import TypeVar

from stackwheel.cells.plan import Plan
from stackwheel.scale import bounds
from stackwheel.scale.bounds import Estimate, Size
from stackwheel.scale.children import Child, Children, Role
from stackwheel.scale.comparison import ListComparison, compare_all
from stackwheel.scale.control import (
    Apply,
    ControlError,
    CountPlannersWithList,
    DropEntry,
    Follow,
    GetRecords,
    GetTraffic,
    HollowPlanner,
    Load,
    Message,
    PlannersWithList,
    Ready,
    Record,
    Records,
    Restart,
    Traffic,
)
from stackwheel.scale.entries import Entry
from stackwheel.scale.fleet import Shape, draw_fleet
from stackwheel.scale.layout import FULL_LIST_CELL, Placed, choose_real, deal, full_list_layout, peer_address
from stackwheel.scale.ports import HOST, free_port, reserve_port
from stackwheel.scale.real import RealPlanner
from stackwheel.scale.relays import Network, design_plan, relay_layout, start_relays
from stackwheel.scale.report import Arguments, Progress, Report
from stackwheel.scale.scenarios import Scenario, Schedule, ServerChange, draw_schedule, largest_group
from stackwheel.scale.summary import Outcome, make_report

START_WITHIN = 180.0  # s for all planners to hold a list; 15,000 on a busy machine take a good part of it
SETTLE_WITHIN = 7.0  # s: what discovery tells counts as told after 6 s
SETTLE_EVERY = 0.5
SAMPLE_EVERY = 1.0
REPORT_WITHIN = 120.0  # s for records and the comparison of 15,000 planners
FAULT_AT = 0.4  # of the duration
REAL_START_AT_ONCE = 4  # real planners that start together: each takes a core for a moment

M = TypeVar("M", bound=Message)


class Run:
    """All that one run owns."""

    def __init__(self, arguments: Arguments, folder: Path, progress: Progress) -> None:
        self.arguments = arguments
        self.folder = folder
        self.progress = progress
        self.children = Children(folder, bounds.MAX_PROCESSES)
        self.fleet = draw_fleet(shape_of(arguments))
        self.schedule: Schedule = draw_schedule(
            self.fleet,
            Scenario(arguments.scenario),
            arguments.duration,
            arguments.event_rate,
            arguments.seed,
        )
        self.real_numbers = choose_real(len(self.fleet.planners), arguments.real_planners, largest_group(self.fleet))
        self.known_servers = {server.name for server in self.fleet.servers}
        self.peer_lock = reserve_port(socket.SOCK_DGRAM)
        self.peer_port = int(self.peer_lock.getsockname()[1])
        self.network = Network() if arguments.relays else None
        self.plan = self.design() if self.network is not None else None
        self.layout = relay_layout(self.fleet, self.plan) if self.plan else full_list_layout(self.fleet, "")
        self.outcome: Outcome
        self.registry: Child
        self.registry_address = ""
        self.hollow: dict[int, Child] = {}  # the process of each hollow planner
        self.real: dict[int, RealPlanner] = {}

    def design(self) -> Plan:
        """The plan of cells for this run's fleet and relays."""
        assert self.network is not None
        return design_plan(self.fleet, [self.network.host(number) for number in range(self.arguments.relays)])

    def estimate(self) -> Estimate:
        """What this run takes; ScaleError where the machine can't hold that."""
        entry_counts = self.layout.entries_per_planner(self.fleet)
        arguments = self.arguments
        real = sum(entry_counts[number] for number in self.real_numbers)
        full_list_planners = arguments.full_list_planners
        return bounds.check(
            Size(
                arguments.servers,
                arguments.planners,
                arguments.real_planners + full_list_planners,
                arguments.relays,
                sum(entry_counts) - real,
                real + full_list_planners * arguments.servers,
            )
        )

    async def run(self) -> Report:
        """From the first process to the report; every process has ended when it returns or fails."""
        try:
            hollow = frozenset(range(len(self.fleet.planners))) - self.real_numbers
            self.outcome = Outcome(self.arguments, self.fleet, self.layout, hollow, self.estimate())
            async with asyncio.timeout(START_WITHIN + self.arguments.duration + 2 * REPORT_WITHIN):
                return await self.stages()
        finally:
            for planner in self.real.values():
                planner.close()
            await self.children.end_all()
            self.peer_lock.close()
            if self.network is not None:
                self.network.close()

    async def stages(self) -> Report:
        """Start, live, settle and report, one after another."""
        async with asyncio.timeout(START_WITHIN):
            await self.start_registry()
            self.outcome.ready = await self.start_planners()
        await self.live()
        settling = time.monotonic()
        await self.plant()
        comparison = await self.settle()
        self.outcome.settled = time.monotonic() - settling
        return await self.report(comparison)

    async def start_registry(self) -> None:
        """Start the registry stand-in, and the relays behind it where the run has any."""
        self.progress(f"registry with {self.arguments.servers} servers")
        self.registry = await self.children.start_module(Role.REGISTRY, "registry", "stackwheel.scale.registry")
        entries = [Entry(server.name, server.address, server.zone) for server in self.fleet.servers]
        address = self.registry_address = (await self.registry.request(Load(HOST, entries), Ready)).address
        if self.plan is None:
            self.layout = self.outcome.layout = full_list_layout(self.fleet, address)
        else:
            self.progress(f"{len(self.plan.relays)} relays, {len(self.plan.cells)} cells")
            await start_relays(self.children, self.folder, self.plan, address)
            self.check_children()

    async def start_planners(self) -> float:
        """All planners, hollow and real; seconds until all of them hold a list."""
        began = time.monotonic()
        await asyncio.gather(self.start_hollow(), self.start_real())
        while (planners_with_list := await self.count_planners_with_list()) < len(self.hollow):
            self.progress(f"{planners_with_list} of {len(self.hollow)} hollow planners hold a list")
            self.check_children()
            await asyncio.sleep(SETTLE_EVERY)
        return time.monotonic() - began

    async def start_hollow(self) -> None:
        """All hollow planners, in as few processes as hold them."""
        hollow = [one for one in self.layout.placed if one.number not in self.real_numbers]
        groups = deal(hollow, bounds.hollow_processes(len(hollow)))
        self.progress(f"{len(hollow)} hollow planners in {len(groups)} processes")
        await asyncio.gather(*(self.start_group(place, group) for place, group in enumerate(groups)))

    async def start_group(self, place: int, numbers: list[int]) -> None:
        """Start one process of hollow planners and have them follow."""
        child = await self.children.start_module(Role.HOLLOW_PLANNER, f"hollow-{place}", "stackwheel.scale.hollow")
        await child.receive_answer(Ready)
        self.hollow.update(dict.fromkeys(numbers, child))
        by_cell = self.layout.planners_by_cell()
        planners = [self.hollow_planner(self.layout.placed[number], by_cell) for number in numbers]
        await child.request(Follow(sorted(self.fleet.regions), planners), Ready)

    def hollow_planner(self, placed: Placed, by_cell: dict[str, list[int]]) -> HollowPlanner:
        """One to be followed for. The cell's real planners send and get no datagrams."""
        others = [n for n in by_cell[placed.cell] if n != placed.number and n not in self.real_numbers]
        peers = tuple(peer_address(number, self.peer_port) for number in others) if placed.cell else ()
        seed = self.arguments.seed * 1_000_003 + placed.number
        own = peer_address(placed.number, self.peer_port)
        return HollowPlanner(placed.number, placed.cell, placed.discovery, seed, own, peers)

    async def start_real(self) -> None:
        """Real planners, a few at a time."""
        gate = asyncio.Semaphore(REAL_START_AT_ONCE)
        full_list_planners = range(self.arguments.full_list_planners)
        await asyncio.gather(
            *(self.start_real_one(number, gate) for number in sorted(self.real_numbers)),
            *(self.start_full_list_planner(place, gate) for place in full_list_planners),
        )

    async def start_real_one(self, number: int, gate: asyncio.Semaphore) -> None:
        """Start one real planner when its turn has come."""
        async with gate:
            planner = RealPlanner(
                self.layout.placed[number], f"{HOST}:{free_port()}", self.known_servers, self.arguments.seed + number
            )
            await self.start_prepared(number, planner)

    async def start_full_list_planner(self, place: int, gate: asyncio.Semaphore) -> None:
        """One more real planner, which follows the registry itself as all do without relays."""
        async with gate:
            number = len(self.fleet.planners) + place
            drawn = replace(self.fleet.planners[place % len(self.fleet.planners)], name=f"planner-whole-{place}")
            placed = Placed(number, drawn, FULL_LIST_CELL, self.registry_address)
            await self.start_prepared(
                number,
                RealPlanner(placed, f"{HOST}:{free_port()}", self.known_servers, number, Role.FULL_LIST_PLANNER),
            )

    async def start_prepared(self, number: int, planner: RealPlanner) -> None:
        """Write a real planner's configuration, then start it and wait until it is ready."""
        self.real[number] = planner
        await planner.prepare(self.folder, HOST, sorted(self.fleet.regions))
        await planner.start(self.children, self.folder)

    def hollow_processes(self) -> list[Child]:
        """Each once."""
        return self.children.of(Role.HOLLOW_PLANNER)

    async def count_planners_with_list(self) -> int:
        """Hollow planners that hold a list."""
        return sum(found.planners for found in await self.request_hollow(CountPlannersWithList(), PlannersWithList))

    async def request_hollow(self, message: Message, kind: type[M]) -> list[M]:
        """The same question to all hollow processes."""
        return await asyncio.gather(*(child.request(message, kind) for child in self.hollow_processes()))

    def check_children(self) -> None:
        """ControlError where a process has ended that nobody asked to."""
        for child in self.children.ended():
            raise ControlError(f"{child.name} ended with {child.process.returncode}: {last_line(self.folder, child)}")

    async def live(self) -> None:
        """The run itself: changes, restarts and readings, each at its time."""
        for child in self.hollow_processes():
            await child.notify_process(Record())
        await self.sample()
        began = time.monotonic()
        sampling = asyncio.create_task(self.sample_on())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.make_changes(began))
                group.create_task(self.make_restarts(began))
                group.create_task(self.make_fault(began))
                group.create_task(self.wait(began, self.arguments.duration))
        except* ControlError as errors:
            raise first_of(errors) from None
        finally:
            sampling.cancel()
        await self.sample()
        self.outcome.duration = time.monotonic() - began

    async def wait(self, began: float, until: float) -> None:
        """Until so many seconds of the run have passed; a process that ends meanwhile ends the run."""
        while (left := began + until - time.monotonic()) > 0:
            await asyncio.sleep(min(left, SAMPLE_EVERY))
            self.check_children()
            self.progress(f"{min(until, time.monotonic() - began):.0f} of {until:.0f} s")

    async def make_changes(self, began: float) -> None:
        """Apply the schedule's changes to the registry, each at its time."""
        for at, batch in self.schedule.batches():
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            await self.registry.notify_process(Apply([entry_of(change) for change in batch]))

    async def make_restarts(self, began: float) -> None:
        """Restart planners as the schedule says, each at its time."""
        for restart in self.schedule.restarts:
            await asyncio.sleep(max(0.0, began + restart.at - time.monotonic()))
            hollow = [number for number in restart.planners if number in self.hollow]
            for child in self.hollow_processes():
                own = [number for number in hollow if self.hollow[number] is child]
                if own:
                    await child.notify_process(Restart(own))
            real = [self.real[number] for number in restart.planners if number in self.real]
            await asyncio.gather(*(planner.restart(self.children, self.folder) for planner in real))

    async def make_fault(self, began: float) -> None:
        """Kill a relay, where that was asked for; its cells go on with their other one."""
        if self.arguments.fault:
            await asyncio.sleep(max(0.0, began + FAULT_AT * self.arguments.duration - time.monotonic()))
            victim = self.children.of(Role.RELAY)[0]
            self.progress(f"{victim.name} is killed")
            await self.children.kill(victim)

    async def sample_on(self) -> None:
        """Take a reading every `SAMPLE_EVERY` seconds until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_EVERY)
            await self.sample()

    async def sample(self) -> None:
        """One reading of all processes and counters."""
        self.outcome.sampler.read(list(self.children.running))
        registry = await self.registry.request(GetTraffic(), Traffic)
        hollow = await self.request_hollow(GetTraffic(), Traffic)
        now = time.monotonic()
        self.outcome.traffic.append((registry, hollow))
        hollow_in = sum(t.bytes_in for t in hollow)
        hollow_out = sum(t.bytes_out for t in hollow)
        real_in, real_out = self.real_bytes(Role.REAL_PLANNER)
        full_list_in, full_list_out = self.real_bytes(Role.FULL_LIST_PLANNER)
        self.outcome.sampler.bytes[Role.REGISTRY].add(registry.bytes_in, registry.bytes_out, now)
        self.outcome.sampler.bytes[Role.HOLLOW_PLANNER].add(hollow_in, hollow_out, now)
        self.outcome.sampler.bytes[Role.REAL_PLANNER].add(real_in, real_out, now)
        self.outcome.sampler.bytes[Role.FULL_LIST_PLANNER].add(full_list_in, full_list_out, now)
        list_in = hollow_in - sum(t.peer_bytes_in for t in hollow) + real_in
        list_out = hollow_out - sum(t.peer_bytes_out for t in hollow) + real_out
        self.outcome.sampler.bytes[Role.RELAY].add(
            registry.bytes_out - full_list_in + list_out, registry.bytes_in - full_list_out + list_in, now
        )

    def real_bytes(self, role: Role) -> tuple[int, int]:
        """What the real planners of a role had from discovery so far, and said to it."""
        planners = [planner for planner in self.real.values() if planner.role is role]
        return sum(one.bytes_in() for one in planners), sum(one.bytes_out() for one in planners)

    async def plant(self) -> None:
        """Lose an entry on purpose, where that was asked for."""
        if self.arguments.plant:
            number = min(self.hollow)
            await self.hollow[number].notify_process(DropEntry(number))

    async def settle(self) -> ListComparison:
        """Compare until every planner is right, or what was told last has to have come."""
        began = time.monotonic()
        async with asyncio.timeout(REPORT_WITHIN):
            while True:
                requested_at = time.monotonic()
                comparison = await compare_all(self.registry, self.layout, self.hollow, self.real.values())
                if comparison.wrong == 0 or requested_at > began + SETTLE_WITHIN:
                    return comparison
                self.progress(f"{comparison.wrong} entries wrong, settling")
                await asyncio.sleep(SETTLE_EVERY)

    async def report(self, comparison: ListComparison) -> Report:
        """Gather the records and make the report of them."""
        self.progress("records")
        async with asyncio.timeout(REPORT_WITHIN):
            self.outcome.records = await self.request_hollow(GetRecords(), Records)
        return await asyncio.to_thread(make_report, self.outcome, comparison)


def first_of(errors: ExceptionGroup[ControlError]) -> ControlError:
    """One error of a group: the others follow from it."""
    found = errors.exceptions[0]
    return first_of(found) if isinstance(found, ExceptionGroup) else found


def entry_of(change: ServerChange) -> Entry:
    """A change as the registry lists it. What returns is a process that has just started."""
    return Entry(change.server.name, change.server.address, change.server.zone, change.lifecycle, change.started_at_ms)


def shape_of(arguments: Arguments) -> Shape:
    """What the fleet is drawn from; real planners are among the drawn ones."""
    return Shape(arguments.servers, arguments.zones, arguments.planners + arguments.real_planners, arguments.seed)


def last_line(folder: Path, child: Child) -> str:
    """Why a process says it has ended."""
    with contextlib.suppress(OSError):
        lines = (folder / f"{child.name}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1][:200] if lines else "it logged nothing"
    return "no log"


async def run_scale(arguments: Arguments, progress: Progress = lambda _text: None) -> Report:
    """Make a run; ScaleError where the machine can't hold it, ControlError where one of its processes failed."""
    with tempfile.TemporaryDirectory(prefix="stackwheel-scale-") as folder:
        return await Run(arguments, Path(folder), progress).run()
