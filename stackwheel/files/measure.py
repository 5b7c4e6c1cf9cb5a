"""Measures what table files cost on this machine: encoding, atomic replaces, time to application, stalls."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from stackwheel.files.atomic_replace import replace_file
from stackwheel.files.codec import KeyRing, decode, encode
from stackwheel.files.content import TableContent, delta_tables
from stackwheel.files.disk import Disk, SystemDisk
from stackwheel.files.environment import FileEnvironment, unix_ms
from stackwheel.files.file_builder import PublisherSettings
from stackwheel.files.publisher import FilePublisher, PublisherFolders
from stackwheel.files.publisher_state import PublisherState
from stackwheel.files.push_scheduler import PushLimits, PushScheduler
from stackwheel.files.reader import FileReader, ReaderConfig
from stackwheel.files.records import Incarnation, ProxyStatus, TableLevel, TableUpdate, WeightTable
from stackwheel.interface import AdmissionLevel, Retry
from stackwheel.settings import ConfiguredNames
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart

CODEC_SERVERS = (10, 150, 1000)  # of a table, in the measurements of encoding
PUSH_PROXIES = (24, 500, 5000)  # each with a folder of its own
PUSH_SERVERS = 150  # of a table that is pushed
EXCHANGE_SERVERS = (30, 150)  # of a table, in the measurements of application
CLASSES = ("a", "b", "c")
CHANGED_SHARE = 0.1  # of the lines, in a delta
KEYS = KeyRing({"k1": b"measurement key, thirty-two byte"}, "k1")
RATE_SPAN_S = 0.5  # that a rate is taken over
EXCHANGE_ROUNDS = 100
SLOW_SYNC_S = 1.0
SLOW_ROUNDS = 3
LAG_SLEEP_S = 0.005  # how often the event loop's lag is sampled
LEVEL = TableLevel(1.0, 1)
TABLE_NAME = "x.table"


@dataclass(frozen=True, slots=True)
class Row:
    """One measured figure."""

    what: str
    size: str
    value: float
    unit: str


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """What a run of exchanges took.

    Attributes:
        delays_ms: from each update to its application.
        longest_stall_ms: of the event loop.
    """

    delays_ms: list[float]
    longest_stall_ms: float


def measure() -> Iterator[Row]:
    """All rows; the disk is the one that holds temporary files."""
    yield from codec_rows()
    with tempfile.TemporaryDirectory() as name:
        yield from disk_rows(Path(name))
        yield from exchange_rows(Path(name))


def codec_rows() -> Iterator[Row]:
    """Bytes of a file, and files encoded and decoded a second."""
    for servers in CODEC_SERVERS:
        for kind, update in zip(("whole", "change"), sample_updates(servers), strict=True):
            data = encode(update, KEYS)
            size = f"{servers} servers, {kind}"
            yield Row("bytes of a file", size, len(data), "bytes")
            yield Row("files encoded", size, calls_per_second(partial(encode, update, KEYS)), "a second")
            yield Row("files decoded", size, calls_per_second(partial(decode, data, KEYS)), "a second")


def disk_rows(folder: Path) -> Iterator[Row]:
    """Atomic replaces a second, and how long all folders of a deployment take."""
    complete, _ = sample_updates(PUSH_SERVERS)
    data = encode(complete, KEYS)
    replace = partial(replace_file, SystemDisk(), str(folder), TABLE_NAME, data)
    yield Row("swaps, one after the other", f"{len(data)} bytes", calls_per_second(replace), "a second")
    for proxies in PUSH_PROXIES:
        targets = [folder / f"proxy-{number}" for number in range(proxies)]
        for target in targets:
            target.mkdir(exist_ok=True)
        seconds = asyncio.run(push_to_all(targets, data))
        yield Row("a push to all", f"{proxies} forwarders, {PUSH_SERVERS} servers", seconds, "s")


def exchange_rows(folder: Path) -> Iterator[Row]:
    """Time from a decision to its application, and stalls of the event loop."""
    for servers in EXCHANGE_SERVERS:
        result = asyncio.run(exchange(folder / f"e{servers}", SystemDisk(), servers, EXCHANGE_ROUNDS))
        percentiles = statistics.quantiles(result.delays_ms, n=100)
        size = f"{servers} servers"
        yield Row("from decision to application, median", size, percentiles[49], "ms")
        yield Row("from decision to application, 99 in 100", size, percentiles[98], "ms")
        yield Row("the loop's longest stall", size, result.longest_stall_ms, "ms")
    result = asyncio.run(exchange(folder / "slow", SlowDisk(SLOW_SYNC_S), 30, SLOW_ROUNDS))
    yield Row("the loop's longest stall", "30 servers, a sync takes 1 s", result.longest_stall_ms, "ms")


def calls_per_second(call: Callable[[], object]) -> float:
    """How often a function can be called in a second."""
    count = 0
    began = time.perf_counter()
    while (elapsed := time.perf_counter() - began) < RATE_SPAN_S:
        call()
        count += 1
    return count / elapsed


def sample_updates(servers: int) -> tuple[TableUpdate, TableUpdate]:
    """A complete update with so many servers, and a delta that changes a share of its lines."""
    incarnation = Incarnation(0, 1, 1)
    now = 1e12
    expires_at = now + 3e4
    lines = {f"s-{number:08x}": 1.0 + number / servers for number in range(servers)}
    tables = tuple(WeightTable(name, lines, LEVEL) for name in CLASSES)
    complete = TableUpdate("n0", incarnation, 1, now, expires_at, "east", tables=tables)
    changed = {
        server: weight * 2 if number < CHANGED_SHARE * servers else weight
        for number, (server, weight) in enumerate(lines.items())
    }
    content = TableContent(dict.fromkeys(CLASSES, changed), dict.fromkeys(CLASSES, LEVEL))
    changes = delta_tables(complete, content)
    delta = TableUpdate("n0", incarnation, 2, now, expires_at, "east", base_sequence=1, tables=changes)
    return complete, delta


async def push_to_all(targets: list[Path], data: bytes) -> float:
    """Seconds until every folder has its file, under the scheduler's limits."""
    scheduler = PushScheduler(PushLimits(), 1)
    disk = SystemDisk()
    began = time.perf_counter()
    for target in targets:
        scheduler.submit(str(target), data, 1, 0.0)
    while True:
        attempts = scheduler.start_attempts(0.0)
        if not attempts:
            return time.perf_counter() - began
        writes = (
            asyncio.to_thread(replace_file, disk, attempt.target, TABLE_NAME, attempt.data) for attempt in attempts
        )
        results = await asyncio.gather(*writes, return_exceptions=True)
        for attempt, result in zip(attempts, results, strict=True):
            scheduler.finish(attempt, not isinstance(result, BaseException), 0.0)


class SlowDisk(SystemDisk):
    """A disk that takes a while to sync."""

    def __init__(self, sync_s: float) -> None:
        self.sync_s = sync_s

    def sync(self, handle: int) -> None:
        """Make a file's content durable, late."""
        time.sleep(self.sync_s)
        super().sync(handle)


def build_publisher(folder: Path, disk: Disk, servers: int) -> FilePublisher:
    """A publisher for one zone that serves so many servers."""
    ids = ServerIds()
    for number in range(servers):
        ids.register(f"s-{number}")
    names = ConfiguredNames(CLASSES, ("east",), ("k",), ())
    settings = PublisherSettings(file_lifetime=3e4, deltas_per_base=20, report_interval=1e6)
    posted: list[PlannerMessage] = []
    return FilePublisher(
        PublisherState("n0", names, 4, settings, ids.name, 1),
        PushScheduler(PushLimits(), 1),
        PublisherFolders(str(folder / "out"), str(folder / "answers")),
        FileEnvironment(disk, unix_ms),
        posted.append,
        KEYS,
        poll_interval_s=0.05,
    )


def build_reader(folder: Path) -> FileReader:
    """The reader of the zone's first proxy."""
    config = ReaderConfig("east", 0, (str(folder / "out/zone-east"),), str(folder / "answers"), str(folder / "state"))
    return FileReader(config, FileEnvironment(SystemDisk(), unix_ms), lambda: KEYS)


async def exchange(folder: Path, disk: Disk, servers: int, rounds: int) -> ExchangeResult:
    """Deliver updates one by one to a reader that polls without pause."""
    for name in ("out/zone-east", "answers", "state"):
        (folder / name).mkdir(parents=True, exist_ok=True)
    publisher = build_publisher(folder, disk, servers)
    reader = build_reader(folder)
    running = asyncio.create_task(publisher.run())
    await reader.start()
    while publisher.state.incarnation is None:
        await asyncio.sleep(0.01)
    list(publisher.state.receive_status(ProxyStatus(0, "east", reader.incarnation, 1, unix_ms()), unix_ms()))
    connection = publisher.state.proxies[0].connection
    lags_ms: list[float] = []
    sampling = asyncio.create_task(sample_loop_lag(lags_ms))
    delays_ms: list[float] = []
    for number in range(rounds):
        update = sample_proxy_update(servers, number)
        began = time.perf_counter()
        publisher.deliver([(connection, update)])
        while not await reader.poll():
            await asyncio.sleep(0.001)
        delays_ms.append((time.perf_counter() - began) * 1000.0)
    sampling.cancel()
    running.cancel()
    return ExchangeResult(delays_ms, max(lags_ms, default=0.0))


def sample_proxy_update(servers: int, number: int) -> ProxyUpdate:
    """An update for the first proxy; the first one is complete, and each one changes all weights."""
    lines = tuple((server_id(f"s-{server}"), 1.0 + number + server) for server in range(servers))
    level = AdmissionLevel(1.0, Retry.ONCE_IF_NOT_EXECUTED)
    return ProxyUpdate(0, (UpdatePart(tuple(range(len(CLASSES))), number == 0, lines, level),))


async def sample_loop_lag(lags_ms: list[float]) -> None:
    """Note by how many ms short sleeps come late, until cancelled."""
    while True:
        began = time.perf_counter()
        await asyncio.sleep(LAG_SLEEP_S)
        lags_ms.append((time.perf_counter() - began - LAG_SLEEP_S) * 1000.0)
