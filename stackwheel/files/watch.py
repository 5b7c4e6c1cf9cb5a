"""Wakes a reader when its folders change, and after a poll in any case: events are hints, the folder counts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

from loguru import logger

SETTLE = 20  # ms that changes are gathered
AGAIN = 5.0  # s until watching is tried again after it failed


async def wakes(folders: Sequence[str], poll: float) -> AsyncIterator[None]:
    """Yields at once, then at each change, and every `poll` s without one.

    Where watching is not to be had (no library, no inotify, a folder that vanished), the poll alone remains; that is
    said once, and watching is tried again now and then.
    """
    yield None
    told = False
    while True:
        here = [folder for folder in folders if Path(folder).is_dir()]
        try:
            from watchfiles import awatch

            if not here:
                raise OSError("no folder to watch yet")
            async for _ in awatch(
                *here,
                step=SETTLE,
                debounce=10 * SETTLE,
                rust_timeout=max(1, int(poll * 1000.0)),
                yield_on_timeout=True,
                recursive=False,
            ):
                yield None
                if [folder for folder in folders if Path(folder).is_dir()] != here:
                    break
        except (ImportError, OSError, RuntimeError) as error:
            if not told:
                told = True
                logger.info("files: folders are looked at every {:g} s, not watched: {}", poll, error)
            until = asyncio.get_running_loop().time() + AGAIN
            while asyncio.get_running_loop().time() < until:
                await asyncio.sleep(poll)
                yield None
