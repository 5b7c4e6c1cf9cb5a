"""The planner's actor for files: beside the sockets or in their place, it writes orders and reads answers.

It takes the module's orders for the forwarders that it knows. Disks are touched in threads only, each write
within the pusher's bounds; a disk that fails is told of once, and what it missed is written when it works again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from loguru import logger

from stackwheel.files.codec import NO_KEYS, KeyRing, Refusal, decode, encode
from stackwheel.files.disk import SUFFIX, Disk, SwapFailed, join, read_file, swap
from stackwheel.files.ledger import FileLine, Ledger
from stackwheel.files.push import Attempt, Pusher
from stackwheel.files.records import Answer, Incarnation, Orders
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate

T = TypeVar("T")
Aside = Callable[..., Awaitable[Any]]  # runs something that may block, out of the loop's way
ANSWERS_MOST = 20_000  # files looked at in one go
LOOK = 0.25  # s between looks at the folder of answers


@dataclass(frozen=True, slots=True)
class Folders:
    out: str  # one folder in it for each zone, and for each forwarder that differs
    answers: str


class FilePublisher:
    def __init__(
        self,
        ledger: Ledger,
        pusher: Pusher,
        folders: Folders,
        disk: Disk,
        now: Callable[[], float],
        post: Callable[[PlannerMessage], None],
        keys: KeyRing = NO_KEYS,
        aside: Aside = asyncio.to_thread,
        look: float = LOOK,
    ) -> None:
        self.ledger, self.pusher, self.folders, self.disk = ledger, pusher, folders, disk
        self.now, self.post, self.keys, self.aside, self.look = now, post, keys, aside, look
        self.woken = asyncio.Event()
        self.failing: dict[str, str] = {}  # target: what it was said to fail at
        self.answers: dict[str, bytes] = {}  # name: bytes as last taken, so that what stands is not read anew
        self.tasks: set[asyncio.Task[None]] = set()

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        for line, message in messages:
            if isinstance(line, FileLine) and self.ledger.order(message):
                self.woken.set()

    async def run(self) -> None:
        """Begin a life above all former ones that can be seen, then write and read until cancelled."""
        seen = await self.aside(self.former_lives)
        life = self.ledger.begin(self.now(), seen)
        logger.info(
            "files: life {}.{}.{} of {}, {} former ones seen",
            life.epoch,
            life.started,
            life.salt,
            self.ledger.planner,
            len(seen),
        )
        looking = asyncio.create_task(self.read_answers())
        try:
            while True:
                self.write()
                try:
                    await asyncio.wait_for(self.woken.wait(), self.pause())
                except TimeoutError:
                    continue
                finally:
                    self.woken.clear()
        finally:
            looking.cancel()

    def pause(self) -> float:
        """s until there is something to write if nothing else happens."""
        due = self.pusher.next_at(self.now())
        return self.look if due is None else min(self.look, max(0.0, (due - self.now()) / 1000.0))

    def write(self) -> None:
        """Offer the files that are due, and begin the attempts that may go."""
        now = self.now()
        for orders in self.ledger.due(now):
            target = target_name(orders.planner, orders.zone, orders.proxy)
            if not self.pusher.offer(target, encode(orders, self.keys), orders.sequence, now):
                logger.error("files: too many targets, {} left out", target)
        for attempt in self.pusher.attempts(now):
            task = asyncio.create_task(self.attempt(attempt))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def attempt(self, attempt: Attempt) -> None:
        folder, _, name = attempt.target.rpartition("/")
        try:
            failed = await self.aside(swap, self.disk, join(self.folders.out, folder), name, attempt.data)
        except Exception as error:  # of the disk's own making: it too is a failure of this attempt alone
            failed = SwapFailed("swap", repr(error))
        self.pusher.ended(attempt, failed is None, self.now())
        self.tell(attempt.target, failed)
        self.woken.set()

    def tell(self, target: str, failed: SwapFailed | None) -> None:
        """A failure is said once, and its end."""
        if failed is None:
            if self.failing.pop(target, None) is not None:
                logger.info("files: {} can be written again", target)
        elif self.failing.get(target) != failed.reason:
            self.failing[target] = failed.reason
            logger.warning("files: {} not written, at {}: {}", target, failed.step, failed.reason)

    def former_lives(self) -> list[Incarnation]:
        """Of this planner's own name: in the files it left, and in its readers' answers."""
        seen: list[Incarnation] = []
        out = [join(self.folders.out, name) for name in names_of(self.disk, self.folders.out)]
        for folder in (self.folders.answers, *out):
            for name in names_of(self.disk, folder):
                data = read_file(self.disk, folder, name)
                found = decode(data, self.keys) if isinstance(data, bytes) else data
                if (
                    isinstance(found, Orders | Answer)
                    and found.planner == self.ledger.planner
                    and (found.incarnation is not None)
                ):
                    seen.append(found.incarnation)
        return seen

    async def read_answers(self) -> None:
        while True:
            for name, data in await self.aside(self.new_answers):
                self.take(name, data)
            for item in self.ledger.silent(self.now()):
                self.post(item)
            await asyncio.sleep(self.look)

    def new_answers(self) -> list[tuple[str, bytes]]:
        """What has changed in the folder of answers, whatever events were missed: in a thread."""
        found: list[tuple[str, bytes]] = []
        names = [n for n in names_of(self.disk, self.folders.answers) if n.endswith(SUFFIX)][:ANSWERS_MOST]
        for name in names:
            data = read_file(self.disk, self.folders.answers, name)
            if isinstance(data, bytes) and self.answers.get(name) != data:
                self.answers[name] = data
                found.append((name, data))
        for gone in self.answers.keys() - set(names):
            del self.answers[gone]
        return found

    def take(self, name: str, data: bytes) -> None:
        found = decode(data, self.keys)
        if not isinstance(found, Answer):
            logger.warning(
                "files: answer {} not taken: {}", name[:60], found if isinstance(found, Refusal) else "no answer"
            )
            return
        for item in self.ledger.answer(found, self.now()):
            self.post(item)
        if found.planner == self.ledger.planner:
            for proxy in (None, found.proxy):
                self.pusher.confirm(target_name(found.planner, found.zone, proxy), found.applied, self.now())
        self.woken.set()


def names_of(disk: Disk, folder: str) -> list[str]:
    try:
        return disk.names(folder)
    except OSError:
        return []  # it is not there yet, or gone: nothing to read


def target_name(planner: str, zone: str, proxy: int | None) -> str:
    """The folder and name of a file below the folder of all: for a zone, or for one forwarder."""
    place = f"zone-{zone}" if proxy is None else f"proxy-{proxy}"
    return f"{place}/orders-{planner}{SUFFIX}"
