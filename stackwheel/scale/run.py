"""One run: starts its processes, lets the scenario happen, compares what everybody holds, and reports."""

from __future__ import annotations

import asyncio
import contextlib
import os
import platform
import socket
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TypeVar

from stackwheel.cells.plan import Plan
from stackwheel.scale import bounds
from stackwheel.scale.bounds import Estimate, Size
from stackwheel.scale.children import Child, Children, Role
from stackwheel.scale.control import (
    Apply,
    AskHeld,
    AskList,
    AskRecords,
    AskTraffic,
    Compare,
    Compared,
    ControlError,
    DropEntry,
    Follow,
    Held,
    HollowPlanner,
    Load,
    Message,
    Ready,
    Record,
    Records,
    Restart,
    Traffic,
    WholeList,
)
from stackwheel.scale.entries import Entry
from stackwheel.scale.fleet import Shape, draw_fleet
from stackwheel.scale.inforce import InForce, measure
from stackwheel.scale.layout import WHOLE, Placed, choose_real, deal, peer_address, whole_layout
from stackwheel.scale.peers import SENT_MOST, bytes_per_cycle
from stackwheel.scale.real import RealDifference, RealPlanner, compare_tables
from stackwheel.scale.relays import Network, design_plan, relay_layout, start_relays
from stackwheel.scale.report import (
    VERSION,
    Arguments,
    Bounds,
    CellNotes,
    Datagrams,
    InForceFigures,
    Machine,
    Progress,
    Report,
)
from stackwheel.scale.sampling import Sampler
from stackwheel.scale.scenarios import Scenario, Schedule, ServerChange, draw_schedule, largest_group

HOST = "127.0.0.1"
START_WITHIN = 180.0  # s for all planners to hold a list; 15,000 on a busy machine take a good part of it
SETTLE_WITHIN = 7.0  # s: what discovery tells counts as told after 6 s
SETTLE_EVERY = 0.5
SAMPLE_EVERY = 1.0
REPORT_WITHIN = 120.0  # s for records and the comparison of 15,000 planners
FAULT_AT = 0.4  # of the duration
WRONG_SHOWN = 20
DIGESTS_SHOWN = 5
REAL_START_AT_ONCE = 4  # real planners that start together: each takes a core for a moment

M = TypeVar("M", bound=Message)


@dataclass(slots=True)
class Findings:
    """What the comparison at the end found."""

    compared: int = 0
    right: int = 0
    wrong: int = 0
    examples: list[str] = field(default_factory=list)
    digests: dict[str, set[str]] = field(default_factory=dict)
    listed: WholeList | None = None


class Run:
    """All that one run owns."""

    def __init__(self, arguments: Arguments, folder: Path, progress: Progress) -> None:
        self.arguments, self.folder, self.progress = arguments, folder, progress
        self.children = Children(folder, bounds.PROCESSES_MOST)
        self.sampler = Sampler()
        self.fleet = draw_fleet(shape_of(arguments))
        self.schedule: Schedule = draw_schedule(
            self.fleet,
            Scenario(arguments.scenario),
            arguments.duration,
            arguments.event_rate,
            arguments.seed,
        )
        self.real_numbers = choose_real(len(self.fleet.planners), arguments.real_planners, largest_group(self.fleet))
        self.listed = {server.name for server in self.fleet.servers}
        self.peer_lock = held_port(socket.SOCK_DGRAM)
        self.peer_port = int(self.peer_lock.getsockname()[1])
        self.network = Network() if arguments.relays else None
        self.plan = self.design() if self.network is not None else None
        self.layout = relay_layout(self.fleet, self.plan) if self.plan else whole_layout(self.fleet, "")
        self.expected: Estimate
        self.registry: Child
        self.registry_address = ""
        self.hollow: dict[int, Child] = {}  # the process of each hollow planner
        self.real: dict[int, RealPlanner] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.traffic: list[tuple[Traffic, list[Traffic]]] = []  # of the registry and the hollow processes, by second
        self.duration = 0.0

    def design(self) -> Plan:
        """The plan of cells for this run's fleet and relays."""
        assert self.network is not None
        return design_plan(self.fleet, [self.network.host(number) for number in range(self.arguments.relays)])

    def check(self) -> None:
        """ScaleError where the machine can't hold the run."""
        held = self.layout.held_entries(self.fleet)
        real = sum(held[number] for number in self.real_numbers)
        arguments = self.arguments
        whole = arguments.whole_list_planners
        self.expected = bounds.check(
            Size(
                arguments.servers,
                arguments.planners,
                arguments.real_planners + whole,
                arguments.relays,
                sum(held) - real,
                real + whole * arguments.servers,
            )
        )

    async def run(self) -> Report:
        """From the first process to the report; every process has ended when it returns or fails."""
        try:
            self.check()
            async with asyncio.timeout(START_WITHIN + self.arguments.duration + 2 * REPORT_WITHIN):
                return await self.stages()
        finally:
            for task in self.tasks:
                task.cancel()
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
            ready = await self.start_planners()
        await self.live()
        settling = time.monotonic()
        await self.plant()
        findings = await self.settle()
        return await self.report(findings, ready, time.monotonic() - settling)

    async def start_registry(self) -> None:
        self.progress(f"registry with {self.arguments.servers} servers")
        self.registry = await self.children.start_module(Role.REGISTRY, "registry", "stackwheel.scale.registry")
        entries = [Entry(server.name, server.address, server.zone) for server in self.fleet.servers]
        address = self.registry_address = (await self.registry.ask(Load(HOST, entries), Ready)).address
        if self.plan is None:
            self.layout = whole_layout(self.fleet, address)
        else:
            self.progress(f"{len(self.plan.relays)} relays, {len(self.plan.cells)} cells")
            await start_relays(self.children, self.folder, self.plan, address)
            self.check_children()

    async def start_planners(self) -> float:
        """All planners, hollow and real; seconds until all of them hold a list."""
        began = time.monotonic()
        await asyncio.gather(self.start_hollow(), self.start_real())
        while (held := await self.count_held()) < len(self.hollow):
            self.progress(f"{held} of {len(self.hollow)} hollow planners hold a list")
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
        child = await self.children.start_module(Role.HOLLOW_PLANNER, f"hollow-{place}", "stackwheel.scale.hollow")
        await child.answer(Ready)
        self.hollow.update(dict.fromkeys(numbers, child))
        by_cell = self.layout.planners_by_cell()
        planners = [self.hollow_planner(self.layout.placed[number], by_cell) for number in numbers]
        await child.ask(Follow(sorted(self.fleet.regions), planners), Ready)

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
        whole = range(self.arguments.whole_list_planners)
        await asyncio.gather(
            *(self.start_real_one(number, gate) for number in sorted(self.real_numbers)),
            *(self.start_whole_list_one(place, gate) for place in whole),
        )

    async def start_real_one(self, number: int, gate: asyncio.Semaphore) -> None:
        async with gate:
            planner = RealPlanner(
                self.layout.placed[number], f"{HOST}:{free_port()}", self.listed, self.arguments.seed + number
            )
            await self.start_prepared(number, planner)

    async def start_whole_list_one(self, place: int, gate: asyncio.Semaphore) -> None:
        """One more real planner, which follows the registry itself as all do without relays."""
        async with gate:
            number = len(self.fleet.planners) + place
            drawn = replace(self.fleet.planners[place % len(self.fleet.planners)], name=f"planner-whole-{place}")
            placed = Placed(number, drawn, WHOLE, self.registry_address)
            await self.start_prepared(
                number,
                RealPlanner(placed, f"{HOST}:{free_port()}", self.listed, number, Role.WHOLE_LIST_PLANNER),
            )

    async def start_prepared(self, number: int, planner: RealPlanner) -> None:
        self.real[number] = planner
        await planner.prepare(self.folder, HOST, sorted(self.fleet.regions))
        await planner.start(self.children, self.folder)

    def hollow_processes(self) -> list[Child]:
        """Each once."""
        return self.children.of(Role.HOLLOW_PLANNER)

    async def count_held(self) -> int:
        """Hollow planners that hold a list."""
        return sum(found.planners for found in await self.ask_hollow(AskHeld(), Held))

    async def ask_hollow(self, message: Message, kind: type[M]) -> list[M]:
        """The same question to all hollow processes."""
        return await asyncio.gather(*(child.ask(message, kind) for child in self.hollow_processes()))

    def check_children(self) -> None:
        """ControlError where a process has ended that nobody asked to."""
        for child in self.children.ended():
            raise ControlError(f"{child.name} ended with {child.process.returncode}: {last_line(self.folder, child)}")

    async def live(self) -> None:
        """The run itself: changes, restarts and readings, each at its time."""
        for child in self.hollow_processes():
            await child.tell(Record())
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
        self.duration = time.monotonic() - began

    async def wait(self, began: float, until: float) -> None:
        """Until so many seconds of the run have passed; a process that ends meanwhile ends the run."""
        while (left := began + until - time.monotonic()) > 0:
            await asyncio.sleep(min(left, SAMPLE_EVERY))
            self.check_children()
            self.progress(f"{min(until, time.monotonic() - began):.0f} of {until:.0f} s")

    async def make_changes(self, began: float) -> None:
        for at, batch in self.schedule.batches():
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            await self.registry.tell(Apply([entry_of(change) for change in batch]))

    async def make_restarts(self, began: float) -> None:
        for restart in self.schedule.restarts:
            await asyncio.sleep(max(0.0, began + restart.at - time.monotonic()))
            hollow = [number for number in restart.planners if number in self.hollow]
            for child in self.hollow_processes():
                own = [number for number in hollow if self.hollow[number] is child]
                if own:
                    await child.tell(Restart(own))
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
        while True:
            await asyncio.sleep(SAMPLE_EVERY)
            await self.sample()

    async def sample(self) -> None:
        """One reading of all processes and counters."""
        self.sampler.read(list(self.children.running))
        registry = await self.registry.ask(AskTraffic(), Traffic)
        hollow = await self.ask_hollow(AskTraffic(), Traffic)
        now = time.monotonic()
        self.traffic.append((registry, hollow))
        hollow_in, hollow_out = sum(t.bytes_in for t in hollow), sum(t.bytes_out for t in hollow)
        real_in, real_out = self.real_bytes(Role.REAL_PLANNER)
        whole_in, whole_out = self.real_bytes(Role.WHOLE_LIST_PLANNER)
        self.sampler.bytes[Role.REGISTRY].add(registry.bytes_in, registry.bytes_out, now)
        self.sampler.bytes[Role.HOLLOW_PLANNER].add(hollow_in, hollow_out, now)
        self.sampler.bytes[Role.REAL_PLANNER].add(real_in, real_out, now)
        self.sampler.bytes[Role.WHOLE_LIST_PLANNER].add(whole_in, whole_out, now)
        list_in = hollow_in - sum(t.peer_bytes_in for t in hollow) + real_in
        list_out = hollow_out - sum(t.peer_bytes_out for t in hollow) + real_out
        self.sampler.bytes[Role.RELAY].add(
            registry.bytes_out - whole_in + list_out, registry.bytes_in - whole_out + list_in, now
        )

    def real_bytes(self, role: Role) -> tuple[int, int]:
        """What the real planners of a role had from discovery so far, and said to it."""
        planners = [planner for planner in self.real.values() if planner.role is role]
        return sum(one.bytes_in() for one in planners), sum(one.bytes_out() for one in planners)

    async def plant(self) -> None:
        """Lose an entry on purpose, where that was asked for."""
        if self.arguments.plant:
            number = min(self.hollow)
            await self.hollow[number].tell(DropEntry(number))

    async def settle(self) -> Findings:
        """Compare until every planner is right, or what was told last has to have come."""
        began = time.monotonic()
        async with asyncio.timeout(REPORT_WITHIN):
            while True:
                asked = time.monotonic()
                findings = await self.compare()
                if findings.wrong == 0 or asked > began + SETTLE_WITHIN:
                    return findings
                self.progress(f"{findings.wrong} entries wrong, settling")
                await asyncio.sleep(SETTLE_EVERY)

    async def compare(self) -> Findings:
        """What every planner holds against what the registry lists for it."""
        listed = await self.registry.ask(AskList(), WholeList)
        by_cell = self.layout.entries_by_cell(listed.entries)
        found = Findings(listed=listed)
        await asyncio.gather(
            *(self.compare_process(child, listed, by_cell, found) for child in self.hollow_processes())
        )
        for planner in self.real.values():
            due = by_cell[planner.placed.cell] if planner.placed.cell else listed.entries
            self.add_real(found, planner, compare_tables(planner.lines(), due), len(due))
        return found

    async def compare_process(
        self, child: Child, listed: WholeList, by_cell: dict[str, list[Entry]], found: Findings
    ) -> None:
        cells = {self.layout.placed[number].cell for number, own in self.hollow.items() if own is child}
        result = await child.ask(Compare(listed.generation, {cell: by_cell[cell] for cell in cells}), Compared)
        found.compared += result.entries
        found.right += result.right
        found.wrong += sum(one.wrong for one in result.wrong)
        for one in result.wrong:
            found.examples.append(f"{self.fleet.planners[one.planner].name}: {one.wrong} wrong, {one.example}")
        for cell, digests in result.digests.items():
            found.digests.setdefault(cell, set()).update(digests)

    def add_real(self, found: Findings, planner: RealPlanner, difference: RealDifference, due: int) -> None:
        found.compared += due
        found.wrong += difference.count()
        found.right += difference.count() == 0
        if difference.count():
            name = planner.placed.planner.name
            found.examples.append(f"{name} (real): {difference.count()} wrong, {difference.example()}")

    async def report(self, findings: Findings, ready: float, settled: float) -> Report:
        """Gather the records and make the report of them."""
        self.progress("records")
        async with asyncio.timeout(REPORT_WITHIN):
            records = await self.ask_hollow(AskRecords(), Records)
        assert findings.listed is not None
        in_force = await asyncio.to_thread(self.in_force, findings.listed, records)
        return Report(
            version=VERSION,
            arguments=self.arguments,
            wrong_entries=findings.wrong,
            planners=findings.right,
            planners_expected=len(self.fleet.planners) + self.arguments.whole_list_planners,
            entries_compared=findings.compared,
            in_force_ms=figures_of(in_force),
            registry=self.sampler.figures(Role.REGISTRY, 1, self.duration),
            relay=self.sampler.figures(Role.RELAY, self.arguments.relays, self.duration),
            real_planner=self.sampler.figures(Role.REAL_PLANNER, self.arguments.real_planners, self.duration),
            whole_list_planner=self.sampler.figures(
                Role.WHOLE_LIST_PLANNER, self.arguments.whole_list_planners, self.duration
            ),
            hollow_planner=self.sampler.figures(Role.HOLLOW_PLANNER, len(self.hollow), self.duration),
            machine=machine(),
            bounds=self.bounds(),
            cells=self.cell_notes(findings),
            datagrams=self.datagrams(),
            changes=len(findings.listed.changes),
            generation=findings.listed.generation,
            duration_s=round(self.duration, 3),
            ready_s=round(ready, 3),
            settle_s=round(settled, 3),
            failures=sum(t.failures for t in self.traffic[-1][1]),
            refused=self.traffic[-1][0].failures,
            wrong=findings.examples[:WRONG_SHOWN],
            notes=self.notes(records),
        )

    def in_force(self, listed: WholeList, records: list[Records]) -> InForce:
        """Of hollow planners: a real one does not tell when it took a change in."""
        due = {
            name: [number for number in numbers if number in self.hollow]
            for name, numbers in self.layout.planners_of_servers(self.fleet).items()
        }
        entries = (entry for one in records for entry in one.entries)
        restarts = (restart for one in records for restart in one.restarts)
        return measure(listed.changes, entries, due, restarts)

    def bounds(self) -> Bounds:
        return Bounds(
            bounds.MEMORY_MOST_MB,
            bounds.PROCESSES_MOST,
            round(self.expected.memory_mb, 1),
            self.expected.processes,
            round(self.sampler.memory_most, 1),
            self.sampler.processes_most,
        )

    def cell_notes(self, findings: Findings) -> CellNotes:
        assert findings.listed is not None
        servers = {cell: len(due) for cell, due in self.layout.entries_by_cell(findings.listed.entries).items()}
        planners = {cell: len(numbers) for cell, numbers in self.layout.planners_by_cell().items()}
        largest = sorted(servers, key=lambda cell: (-servers[cell], cell))[:DIGESTS_SHOWN]
        return CellNotes(
            len(servers),
            max(self.fleet.sizes().values()),
            max(servers.values()),
            max(planners.values()),
            round(sum(servers[one.cell] for one in self.layout.placed) / len(self.layout.placed), 1),
            {cell or "all": agreed(findings.digests.get(cell, set())) for cell in largest},
        )

    def datagrams(self) -> Datagrams:
        if self.duration <= 0:
            return Datagrams()
        first, last = self.traffic[0][1], self.traffic[-1][1]

        def rate(count: Callable[[Traffic], int]) -> float:
            return round((sum(map(count, last)) - sum(map(count, first))) / self.duration, 1)

        read = self.datagram_bytes()
        return Datagrams(
            rate(lambda t: t.datagrams_computed),
            rate(lambda t: t.datagrams_out),
            rate(lambda t: t.datagrams_in),
            round(sum(read) / len(read), 1),
            max(read),
        )

    def datagram_bytes(self) -> list[int]:
        """What each planner would read a second, were all datagrams of its cell sent."""
        held = self.layout.held_entries(self.fleet)
        planners = {cell: len(numbers) for cell, numbers in self.layout.planners_by_cell().items()}
        return [bytes_per_cycle(planners[one.cell], held[one.number]) for one in self.layout.placed]

    def notes(self, records: list[Records]) -> list[str]:
        """What a reader of the figures has to know."""
        found = [
            "core: processor time of the processes over the run; bytes: payload of TCP and UDP, counted at the sockets",
            "in force: of hollow planners",
            f"datagrams: sent for real up to {SENT_MOST} a second from each hollow process, to each peer by itself",
        ]
        if self.real:
            found.append(
                "real planners: lines of their tables against the ready servers of their cell; none sends datagrams; "
                "bytes are those from and to discovery"
            )
        dropped = sum(one.dropped for one in records)
        if dropped:
            found.append(f"{dropped} in-force records over the bound were not kept")
        return found


def first_of(errors: ExceptionGroup[ControlError]) -> ControlError:
    """One error of a group: the others follow from it."""
    found = errors.exceptions[0]
    return first_of(found) if isinstance(found, ExceptionGroup) else found


def agreed(digests: set[str]) -> str:
    """The one digest of a cell's planners; nothing where they differ."""
    return next(iter(digests)) if len(digests) == 1 else ""


def figures_of(found: InForce) -> InForceFigures:
    """The percentiles that are reported."""
    return InForceFigures(
        found.percentile(50.0), found.percentile(99.0), found.percentile(100.0), found.count(), found.missing
    )


def entry_of(change: ServerChange) -> Entry:
    """A change as the registry lists it. What returns is a process that has just started."""
    return Entry(change.server.name, change.server.address, change.server.zone, change.lifecycle, change.started_at_ms)


def shape_of(arguments: Arguments) -> Shape:
    """What the fleet is drawn from; real planners are among the drawn ones."""
    return Shape(arguments.servers, arguments.zones, arguments.planners + arguments.real_planners, arguments.seed)


def machine() -> Machine:
    """This machine."""
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20
    return Machine(os.cpu_count() or 1, memory, platform.python_version())


def held_port(kind: socket.SocketKind) -> socket.socket:
    """A socket on a port that nobody else has as long as it is open."""
    found = socket.socket(socket.AF_INET, kind)
    found.bind((HOST, 0))
    return found


def free_port() -> int:
    """A port that nobody listens on now."""
    with held_port(socket.SOCK_STREAM) as found:
        return int(found.getsockname()[1])


def last_line(folder: Path, child: Child) -> str:
    """Why a process says it has ended."""
    with contextlib.suppress(OSError):
        lines = (folder / f"{child.name}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1][:200] if lines else "it logged nothing"
    return "no log"


async def run_scale(arguments: Arguments, progress: Progress = lambda text: None) -> Report:
    """Make a run; ScaleError where the machine can't hold it, ControlError where one of its processes failed."""
    with tempfile.TemporaryDirectory(prefix="stackwheel-scale-") as folder:
        return await Run(arguments, Path(folder), progress).run()
