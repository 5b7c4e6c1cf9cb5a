"""A planner's actor for table files: writes tables and reads status files, beside the sockets or in their place.

It takes the planner's updates for the proxies that it serves. Disks are touched in threads only, each write within the
scheduler's limits; a failing disk is logged once, and what it missed is written when it works again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from stackwheel.files.atomic_replace import replace_file
from stackwheel.files.codec import NO_KEYS, KeyRing, decode, encode
from stackwheel.files.disk import SUFFIX, join, list_names, read_file
from stackwheel.files.environment import FileEnvironment
from stackwheel.files.errors import FileRejectedError, ReplaceError, ReplaceStep, Stage
from stackwheel.files.file_proxy import FileConnection
from stackwheel.files.publisher_state import PublisherState
from stackwheel.files.push_scheduler import PushScheduler, WriteAttempt
from stackwheel.files.records import Document, Incarnation, ProxyStatus
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate

MAX_STATUS_FILES = 20_000  # read in one poll; a proxy writes one
POLL_INTERVAL_S = 0.25  # between polls of the status folder


@dataclass(frozen=True, slots=True)
class PublisherFolders:
    """Where a planner's files are.

    Attributes:
        tables: holds a folder for each zone, and one for each proxy that differs from its zone.
        statuses: where proxies put their status files.
    """

    tables: str
    statuses: str


@dataclass(frozen=True, slots=True)
class _StatusFile:
    name: str
    data: bytes


class FilePublisher:
    """Writes what the state says is due, and posts what status files say.

    Attributes:
        failures: why the last attempt at a target failed, by target.
        last_statuses: bytes by name as last read, so that an unchanged file is not read again.
    """

    def __init__(
        self,
        state: PublisherState,
        scheduler: PushScheduler,
        folders: PublisherFolders,
        environment: FileEnvironment,
        post: Callable[[PlannerMessage], None],
        keys: KeyRing = NO_KEYS,
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self.state = state
        self.scheduler = scheduler
        self.folders = folders
        self.disk = environment.disk
        self.now = environment.now
        self.run_blocking = environment.run_blocking
        self.post = post
        self.keys = keys
        self.poll_interval_s = poll_interval_s
        self.wake_up = asyncio.Event()
        self.failures: dict[str, str] = {}
        self.last_statuses: dict[str, bytes] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Take those of the planner's updates that are for proxies served by files."""
        for connection, update in messages:
            if isinstance(connection, FileConnection) and self.state.apply_update(update):
                self.wake_up.set()

    async def run(self) -> None:
        """Begin an incarnation above all earlier ones that can be seen, then write and read until cancelled."""
        earlier = await self.run_blocking(self.earlier_incarnations)
        incarnation = self.state.start_incarnation(self.now(), earlier)
        logger.info(
            "file publisher started: planner={} incarnation={}.{}.{} count={}",
            self.state.planner,
            incarnation.epoch,
            incarnation.started,
            incarnation.salt,
            len(earlier),
        )
        polling = asyncio.create_task(self.poll_statuses())
        try:
            while True:
                self.start_writes()
                try:
                    await asyncio.wait_for(self.wake_up.wait(), self.next_wait_s())
                except TimeoutError:
                    continue
                finally:
                    self.wake_up.clear()
        finally:
            polling.cancel()

    def next_wait_s(self) -> float:
        """Seconds until there is something to write if nothing else happens."""
        next_event_at = self.scheduler.next_event_at()
        if next_event_at is None:
            return self.poll_interval_s
        return min(self.poll_interval_s, max(0.0, (next_event_at - self.now()) / 1000.0))

    def start_writes(self) -> None:
        """Submit the files that are due, and start the attempts that the scheduler allows."""
        now = self.now()
        for update in self.state.due_updates(now):
            target = target_path(update.planner, update.zone, update.proxy)
            if not self.scheduler.submit(target, encode(update, self.keys), update.sequence, now):
                logger.error("table file dropped: file={} reason=too many targets", target)
        for attempt in self.scheduler.start_attempts(now):
            task = asyncio.create_task(self.write(attempt))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def write(self, attempt: WriteAttempt) -> None:
        """Make one attempt, and tell the scheduler how it ended."""
        folder, _, name = attempt.target.rpartition("/")
        failure: ReplaceError | None = None
        try:
            await self.run_blocking(replace_file, self.disk, join(self.folders.tables, folder), name, attempt.data)
        except ReplaceError as error:
            failure = error
        except Exception as error:  # a fault of the disk's own: it too is a failure of this attempt alone
            failure = ReplaceError(ReplaceStep.UNKNOWN, repr(error))
        self.scheduler.finish(attempt, failure is None, self.now())
        self.log_result(attempt.target, failure)
        self.wake_up.set()

    def log_result(self, target: str, failure: ReplaceError | None) -> None:
        """Log a failure once, and its end."""
        if failure is None:
            if self.failures.pop(target, None) is not None:
                logger.info("table file write recovered: file={}", target)
        elif self.failures.get(target) != failure.reason:
            self.failures[target] = failure.reason
            logger.warning("table file write failed: file={} stage={} reason={}", target, failure.step, failure.reason)

    def earlier_incarnations(self) -> list[Incarnation]:
        """Of this planner's name, from the table files it left and from its readers' status files. Blocks."""
        table_folders = [join(self.folders.tables, name) for name in list_names(self.disk, self.folders.tables)]
        found: list[Incarnation] = []
        for folder in (self.folders.statuses, *table_folders):
            for name in list_names(self.disk, folder):
                incarnation = self._incarnation_in(folder, name)
                if incarnation is not None:
                    found.append(incarnation)
        return found

    def _incarnation_in(self, folder: str, name: str) -> Incarnation | None:
        """The incarnation of this planner that a file names, if it is usable and names one."""
        try:
            document = decode(read_file(self.disk, folder, name), self.keys)
        except FileRejectedError:
            return None
        if document.planner != self.state.planner:
            return None
        return document.planner_incarnation if isinstance(document, ProxyStatus) else document.incarnation

    async def poll_statuses(self) -> None:
        """Read changed status files and expire silent proxies, until cancelled."""
        while True:
            for file in await self.run_blocking(self.changed_statuses):
                self.receive(file.name, file.data)
            for item in self.state.expire_silent(self.now()):
                self.post(item)
            await asyncio.sleep(self.poll_interval_s)

    def changed_statuses(self) -> list[_StatusFile]:
        """The status files whose bytes differ from the last poll. Blocks."""
        folder = self.folders.statuses
        names = [name for name in list_names(self.disk, folder) if name.endswith(SUFFIX)][:MAX_STATUS_FILES]
        changed: list[_StatusFile] = []
        for name in names:
            try:
                data = read_file(self.disk, folder, name)
            except FileRejectedError:
                continue
            if self.last_statuses.get(name) != data:
                self.last_statuses[name] = data
                changed.append(_StatusFile(name, data))
        for removed in self.last_statuses.keys() - set(names):
            del self.last_statuses[removed]
        return changed

    def receive(self, name: str, data: bytes) -> None:
        """Post what a status file says, and acknowledge the files that it has applied."""
        try:
            status = _as_status(decode(data, self.keys))
        except FileRejectedError as error:
            logger.warning(
                "status file rejected: file={} stage={} reason={}", name[:60], error.stage.name.lower(), error.reason
            )
            return
        for item in self.state.receive_status(status, self.now()):
            self.post(item)
        if status.planner == self.state.planner:
            for proxy in (None, status.proxy):
                target = target_path(status.planner, status.zone, proxy)
                self.scheduler.confirm(target, status.applied_sequence)
        self.wake_up.set()


def _as_status(document: Document) -> ProxyStatus:
    if not isinstance(document, ProxyStatus):
        raise FileRejectedError(Stage.CONTENT, "no answer")
    return document


def target_path(planner: str, zone: str, proxy: int | None) -> str:
    """Folder and name of a target's file below the folder of tables."""
    folder = f"zone-{zone}" if proxy is None else f"proxy-{proxy}"
    return f"{folder}/orders-{planner}{SUFFIX}"
