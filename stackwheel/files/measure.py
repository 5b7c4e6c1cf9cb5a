"""Measures the cost of table files on this machine: encoding, replacement, delivery and event loop stalls."""

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

CODEC_SERVER_COUNTS = (10, 150, 1000)
PUSH_PROXY_COUNTS = (24, 500, 5000)
PUSH_SERVER_COUNT = 150
EXCHANGE_SERVER_COUNTS = (30, 150)
CLASSES = ("a", "b", "c")
DELTA_LINE_SHARE = 0.1
KEYS = KeyRing({"k1": b"measurement key, thirty-two byte"}, "k1")
RATE_WINDOW_S = 0.5
EXCHANGE_ROUNDS = 100
SLOW_SYNC_S = 1.0
SLOW_SYNC_ROUNDS = 3
LAG_SAMPLE_INTERVAL_S = 0.005
LEVEL = TableLevel(1.0, 1)
TABLE_NAME = "x.table"


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured value; `stackwheel files measure --json` prints its fields.

    Attributes:
        what: name of the measured quantity.
        size: size of the input.
        value: measured value, in `unit`.
        unit: unit of the value.
    """

    what: str
    size: str
    value: float
    unit: str


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Delays in a series of updates from a publisher to a reader.

    Attributes:
        delays_ms: time from each update to its application, ms.
        longest_stall_ms: longest stall of the event loop, ms.
    """

    delays_ms: list[float]
    longest_stall_ms: float


def measure() -> Iterator[Measurement]:
    """Yield all measurements, made on the disk of the folder for temporary files."""
    yield from measure_codec()
    with tempfile.TemporaryDirectory() as name:
        yield from measure_disk(Path(name))
        yield from measure_exchange(Path(name))


def measure_codec() -> Iterator[Measurement]:
    """Measure the size of a file, and the files encoded and decoded per second."""
    for servers in CODEC_SERVER_COUNTS:
        for kind, update in zip(("whole", "change"), sample_updates(servers), strict=True):
            data = encode(update, KEYS)
            size = f"{servers} servers, {kind}"
            yield Measurement("bytes of a file", size, len(data), "bytes")
            yield Measurement("files encoded", size, calls_per_second(partial(encode, update, KEYS)), "a second")
            yield Measurement("files decoded", size, calls_per_second(partial(decode, data, KEYS)), "a second")


def measure_disk(folder: Path) -> Iterator[Measurement]:
    """Measure the replacements per second, and the time to write a file to the folder of each proxy."""
    complete, _ = sample_updates(PUSH_SERVER_COUNT)
    data = encode(complete, KEYS)
    replace = partial(replace_file, SystemDisk(), str(folder), TABLE_NAME, data)
    yield Measurement("swaps, one after the other", f"{len(data)} bytes", calls_per_second(replace), "a second")
    for proxies in PUSH_PROXY_COUNTS:
        targets = [folder / f"proxy-{number}" for number in range(proxies)]
        for target in targets:
            target.mkdir(exist_ok=True)
        seconds = asyncio.run(push_to_all(targets, data))
        yield Measurement("a push to all", f"{proxies} forwarders, {PUSH_SERVER_COUNT} servers", seconds, "s")


def measure_exchange(folder: Path) -> Iterator[Measurement]:
    """Measure the time from an update to its application, and the longest stall of the event loop."""
    for servers in EXCHANGE_SERVER_COUNTS:
        result = asyncio.run(exchange(folder / f"e{servers}", SystemDisk(), servers, EXCHANGE_ROUNDS))
        percentiles = statistics.quantiles(result.delays_ms, n=100)
        size = f"{servers} servers"
        yield Measurement("from decision to application, median", size, percentiles[49], "ms")
        yield Measurement("from decision to application, 99 in 100", size, percentiles[98], "ms")
        yield Measurement("the loop's longest stall", size, result.longest_stall_ms, "ms")
    result = asyncio.run(exchange(folder / "slow", SlowDisk(SLOW_SYNC_S), 30, SLOW_SYNC_ROUNDS))
    yield Measurement("the loop's longest stall", "30 servers, a sync takes 1 s", result.longest_stall_ms, "ms")


def calls_per_second(call: Callable[[], object]) -> float:
    """Measure the number of sequential calls of a function per second."""
    count = 0
    started_at = time.perf_counter()
    while (elapsed := time.perf_counter() - started_at) < RATE_WINDOW_S:
        call()
        count += 1
    return count / elapsed


def sample_updates(servers: int) -> tuple[TableUpdate, TableUpdate]:
    """Return a complete update with `servers` lines per table, and a delta on it."""
    incarnation = Incarnation(0, 1, 1)
    now = 1e12
    expires_at = now + 3e4
    lines = {f"s-{number:08x}": 1.0 + number / servers for number in range(servers)}
    tables = tuple(WeightTable(name, lines, LEVEL) for name in CLASSES)
    complete = TableUpdate("n0", incarnation, 1, now, expires_at, "east", tables=tables)
    changed = {
        server: weight * 2 if number < DELTA_LINE_SHARE * servers else weight
        for number, (server, weight) in enumerate(lines.items())
    }
    content = TableContent(dict.fromkeys(CLASSES, changed), dict.fromkeys(CLASSES, LEVEL))
    changes = delta_tables(complete, content)
    delta = TableUpdate("n0", incarnation, 2, now, expires_at, "east", base_sequence=1, tables=changes)
    return complete, delta


async def push_to_all(targets: list[Path], data: bytes) -> float:
    """Write a file to every folder under the limits of the scheduler, and return the time taken in seconds."""
    scheduler = PushScheduler(PushLimits(), 1)
    disk = SystemDisk()
    started_at = time.perf_counter()
    for target in targets:
        scheduler.submit(str(target), data, 1, 0.0)
    while True:
        attempts = scheduler.start_attempts(0.0)
        if not attempts:
            return time.perf_counter() - started_at
        writes = (
            asyncio.to_thread(replace_file, disk, attempt.target, TABLE_NAME, attempt.data) for attempt in attempts
        )
        results = await asyncio.gather(*writes, return_exceptions=True)
        for attempt, result in zip(attempts, results, strict=True):
            scheduler.finish(attempt, not isinstance(result, BaseException), 0.0)


class SlowDisk(SystemDisk):
    """A disk on which syncing a file takes a given time."""

    def __init__(self, sync_s: float) -> None:
        self.sync_s = sync_s

    def sync(self, handle: int) -> None:
        """Wait, then make the content of an open file durable."""
        time.sleep(self.sync_s)
        super().sync(handle)


def build_publisher(folder: Path, disk: Disk, servers: int) -> FilePublisher:
    """Return a publisher for one zone with `servers` registered servers."""
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
    """Return the reader of the first proxy."""
    config = ReaderConfig("east", 0, (str(folder / "out/zone-east"),), str(folder / "answers"), str(folder / "state"))
    return FileReader(config, FileEnvironment(SystemDisk(), unix_ms), lambda: KEYS)


async def exchange(folder: Path, disk: Disk, servers: int, rounds: int) -> ExchangeResult:
    """Publish updates one at a time, and measure the time until a continuously polling reader applies each."""
    for name in ("out/zone-east", "answers", "state"):
        (folder / name).mkdir(parents=True, exist_ok=True)
    publisher = build_publisher(folder, disk, servers)
    reader = build_reader(folder)
    publishing = asyncio.create_task(publisher.run())
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
        started_at = time.perf_counter()
        publisher.deliver([(connection, update)])
        while not await reader.poll():
            await asyncio.sleep(0.001)
        delays_ms.append((time.perf_counter() - started_at) * 1000.0)
    sampling.cancel()
    publishing.cancel()
    return ExchangeResult(delays_ms, max(lags_ms, default=0.0))


def sample_proxy_update(servers: int, number: int) -> ProxyUpdate:
    """Return an update for the first proxy that changes all weights; update 0 is complete."""
    lines = tuple((server_id(f"s-{server}"), 1.0 + number + server) for server in range(servers))
    level = AdmissionLevel(1.0, Retry.ONCE_IF_NOT_EXECUTED)
    return ProxyUpdate(0, (UpdatePart(tuple(range(len(CLASSES))), number == 0, lines, level),))


async def sample_loop_lag(lags_ms: list[float]) -> None:
    """Record the delays of short sleeps in ms, until cancelled."""
    while True:
        started_at = time.perf_counter()
        await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
        lags_ms.append((time.perf_counter() - started_at - LAG_SAMPLE_INTERVAL_S) * 1000.0)
