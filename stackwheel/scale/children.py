"""Child processes of a run: starts them with their control connections, and ensures that they end with the run."""

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

END_TIMEOUT_S = 3.0

Answered = TypeVar("Answered", bound=Message)


class Role(StrEnum):
    """Roles of processes; the values are names of fields of the report."""

    REGISTRY = "registry"
    RELAY = "relay"
    REAL_PLANNER = "real_planner"
    FULL_LIST_PLANNER = "whole_list_planner"  # A real planner that follows the registry directly in a run with relays.
    HOLLOW_PLANNER = "hollow_planner"


@dataclass(slots=True)
class Child:
    """One process of a run.

    Attributes:
        role: role for which its resource usage is reported.
        name: name of the process and of its log file.
        process: the process itself.
        connection: control connection; None for the real program, which has none.
        request_lock: ensures that only one request is pending at a time.
        is_ending: whether the run has requested the end of the process.
    """

    role: Role
    name: str
    process: asyncio.subprocess.Process
    connection: ControlConnection[Answer] | None = None
    request_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    is_ending: bool = False

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    async def notify_process(self, message: Message) -> None:
        """Send a message that is not answered."""
        assert self.connection is not None
        async with self.request_lock:
            await self.connection.send(message)

    async def request(self, message: Message, kind: type[Answered]) -> Answered:
        """Send a message and return its answer, which has to be of type `kind`.

        The answer is also read if the caller is cancelled; otherwise it would be taken for that of the next request.

        Raises:
            ControlError: the process has ended, or the answer is of another type.
        """
        return await asyncio.shield(self.send_and_receive(message, kind))

    async def send_and_receive(self, message: Message, kind: type[Answered]) -> Answered:
        """Wait until earlier requests are answered, then send this one and return its answer."""
        assert self.connection is not None
        async with self.request_lock:
            await self.connection.send(message)
            return await self.receive_answer(kind)

    async def receive_answer(self, kind: type[Answered]) -> Answered:
        """Return the next answer, which has to be of type `kind`.

        Raises:
            ControlError: the process has ended, or the answer is of another type.
        """
        assert self.connection is not None
        answer = await self.connection.receive()
        if not isinstance(answer, kind):
            raise ControlError(
                f"process {self.name} answered {type(answer).__name__}, expected {kind.__name__}; see its log file"
            )
        return answer


class Children:
    """Owns all child processes of a run and limits their number.

    Attributes:
        log_folder: folder that contains a log file for each process.
        max_processes: maximum number of processes that run at the same time.
        running: processes that were started and that the run has not ended.
    """

    def __init__(self, log_folder: Path, max_processes: int) -> None:
        self.log_folder = log_folder
        self.max_processes = max_processes
        self.running: list[Child] = []

    async def start_module(self, role: Role, name: str, module: str) -> Child:
        """Start a Python module as a process with a control connection."""
        child = await self.spawn(role, name, (sys.executable, "-m", module), {}, asyncio.subprocess.PIPE)
        assert child.process.stdout is not None
        assert child.process.stdin is not None
        child.connection = ControlConnection(child.process.stdout, child.process.stdin, Answer)
        return child

    async def start_program(
        self, role: Role, name: str, arguments: Sequence[str], environment: Mapping[str, str]
    ) -> Child:
        """Start the real program, `python -m stackwheel`, with these arguments and without a control connection."""
        command = (sys.executable, "-m", "stackwheel", *arguments)
        return await self.spawn(role, name, command, environment, asyncio.subprocess.DEVNULL)

    async def spawn(
        self, role: Role, name: str, command: Sequence[str], environment: Mapping[str, str], standard_streams: int
    ) -> Child:
        """Start a command under `stackwheel.scale.launch`, so that the kernel ends it together with this process.

        Args:
            role: role for which its resource usage is reported.
            name: name of the process and of its log file, to which its standard error is written.
            command: program and arguments.
            environment: variables in addition to those of this process.
            standard_streams: `asyncio.subprocess.PIPE` or `DEVNULL`, for standard input and output.

        Raises:
            ControlError: the maximum number of processes is already running.
        """
        if len(self.running) >= self.max_processes:
            raise ControlError(f"cannot start process {name}: the maximum of {self.max_processes} processes is running")
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
        """Return the running processes of a role."""
        return [child for child in self.running if child.role is role]

    def unexpectedly_ended(self) -> list[Child]:
        """Return the processes that have ended although the run has not requested it."""
        return [child for child in self.running if child.process.returncode is not None and not child.is_ending]

    async def end(self, child: Child) -> None:
        """Request the end of one process, and kill it if it has not ended after `END_TIMEOUT_S`."""
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
        """Kill one process with SIGKILL to simulate a crash."""
        child.is_ending = True
        send_signal(child, signal.SIGKILL)
        await child.process.wait()
        self.running.remove(child)

    async def end_all(self) -> None:
        """End all running processes."""
        await asyncio.gather(*(self.end(child) for child in list(self.running)))


def send_signal(child: Child, signal_number: int) -> None:
    """Send a signal to a process; do nothing if it has ended."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(child.pid, signal_number)
