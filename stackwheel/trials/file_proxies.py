"""The file reader of a simulated proxy, which applies files and writes status reports."""

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
READER_POLL_INTERVAL_S = 0.1
EXPIRED_RETENTION_MS = 5_000.0  # a short retention, so that trials also cover the time after it


class FileObserver(Protocol):
    """The part of the simulation that the file reader of a proxy uses."""

    def wall_clock_ms(self) -> float:
        """Return the Unix time in ms."""

    def status_report_written(self, proxy: Proxy, path: str, data: bytes) -> None:
        """Handle a file that a proxy has written."""

    def file_used(self, proxy: Proxy, applied: FileApplied, is_saved: bool) -> None:
        """Handle a file that a reader applies; `is_saved` tells whether the reader has saved its version."""


class AppliedSelection(NamedTuple):
    """The selected source of a proxy and its content."""

    source: Source
    content: TableContent


class FileProxy:
    """File reader of one incarnation of a proxy.

    Attributes:
        applied_selection: The source and content that were applied last; None before the first.
        reported_at: Time of the last status report, in s.
    """

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
        disk.on_renamed = lambda path, data: observer.status_report_written(proxy, path, data)
        zone = context.zones[proxy.zone]
        self.reader = FileReader(
            ReaderConfig(zone, proxy.number, ("/zone", "/proxy"), "/answers", "/state"),
            FileEnvironment(disk, observer.wall_clock_ms, run_on_disk),
            lambda: KEYS,
            int(context.loop.now * 1000) & 0xFFFF,
        )
        self.precedence = SourcePrecedence(PrecedenceSettings(expired_grace=EXPIRED_RETENTION_MS))
        self.applied_selection: AppliedSelection | None = None
        self.reported_at = context.loop.now

    async def run(self) -> None:
        """Poll the folders, apply the source with the highest precedence and write status reports, until cancelled."""
        loop = self.context.loop
        await self.reader.start()
        while True:
            for event in await self.reader.poll():
                if isinstance(event, FileApplied):
                    self.observer.file_used(self.proxy, event, self.reader.is_memory_saved)
                    self.apply_file(event)
            self.apply_selected_source()
            if loop.now - self.reported_at >= self.context.shape.report_interval / 1000.0:
                await self.write_status_report()
            await asyncio.sleep(READER_POLL_INTERVAL_S)

    def apply_file(self, applied: FileApplied) -> None:
        """Pass an applied file to the precedence of sources."""
        current = applied.current
        self.precedence.file_applied(target_key(current.update), current, self.observer.wall_clock_ms())

    def apply_selected_source(self) -> None:
        """Apply the content of the selected source if it has changed; without any source, keep the standing table."""
        choice = self.precedence.select(self.observer.wall_clock_ms())
        applied = AppliedSelection(choice.source, choice.content)
        if choice.source is Source.NONE or self.applied_selection == applied:
            return
        self.applied_selection = applied
        self.apply_content(choice.content)
        self.proxy.is_new = False
        self.context.checker.record_event(
            self.context.now_ms(), f"selected source {choice.source.value}", f"proxy-{self.proxy.number}"
        )
        self.proxy.report_served_classes()

    def apply_content(self, content: TableContent) -> None:
        """Set the tables, admission levels and ejected servers of the proxy."""
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

    async def write_status_report(self) -> None:
        """Write a status report with the demand and the observations since the last one."""
        now = self.context.loop.now
        window_ms = (now - self.reported_at) * 1000.0
        self.reported_at = now
        forwarder = self.proxy.forwarder
        demand = [
            ClassDemand(counted.class_name, counted.requests, counted.unserved) for counted in forwarder.take_demand()
        ]
        observations = [self.observation(name, statistics) for name, statistics in forwarder.take_statistics().items()]
        report = StatusReport(self.proxy.rate(), window_ms, demand, observations, self.proxy.is_new)
        with contextlib.suppress(ReplaceError):  # the disk is full or missing; the next report is written as usual
            await self.reader.write_status(report)

    def observation(self, name: str, statistics: ServerStatistics) -> ServerObservation:
        """Return the observation of one server for a status report."""
        in_flight = self.fleet.in_flight(name)
        columns = {} if in_flight is None else {"outstanding": float(in_flight)}
        return ServerObservation(
            name, int(statistics.attempts), int(statistics.failures), statistics.mean_ms(), columns
        )
