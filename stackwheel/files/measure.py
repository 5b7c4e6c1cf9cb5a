"""What files cost: bytes and files a second by size, the way from decision to application, stalls by a slow disk."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from stackwheel.files.accept import Content, difference
from stackwheel.files.codec import KeyRing, decode, encode
from stackwheel.files.disk import Disk, SystemDisk, swap
from stackwheel.files.ledger import Ledger, Terms
from stackwheel.files.publisher import FilePublisher, Folders
from stackwheel.files.push import Pace, Pusher
from stackwheel.files.reader import Place, Reader
from stackwheel.files.records import Answer, Incarnation, Level, Orders, Table
from stackwheel.interface import AdmissionLevel, Retry
from stackwheel.settings import Names
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart

SERVERS, FORWARDERS = (10, 150, 1000), (24, 500, 5000)
CLASSES = ("a", "b", "c")
MOVED = 0.1  # of the lines, in a change file
KEYS = KeyRing({"k1": b"measurement key, thirty-two byte"}, "k1")
SPAN = 0.5  # s that a rate is taken over
ROUNDS = 100


@dataclass(frozen=True, slots=True)
class Row:
    what: str
    size: str
    value: float
    unit: str


def rate(work: Callable[[], object]) -> float:
    """Calls a second."""
    count, began = 0, time.perf_counter()
    while (spent := time.perf_counter() - began) < SPAN:
        work()
        count += 1
    return count / spent


def orders_of(servers: int) -> tuple[Orders, Orders]:
    """A whole file for so many servers, and a change on it in which a tenth moved."""
    life, now = Incarnation(0, 1, 1), 1e12
    lines = {f"s-{n:08x}": 1.0 + n / servers for n in range(servers)}
    whole = Orders(
        "n0", life, 1, now, now + 3e4, "east", tables=tuple(Table(name, lines, Level(1.0, 1)) for name in CLASSES)
    )
    moved = {s: w * 2 if at < MOVED * servers else w for at, (s, w) in enumerate(lines.items())}
    content = Content(dict.fromkeys(CLASSES, moved), dict.fromkeys(CLASSES, Level(1.0, 1)))
    change = Orders("n0", life, 2, now, now + 3e4, "east", base=1, tables=difference(whole, content))
    return whole, change


def codec_rows() -> Iterator[Row]:
    for servers in SERVERS:
        for kind, document in zip(("whole", "change"), orders_of(servers), strict=True):
            data = encode(document, KEYS)
            size = f"{servers} servers, {kind}"
            yield Row("bytes of a file", size, len(data), "bytes")
            yield Row("files encoded", size, rate(lambda d=document: encode(d, KEYS)), "a second")  # type: ignore[misc]
            yield Row("files decoded", size, rate(lambda d=data: decode(d, KEYS)), "a second")  # type: ignore[misc]


def disk_rows(folder: Path) -> Iterator[Row]:
    data = encode(orders_of(150)[0], KEYS)
    yield Row(
        "swaps, one after the other",
        f"{len(data)} bytes",
        rate(lambda: swap(SystemDisk(), str(folder), "x.table", data)),
        "a second",
    )
    for forwarders in FORWARDERS:
        places = [folder / f"proxy-{n}" for n in range(forwarders)]
        for place in places:
            place.mkdir(exist_ok=True)
        took = asyncio.run(push_all(places, data))
        yield Row("a push to all", f"{forwarders} forwarders, 150 servers", took, "s")


async def push_all(places: list[Path], data: bytes) -> float:
    """s until every folder has its file, under the pusher's bounds."""
    pusher, disk, began = Pusher(Pace(), 1), SystemDisk(), time.perf_counter()
    for place in places:
        pusher.offer(str(place), data, 1, 0.0)
    while True:
        attempts = pusher.attempts(0.0)
        if not attempts:
            return time.perf_counter() - began
        done = await asyncio.gather(*(asyncio.to_thread(swap, disk, a.target, "x.table", a.data) for a in attempts))
        for attempt, failed in zip(attempts, done, strict=True):
            pusher.ended(attempt, failed is None, 0.0)


class SlowDisk(SystemDisk):
    """A disk that takes a while to sync."""

    def __init__(self, sync: float) -> None:
        self.takes = sync

    def sync(self, handle: int) -> None:
        time.sleep(self.takes)
        super().sync(handle)


def unix() -> float:
    return time.time() * 1000.0


def build(folder: Path, disk: Disk, servers: int) -> tuple[FilePublisher, Reader]:
    for name in ("out/zone-east", "answers", "state"):
        (folder / name).mkdir(parents=True, exist_ok=True)
    ids = ServerIds()
    for number in range(servers):
        ids.learn(f"s-{number}")
    ledger = Ledger("n0", Names(CLASSES, ("east",), ("k",), ()), 4, Terms(3e4, 20, 1e6), ids.name, 1)
    posted: list[PlannerMessage] = []
    desk = FilePublisher(
        ledger,
        Pusher(Pace(), 1),
        Folders(str(folder / "out"), str(folder / "answers")),
        disk,
        unix,
        posted.append,
        KEYS,
        look=0.05,
    )
    reader = Reader(
        Place("east", 0, (str(folder / "out/zone-east"),), str(folder / "answers"), str(folder / "state")),
        SystemDisk(),
        unix,
        lambda: KEYS,
    )
    return desk, reader


async def exchange(folder: Path, disk: Disk, servers: int, rounds: int) -> tuple[list[float], float]:
    """ms from each order to its application by a reader that looks without pause; the loop's longest stall, ms."""
    desk, reader = build(folder, disk, servers)
    running = asyncio.create_task(desk.run())
    await reader.start()
    while desk.ledger.incarnation is None:
        await asyncio.sleep(0.01)
    list(desk.ledger.answer(Answer(0, "east", reader.life, 1, unix()), unix()))
    line, took = desk.ledger.forwarders[0].line, []
    watching = asyncio.create_task(stalls())
    for number in range(rounds):
        lines = tuple((server_id(f"s-{n}"), 1.0 + number + n) for n in range(servers))
        began = time.perf_counter()
        desk.deliver(
            [
                (
                    line,
                    ProxyUpdate(
                        0,
                        (
                            UpdatePart(
                                tuple(range(len(CLASSES))),
                                number == 0,
                                lines,
                                AdmissionLevel(1.0, Retry.ONCE_IF_NOT_EXECUTED),
                            ),
                        ),
                    ),
                )
            ]
        )
        while not await reader.look():
            await asyncio.sleep(0.001)
        took.append((time.perf_counter() - began) * 1000.0)
    watching.cancel()
    running.cancel()
    return took, max(STALLS, default=0.0)


STALLS: list[float] = []


async def stalls() -> None:
    """Notes by how much a sleep of 5 ms comes late."""
    STALLS.clear()
    while True:
        began = time.perf_counter()
        await asyncio.sleep(0.005)
        STALLS.append((time.perf_counter() - began) * 1000.0 - 5.0)


def exchange_rows(folder: Path) -> Iterator[Row]:
    for servers in (30, 150):
        took, stall = asyncio.run(exchange(folder / f"e{servers}", SystemDisk(), servers, ROUNDS))
        cuts = statistics.quantiles(took, n=100)
        yield Row("from decision to application, median", f"{servers} servers", cuts[49], "ms")
        yield Row("from decision to application, 99 in 100", f"{servers} servers", cuts[98], "ms")
        yield Row("the loop's longest stall", f"{servers} servers", stall, "ms")
    _, stall = asyncio.run(exchange(folder / "slow", SlowDisk(1.0), 30, 3))
    yield Row("the loop's longest stall", "30 servers, a sync takes 1 s", stall, "ms")


def measure() -> Iterator[Row]:
    """All rows; the disk is the one that holds temporary files."""
    yield from codec_rows()
    with tempfile.TemporaryDirectory() as name:
        yield from disk_rows(Path(name))
        yield from exchange_rows(Path(name))
