"""The processes of a run: starts them with their control connections, and ends them, whatever happens."""

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

from stackwheel.scale.control import MAX_MESSAGE_BYTES, Answer, ControlConnection, ControlError, Message, Stop

END_TIMEOUT_S = 3.0  # s from the request to end until SIGKILL

Answered = TypeVar("Answered", bound=Message)


class Role(StrEnum):
    """The roles that the report has figures of; the values are field names there."""

    REGISTRY = "registry"
    RELAY = "relay"
    REAL_PLANNER = "real_planner"
    FULL_LIST_PLANNER = "whole_list_planner"  # a real planner that follows the registry itself, beside relays
    HOLLOW_PLANNER = "hollow_planner"


@dataclass(slots=True)
class Child:
    """One process of a run."""

    role: Role
    name: str
    process: asyncio.subprocess.Process
    connection: ControlConnection[Answer] | None = None  # its control connection; real programs have none
    request_lock: asyncio.Lock = field(default_factory=asyncio.Lock)  # one request at a time
    is_ending: bool = False  # the run itself has ended it

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.process.pid

    async def notify_process(self, message: Message) -> None:
        """Send a message that has no answer."""
        assert self.connection is not None
        async with self.request_lock:
            await self.connection.send(message)

    async def request(self, message: Message, kind: type[Answered]) -> Answered:
        """Send a message and receive its answer; ControlError if the process has ended or answers otherwise.

        If the caller is cancelled, the answer is read all the same: it must not be taken for that of the next request.
        """
        return await asyncio.shield(self.send_and_receive(message, kind))

    async def send_and_receive(self, message: Message, kind: type[Answered]) -> Answered:
        """Wait for earlier requests to be answered, then send this one and receive its answer."""
        assert self.connection is not None
        async with self.request_lock:
            await self.connection.send(message)
            return await self.receive_answer(kind)

    async def receive_answer(self, kind: type[Answered]) -> Answered:
        """The next answer; ControlError if it is of another kind, or the process has ended."""
        assert self.connection is not None
        answer = await self.connection.receive()
        if not isinstance(answer, kind):
            raise ControlError(f"{self.name} said {type(answer).__name__}, not {kind.__name__}; see its log")
        return answer


class Children:
    """Owns all processes of a run."""

    def __init__(self, log_folder: Path, max_processes: int) -> None:
        self.log_folder = log_folder  # the folder that has a log file for each process
        self.max_processes = max_processes  # at a time
        self.running: list[Child] = []

    async def start_module(self, role: Role, name: str, module: str) -> Child:
        """Start a module of this package as a process with a control connection."""
        child = await self.spawn(role, name, (sys.executable, "-m", module), {}, asyncio.subprocess.PIPE)
        assert child.process.stdout is not None
        assert child.process.stdin is not None
        child.connection = ControlConnection(child.process.stdout, child.process.stdin, Answer)
        return child

    async def start_program(
        self, role: Role, name: str, arguments: Sequence[str], environment: Mapping[str, str]
    ) -> Child:
        """Start the real program, unchanged: `python -m stackwheel` with these arguments."""
        command = (sys.executable, "-m", "stackwheel", *arguments)
        return await self.spawn(role, name, command, environment, asyncio.subprocess.DEVNULL)

    async def spawn(
        self, role: Role, name: str, command: Sequence[str], environment: Mapping[str, str], standard_streams: int
    ) -> Child:
        """Start a command under the launcher, so that the kernel ends it with this process.

        Args:
            role: whose figures it counts for.
            name: of the process, and of its log file, which gets its standard error.
            command: the program and its arguments.
            environment: variables beside those of this process.
            standard_streams: `asyncio.subprocess.PIPE` or `DEVNULL`, for standard input and output.

        Raises:
            ControlError: as many processes are running as allowed.
        """
        if len(self.running) >= self.max_processes:
            raise ControlError(f"over {self.max_processes} processes")
        with (self.log_folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "stackwheel.scale.launch",
                str(os.getpid()),
                *command,
                stdin=standard_streams,
                stdout=standard_streams,
                stderr=log,
                env={**os.environ, **environment},
                limit=MAX_MESSAGE_BYTES,
                start_new_session=True,
            )
        child = Child(role, name, process)
        self.running.append(child)
        return child

    def with_role(self, role: Role) -> list[Child]:
        """The running processes of a role."""
        return [child for child in self.running if child.role is role]

    def unexpectedly_ended(self) -> list[Child]:
        """Processes that have ended, but not by the run."""
        return [child for child in self.running if child.process.returncode is not None and not child.is_ending]

    async def end(self, child: Child) -> None:
        """End one process: request it, and kill the process if it takes too long."""
        child.is_ending = True
        if child.process.returncode is None:
            if child.connection is not None:
                with contextlib.suppress(ControlError, RuntimeError):
                    await child.connection.send(Stop())
            else:
                send_signal(child, signal.SIGTERM)
            try:
                await asyncio.wait_for(child.process.wait(), END_TIMEOUT_S)
            except TimeoutError:
                send_signal(child, signal.SIGKILL)
                await child.process.wait()
        if child in self.running:
            self.running.remove(child)

    async def kill(self, child: Child) -> None:
        """End one process without warning, as a crash does."""
        child.is_ending = True
        send_signal(child, signal.SIGKILL)
        await child.process.wait()
        self.running.remove(child)

    async def end_all(self) -> None:
        """End all running processes."""
        await asyncio.gather(*(self.end(child) for child in list(self.running)))


def send_signal(child: Child, signal_number: int) -> None:
    """Send a signal to a process that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(child.pid, signal_number)
