"""Base class of the benches of a planner and of a relay: the process under test and the tasks of the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Coroutine, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any

from stackwheel.errors import StackwheelError
from stackwheel.scale.accounting import TrafficCounters
from stackwheel.scale.fake_environment import FakeDiscovery

START_TIMEOUT_S = 20.0
START_POLL_INTERVAL_S = 0.02
OPERATORS_FILE_VARIABLE = "STACKWHEEL_OPERATORS"


class BenchError(StackwheelError):
    """The process under test did not start, ended during the measurement, or exceeded a time limit."""


class Bench(ABC):
    """One process under test, and stand-ins for everything that it connects to or that connects to it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.counters = TrafficCounters()
        self.tasks: set[asyncio.Task[None]] = set()
        self.discovery: FakeDiscovery | None = None

    @abstractmethod
    def running(self) -> AbstractAsyncContextManager[asyncio.subprocess.Process]:
        """Start the process and the stand-ins, yield the process once it is ready, and end all of them on exit."""

    @abstractmethod
    def all_clients_served(self) -> bool:
        """Return whether the process has sent its initial data to every client."""

    @abstractmethod
    def start_list_changes(self) -> None:
        """Start the changes of the endpoint list that occur during the measurement."""

    def updates_received(self) -> int:
        """Return the number of updates that all proxies have received."""
        return 0

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run the task of a stand-in until the bench ends."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def cancel_tasks(self) -> None:
        """Cancel the tasks of all stand-ins."""
        for task in list(self.tasks):
            task.cancel()

    async def change_list(self, changes_per_second: float) -> None:
        """Change the endpoint list at a constant rate until cancelled."""
        assert self.discovery is not None
        while True:
            await asyncio.sleep(1.0 / changes_per_second)
            self.discovery.change()


def listen_address(server: asyncio.Server) -> str:
    """Return the address, HOST:PORT, at which a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


@contextlib.asynccontextmanager
async def stackwheel_process(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run `python -m stackwheel` with the given arguments; kill the process on exit and wait until it has ended."""
    variables = {**os.environ, "STACKWHEEL_LOG": "ERROR", **environment}
    variables.pop(OPERATORS_FILE_VARIABLE, None)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "stackwheel", *arguments, env=variables, stderr=asyncio.subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
