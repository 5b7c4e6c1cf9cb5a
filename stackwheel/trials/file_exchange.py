"""Trials with files: planners publish them, something pushes them to proxies, and all that goes wrong between.

The shipped publisher, scheduler, reader and precedence run here as they are. The push between two machines is
the model's: late, duplicated, torn (copied in place), out of order, or of an old file again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any, NamedTuple

from stackwheel.files.acceptor import target_key
from stackwheel.files.codec import encode
from stackwheel.files.environment import FileEnvironment
from stackwheel.files.file_builder import PublisherSettings
from stackwheel.files.outcomes import FileApplied
from stackwheel.files.publisher import FilePublisher, PublisherFolders
from stackwheel.files.publisher_state import PublisherState
from stackwheel.files.push_scheduler import PushLimits, PushScheduler
from stackwheel.files.records import FileVersion, Reservation
from stackwheel.rules.violations import Rule
from stackwheel.service.ports import PlannerContext
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.streams import ProxyStream
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.disks import SimulatedDisk
from stackwheel.trials.file_proxies import KEYS, FileProxy
from stackwheel.trials.fleet import ServerFleet
from stackwheel.trials.loop import Machine
from stackwheel.trials.planner_config import EPOCH_S
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.proxies import Proxy

PUSH_DURATION_S = (0.02, 0.2)
TORN_SECOND_STEP_S = 0.3  # at most, between the two steps of a copy in place
DUPLICATE_DELAY_S = 3.0  # at most
STALE_DELAY_S = 1.0  # at most
LARGE_DELAY_S = 0.5  # of pushes, from which on proxies count as left
REST_AFTER_FAULT_S = 1.0  # beyond its delay, until pushes count as sound again
RESERVATION_INTERVAL_S = 2.0  # between reservations
RESERVATION_LIFETIME_MS = 15_000.0
MAX_RECENT_FILES = 40  # old files that may be pushed again
FILE_LIFETIME_MS = 8_000.0  # short, so that much comes after its time
FILE_CYCLES = 10  # see PublisherSettings
PUSH_SPACING_MS = 50.0  # see PushLimits
PUBLISHER_INTERVAL_S = 0.1  # see FilePublisher


@dataclass(slots=True)
class PushFault:
    """The present condition of pushes between planners' folders and proxies'.

    Attributes:
        max_delay: Seconds, drawn up to it: so files overtake each other.
        duplicated: Share that comes once more, late.
        torn: Share that is copied in place, in two steps.
        stale: Share beside which an old file is pushed again.
        lost: Share that never comes.
    """

    max_delay: float = 0.0
    duplicated: float = 0.0
    torn: float = 0.0
    stale: float = 0.0
    lost: float = 0.0


class PublishedFile(NamedTuple):
    """A file that a planner has published."""

    path: str
    data: bytes


class FileExchange:
    """All files of a simulation, and what the rules say of them.

    Attributes:
        disks: By machine.
        home_planners: By proxy: whose folder takes its answers.
        published: All that planners published.
        used: By proxy and target: the newest file used.
        reservation_effects: By proxy and reservation: how often it took effect.
        pushes_healthy_from: Pushes have been sound since then, in s.
        joined: By proxy: the planner that knows it.
    """

    def __init__(
        self,
        context: SimulationContext,
        fleet: ServerFleet,
        planners: Sequence[PlannerHost],
        proxies: Sequence[Proxy],
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.planners = planners
        self.proxies = proxies
        self.fault = PushFault()
        machines = [*(planner.machine for planner in planners), *(proxy.machine for proxy in proxies)]
        self.disks = {machine.name: SimulatedDisk(machine.name) for machine in machines}
        self.home_planners = {proxy.number: proxy.number % context.shape.planners for proxy in proxies}
        self.file_proxies: dict[int, FileProxy] = {}
        self.published: set[bytes] = set()
        self.recent_files: list[PublishedFile] = []
        self.used: dict[tuple[int, str], FileVersion] = {}
        self.reservation_effects: dict[tuple[int, str], int] = {}
        self.reservations_made = 0
        self.pushes_healthy_from = 0.0
        self.joined: dict[int, int] = {}
        for planner in planners:
            self.disks[planner.machine.name].on_renamed = partial(self.file_published, planner)
        for disk in self.disks.values():
            disk.on_written_in_place = partial(self.written_in_place, disk.owner)
        context.schedule_after(RESERVATION_INTERVAL_S, self.make_reservations)

    def report(self, detail: str, proxy: int | None = None) -> None:
        """Report that a file was used that may not be."""
        self.context.checker.report_violation(self.context.now_ms(), Rule.GENUINE, detail, None, proxy)

    def written_in_place(self, owner: str, path: str) -> None:
        """Somebody wrote to a final name."""
        self.report(f"{owner} wrote {path} in place")

    def wall_clock_ms(self) -> float:
        """Unix time in ms."""
        return (EPOCH_S + self.context.loop.now) * 1000.0

    @staticmethod
    def disk_runner(disk: SimulatedDisk) -> Callable[..., Any]:
        """In place of a thread: the disk's time passes, then the work is done."""

        async def run(work: Callable[..., Any], *args: Any) -> Any:
            """Wait for the disk, then do the work."""
            await asyncio.sleep(disk.delay)
            return work(*args)

        return run

    # Planners.

    def make_publisher(self, planner: PlannerHost, context: PlannerContext) -> FilePublisher:
        """Make the publisher of a planner's new process."""
        config = context.config
        settings = config.settings
        state = PublisherState(
            config.name,
            config.names,
            settings.proxy_count,
            PublisherSettings(FILE_LIFETIME_MS, FILE_CYCLES, settings.report_interval),
            context.endpoints.server_ids.name,
            config.seed & 0xFFFF,
        )
        scheduler = PushScheduler(
            PushLimits(settings.message_cap, settings.message_window, PUSH_SPACING_MS), config.seed
        )
        disk = self.disks[planner.machine.name]
        publisher = FilePublisher(
            state,
            scheduler,
            PublisherFolders("/out", "/answers"),
            FileEnvironment(disk, context.clock.now, self.disk_runner(disk)),
            partial(self.publisher_posted, planner, context),
            KEYS,
            PUBLISHER_INTERVAL_S,
        )
        planner.publisher = publisher
        return publisher

    def publisher_posted(self, planner: PlannerHost, context: PlannerContext, item: PlannerMessage) -> None:
        """A publisher posts to its planner: a proxy that joins by files counts as joined."""
        if isinstance(item, ProxyStream):
            self.count_as_joined(item.proxy, planner.number)
        context.post(item)

    def planner_stopped(self, planner: int) -> None:
        """A planner's process is about to end."""
        self.joined = {proxy: known_by for proxy, known_by in self.joined.items() if known_by != planner}

    def make_reservations(self) -> None:
        """Let each planner reserve what must take effect once, at whoever reads it."""
        for planner in self.planners:
            if not planner.running or planner.publisher is None or planner.publisher.state.incarnation is None:
                continue
            self.reservations_made += 1
            now = self.wall_clock_ms()
            class_name = self.context.shape.classes[-1].name
            reservation = Reservation(f"b{self.reservations_made}", class_name, 1, now + RESERVATION_LIFETIME_MS, now)
            planner.publisher.state.reserve(reservation, now)
        self.context.schedule_after(RESERVATION_INTERVAL_S, self.make_reservations)

    # Pushes.

    def file_published(self, planner: PlannerHost, path: str, data: bytes) -> None:
        """A planner's file has got its final name: it is pushed to the proxies concerned."""
        _, _, folder, name = path.split("/")
        self.published.add(data)
        kind, _, number = folder.partition("-")
        for proxy in self.proxies:
            concerns_zone = kind == "zone" and self.context.zones[proxy.zone] == number
            concerns_proxy = kind == "proxy" and str(proxy.number) == number
            if concerns_zone or concerns_proxy:
                self.push(planner.machine, proxy, f"/{kind}/{name}", data)
        self.recent_files = [*self.recent_files[-MAX_RECENT_FILES:], PublishedFile(path, data)]

    def push(self, source: Machine, proxy: Proxy, path: str, data: bytes) -> None:
        """Push a file to a proxy, with what goes wrong for now."""
        context = self.context
        fault = self.fault
        generator = context.random
        if context.network.is_cut(source, proxy.machine) or generator.random() < fault.lost:
            return
        delay = generator.uniform(*PUSH_DURATION_S) + fault.max_delay * generator.random()
        disk = self.disks[proxy.machine.name]
        if generator.random() < fault.torn:
            first = generator.randrange(1, len(data))
            context.schedule_after(delay, self.copy_beginning, disk, path, data, first)
            delay += TORN_SECOND_STEP_S * generator.random()
        context.schedule_after(delay, disk.files.__setitem__, path, data)
        if generator.random() < fault.duplicated:
            again = delay + DUPLICATE_DELAY_S * generator.random()
            context.schedule_after(again, disk.files.__setitem__, path, data)
        if self.recent_files and generator.random() < fault.stale:
            stale = generator.choice(self.recent_files)
            folder = path.rpartition("/")[0]
            stale_path = f"{folder}/{stale.path.rpartition('/')[2]}"
            at = context.loop.now + delay + STALE_DELAY_S * generator.random()
            context.loop.schedule_at(at, None, disk.files.__setitem__, stale_path, stale.data)

    @staticmethod
    def copy_beginning(disk: SimulatedDisk, path: str, data: bytes, end: int) -> None:
        """Copied in place: the file's start over what lies there."""
        disk.files[path] = data[:end] + disk.files.get(path, b"")[end:]

    def set_fault(self, fault: PushFault, span: float) -> None:
        """While pushes are late or lost, proxies count as left: no update is sure to reach them."""
        self.fault = fault
        if fault.max_delay > LARGE_DELAY_S or fault.lost or fault.torn:
            self.proxies_left(list(self.joined))
        self.context.schedule_after(span, self.end_fault, fault)

    def end_fault(self, fault: PushFault) -> None:
        """A fault ends, unless another has replaced it."""
        if self.fault is fault:
            self.fault = PushFault()
            self.pushes_healthy_from = self.context.loop.now + fault.max_delay + REST_AFTER_FAULT_S

    def count_as_joined(self, proxy: int, planner: int) -> None:
        """A proxy counts as joined for the rules."""
        self.joined[proxy] = planner
        self.context.checker.proxy_joined(proxy, planner, self.context.now_ms())

    def proxies_left(self, proxies: list[int]) -> None:
        """Proxies count as left for the rules."""
        for proxy in proxies:
            if self.joined.pop(proxy, None) is not None:
                self.context.checker.proxy_left(proxy, self.context.now_ms())

    def is_cut_off(self, proxy: Proxy, planner: int) -> bool:
        """Whether something does not pass between a proxy and a planner."""
        return self.context.network.is_cut_between(proxy.machine, self.planners[planner].machine)

    def cut_began(self) -> None:
        """Proxies across a cut count as left until an answer has passed again."""
        self.proxies_left(
            [proxy for proxy, planner in self.joined.items() if self.is_cut_off(self.proxies[proxy], planner)]
        )

    # Proxies.

    def start_proxy(self, proxy: Proxy) -> None:
        """Start the file reader of a proxy's new process: it reads the files that are there."""
        self.joined.pop(proxy.number, None)
        disk = self.disks[proxy.machine.name]
        file_proxy = FileProxy(self.context, self.fleet, self, proxy, disk, self.disk_runner(disk))
        self.file_proxies[proxy.number] = file_proxy
        self.context.loop.start_process(proxy.process, file_proxy.run())

    def answer_written(self, proxy: Proxy, path: str, data: bytes) -> None:
        """A proxy's answer has got its final name: it is pushed to the proxy's home planner."""
        planner = self.planners[self.home_planners[proxy.number]]
        if path.startswith("/answers/") and not self.is_cut_off(proxy, planner.number):
            generator = self.context.random
            delay = generator.uniform(*PUSH_DURATION_S) + self.fault.max_delay * generator.random()
            disk = self.disks[planner.machine.name]
            self.context.schedule_after(delay, self.answer_arrived, proxy, planner, disk, path, data)

    def answer_arrived(self, proxy: Proxy, planner: PlannerHost, disk: SimulatedDisk, path: str, data: bytes) -> None:
        """A proxy's answer lies in its planner's folder: the proxy counts as joined again, if all is sound."""
        disk.files[path] = data
        known = planner.publisher is not None and proxy.number in planner.publisher.state.proxies
        if known and planner.running and proxy.number not in self.joined and self.is_healthy(proxy, planner.number):
            self.count_as_joined(proxy.number, planner.number)

    def is_healthy(self, proxy: Proxy, planner: int) -> bool:
        """Whether pushes are in order, and the path between a proxy and a planner is open."""
        return (
            self.fault == PushFault()
            and self.context.loop.now >= self.pushes_healthy_from
            and not self.is_cut_off(proxy, planner)
        )

    def file_used(self, proxy: Proxy, applied: FileApplied, remembered: bool) -> None:
        """A reader uses a file: it has to be genuine, newer than the last, and its reservations new.

        Args:
            proxy: Whose reader it is.
            applied: The file.
            remembered: Whether the reader could store that; if not, it may use an older file after a restart.
        """
        update = applied.current.update
        key = proxy.number, target_key(update)
        last = self.used.get(key)
        if last is not None and update.version < last:
            self.report(f"{key[1]}: number {update.sequence} applied after {last.sequence}", proxy.number)
        if remembered:
            self.used[key] = max(update.version, last) if last is not None else update.version
        if encode(update, KEYS) not in self.published:
            self.report(f"{applied.name}: used, and no planner wrote it", proxy.number)
        if update.expires_at <= self.wall_clock_ms():
            self.report(f"{applied.name}: used after its time", proxy.number)
        for reservation in applied.reservations:
            self.reservation_took_effect(proxy.number, reservation.id)

    def reservation_took_effect(self, proxy: int, reservation: str) -> None:
        """A reservation has run at a proxy; it may only once."""
        times = self.reservation_effects.get((proxy, reservation), 0) + 1
        self.reservation_effects[proxy, reservation] = times
        if times > 1:
            detail = f"booking order {reservation} took effect {times} times"
            self.context.checker.report_violation(self.context.now_ms(), Rule.ONCE, detail, None, proxy)
