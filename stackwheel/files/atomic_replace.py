"""Replaces a file atomically and durably: write a temporary file, sync it, rename it, sync the folder.

Whatever step the writer dies at, a reader finds the old file or the new one. POSIX makes the rename atomic for names;
only a synced file in a synced folder outlives a crash of the machine.
"""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Iterator

from stackwheel.files.disk import TEMPORARY_SUFFIX, Disk, join
from stackwheel.files.errors import ReplaceError, ReplaceStep


def replace_file(disk: Disk, folder: str, name: str, data: bytes) -> None:
    """Put a file in place of another; it is durable on return.

    Raises:
        ReplaceError: a step failed. Only when the last one did is the new file in place.
    """
    temporary = join(folder, f".{name}{TEMPORARY_SUFFIX}")
    try:
        _write_synced(disk, temporary, data)
        with _step(ReplaceStep.RENAME):
            disk.rename(temporary, join(folder, name))
    except ReplaceError:
        with contextlib.suppress(OSError):  # a leftover is overwritten by the next replace
            disk.remove(temporary)
        raise
    with _step(ReplaceStep.SYNC_FOLDER):
        disk.sync_folder(folder)


def _write_synced(disk: Disk, path: str, data: bytes) -> None:
    with _step(ReplaceStep.CREATE):
        handle = disk.create(path)
    try:
        with _step(ReplaceStep.WRITE):
            _write_all(disk, handle, data)
        with _step(ReplaceStep.SYNC):
            disk.sync(handle)
    except ReplaceError:
        with contextlib.suppress(OSError):  # the first error counts
            disk.close(handle)
        raise
    with _step(ReplaceStep.CLOSE):
        disk.close(handle)


def _write_all(disk: Disk, handle: int, data: bytes) -> None:
    written = 0
    while written < len(data):
        count = disk.write(handle, data[written:])
        if count <= 0:
            raise OSError(errno.EIO, "nothing was written")
        written += count


@contextlib.contextmanager
def _step(step: ReplaceStep) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise ReplaceError(step, error.strerror or str(error)) from error
