"""Exchange of files between planners and proxies in trials, with faults of the pushes.

The publisher, push scheduler, reader and source precedence of the service run unmodified. The push of a file between
two machines is simulated: it may be delayed, duplicated, torn (copied in place), reordered, or repeat an old file.
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
from stackwheel.trials.planner_config import START_UNIX_TIME_S
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.proxies import Proxy

PUSH_DURATION_RANGE_S = (0.02, 0.2)
MAX_TORN_COPY_PAUSE_S = 0.3
MAX_DUPLICATE_DELAY_S = 3.0
MAX_STALE_PUSH_DELAY_S = 1.0
MIN_DISRUPTIVE_DELAY_S = 0.5  # proxies count as left while pushes may be delayed for longer
RECOVERY_AFTER_FAULT_S = 1.0
"""Time added to the maximum delay of a fault; when both have passed since its end, pushes count as healthy."""

RESERVATION_INTERVAL_S = 2.0
RESERVATION_LIFETIME_MS = 15_000.0
MAX_RECENT_FILES = 40
FILE_LIFETIME_MS = 8_000.0  # a short lifetime, so that many files arrive after they have expired
FILE_LIFETIME_CYCLES = 10
MIN_PUSH_INTERVAL_MS = 50.0
PUBLISHER_POLL_INTERVAL_S = 0.1


@dataclass(slots=True)
class PushFault:
    """Current faults of the pushes between the folders of planners and proxies.

    Attributes:
        max_delay: Maximum of the random additional delay, in s; it lets files overtake each other.
        duplicated: Share of pushes that are repeated after a delay.
        torn: Share of pushes that are copied in place, in two steps.
        stale: Share of pushes with which an old file is pushed again.
        lost: Share of pushes that are lost.
    """

    max_delay: float = 0.0
    duplicated: float = 0.0
    torn: float = 0.0
    stale: float = 0.0
    lost: float = 0.0


class PublishedFile(NamedTuple):
    """Path and data of a file that a planner has published."""

    path: str
    data: bytes


class FileExchange:
    """All files of a simulation, the pushes between machines, and checks of the files that proxies use.

    Attributes:
        fault: Current faults of the pushes.
        disks: Disk by machine name.
        home_planners: By proxy: number of the planner that its status reports are pushed to.
        published: Data of all published files.
        recent_files: Recently published files, which may be pushed again.
        newest_used: By proxy and target: version of the newest file used.
        reservation_effects: By proxy and reservation: number of times that the reservation took effect.
        pushes_healthy_from: Time from which pushes are without faults, in s.
        joined: By joined proxy: number of its planner.
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
        self.newest_used: dict[tuple[int, str], FileVersion] = {}
        self.reservation_effects: dict[tuple[int, str], int] = {}
        self.reservations_made = 0
        self.pushes_healthy_from = 0.0
        self.joined: dict[int, int] = {}
        for planner in planners:
            self.disks[planner.machine.name].on_renamed = partial(self.file_published, planner)
        for disk in self.disks.values():
            disk.on_direct_write = partial(self.report_direct_write, disk.owner)
        context.schedule_after(RESERVATION_INTERVAL_S, self.make_reservations)

    def report(self, detail: str, proxy: int | None = None) -> None:
        """Report to the checker a violation of the rule that only complete and genuine files are used."""
        self.context.checker.report_violation(self.context.now_ms(), Rule.GENUINE, detail, None, proxy)

    def report_direct_write(self, owner: str, path: str) -> None:
        """Report to the checker that a file was written under its final name."""
        self.report(f"{owner} wrote {path} under its final name, expected a temporary name")

    def wall_clock_ms(self) -> float:
        """Return the Unix time in ms."""
        return (START_UNIX_TIME_S + self.context.loop.now) * 1000.0

    @staticmethod
    def make_disk_runner(disk: SimulatedDisk) -> Callable[..., Any]:
        """Return a function that runs disk operations on the virtual clock, in place of a thread pool."""

        async def run(work: Callable[..., Any], *args: Any) -> Any:
            """Wait for the delay of the disk, then run the operation."""
            await asyncio.sleep(disk.delay)
            return work(*args)

        return run

    # Planners.

    def make_publisher(self, planner: PlannerHost, context: PlannerContext) -> FilePublisher:
        """Create the publisher of a planner's new process."""
        config = context.config
        settings = config.settings
        state = PublisherState(
            config.name,
            config.names,
            settings.proxy_count,
            PublisherSettings(FILE_LIFETIME_MS, FILE_LIFETIME_CYCLES, settings.report_interval),
            context.endpoints.server_ids.name,
            config.seed & 0xFFFF,
        )
        scheduler = PushScheduler(
            PushLimits(settings.message_cap, settings.message_window, MIN_PUSH_INTERVAL_MS), config.seed
        )
        disk = self.disks[planner.machine.name]
        publisher = FilePublisher(
            state,
            scheduler,
            PublisherFolders("/out", "/answers"),
            FileEnvironment(disk, context.clock.now, self.make_disk_runner(disk)),
            partial(self.post_from_publisher, planner, context),
            KEYS,
            PUBLISHER_POLL_INTERVAL_S,
        )
        planner.publisher = publisher
        return publisher

    def post_from_publisher(self, planner: PlannerHost, context: PlannerContext, item: PlannerMessage) -> None:
        """Post a message of a publisher to its planner; a proxy that joins by files counts as joined."""
        if isinstance(item, ProxyStream):
            self.count_as_joined(item.proxy, planner.number)
        context.post(item)

    def planner_stopped(self, planner: int) -> None:
        """Remove the proxies of a planner whose process is about to end from the joined ones."""
        self.joined = {
            proxy: joined_planner for proxy, joined_planner in self.joined.items() if joined_planner != planner
        }

    def make_reservations(self) -> None:
        """Make a reservation at each running planner and schedule the next ones."""
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
        """Push a file that a planner has published to the proxies that it is for."""
        _, _, folder, name = path.split("/")
        self.published.add(data)
        kind, _, number = folder.partition("-")
        for proxy in self.proxies:
            is_for_zone = kind == "zone" and self.context.zones[proxy.zone] == number
            is_for_proxy = kind == "proxy" and str(proxy.number) == number
            if is_for_zone or is_for_proxy:
                self.push(planner.machine, proxy, f"/{kind}/{name}", data)
        self.recent_files = [*self.recent_files[-MAX_RECENT_FILES:], PublishedFile(path, data)]

    def push(self, source: Machine, proxy: Proxy, path: str, data: bytes) -> None:
        """Push a file to a proxy, with the current faults."""
        context = self.context
        fault = self.fault
        generator = context.random
        if context.network.is_cut(source, proxy.machine) or generator.random() < fault.lost:
            return
        delay = generator.uniform(*PUSH_DURATION_RANGE_S) + fault.max_delay * generator.random()
        disk = self.disks[proxy.machine.name]
        if generator.random() < fault.torn:
            first = generator.randrange(1, len(data))
            context.schedule_after(delay, self.copy_prefix, disk, path, data, first)
            delay += MAX_TORN_COPY_PAUSE_S * generator.random()
        context.schedule_after(delay, disk.files.__setitem__, path, data)
        if generator.random() < fault.duplicated:
            repeat_delay = delay + MAX_DUPLICATE_DELAY_S * generator.random()
            context.schedule_after(repeat_delay, disk.files.__setitem__, path, data)
        if self.recent_files and generator.random() < fault.stale:
            stale = generator.choice(self.recent_files)
            folder = path.rpartition("/")[0]
            stale_path = f"{folder}/{stale.path.rpartition('/')[2]}"
            at = context.loop.now + delay + MAX_STALE_PUSH_DELAY_S * generator.random()
            context.loop.schedule_at(at, None, disk.files.__setitem__, stale_path, stale.data)

    @staticmethod
    def copy_prefix(disk: SimulatedDisk, path: str, data: bytes, end: int) -> None:
        """Overwrite the beginning of a file, as an incomplete copy in place does."""
        disk.files[path] = data[:end] + disk.files.get(path, b"")[end:]

    def set_fault(self, fault: PushFault, span: float) -> None:
        """Begin a fault for `span` s; proxies count as left during faults that may withhold updates from them."""
        self.fault = fault
        if fault.max_delay > MIN_DISRUPTIVE_DELAY_S or fault.lost or fault.torn:
            self.proxies_left(list(self.joined))
        self.context.schedule_after(span, self.end_fault, fault)

    def end_fault(self, fault: PushFault) -> None:
        """End a fault, unless another one has replaced it."""
        if self.fault is fault:
            self.fault = PushFault()
            self.pushes_healthy_from = self.context.loop.now + fault.max_delay + RECOVERY_AFTER_FAULT_S

    def count_as_joined(self, proxy: int, planner: int) -> None:
        """Count a proxy as joined in the checker."""
        self.joined[proxy] = planner
        self.context.checker.proxy_joined(proxy, planner, self.context.now_ms())

    def proxies_left(self, proxies: list[int]) -> None:
        """Count proxies as left in the checker."""
        for proxy in proxies:
            if self.joined.pop(proxy, None) is not None:
                self.context.checker.proxy_left(proxy, self.context.now_ms())

    def is_cut_off(self, proxy: Proxy, planner: int) -> bool:
        """Return whether the path between a proxy and a planner is cut in at least one direction."""
        return self.context.network.is_cut_between(proxy.machine, self.planners[planner].machine)

    def cut_began(self) -> None:
        """Count proxies across a new cut as left until a status report arrives again."""
        self.proxies_left(
            [proxy for proxy, planner in self.joined.items() if self.is_cut_off(self.proxies[proxy], planner)]
        )

    # Proxies.

    def start_proxy(self, proxy: Proxy) -> None:
        """Start the file reader of a proxy's new process, which begins with the files on the disk."""
        self.joined.pop(proxy.number, None)
        disk = self.disks[proxy.machine.name]
        file_proxy = FileProxy(self.context, self.fleet, self, proxy, disk, self.make_disk_runner(disk))
        self.file_proxies[proxy.number] = file_proxy
        self.context.loop.start_process(proxy.process, file_proxy.run())

    def status_report_written(self, proxy: Proxy, path: str, data: bytes) -> None:
        """Push a status report that a proxy has written to the proxy's home planner."""
        planner = self.planners[self.home_planners[proxy.number]]
        if path.startswith("/answers/") and not self.is_cut_off(proxy, planner.number):
            generator = self.context.random
            delay = generator.uniform(*PUSH_DURATION_RANGE_S) + self.fault.max_delay * generator.random()
            disk = self.disks[planner.machine.name]
            self.context.schedule_after(delay, self.store_status_report, proxy, planner, disk, path, data)

    def store_status_report(
        self, proxy: Proxy, planner: PlannerHost, disk: SimulatedDisk, path: str, data: bytes
    ) -> None:
        """Store a status report in the planner's folder; the proxy counts as joined again if pushes are healthy."""
        disk.files[path] = data
        is_known = planner.publisher is not None and proxy.number in planner.publisher.state.proxies
        if is_known and planner.running and proxy.number not in self.joined and self.is_healthy(proxy, planner.number):
            self.count_as_joined(proxy.number, planner.number)

    def is_healthy(self, proxy: Proxy, planner: int) -> bool:
        """Return whether pushes are without faults and the path between a proxy and a planner is open."""
        return (
            self.fault == PushFault()
            and self.context.loop.now >= self.pushes_healthy_from
            and not self.is_cut_off(proxy, planner)
        )

    def file_used(self, proxy: Proxy, applied: FileApplied, is_saved: bool) -> None:
        """Check a file that a reader applies: it is published, not expired and not older than the one before.

        Args:
            proxy: The proxy of the reader.
            applied: The applied file.
            is_saved: Whether the reader has saved the version; if not, it may apply an older file after a restart.
        """
        update = applied.current.update
        key = proxy.number, target_key(update)
        last = self.newest_used.get(key)
        if last is not None and update.version < last:
            self.report(f"{key[1]}: sequence {update.sequence} applied after {last.sequence}", proxy.number)
        if is_saved:
            self.newest_used[key] = max(update.version, last) if last is not None else update.version
        if encode(update, KEYS) not in self.published:
            self.report(f"{applied.name}: applied, but not published by any planner", proxy.number)
        if update.expires_at <= self.wall_clock_ms():
            self.report(f"{applied.name}: applied after its expiry", proxy.number)
        for reservation in applied.reservations:
            self.count_reservation_effect(proxy.number, reservation.id)

    def count_reservation_effect(self, proxy: int, reservation: str) -> None:
        """Count an effect of a reservation at a proxy; a second one is a violation."""
        times = self.reservation_effects.get((proxy, reservation), 0) + 1
        self.reservation_effects[proxy, reservation] = times
        if times > 1:
            detail = f"reservation {reservation} took effect {times} times, expected once"
            self.context.checker.report_violation(self.context.now_ms(), Rule.ONCE, detail, None, proxy)
