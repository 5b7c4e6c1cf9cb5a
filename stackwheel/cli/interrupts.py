"""Ends a run on SIGTERM as Ctrl-C does."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable
from typing import TypeVar

ResultT = TypeVar("ResultT")


async def cancelled_by_sigterm(work: Awaitable[ResultT]) -> ResultT:
    """Await some work; SIGTERM cancels it, so that whatever it has started ends with it."""
    task = asyncio.current_task()
    assert task is not None  # a coroutine runs within a task
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await work
