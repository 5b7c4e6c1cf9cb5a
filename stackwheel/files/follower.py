"""A stand-alone reader that follows folders and passes the tables in force to a file and a command."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from loguru import logger

from stackwheel.files.acceptor import target_key
from stackwheel.files.atomic_replace import replace_file
from stackwheel.files.codec import KeyRing
from stackwheel.files.disk import SystemDisk
from stackwheel.files.environment import system_environment, unix_ms
from stackwheel.files.errors import ReplaceError
from stackwheel.files.folder_watch import folder_changes
from stackwheel.files.outcomes import FileApplied, ReadOutcome, outcome_document
from stackwheel.files.precedence import PrecedenceSettings, Selection, SourcePrecedence
from stackwheel.files.reader import FileReader, ReaderConfig, StatusReport

COMMAND_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Outputs:
    """Receivers of the tables in force, as JSON.

    Attributes:
        file: path of a file that is replaced atomically at each change; empty for none.
        command: shell command that is run at each change with the JSON on its standard input; empty for none.
    """

    file: str = ""
    command: str = ""


def selection_document(selection: Selection) -> dict[str, Any]:
    """Return the tables in force as the JSON object for the outputs."""
    content = selection.content
    return {
        "source": selection.source.value,
        "planner": selection.planner,
        "tables": content.tables,
        "levels": {
            request_class: None if level is None else msgspec.to_builtins(level)
            for request_class, level in content.levels.items()
        },
        "withdrawn": list(content.ejected),
    }


class FolderFollower:
    """Follows the folders of one proxy.

    Attributes:
        reader: polls the folders.
        precedence: selects the tables in force.
        outputs: receivers of the tables in force.
        notify: called with a JSON object for each file that was applied or rejected.
        poll_interval_s: time between polls while the folders do not change or cannot be watched, s.
        last_output: JSON object that was last passed to the outputs; None before the first one.
    """

    def __init__(
        self,
        config: ReaderConfig,
        keys: Callable[[], KeyRing],
        settings: PrecedenceSettings,
        outputs: Outputs,
        notify: Callable[[dict[str, object]], None],
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        self.reader = FileReader(config, system_environment(), keys)
        self.precedence = SourcePrecedence(settings)
        self.outputs = outputs
        self.notify = notify
        self.poll_interval_s = poll_interval_s
        self.last_output: dict[str, Any] | None = None

    async def run(self, once: bool = False) -> bool:
        """Follow the folders until cancelled, or poll them once; returns False if a file was rejected."""
        await self.reader.start()
        all_applied = True
        async for _ in folder_changes(self.reader.config.folders, self.poll_interval_s):
            for outcome in await self.reader.poll():
                all_applied &= isinstance(outcome, FileApplied)
                await self.handle(outcome)
            await self.write_outputs()
            if once:
                return all_applied
        return all_applied

    async def handle(self, outcome: ReadOutcome) -> None:
        """Pass the outcome of reading a file to `notify`, and acknowledge an applied file in the status file."""
        self.notify(outcome_document(outcome))
        if not isinstance(outcome, FileApplied):
            return
        self.precedence.file_applied(target_key(outcome.current.update), outcome.current, unix_ms())
        if not self.reader.config.status_folder:
            return
        try:
            await self.reader.write_status(StatusReport())
        except ReplaceError as error:
            logger.warning("status file write failed: stage={} reason={}", error.step, error.reason)

    async def write_outputs(self) -> None:
        """Pass the tables in force to the outputs if they have changed."""
        document = selection_document(self.precedence.select(unix_ms()))
        if document == self.last_output:
            return
        self.last_output = document
        data = json.dumps(document, sort_keys=True).encode() + b"\n"
        if self.outputs.file:
            await self._write_file(self.outputs.file, data)
        if self.outputs.command:
            await self._run_command(self.outputs.command, data)

    async def _write_file(self, path: str, data: bytes) -> None:
        folder, _, name = path.rpartition("/")
        try:
            await asyncio.to_thread(replace_file, SystemDisk(), folder or ".", name, data)
        except ReplaceError as error:
            logger.warning("output file write failed: file={} stage={} reason={}", path, error.step, error.reason)

    async def _run_command(self, command: str, data: bytes) -> None:
        process = await asyncio.create_subprocess_shell(command, stdin=asyncio.subprocess.PIPE)
        try:
            await asyncio.wait_for(process.communicate(data), COMMAND_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        if process.returncode:
            logger.warning("output command failed: reason=exit status {}", process.returncode)
