"""A proxy's actor for table files: polls its folders, applies what may be applied, saves its memory, writes its status.

Only the state of the folders counts: a missed event costs one poll at most. Nothing takes effect before the memory that
forbids its repetition is saved; where it can't be saved, tables are used and reservations are not.
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
from stackwheel.files.disk import SUFFIX, list_names, read_file
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

MAX_DIGESTS = 4096  # files whose bytes are remembered; a reader has a few dozen
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ReaderConfig:
    """Whose reader this is, and where its files are.

    Attributes:
        zone: name of the proxy's zone.
        proxy: its number.
        folders: to be polled: the zone's, then the proxy's own.
        status_folder: where its status goes.
        state_folder: where its memory is.
    """

    zone: str
    proxy: int
    folders: Sequence[str]
    status_folder: str
    state_folder: str


@dataclass(frozen=True, slots=True)
class StatusReport:
    """What a proxy has to say in its next status, besides what it has applied.

    Attributes:
        expected_rate: requests a second, roughly.
        window: ms that the reports cover; 0 where there are none.
        demand: by request class.
        observations: by server.
        newly_started: the proxy holds only its standing tables.
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
    """Reads for one proxy.

    Attributes:
        acceptor: set once the reader has started.
        digests: of the bytes as last read.
        newest: the newest tables applied, which the status acknowledges.
        apply_delay: ms from their making to their use.
        sequence: of the newest status.
        incarnation: of this process.
        is_memory_saved: whether the memory could be saved the last time.
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
        """Load the memory, or begin one that takes no reservation made before now."""
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
        """Process all files that have changed, each complete update before the deltas on it."""
        updates: list[_DecodedUpdate] = []
        outcomes: list[ReadOutcome] = []
        for file in await self.run_blocking(self.changed_files):
            try:
                updates.append(_DecodedUpdate(file.name, self._decode(file.data)))
            except FileRejectedError as error:
                outcomes.append(FileRejected.because(file.name, error))
        for decoded in sorted(updates, key=lambda one: (one.update.version, not one.update.complete)):
            outcome = await self.process(decoded.name, decoded.update)
            if outcome is not None:
                outcomes.append(outcome)
        return outcomes

    def _decode(self, data: bytes) -> TableUpdate:
        document = decode(data, self.keys())
        if not isinstance(document, TableUpdate):
            raise FileRejectedError(Stage.CONTENT, "no file of orders")
        return document

    def changed_files(self) -> list[_ChangedFile]:
        """The files whose bytes differ from the last poll. Blocks."""
        changed: list[_ChangedFile] = []
        for folder in self.config.folders:
            for name in list_names(self.disk, folder):
                if not name.endswith(SUFFIX):
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
        """The bytes of a file; of one that can't be read, bytes that are rejected once for each reason."""
        try:
            return read_file(self.disk, folder, name)
        except FileRejectedError as error:
            return b"\x00" + str(error).encode()

    async def process(self, name: str, update: TableUpdate) -> ReadOutcome | None:
        """Apply an update or reject it; None where it is the one applied already."""
        assert self.acceptor is not None
        now = self.now()
        try:
            acceptance = self.acceptor.validate(update, now)
        except FileRejectedError as error:
            return FileRejected.because(name, error)
        if acceptance is None:
            return None
        return await self._apply(name, acceptance, now)

    async def _apply(self, name: str, acceptance: Acceptance, now: float) -> ReadOutcome:
        """Save the memory, then let the update take effect."""
        saved = await self._record(acceptance, now)
        current = acceptance.current
        update = current.update
        if self.is_expired(update):  # the disk took longer than the file may be used
            return FileRejected(name, Stage.AGE, "its time was over once the memory was kept")
        if self.newest is None or update.created_at >= self.newest.update.created_at:
            self.newest = current
            self.apply_delay = max(0.0, self.now() - update.created_at)
        return FileApplied(name, current, acceptance.reservations if saved else ())

    async def _record(self, acceptance: Acceptance, now: float) -> bool:
        """Count an update as applied; whether the memory that says so could be saved."""
        assert self.acceptor is not None
        former = self.acceptor.memory
        memory = self.acceptor.record_applied(acceptance, now)
        failure: ReplaceError | None = None
        try:
            await self.run_blocking(save_memory, self.disk, self.config.state_folder, memory)
        except ReplaceError as error:
            failure = error
            # The reservations come again with the next file, and take effect once the memory can be saved.
            self.acceptor.memory = ReaderMemory(1, memory.valid_since, memory.applied, former.reservations)
        if self.is_memory_saved != (failure is None):
            self.is_memory_saved = failure is None
            _log_memory_state(failure)
        return failure is None

    def is_expired(self, update: TableUpdate) -> bool:
        """Whether an update may no longer be used."""
        return update.expires_at <= self.now()

    def forget_expired(self, grace: float) -> list[str]:
        """Forget tables that expired `grace` ms ago; the keys of these. No actor calls this yet."""
        assert self.acceptor is not None
        return self.acceptor.forget_expired(self.now(), grace)

    async def write_status(self, report: StatusReport) -> None:
        """Acknowledge what is applied and report what was measured, in this proxy's own file.

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
        name = f"answer-{self.config.proxy}{SUFFIX}"
        data = encode(status, self.keys())
        await self.run_blocking(replace_file, self.disk, self.config.status_folder, name, data)


def _log_memory_state(failure: ReplaceError | None) -> None:
    if failure is None:
        logger.info("reader memory write recovered")
    else:
        logger.warning(
            "reader memory write failed, reservations wait: stage={} reason={}", failure.step, failure.reason
        )
