"""Wakes a reader when its folders change, and after a poll interval in any case: events are only hints."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

from loguru import logger

GATHER_MS = 20  # changes within it wake the reader once
DEBOUNCE_MS = 10 * GATHER_MS  # at most this long while changes go on
WATCH_RETRY_S = 5.0  # until watching is tried again after it failed


async def folder_changes(folders: Sequence[str], poll_interval_s: float) -> AsyncIterator[None]:
    """Yield at once, then at each change, and every poll interval without one.

    Where watching is not possible (no library, no inotify, a folder that is missing), only the poll remains; that is
    logged once, and watching is tried again every `WATCH_RETRY_S`.
    """
    yield None
    logged = False
    while True:
        try:
            async for _ in _watched_changes(folders, poll_interval_s):
                yield None
        except (ImportError, OSError, RuntimeError) as error:
            if not logged:
                logged = True
                logger.info("folder watch unavailable, polling: duration_s={:g} reason={}", poll_interval_s, error)
            retry_at = asyncio.get_running_loop().time() + WATCH_RETRY_S
            while asyncio.get_running_loop().time() < retry_at:
                await asyncio.sleep(poll_interval_s)
                yield None


async def _watched_changes(folders: Sequence[str], poll_interval_s: float) -> AsyncIterator[None]:
    """Changes of the folders that exist, until another one appears or one vanishes; OSError where none exists."""
    from watchfiles import awatch  # an optional dependency

    watched = _existing(folders)
    if not watched:
        raise OSError("no folder to watch yet")
    async for _ in awatch(
        *watched,
        step=GATHER_MS,
        debounce=DEBOUNCE_MS,
        rust_timeout=max(1, int(poll_interval_s * 1000.0)),
        yield_on_timeout=True,
        recursive=False,
    ):
        yield None
        if _existing(folders) != watched:
            return


def _existing(folders: Sequence[str]) -> list[str]:
    return [folder for folder in folders if Path(folder).is_dir()]
