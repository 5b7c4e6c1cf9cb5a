"""The disk, clock and executor that a publisher or a reader uses."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from stackwheel.files.disk import Disk, SystemDisk

RunBlocking = Callable[..., Awaitable[Any]]
"""Runs a blocking function with its arguments and returns its result."""


def unix_ms() -> float:
    """Return the current time in Unix ms."""
    return time.time() * 1000.0


@dataclass(frozen=True, slots=True)
class FileEnvironment:
    """Disk, clock and executor, of the operating system or of a simulation.

    Attributes:
        disk: file operations.
        now: returns the current time in Unix ms.
        run_blocking: runs blocking calls; by default in a thread, so that a slow disk does not block the event loop.
    """

    disk: Disk
    now: Callable[[], float]
    run_blocking: RunBlocking = asyncio.to_thread


def system_environment() -> FileEnvironment:
    """Return the environment that uses the operating system's disk, clock and threads."""
    return FileEnvironment(SystemDisk(), unix_ms)
