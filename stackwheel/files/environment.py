"""What a publisher or a reader is run with: a disk, a clock, and a place for calls that block."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from stackwheel.files.disk import Disk, SystemDisk

RunBlocking = Callable[..., Awaitable[Any]]  # runs a function with its arguments where it may block


def unix_ms() -> float:
    """Now, in Unix ms."""
    return time.time() * 1000.0


@dataclass(frozen=True, slots=True)
class FileEnvironment:
    """The machine's own, or that of a simulation.

    Attributes:
        disk: where files are.
        now: the present time in Unix ms.
        run_blocking: by default in a thread, so that a slow disk never holds up the event loop.
    """

    disk: Disk
    now: Callable[[], float]
    run_blocking: RunBlocking = asyncio.to_thread


def system_environment() -> FileEnvironment:
    """The machine's disk, clock and threads."""
    return FileEnvironment(SystemDisk(), unix_ms)
