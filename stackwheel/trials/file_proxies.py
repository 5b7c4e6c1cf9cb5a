"""What a proxy's process does with files: reads them, applies them and answers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from stackwheel.files.acceptor import target_key
from stackwheel.files.codec import KeyRing
from stackwheel.files.content import TableContent
from stackwheel.files.environment import FileEnvironment
from stackwheel.files.errors import ReplaceError
from stackwheel.files.outcomes import FileApplied
from stackwheel.files.precedence import PrecedenceSettings, Source, SourcePrecedence
from stackwheel.files.reader import FileReader, ReaderConfig, StatusReport
from stackwheel.files.records import ClassDemand, ServerObservation
from stackwheel.interface import AdmissionLevel, Retry
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.disks import SimulatedDisk
from stackwheel.trials.fleet import ServerFleet
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.proxy_requests import ServerStatistics

KEYS = KeyRing({"k1": b"trial key, thirty-two bytes long"}, "k1")
POLL_INTERVAL_S = 0.1  # between looks at the folders
KEEP_MS = 5_000.0  # that a source's content is kept after its time; short, so that much comes after it


class FileObserver(Protocol):
    """What a proxy's file reader notifies the rest of a simulation of."""

    def wall_clock_ms(self) -> float:
        """Unix time in ms."""

    def answer_written(self, proxy: Proxy, path: str, data: bytes) -> None:
        """A proxy's file has got its final name."""

    def file_used(self, proxy: Proxy, applied: FileApplied, remembered: bool) -> None:
        """A reader uses a file."""


class AppliedChoice(NamedTuple):
    """The source that a proxy goes by, and its content."""

    source: Source
    content: TableContent


class FileProxy:
    """The files' side of one incarnation of a proxy."""

    def __init__(
        self,
        context: SimulationContext,
        fleet: ServerFleet,
        observer: FileObserver,
        proxy: Proxy,
        disk: SimulatedDisk,
        run_on_disk: Callable[..., Any],
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.observer = observer
        self.proxy = proxy
        disk.on_renamed = lambda path, data: observer.answer_written(proxy, path, data)
        zone = context.zones[proxy.zone]
        self.reader = FileReader(
            ReaderConfig(zone, proxy.number, ("/zone", "/proxy"), "/answers", "/state"),
            FileEnvironment(disk, observer.wall_clock_ms, run_on_disk),
            lambda: KEYS,
            int(context.loop.now * 1000) & 0xFFFF,
        )
        self.precedence = SourcePrecedence(PrecedenceSettings(expired_grace=KEEP_MS))
        self.applied_choice: AppliedChoice | None = None
        self.reported_at = context.loop.now

    async def run(self) -> None:
        """Look at the folders, go by what prevails, and answer once an interval."""
        loop = self.context.loop
        await self.reader.start()
        while True:
            for event in await self.reader.poll():
                if isinstance(event, FileApplied):
                    self.observer.file_used(self.proxy, event, self.reader.is_memory_saved)
                    self.apply_file(event)
            self.apply_choice()
            if loop.now - self.reported_at >= self.context.shape.report_interval / 1000.0:
                await self.write_answer()
            await asyncio.sleep(POLL_INTERVAL_S)

    def apply_file(self, applied: FileApplied) -> None:
        """A file is in force: it may prevail over the other sources."""
        current = applied.current
        self.precedence.file_applied(target_key(current.update), current, self.observer.wall_clock_ms())

    def apply_choice(self) -> None:
        """Set the tables by the sources that prevail; with nothing received yet, the standing ones stay."""
        choice = self.precedence.select(self.observer.wall_clock_ms())
        applied = AppliedChoice(choice.source, choice.content)
        if choice.source is Source.NONE or self.applied_choice == applied:
            return
        self.applied_choice = applied
        self.apply_content(choice.content)
        self.proxy.is_new = False
        self.context.checker.record_event(
            self.context.now_ms(), f"goes by {choice.source.value}", f"proxy-{self.proxy.number}"
        )
        self.proxy.report_served_classes()

    def apply_content(self, content: TableContent) -> None:
        """Set tables, levels and ejected servers."""
        state = self.proxy.state
        for class_name, table in state.class_tables.items():
            if class_name not in content.tables:
                continue
            table.lines = dict(content.tables[class_name])
            level = content.levels.get(class_name)
            table.level = AdmissionLevel(level.admitted, Retry(level.retry)) if level is not None else None
        state.ejected = dict.fromkeys(content.ejected)
        for table in state.class_tables.values():
            state.update_available_servers(table)

    async def write_answer(self) -> None:
        """Report the requests and the servers since the last answer."""
        now = self.context.loop.now
        window_ms = (now - self.reported_at) * 1000.0
        self.reported_at = now
        forwarder = self.proxy.forwarder
        demand = [
            ClassDemand(counted.class_name, counted.requests, counted.unserved) for counted in forwarder.take_demand()
        ]
        observations = [self.observation(name, statistics) for name, statistics in forwarder.take_statistics().items()]
        report = StatusReport(self.proxy.rate(), window_ms, demand, observations, self.proxy.is_new)
        with contextlib.suppress(ReplaceError):  # a disk that is full or missing: the next report makes up for it
            await self.reader.write_status(report)

    def observation(self, name: str, statistics: ServerStatistics) -> ServerObservation:
        """What one server did, as status reports state it."""
        in_flight = self.fleet.in_flight(name)
        columns = {} if in_flight is None else {"outstanding": float(in_flight)}
        return ServerObservation(
            name, int(statistics.attempts), int(statistics.failures), statistics.mean_ms(), columns
        )
