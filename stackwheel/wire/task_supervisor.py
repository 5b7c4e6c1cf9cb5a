"""Background tasks of the transport: holds references to them, logs failures and restarts essential tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TypeAlias

from loguru import logger

from stackwheel.wire import timing

Work: TypeAlias = Coroutine[object, object, None]


class TaskSupervisor:
    """Starts tasks and holds references to them until they end.

    Attributes:
        tasks: running tasks.
    """

    def __init__(self) -> None:
        """Create a supervisor without tasks."""
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Work) -> None:
        """Run a task in the background, and log the error if it fails."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    def supervise(self, name: str, work: Callable[[], Work]) -> None:
        """Run an essential task in the background, and restart it after an unexpected error."""

        async def restart_on_error() -> None:
            """Run the work until it returns; waits for TASK_RESTART_MS after an unexpected error."""
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
