"""What the benches of a planner and of a relay share: start and end of the process, and the stand-ins' tasks."""

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

READY_SECONDS = 20.0  # from the process's start until it serves; 0.8 s is typical with 48,000 servers
READY_POLL_SECONDS = 0.02
OPERATORS_VARIABLE = "STACKWHEEL_OPERATORS"


class BenchError(StackwheelError):
    """A process under test did not start, ended while it was measured, or took too long."""


class Bench(ABC):
    """One process under test with stand-ins for everything that it connects to or that connects to it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.counters = TrafficCounters()
        self.tasks: set[asyncio.Task[None]] = set()
        self.feed: FakeDiscovery | None = None

    @abstractmethod
    def running(self) -> AbstractAsyncContextManager[asyncio.subprocess.Process]:
        """The process, ready; on exit it is ended together with all stand-ins."""

    @abstractmethod
    def all_served(self) -> bool:
        """Whether the process has sent everything that it has to send at its start."""

    @abstractmethod
    def start_disturbances(self) -> None:
        """Begin what is to happen while the process is measured."""

    def updates_received(self) -> int:
        """Updates that proxies have received so far."""
        return 0

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a stand-in's task until the bench ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def cancel(self) -> None:
        """End the tasks of all stand-ins."""
        for task in list(self.tasks):
            task.cancel()

    async def change(self, changes_per_second: float) -> None:
        """Change the list at an even rate until cancelled."""
        assert self.feed is not None
        while True:
            await asyncio.sleep(1.0 / changes_per_second)
            self.feed.change()


def address_of(server: asyncio.Server) -> str:
    """The address, HOST:PORT, at which a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


@contextlib.asynccontextmanager
async def started(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A process of `python -m stackwheel` with these arguments; killed and waited for at the end."""
    variables = {**os.environ, "STACKWHEEL_LOG": "ERROR", **environment}
    variables.pop(OPERATORS_VARIABLE, None)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "stackwheel", *arguments, env=variables, stderr=asyncio.subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
