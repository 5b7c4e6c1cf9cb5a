"""Background tasks of the transport: kept while they run, logged when they fail, restarted where needed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TypeAlias

from loguru import logger

from stackwheel.wire import timing

Work: TypeAlias = Coroutine[object, object, None]


class TaskSupervisor:
    """Starts tasks and holds them until they end.

    Attributes:
        tasks: those that run.
    """

    def __init__(self) -> None:
        """Start without any task."""
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Work) -> None:
        """Run a task; an error that ends it is logged."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    def supervise(self, name: str, work: Callable[[], Work]) -> None:
        """Run a task that the process can't do without: after an unexpected error it is logged and restarted."""

        async def restart_on_error() -> None:
            """Run the work until it returns; pause after an unexpected error."""
            while True:
                try:
                    return await work()
                except Exception as error:
                    logger.opt(exception=True).error("task failed, restarting: kind={} reason={!r}", name, error)
                    await asyncio.sleep(timing.TASK_RESTART_MS / 1000.0)

        self.start(restart_on_error())

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("task failed: reason={!r}", error)
