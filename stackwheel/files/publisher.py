"""The planner's actor for table files, which writes table files and reads status files.

It serves the proxies that are connected by files; other proxies can be connected by sockets at the same time. Disk
operations run in threads, and writes within the limits of the scheduler. A failing target is logged once, and its
newest content is written when the disk works again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from stackwheel.files.atomic_replace import replace_file
from stackwheel.files.codec import NO_KEYS, KeyRing, decode, encode
from stackwheel.files.disk import TABLE_SUFFIX, join, list_names, read_file
from stackwheel.files.environment import FileEnvironment
from stackwheel.files.errors import FileRejectedError, ReplaceError, ReplaceStep, Stage
from stackwheel.files.file_proxy import FileConnection
from stackwheel.files.publisher_state import PublisherState
from stackwheel.files.push_scheduler import PushScheduler, WriteAttempt
from stackwheel.files.records import Document, Incarnation, ProxyStatus
from stackwheel.state.messages import PlannerMessage
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate

MAX_STATUS_FILES = 20_000  # maximum number of status files read in one poll; each proxy has one
POLL_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class PublisherFolders:
    """Paths of the folders of a publisher.

    Attributes:
        tables: contains a folder for each zone, and one for each proxy with table files of its own.
        statuses: contains the status files of the proxies.
    """

    tables: str
    statuses: str


@dataclass(frozen=True, slots=True)
class _StatusFile:
    name: str
    data: bytes


class FilePublisher:
    """Writes due table files, and posts the messages that result from status files.

    Attributes:
        state: state of the proxies.
        scheduler: schedules the writes.
        folders: folders of the table and status files.
        post: posts a message to the planner actor.
        keys: signing keys.
        poll_interval_s: time between polls of the status folder, s.
        wake_up: set when new writes may be due.
        failures: reason for the failure of the last attempt, by target; targets without a failure are absent.
        last_statuses: bytes of each status file at the last poll, by name; unchanged files are not processed again.
        tasks: running write attempts.
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
        """Apply the planner's updates for proxies that are served by files; other updates are ignored."""
        for connection, update in messages:
            if isinstance(connection, FileConnection) and self.state.apply_update(update):
                self.wake_up.set()

    async def run(self) -> None:
        """Start an incarnation later than all found ones, then write and read files until cancelled."""
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
        """Return the time until the next write may be due, at most the poll interval, s."""
        next_event_at = self.scheduler.next_event_at()
        if next_event_at is None:
            return self.poll_interval_s
        return min(self.poll_interval_s, max(0.0, (next_event_at - self.now()) / 1000.0))

    def start_writes(self) -> None:
        """Submit the due updates to the scheduler, and start the attempts that it allows."""
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
        """Make an attempt to write a file, pass its result to the scheduler, and log it."""
        folder, _, name = attempt.target.rpartition("/")
        failure: ReplaceError | None = None
        try:
            await self.run_blocking(replace_file, self.disk, join(self.folders.tables, folder), name, attempt.data)
        except ReplaceError as error:
            failure = error
        except Exception as error:  # an unexpected error fails only this attempt
            failure = ReplaceError(ReplaceStep.UNKNOWN, repr(error))
        self.scheduler.finish(attempt, failure is None, self.now())
        self.log_result(attempt.target, failure)
        self.wake_up.set()

    def log_result(self, target: str, failure: ReplaceError | None) -> None:
        """Log only the first of a run of identical failures of a target, and its recovery."""
        if failure is None:
            if self.failures.pop(target, None) is not None:
                logger.info("table file write recovered: file={}", target)
        elif self.failures.get(target) != failure.reason:
            self.failures[target] = failure.reason
            logger.warning("table file write failed: file={} stage={} reason={}", target, failure.step, failure.reason)

    def earlier_incarnations(self) -> list[Incarnation]:
        """Return the incarnations of this planner in its table files and in status files. Blocks."""
        table_folders = [join(self.folders.tables, name) for name in list_names(self.disk, self.folders.tables)]
        incarnations: list[Incarnation] = []
        for folder in (self.folders.statuses, *table_folders):
            for name in list_names(self.disk, folder):
                incarnation = self._incarnation_in(folder, name)
                if incarnation is not None:
                    incarnations.append(incarnation)
        return incarnations

    def _incarnation_in(self, folder: str, name: str) -> Incarnation | None:
        """Return the incarnation of this planner in a file; None if the file is invalid or contains none."""
        try:
            document = decode(read_file(self.disk, folder, name), self.keys)
        except FileRejectedError:
            return None
        if document.planner != self.state.planner:
            return None
        return document.planner_incarnation if isinstance(document, ProxyStatus) else document.incarnation

    async def poll_statuses(self) -> None:
        """Process changed status files and remove proxies whose status files have stopped, until cancelled."""
        while True:
            for file in await self.run_blocking(self.changed_statuses):
                self.receive(file.name, file.data)
            for message in self.state.expire_silent(self.now()):
                self.post(message)
            await asyncio.sleep(self.poll_interval_s)

    def changed_statuses(self) -> list[_StatusFile]:
        """Return the status files that have changed since the last poll. Blocks."""
        folder = self.folders.statuses
        names = [name for name in list_names(self.disk, folder) if name.endswith(TABLE_SUFFIX)][:MAX_STATUS_FILES]
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
        """Post the messages that result from a status file, and confirm the updates that it acknowledges."""
        try:
            status = _as_status(decode(data, self.keys))
        except FileRejectedError as error:
            logger.warning(
                "status file rejected: file={} stage={} reason={}", name[:60], error.stage.name.lower(), error.reason
            )
            return
        for message in self.state.receive_status(status, self.now()):
            self.post(message)
        if status.planner == self.state.planner:
            for proxy in (None, status.proxy):
                target = target_path(status.planner, status.zone, proxy)
                self.scheduler.confirm(target, status.applied_sequence)
        self.wake_up.set()


def _as_status(document: Document) -> ProxyStatus:
    if not isinstance(document, ProxyStatus):
        raise FileRejectedError(Stage.CONTENT, "expected a proxy status, found a table update")
    return document


def target_path(planner: str, zone: str, proxy: int | None) -> str:
    """Return the path of a target's file, relative to the folder of table files."""
    folder = f"zone-{zone}" if proxy is None else f"proxy-{proxy}"
    return f"{folder}/orders-{planner}{TABLE_SUFFIX}"
