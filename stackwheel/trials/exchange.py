"""Trials with files: planners write them, something pushes them to forwarders, and all that goes wrong between.

The shipped publisher, scheduler, reader and precedence run here as they are. The push between two machines is the
model's: late, doubled, torn (copied in place), out of order, or of an old file again.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from stackwheel.files.acceptor import target_key
from stackwheel.files.codec import KeyRing, encode
from stackwheel.files.content import TableContent
from stackwheel.files.environment import FileEnvironment
from stackwheel.files.errors import ReplaceError
from stackwheel.files.file_builder import PublisherSettings
from stackwheel.files.outcomes import FileApplied
from stackwheel.files.precedence import PrecedenceSettings, Source, SourcePrecedence
from stackwheel.files.publisher import FilePublisher, Folders
from stackwheel.files.publisher_state import PublisherState
from stackwheel.files.push_scheduler import PushLimits, PushScheduler
from stackwheel.files.reader import FileReader, ReaderConfig, StatusReport
from stackwheel.files.records import ClassDemand, FileVersion, Reservation, ServerObservation
from stackwheel.rules.violations import Rule
from stackwheel.service.ports import PlannerContext
from stackwheel.state.planner_actor import Item
from stackwheel.state.streams import ProxyStream
from stackwheel.trials.disks import TrialDisk
from stackwheel.trials.loop import Machine
from stackwheel.trials.planners import EPOCH

if TYPE_CHECKING:
    from stackwheel.trials.planners import PlannerHost
    from stackwheel.trials.proxies import Proxy
    from stackwheel.trials.world import World

LOOK = 0.1  # s between a forwarder's looks at its folders
PUSH = (0.02, 0.2)  # s that a push takes
BOOK_EVERY = 2.0  # s between orders for bookings
HISTORY_MOST = 40  # old files that may be pushed once more
LIFE, KEEP = 8_000.0, 5_000.0  # ms: short, so that much comes after its time
KEYS = KeyRing({"k1": b"trial key, thirty-two bytes long"}, "k1")


@dataclass(slots=True)
class PushTrouble:
    """What holds between planners' folders and forwarders' for now."""

    late: float = 0.0  # s, drawn up to it: so files overtake each other
    doubled: float = 0.0  # share that comes once more, late
    torn: float = 0.0  # share that is copied in place, in two steps
    old: float = 0.0  # share beside which an old file is pushed again
    lost: float = 0.0


class Exchange:
    def __init__(self, world: World) -> None:
        self.world = world
        self.trouble = PushTrouble()
        self.disks = {host.machine.name: TrialDisk(host.machine.name) for host in world.hosts}
        self.disks |= {proxy.machine.name: TrialDisk(proxy.machine.name) for proxy in world.proxies}
        self.homes = {proxy.number: proxy.number % world.shape.planners for proxy in world.proxies}
        self.drivers: dict[int, Driver] = {}
        self.written: set[bytes] = set()  # all that planners wrote, whole
        self.history: list[tuple[str, bytes]] = []
        self.applied: dict[tuple[int, str], FileVersion] = {}  # by forwarder and target: the newest mark
        self.effects: dict[tuple[int, str], int] = {}  # by forwarder and booking order
        self.ordered = 0
        self.quiet_from = 0.0  # pushes have been sound since
        self.joined: dict[int, int] = {}  # forwarder: planner that knows it
        for host in world.hosts:
            self.disks[host.machine.name].renamed = partial(self.pushed, host)
        for disk in self.disks.values():
            disk.in_place = partial(self.in_place, disk.owner)
        world.loop.at(BOOK_EVERY, None, self.book)

    def wrong(self, why: str, planner: int | None = None, proxy: int | None = None) -> None:
        self.world.checker.break_rule(self.world.ms(), Rule.GENUINE, why, planner, proxy)

    def in_place(self, owner: str, path: str) -> None:
        self.wrong(f"{owner} wrote {path} in place")

    def now(self) -> float:
        return (EPOCH + self.world.loop.now) * 1000.0

    def run_blocking(self, disk: TrialDisk) -> Callable[..., Any]:
        """In place of a thread: the disk's time passes, then the work is done."""

        async def run(work: Callable[..., Any], *about: Any) -> Any:
            await asyncio.sleep(disk.slow)
            return work(*about)

        return run

    # planners

    def extras(self, host: PlannerHost, context: PlannerContext) -> list[Any]:
        disk, config = self.disks[host.machine.name], context.config
        state = PublisherState(
            config.name,
            config.names,
            config.settings.proxy_count,
            PublisherSettings(LIFE, 10, config.settings.report_interval),
            context.endpoints.server_ids.name,
            config.seed & 0xFFFF,
        )
        cap = config.settings.message_cap
        scheduler = PushScheduler(PushLimits(cap, config.settings.message_window, 50.0), config.seed)
        publisher = FilePublisher(
            state,
            scheduler,
            Folders("/out", "/answers"),
            FileEnvironment(disk, context.clock.now, self.run_blocking(disk)),
            lambda item: self.heard(host, context, item),
            KEYS,
            0.1,
        )
        host.publisher = publisher
        return [publisher]

    def heard(self, host: PlannerHost, context: PlannerContext, item: Item) -> None:
        """What the publisher posts: a forwarder that joins by files counts as joined."""
        if isinstance(item, ProxyStream):
            self.joined[item.proxy] = host.number
            self.world.checker.joined(item.proxy, host.number, self.world.ms())
        context.post(item)

    def planner_down(self, planner: int) -> None:
        self.joined = {proxy: one for proxy, one in self.joined.items() if one != planner}

    def book(self) -> None:
        """An order that must take effect once, at whoever reads it."""
        world = self.world
        for host in world.hosts:
            if host.running and host.publisher is not None and host.publisher.state.incarnation is not None:
                self.ordered += 1
                host.publisher.state.reserve(
                    Reservation(f"b{self.ordered}", world.shape.classes[-1].name, 1, self.now() + 15_000.0, self.now()),
                    self.now(),
                )
        world.loop.at(world.loop.now + BOOK_EVERY, None, self.book)

    # pushes

    def pushed(self, host: PlannerHost, path: str, data: bytes) -> None:
        """A planner's file has been swapped: something takes it to the forwarders concerned."""
        _, _, place, name = path.split("/")
        self.written.add(data)
        kind, _, number = place.partition("-")
        for proxy in self.world.proxies:
            if (kind == "zone" and self.world.zones[proxy.zone] == number) or (
                kind == "proxy" and str(proxy.number) == number
            ):
                self.push(host.machine, proxy, f"/{kind}/{name}", data)
        self.history = [*self.history[-HISTORY_MOST:], (path, data)]

    def push(self, source: Machine, proxy: Proxy, path: str, data: bytes) -> None:
        world, trouble, chance = self.world, self.trouble, self.world.chance
        if self.world.network.is_cut(source, proxy.machine) or chance.random() < trouble.lost:
            return
        late = chance.uniform(*PUSH) + trouble.late * chance.random()
        disk = self.disks[proxy.machine.name]
        if chance.random() < trouble.torn:
            world.loop.at(world.loop.now + late, None, self.copy_part, disk, path, data, chance.randrange(1, len(data)))
            late += 0.3 * chance.random()
        world.loop.at(world.loop.now + late, None, disk.files.__setitem__, path, data)
        if chance.random() < trouble.doubled:
            again = late + 3.0 * chance.random()
            world.loop.at(world.loop.now + again, None, disk.files.__setitem__, path, data)
        if self.history and chance.random() < trouble.old:
            old_path, old = chance.choice(self.history)
            name = old_path.rpartition("/")[2]
            world.loop.at(
                world.loop.now + late + chance.random(),
                None,
                disk.files.__setitem__,
                path.rpartition("/")[0] + "/" + name,
                old,
            )

    @staticmethod
    def copy_part(disk: TrialDisk, path: str, data: bytes, cut: int) -> None:
        """Copied in place: its start over what lies there."""
        disk.files[path] = data[:cut] + disk.files.get(path, b"")[cut:]

    def set_trouble(self, trouble: PushTrouble, span: float) -> None:
        """While pushes are late or lost, forwarders count as left: no order is sure to reach them."""
        self.trouble = trouble
        if trouble.late > 0.5 or trouble.lost or trouble.torn:
            self.leave(list(self.joined))
        self.world.loop.at(self.world.loop.now + span, None, self.end_trouble, trouble)

    def end_trouble(self, trouble: PushTrouble) -> None:
        if self.trouble is trouble:
            self.trouble = PushTrouble()
            self.quiet_from = self.world.loop.now + trouble.late + 1.0

    def leave(self, proxies: list[int]) -> None:
        for proxy in proxies:
            if self.joined.pop(proxy, None) is not None:
                self.world.checker.left(proxy, self.world.ms())

    def cut(self) -> None:
        """A cut has begun: forwarders across it count as left until an answer has passed again."""
        self.leave(
            [
                proxy
                for proxy, planner in self.joined.items()
                if self.world.between_cut(self.world.proxies[proxy], planner)
            ]
        )

    # forwarders

    def start(self, proxy: Proxy) -> None:
        """A new life of a forwarder's process: it reads what lies there and remembers what it kept."""
        self.joined.pop(proxy.number, None)
        driver = self.drivers[proxy.number] = Driver(self, proxy)
        self.world.loop.start(proxy.mind, driver.run())

    def answer_written(self, proxy: Proxy, path: str, data: bytes) -> None:
        host = self.world.hosts[self.homes[proxy.number]]
        if path.startswith("/answers/") and not self.world.between_cut(proxy, host.number):
            late = self.world.chance.uniform(*PUSH) + self.trouble.late * self.world.chance.random()
            disk = self.disks[host.machine.name]
            self.world.loop.at(self.world.loop.now + late, None, self.answer_comes, proxy, host, disk, path, data)

    def answer_comes(self, proxy: Proxy, host: PlannerHost, disk: TrialDisk, path: str, data: bytes) -> None:
        disk.files[path] = data
        known = host.publisher is not None and proxy.number in host.publisher.state.proxies
        if known and host.running and proxy.number not in self.joined and self.sound(proxy, host.number):
            self.joined[proxy.number] = host.number  # heard again
            self.world.checker.joined(proxy.number, host.number, self.world.ms())

    def sound(self, proxy: Proxy, planner: int) -> bool:
        return (
            self.trouble == PushTrouble()
            and self.world.loop.now >= self.quiet_from
            and not self.world.between_cut(proxy, planner)
        )

    def take(self, proxy: Proxy, taken: FileApplied) -> None:
        """A reader says that it uses a file: it has to be genuine, newer than the last, and its orders new."""
        orders, key = taken.current.update, (proxy.number, target_key(taken.current.update))
        last = self.applied.get(key)
        if last is not None and orders.version < last:
            self.wrong(f"{key[1]}: number {orders.sequence} applied after {last[1]}", proxy=proxy.number)
        if self.drivers[proxy.number].reader.memory_saved:  # what can't be kept is not remembered after a restart
            self.applied[key] = max(orders.version, last) if last is not None else orders.version
        if encode(orders, KEYS) not in self.written:
            self.wrong(f"{taken.name}: used, and no planner wrote it", proxy=proxy.number)
        if orders.expires_at <= self.now():
            self.wrong(f"{taken.name}: used after its time", proxy=proxy.number)
        for order in taken.reservations:
            done = self.effects[proxy.number, order.id] = self.effects.get((proxy.number, order.id), 0) + 1
            if done > 1:
                self.world.checker.break_rule(
                    self.world.ms(), Rule.ONCE, f"booking order {order.id} took effect {done} times", None, proxy.number
                )


class Driver:
    """What a forwarder's process does with files."""

    def __init__(self, exchange: Exchange, proxy: Proxy) -> None:
        self.exchange, self.proxy = exchange, proxy
        self.disk = exchange.disks[proxy.machine.name]
        self.disk.renamed = lambda path, data: exchange.answer_written(proxy, path, data)
        zone = exchange.world.zones[proxy.zone]
        self.reader = FileReader(
            ReaderConfig(zone, proxy.number, ("/zone", "/proxy"), "/answers", "/state"),
            FileEnvironment(self.disk, exchange.now, exchange.run_blocking(self.disk)),
            lambda: KEYS,
            int(exchange.world.loop.now * 1000) & 0xFFFF,
        )
        self.prevailing = SourcePrecedence(PrecedenceSettings(expired_grace=KEEP))
        self.shown: tuple[Source, TableContent] | None = None
        self.reported = exchange.world.loop.now

    async def run(self) -> None:
        world = self.exchange.world
        await self.reader.start()
        while True:
            for news in await self.reader.poll():
                if isinstance(news, FileApplied):
                    self.exchange.take(self.proxy, news)
                    self.prevailing.file_applied(target_key(news.current.update), news.current, self.exchange.now())
            self.go_by()
            if world.loop.now - self.reported >= world.shape.cycle / 1000.0:
                await self.answer()
            await asyncio.sleep(LOOK)

    def go_by(self) -> None:
        """Tables as the sources that prevail say; with nothing heard yet, the standing ones."""
        choice = self.prevailing.select(self.exchange.now())
        if choice.source is Source.NONE or self.shown == (choice.source, choice.content):
            return
        self.shown = choice.source, choice.content
        proxy = self.proxy
        for route, held in proxy.holdings.routes.items():
            if route in choice.content.tables:
                held.lines = dict(choice.content.tables[route])
                level = choice.content.levels.get(route)
                held.level = (level.admitted, level.retry) if level is not None else None
        proxy.holdings.ejected = dict.fromkeys(choice.content.ejected)
        for held in proxy.holdings.routes.values():
            proxy.holdings.refresh(held)
        proxy.fresh = False
        self.exchange.world.checker.note(
            self.exchange.world.ms(), f"goes by {choice.source.value}", f"proxy-{proxy.number}"
        )
        proxy.tell_lines()

    async def answer(self) -> None:
        """Say what came and what was met since the last time."""
        world, proxy = self.exchange.world, self.proxy
        over = (world.loop.now - self.reported) * 1000.0
        self.reported = world.loop.now
        came = [
            ClassDemand(route, count, failed)
            for route, count, failed in zip(proxy.routes, proxy.came, proxy.unserved, strict=True)
            if count
        ]
        met = [
            ServerObservation(name, int(m[0]), int(m[1]), m[2] / max(1.0, m[0] - m[1]), world.load_of(name))
            for name, m in proxy.met.items()
        ]
        proxy.came, proxy.unserved, proxy.met = [0] * len(proxy.routes), [0] * len(proxy.routes), {}
        with contextlib.suppress(ReplaceError):  # a disk that is full or gone: the next one says it all
            await self.reader.write_status(StatusReport(proxy.rate(), over, came, met, proxy.fresh))
