"""The processes of a run: started with their control connections, measured, and ended whatever happens."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import TypeVar

from stackwheel.scale.control import MAX_LINE_BYTES, Answer, ControlError, Lines, Message, Stop

END_WITHIN = 3.0  # s from the request to end to SIGKILL

M = TypeVar("M", bound=Message)


class Role(StrEnum):
    """What a process stands for in the report."""

    REGISTRY = "registry"
    RELAY = "relay"
    REAL_PLANNER = "real_planner"
    FULL_LIST_PLANNER = "whole_list_planner"  # a real one that follows the registry itself beside relays
    HOLLOW_PLANNER = "hollow_planner"


@dataclass(slots=True)
class Child:
    """One process; `lines` is its control connection, which real programs have none of."""

    role: Role
    name: str
    process: asyncio.subprocess.Process
    lines: Lines[Answer] | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)  # one request at a time
    ending: bool = False  # the run itself ends it

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.process.pid

    async def notify_process(self, message: Message) -> None:
        """Send a message that has no answer."""
        assert self.lines is not None
        async with self.lock:
            await self.lines.send(message)

    async def request(self, message: Message, kind: type[M]) -> M:
        """Send a message and read its answer; ControlError if the process has ended or says another thing.

        Where nobody waits for the answer any more, it is read all the same: it must not be taken for the next one's.
        """
        return await asyncio.shield(self.request_in_turn(message, kind))

    async def request_in_turn(self, message: Message, kind: type[M]) -> M:
        """One question and its answer, one after another."""
        assert self.lines is not None
        async with self.lock:
            await self.lines.send(message)
            return await self.receive_answer(kind)

    async def receive_answer(self, kind: type[M]) -> M:
        """The next answer, of that kind."""
        assert self.lines is not None
        found = await self.lines.receive()
        if not isinstance(found, kind):
            raise ControlError(f"{self.name} said {type(found).__name__}, not {kind.__name__}; see its log")
        return found


class Children:
    """Owns all processes of a run; no more than `most` at a time."""

    def __init__(self, logs: Path, most: int) -> None:
        self.logs = logs
        self.max_processes = most
        self.running: list[Child] = []

    async def start_module(self, role: Role, name: str, module: str) -> Child:
        """A process of the run's own, with a control connection."""
        child = await self.spawn(role, name, (sys.executable, "-m", module), {}, asyncio.subprocess.PIPE)
        assert child.process.stdout is not None
        assert child.process.stdin is not None
        child.lines = Lines(child.process.stdout, child.process.stdin, Answer)
        return child

    async def start_program(self, role: Role, name: str, words: Sequence[str], environment: Mapping[str, str]) -> Child:
        """A real program, unchanged: `python -m stackwheel` with these words."""
        command = (sys.executable, "-m", "stackwheel", *words)
        return await self.spawn(role, name, command, environment, asyncio.subprocess.DEVNULL)

    async def spawn(
        self, role: Role, name: str, command: Sequence[str], environment: Mapping[str, str], standard: int
    ) -> Child:
        """Start a command under the launcher, which the kernel ends with this process; its stderr goes to its log."""
        if len(self.running) >= self.max_processes:
            raise ControlError(f"over {self.max_processes} processes")
        with (self.logs / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "stackwheel.scale.launch",
                str(os.getpid()),
                *command,
                stdin=standard,
                stdout=standard,
                stderr=log,
                env={**os.environ, **environment},
                limit=MAX_LINE_BYTES,
                start_new_session=True,
            )
        child = Child(role, name, process)
        self.running.append(child)
        return child

    def of(self, role: Role) -> list[Child]:
        """The running processes of a role."""
        return [child for child in self.running if child.role is role]

    def ended(self) -> list[Child]:
        """Processes that have ended though nobody asked them to."""
        return [child for child in self.running if child.process.returncode is not None and not child.ending]

    async def end(self, child: Child) -> None:
        """End one process: asked first, then killed."""
        child.ending = True
        if child.process.returncode is None:
            if child.lines is not None:
                with contextlib.suppress(ControlError, RuntimeError):
                    await child.lines.send(Stop())
            else:
                send(child, signal.SIGTERM)
            try:
                await asyncio.wait_for(child.process.wait(), END_WITHIN)
            except TimeoutError:
                send(child, signal.SIGKILL)
                await child.process.wait()
        if child in self.running:
            self.running.remove(child)

    async def kill(self, child: Child) -> None:
        """End one process as a crash does."""
        child.ending = True
        send(child, signal.SIGKILL)
        await child.process.wait()
        self.running.remove(child)

    async def end_all(self) -> None:
        """End every process that is left."""
        await asyncio.gather(*(self.end(child) for child in list(self.running)))


def send(child: Child, number: int) -> None:
    """Send a signal to a child that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(child.pid, number)
