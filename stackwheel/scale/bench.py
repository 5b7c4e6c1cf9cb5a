"""What every bench of one process shares: its start and end, its list's changes, the tasks of its stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Coroutine, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any

from stackwheel.scale.accounting import TrafficCounters
from stackwheel.scale.fake_environment import FakeDiscovery

READY_SECONDS = 20.0  # from the process's start until it serves; 0.8 s is usual with 48,000 servers
READY_POLL_SECONDS = 0.02
OPERATORS_VARIABLE = "STACKWHEEL_OPERATORS"


class BenchError(RuntimeError):
    """A process that did not start, or ended while it was measured."""


class Bench(ABC):
    """One process under test with everything it speaks to."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.counters = TrafficCounters()
        self.tasks: set[asyncio.Task[None]] = set()
        self.feed: FakeDiscovery | None = None

    @abstractmethod
    def running(self) -> AbstractAsyncContextManager[asyncio.subprocess.Process]:
        """The process, ready; ended with all that was started, whatever happens."""

    @abstractmethod
    def all_served(self) -> bool:
        """Whether everything it is to tell at its start has come."""

    @abstractmethod
    def start_disturbances(self) -> None:
        """Begin what happens during the span."""

    def updates_received(self) -> int:
        """Messages that came to proxies so far."""
        return 0

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a stand-in's task until the bench ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def cancel(self) -> None:
        """End all stand-ins' tasks."""
        for task in list(self.tasks):
            task.cancel()

    async def change(self, changes_per_second: float) -> None:
        """Changes of the list at an even rate, until cancelled."""
        assert self.feed is not None
        while True:
            await asyncio.sleep(1.0 / changes_per_second)
            self.feed.change()


def address_of(server: asyncio.Server) -> str:
    """Where a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


@contextlib.asynccontextmanager
async def started(words: Sequence[str], environment: Mapping[str, str]) -> AsyncIterator[asyncio.subprocess.Process]:
    """`python -m stackwheel` with those words; killed and waited for at the end."""
    found = {**os.environ, "STACKWHEEL_LOG": "ERROR", **environment}
    found.pop(OPERATORS_VARIABLE, None)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "stackwheel", *words, env=found, stderr=asyncio.subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
