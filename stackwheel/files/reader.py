"""The proxy's actor for table files, which polls folders, applies updates and writes a status file.

Each poll compares the entire folders, so a missed notification delays a change by at most one poll interval. The reader
memory is saved before an update takes effect. If it cannot be saved, the tables of the update are used, but its
reservations are ignored.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from loguru import logger

from stackwheel.files.acceptor import Acceptance, Acceptor, CurrentTables, ReaderMemory
from stackwheel.files.atomic_replace import replace_file
from stackwheel.files.codec import NO_KEYS, KeyRing, decode, encode
from stackwheel.files.disk import TABLE_SUFFIX, list_names, read_file
from stackwheel.files.environment import FileEnvironment
from stackwheel.files.errors import FileRejectedError, ReplaceError, Stage
from stackwheel.files.memory import load_memory, save_memory
from stackwheel.files.outcomes import FileApplied, FileRejected, ReadOutcome
from stackwheel.files.records import (
    ClassDemand,
    Incarnation,
    ProxyStatus,
    ServerObservation,
    TableUpdate,
)

MAX_DIGESTS = 4096
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ReaderConfig:
    """Identity and folders of a reader.

    Attributes:
        zone: name of the proxy's zone.
        proxy: number of the proxy.
        folders: paths of the folders to poll, that of the zone before that of the proxy.
        status_folder: path of the folder for the status file.
        state_folder: path of the folder for the reader memory.
    """

    zone: str
    proxy: int
    folders: Sequence[str]
    status_folder: str
    state_folder: str


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Measurements of a proxy for its next status.

    Attributes:
        expected_rate: approximate number of requests per second.
        window: period that `demand` and `observations` cover, ms; 0 if there are none.
        demand: demand of each request class.
        observations: measurements of each server.
        newly_started: whether the proxy has only its standing tables.
    """

    expected_rate: float = 0.0
    window: float = 0.0
    demand: Iterable[ClassDemand] = ()
    observations: Iterable[ServerObservation] = ()
    newly_started: bool = False


class _FileId(NamedTuple):
    folder: str
    name: str


@dataclass(frozen=True, slots=True)
class _ChangedFile:
    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class _DecodedUpdate:
    name: str
    update: TableUpdate


class FileReader:
    """Reads and applies table files for one proxy.

    Attributes:
        config: identity and folders of the reader.
        keys: returns the current signing keys.
        salt: salt of the reader's incarnation.
        acceptor: decides which updates are applied; None until the reader has started.
        digests: digest of each file as last read.
        newest: newest applied tables, which the status acknowledges.
        apply_delay: time from the creation of the newest tables to their use, ms.
        sequence: sequence number of the newest status.
        incarnation: incarnation of the proxy.
        is_memory_saved: whether the last attempt to save the reader memory succeeded.
    """

    def __init__(
        self,
        config: ReaderConfig,
        environment: FileEnvironment,
        keys: Callable[[], KeyRing] = lambda: NO_KEYS,
        salt: int = 0,
    ) -> None:
        self.config = config
        self.disk = environment.disk
        self.now = environment.now
        self.run_blocking = environment.run_blocking
        self.keys = keys
        self.salt = salt
        self.acceptor: Acceptor | None = None
        self.digests: dict[_FileId, bytes] = {}
        self.newest: CurrentTables | None = None
        self.apply_delay = 0.0
        self.sequence = 0
        self.incarnation = Incarnation()
        self.is_memory_saved = True

    async def start(self) -> ReaderMemory:
        """Load the reader memory, or create one that ignores reservations created earlier."""
        now = self.now()
        memory: ReaderMemory | None = None
        try:
            memory = await self.run_blocking(load_memory, self.disk, self.config.state_folder)
        except FileRejectedError as error:
            logger.warning(
                "reader memory unusable, earlier reservations are ignored: stage={} reason={}",
                error.stage.name.lower(),
                error.reason,
            )
        if memory is None:
            memory = ReaderMemory(valid_since=now)
        self.acceptor = Acceptor(self.config.zone, self.config.proxy, memory)
        self.incarnation = Incarnation(0, int(now), self.salt)
        return memory

    async def poll(self) -> list[ReadOutcome]:
        """Process all changed files, each complete update before the deltas that build on it."""
        updates: list[_DecodedUpdate] = []
        outcomes: list[ReadOutcome] = []
        for file in await self.run_blocking(self.changed_files):
            try:
                updates.append(_DecodedUpdate(file.name, self._decode(file.data)))
            except FileRejectedError as error:
                outcomes.append(FileRejected.from_error(file.name, error))
        for decoded in sorted(updates, key=lambda item: (item.update.version, not item.update.complete)):
            outcome = await self.process(decoded.name, decoded.update)
            if outcome is not None:
                outcomes.append(outcome)
        return outcomes

    def _decode(self, data: bytes) -> TableUpdate:
        document = decode(data, self.keys())
        if not isinstance(document, TableUpdate):
            raise FileRejectedError(Stage.CONTENT, "expected a table update, found a proxy status")
        return document

    def changed_files(self) -> list[_ChangedFile]:
        """Return the files that have changed since the last poll. Blocks."""
        changed: list[_ChangedFile] = []
        for folder in self.config.folders:
            for name in list_names(self.disk, folder):
                if not name.endswith(TABLE_SUFFIX):
                    continue
                data = self._read(folder, name)
                file_id = _FileId(folder, name)
                digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
                if self.digests.get(file_id) != digest:
                    self.digests[file_id] = digest
                    changed.append(_ChangedFile(name, data))
        excess = max(0, len(self.digests) - MAX_DIGESTS)
        for file_id in list(self.digests)[:excess]:
            del self.digests[file_id]
        return changed

    def _read(self, folder: str, name: str) -> bytes:
        """Return the bytes of a file.

        For an unreadable file, return invalid bytes that depend on the error, so that each error is reported once.
        """
        try:
            return read_file(self.disk, folder, name)
        except FileRejectedError as error:
            return b"\x00" + str(error).encode()

    async def process(self, name: str, update: TableUpdate) -> ReadOutcome | None:
        """Apply or reject an update; returns None if it is already applied."""
        assert self.acceptor is not None
        now = self.now()
        try:
            acceptance = self.acceptor.validate(update, now)
        except FileRejectedError as error:
            return FileRejected.from_error(name, error)
        if acceptance is None:
            return None
        return await self._apply(name, acceptance, now)

    async def _apply(self, name: str, acceptance: Acceptance, now: float) -> ReadOutcome:
        """Save the reader memory and then apply the update."""
        saved = await self._record(acceptance, now)
        current = acceptance.current
        update = current.update
        if self.is_expired(update):  # saving the memory may take long on a slow disk
            return FileRejected(name, Stage.AGE, "expired while the reader memory was being saved")
        if self.newest is None or update.created_at >= self.newest.update.created_at:
            self.newest = current
            self.apply_delay = max(0.0, self.now() - update.created_at)
        return FileApplied(name, current, acceptance.reservations if saved else ())

    async def _record(self, acceptance: Acceptance, now: float) -> bool:
        """Record an update as applied; returns whether the reader memory could be saved."""
        assert self.acceptor is not None
        previous = self.acceptor.memory
        memory = self.acceptor.record_applied(acceptance, now)
        failure: ReplaceError | None = None
        try:
            await self.run_blocking(save_memory, self.disk, self.config.state_folder, memory)
        except ReplaceError as error:
            failure = error
            # The next file contains the reservations again; they take effect once the memory can be saved.
            self.acceptor.memory = ReaderMemory(1, memory.valid_since, memory.applied, previous.reservations)
        if self.is_memory_saved != (failure is None):
            self.is_memory_saved = failure is None
            _log_memory_state(failure)
        return failure is None

    def is_expired(self, update: TableUpdate) -> bool:
        """Return whether an update has expired."""
        return update.expires_at <= self.now()

    def forget_expired(self, grace: float) -> list[str]:
        """Remove tables that expired at least `grace` ms ago and return their target keys. Not called yet."""
        assert self.acceptor is not None
        return self.acceptor.forget_expired(self.now(), grace)

    async def write_status(self, report: StatusReport) -> None:
        """Write the status file, which acknowledges the newest applied update and contains the proxy's measurements.

        Raises:
            ReplaceError: the file could not be written.
        """
        self.sequence += 1
        update = self.newest.update if self.newest is not None else None
        status = ProxyStatus(
            proxy=self.config.proxy,
            zone=self.config.zone,
            proxy_incarnation=self.incarnation,
            sequence=self.sequence,
            created_at=self.now(),
            planner=update.planner if update else None,
            planner_incarnation=update.incarnation if update else None,
            applied_sequence=update.sequence if update else 0,
            apply_delay=self.apply_delay,
            newly_started=report.newly_started,
            expected_rate=report.expected_rate,
            window=report.window,
            demand=tuple(report.demand),
            observations=tuple(report.observations),
        )
        name = f"answer-{self.config.proxy}{TABLE_SUFFIX}"
        data = encode(status, self.keys())
        await self.run_blocking(replace_file, self.disk, self.config.status_folder, name, data)


def _log_memory_state(failure: ReplaceError | None) -> None:
    if failure is None:
        logger.info("reader memory write recovered")
    else:
        logger.warning(
            "reader memory write failed, reservations wait: stage={} reason={}", failure.step, failure.reason
        )
