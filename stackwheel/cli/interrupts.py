"""Cancels a run on SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable
from typing import TypeVar

ResultT = TypeVar("ResultT")


async def cancelled_by_sigterm(work: Awaitable[ResultT]) -> ResultT:
    """Await `work` and cancel it on SIGTERM, so that its cleanup ends the processes that it has started."""
    task = asyncio.current_task()
    assert task is not None  # a coroutine always runs within a task
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await work
