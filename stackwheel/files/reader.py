"""A forwarder's actor for files: looks at its folders, takes what may be taken, keeps its memory, answers.

What counts is the folders' state: a missed event costs a poll at most. Nothing takes effect before the memory that
forbids its repetition is kept; where it can't be kept, tables are used and orders for bookings are not.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import msgspec
from loguru import logger

from stackwheel.files.accept import Accepted, Acceptor, Held, Known, Memory, target
from stackwheel.files.codec import NO_KEYS, KeyRing, Refusal, Stage, decode, encode
from stackwheel.files.disk import SUFFIX, Disk, SwapFailed, read_file, swap
from stackwheel.files.memory import keep, recall
from stackwheel.files.publisher import Aside, names_of
from stackwheel.files.records import Answer, Booking, Came, Incarnation, Met, Orders

SEEN_MOST = 4096  # files of a folder whose last bytes are remembered


@dataclass(frozen=True, slots=True)
class Place:
    """Whose reader this is, and where it reads, answers and remembers."""

    zone: str
    proxy: int
    folders: Sequence[str]  # its zone's, then its own
    answers: str
    state: str


@dataclass(frozen=True, slots=True)
class Taken:
    """A file took effect."""

    name: str
    held: Held
    bookings: tuple[Booking, ...]


@dataclass(frozen=True, slots=True)
class NotTaken:
    name: str
    refusal: Refusal


News = Taken | NotTaken


class Reader:
    def __init__(
        self,
        place: Place,
        disk: Disk,
        now: Callable[[], float],
        keys: Callable[[], KeyRing] = lambda: NO_KEYS,
        aside: Aside = asyncio.to_thread,
        salt: int = 0,
    ) -> None:
        self.place, self.disk, self.now, self.keys, self.aside = place, disk, now, keys, aside
        self.salt = salt
        self.acceptor: Acceptor | None = None
        self.seen: dict[tuple[str, str], bytes] = {}  # folder and name: digest of the bytes as last looked at
        self.newest: Held | None = None  # what an answer speaks of
        self.took = 0.0
        self.sequence = 0
        self.life = Incarnation()
        self.kept = True  # the memory could be written last time

    async def start(self) -> Memory:
        """Recall what must not be forgotten."""
        now = self.now()
        found: tuple[Memory, Refusal | None] = await self.aside(recall, self.disk, self.place.state, now)
        memory, refusal = found
        if refusal is not None:
            logger.warning("files: memory not used: {}; orders for bookings made before are not applied", refusal)
        self.acceptor = Acceptor(self.place.zone, self.place.proxy, memory)
        self.life = Incarnation(0, int(now), self.salt)
        return memory

    async def look(self) -> list[News]:
        """All that has changed in the folders, in the order that lets a change find its whole file."""
        found: list[tuple[str, Orders]] = []
        news: list[News] = []
        for name, data in await self.aside(self.changed):
            document = decode(data, self.keys())
            if isinstance(document, Orders):
                found.append((name, document))
            else:
                news.append(
                    NotTaken(
                        name, document if isinstance(document, Refusal) else Refusal(Stage.CONTENT, "no file of orders")
                    )
                )
        for name, orders in sorted(found, key=lambda one: (one[1].mark, one[1].base is not None)):
            if (one := await self.offer(name, orders)) is not None:
                news.append(one)
        return news

    def changed(self) -> list[tuple[str, bytes]]:
        """Files whose bytes are others than at the last look: in a thread."""
        found: list[tuple[str, bytes]] = []
        for folder in self.place.folders:
            for name in names_of(self.disk, folder):
                if not name.endswith(SUFFIX):
                    continue
                data = read_file(self.disk, folder, name)
                if isinstance(data, Refusal):
                    data = b"\x00" + str(data).encode()  # told as what can't be used, once
                mark = hashlib.blake2b(data, digest_size=16).digest()
                if self.seen.get((folder, name)) != mark:
                    self.seen[folder, name] = mark
                    found.append((name, data))
        for key in list(self.seen)[: max(0, len(self.seen) - SEEN_MOST)]:
            del self.seen[key]
        return found

    async def offer(self, name: str, orders: Orders) -> News | None:
        """Take a file, or not; None where it is the one applied already."""
        assert self.acceptor is not None
        now = self.now()
        found = self.acceptor.offer(orders, now)
        if isinstance(found, Known):
            return None
        if isinstance(found, Refusal):
            return NotTaken(name, found)
        return await self.apply(name, found, now)

    async def apply(self, name: str, accepted: Accepted, now: float) -> News:
        """Memory first, then effect."""
        assert self.acceptor is not None
        before = self.acceptor.memory
        memory = self.acceptor.commit(accepted, now)
        failed = await self.aside(keep, self.disk, self.place.state, memory)
        bookings = accepted.bookings
        if failed is not None:
            bookings = ()  # they come again with the next file, and are taken once the memory can be kept
            self.acceptor.memory = Memory(1, memory.since, memory.marks, before.bookings)
        if self.kept != (failed is None):
            self.kept = failed is None
            self.say_kept(failed)
        held = accepted.held
        if self.over(held.orders):  # the disk took longer than the file may be used
            return NotTaken(name, Refusal(Stage.AGE, "its time was over once the memory was kept"))
        if self.newest is None or held.orders.made >= self.newest.orders.made:
            self.newest, self.took = held, max(0.0, self.now() - held.orders.made)
        return Taken(name, held, bookings)

    def over(self, orders: Orders) -> bool:
        return orders.until <= self.now()

    @staticmethod
    def say_kept(failed: SwapFailed | None) -> None:
        if failed is None:
            logger.info("files: the memory can be kept again")
        else:
            logger.warning("files: memory not kept, at {}: {}; orders for bookings wait", failed.step, failed.reason)

    def forget_lapsed(self, keep_for: float) -> list[str]:
        assert self.acceptor is not None
        return self.acceptor.lapse(self.now(), keep_for)

    async def answer(
        self, rate: float, over: float, came: Iterable[Came], met: Iterable[Met], fresh: bool
    ) -> SwapFailed | None:
        """Say what is applied, what came and what was met, in this forwarder's own file."""
        self.sequence += 1
        orders = self.newest.orders if self.newest is not None else None
        document = Answer(
            self.place.proxy,
            self.place.zone,
            self.life,
            self.sequence,
            self.now(),
            orders.planner if orders else None,
            orders.incarnation if orders else None,
            orders.sequence if orders else 0,
            self.took,
            fresh,
            rate,
            over,
            tuple(came),
            tuple(met),
        )
        name = f"answer-{self.place.proxy}{SUFFIX}"
        failed = await self.aside(swap, self.disk, self.place.answers, name, encode(document, self.keys()))
        return failed  # type: ignore[no-any-return]


def described(news: News) -> dict[str, object]:
    """News as an object for `--json`, and for people behind `follow`."""
    if isinstance(news, NotTaken):
        return {
            "file": news.name,
            "taken": False,
            "stage": news.refusal.stage.name.lower(),
            "reason": news.refusal.reason,
        }
    orders = news.held.orders
    return {
        "file": news.name,
        "taken": True,
        "target": target(orders),
        "sequence": orders.sequence,
        "whole": orders.whole,
        "lines": {r: len(lines) for r, lines in news.held.content.tables.items()},
        "withdrawn": list(orders.withdrawn),
        "bookings": [b.id for b in news.bookings],
        "incarnation": msgspec.to_builtins(orders.incarnation),
    }
