"""Notifies a reader of changes in its folders; without a notification, it polls at a fixed interval."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

from loguru import logger

CHANGE_GROUPING_MS = 20
MAX_CHANGE_GROUPING_MS = 10 * CHANGE_GROUPING_MS
WATCH_RETRY_S = 5.0


async def folder_changes(folders: Sequence[str], poll_interval_s: float) -> AsyncIterator[None]:
    """Yield immediately, then at each change, and after each poll interval without a change.

    If the folders cannot be watched (the library or inotify is not available, or no folder exists), the failure is
    logged once, and the function yields at the poll interval only. Watching is retried every `WATCH_RETRY_S`.
    """
    yield None
    has_logged_failure = False
    while True:
        try:
            async for _ in _watched_changes(folders, poll_interval_s):
                yield None
        except (ImportError, OSError, RuntimeError) as error:
            if not has_logged_failure:
                has_logged_failure = True
                logger.info("folder watch unavailable, polling: duration_s={:g} reason={}", poll_interval_s, error)
            retry_at = asyncio.get_running_loop().time() + WATCH_RETRY_S
            while asyncio.get_running_loop().time() < retry_at:
                await asyncio.sleep(poll_interval_s)
                yield None


async def _watched_changes(folders: Sequence[str], poll_interval_s: float) -> AsyncIterator[None]:
    """Yield at changes of the existing folders and at the poll interval, until a folder is created or removed.

    Raises:
        OSError: none of the folders exists.
    """
    from watchfiles import awatch  # an optional dependency

    watched = _existing_folders(folders)
    if not watched:
        raise OSError("none of the folders exists")
    async for _ in awatch(
        *watched,
        step=CHANGE_GROUPING_MS,
        debounce=MAX_CHANGE_GROUPING_MS,
        rust_timeout=max(1, int(poll_interval_s * 1000.0)),
        yield_on_timeout=True,
        recursive=False,
    ):
        yield None
        if _existing_folders(folders) != watched:
            return


def _existing_folders(folders: Sequence[str]) -> list[str]:
    return [folder for folder in folders if Path(folder).is_dir()]
