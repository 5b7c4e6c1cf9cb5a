"""Publisher and readers on the machine's own disk, clock and threads."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from stackwheel.files.codec import KeyRing, encode
from stackwheel.files.environment import system_environment, unix_ms
from stackwheel.files.file_builder import PublisherSettings
from stackwheel.files.outcomes import FileApplied
from stackwheel.files.publisher import FilePublisher, PublisherFolders
from stackwheel.files.publisher_state import PublisherState
from stackwheel.files.push_scheduler import PushLimits, PushScheduler
from stackwheel.files.reader import FileReader, ReaderConfig, StatusReport
from stackwheel.files.records import Incarnation, TableUpdate
from stackwheel.interface import AdmissionLevel, Retry
from stackwheel.settings import ConfiguredNames
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart

NAMES = ConfiguredNames(("read",), ("east",), ("small",), ("outstanding",))
KEYS = KeyRing({"k1": b"k" * 32}, "k1")
FIRST_REPORT = StatusReport(expected_rate=5.0, newly_started=True)


async def until(condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "waited too long"
        await asyncio.sleep(0.02)


@dataclass
class Deployment:
    """The folders of one planner and one zone, and what the planner actor is told."""

    root: Path
    posted: list[PlannerMessage] = field(default_factory=list)

    def __post_init__(self) -> None:
        for name in ("out/zone-east", "answers", "state"):
            (self.root / name).mkdir(parents=True)

    @property
    def zone_folder(self) -> Path:
        return self.root / "out/zone-east"

    @property
    def zone_file(self) -> Path:
        return self.zone_folder / "orders-n0.table"

    def publisher(self) -> FilePublisher:
        ids = ServerIds()
        ids.register("a")
        state = PublisherState("n0", NAMES, 4, PublisherSettings(30_000.0, 20, 1000.0), ids.name, 7)
        folders = PublisherFolders(str(self.root / "out"), str(self.root / "answers"))
        scheduler = PushScheduler(PushLimits(), 1)
        return FilePublisher(
            state, scheduler, folders, system_environment(), self.posted.append, KEYS, poll_interval_s=0.02
        )

    def reader(self, *folders: Path) -> FileReader:
        config = ReaderConfig("east", 0, tuple(map(str, folders)), str(self.root / "answers"), str(self.root / "state"))
        return FileReader(config, system_environment(), lambda: KEYS)

    async def stream(self) -> ProxyStream:
        """The first proxy that joins."""
        await until(lambda: any(isinstance(item, ProxyStream) for item in self.posted))
        return next(item for item in self.posted if isinstance(item, ProxyStream))


@pytest.fixture
def deployment(tmp_path: Path) -> Deployment:
    return Deployment(tmp_path)


@asynccontextmanager
async def running(publisher: FilePublisher) -> AsyncIterator[None]:
    task = asyncio.create_task(publisher.run())
    try:
        yield
    finally:
        task.cancel()


def run(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(main)


def test_from_decision_to_application_and_back(deployment: Deployment) -> None:
    async def main() -> None:
        publisher = deployment.publisher()
        reader = deployment.reader(deployment.zone_folder)
        async with running(publisher):
            await reader.start()
            await reader.write_status(FIRST_REPORT)
            stream = await deployment.stream()
            level = AdmissionLevel(0.9, Retry.ONCE_IF_NOT_EXECUTED)
            part = UpdatePart((0,), True, ((server_id("a"), 1.5),), level)
            publisher.deliver([(stream.connection, ProxyUpdate(0, (part,), nonce=3))])
            await until(deployment.zone_file.exists)
            (outcome,) = await reader.poll()
            assert isinstance(outcome, FileApplied)
            assert outcome.current.content.tables == {"read": {"a": 1.5}}
            assert await reader.poll() == []
            await reader.write_status(StatusReport(expected_rate=5.0))
            await until(lambda: any("Acknowledged" in repr(item) for item in deployment.posted))

    run(main())


def test_a_missing_folder_stalls_nothing_and_is_written_when_it_is_back(deployment: Deployment) -> None:
    async def main() -> None:
        deployment.zone_folder.rmdir()
        publisher = deployment.publisher()
        reader = deployment.reader()
        async with running(publisher):
            await reader.start()
            await reader.write_status(FIRST_REPORT)
            stream = await deployment.stream()
            part = UpdatePart((0,), True, ((server_id("a"), 1.5),))
            publisher.deliver([(stream.connection, ProxyUpdate(0, (part,)))])
            await until(lambda: bool(publisher.failures))
            deployment.zone_folder.mkdir()
            await until(deployment.zone_file.exists)
            await until(lambda: not publisher.failures)

    run(main())


def test_a_new_incarnation_is_above_those_that_left_files(deployment: Deployment) -> None:
    async def main() -> None:
        later = Incarnation(0, int(unix_ms()) + 1_000_000, 5)
        update = TableUpdate("n0", later, 9, unix_ms(), unix_ms() + 1000.0, "east")
        deployment.zone_file.write_bytes(encode(update, KEYS))
        publisher = deployment.publisher()
        async with running(publisher):
            await until(lambda: publisher.state.incarnation is not None)
            assert publisher.state.incarnation is not None
            assert publisher.state.incarnation > later

    run(main())
