"""What table files need of a disk, the machine's own disk, and reading one file from it."""

from __future__ import annotations

import errno
import os
import stat
from pathlib import PurePosixPath
from typing import Protocol

from stackwheel.files.codec import MAX_FILE_BYTES
from stackwheel.files.errors import FileRejectedError, Stage

SUFFIX = ".table"
TEMPORARY_SUFFIX = ".part"  # of a temporary file that has not been renamed yet
MAX_NAME_LENGTH = 120  # characters; the longest name of ours has under 100
READ_CHUNK_BYTES = 1 << 20


class Disk(Protocol):
    """File operations; failures are OSError. Paths are absolute, handles are opaque."""

    def create(self, path: str) -> int:
        """Open an empty file for writing and return its handle."""

    def write(self, handle: int, data: bytes) -> int:
        """Write some of the bytes and return how many."""

    def sync(self, handle: int) -> None:
        """Make a file's content durable."""

    def close(self, handle: int) -> None:
        """Release a handle."""

    def rename(self, old: str, new: str) -> None:
        """Put a file in place of another atomically."""

    def sync_folder(self, path: str) -> None:
        """Make a folder's entries durable."""

    def remove(self, path: str) -> None:
        """Delete a file."""

    def names(self, path: str) -> list[str]:
        """The names in a folder, sorted."""

    def read(self, path: str, limit: int) -> bytes:
        """A regular file of at most `limit` bytes."""


class SystemDisk:
    """The machine's own disk.

    Only regular files are read: a pipe would block, a link could lead out of the folder.
    """

    def create(self, path: str) -> int:
        """Open an empty file for writing and return its handle; links are not followed."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(path, flags, 0o644)

    def write(self, handle: int, data: bytes) -> int:
        """Write some of the bytes and return how many."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Make a file's content durable."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Release a handle."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Put a file in place of another atomically."""
        os.rename(old, new)

    def sync_folder(self, path: str) -> None:
        """Make a folder's entries durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove(self, path: str) -> None:
        """Delete a file."""
        os.unlink(path)

    def names(self, path: str) -> list[str]:
        """The names in a folder, sorted."""
        return sorted(os.listdir(path))

    def read(self, path: str, limit: int) -> bytes:
        """A regular file of at most `limit` bytes; one byte more where it has grown since it was opened."""
        handle = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK)
        try:
            status = os.fstat(handle)
            if not stat.S_ISREG(status.st_mode):
                raise OSError(errno.EINVAL, "not a plain file")
            if status.st_size > limit:
                raise OSError(errno.EFBIG, f"{status.st_size} bytes, at most {limit}")
            return _read_up_to(handle, limit + 1)
        finally:
            os.close(handle)


def _read_up_to(handle: int, limit: int) -> bytes:
    chunks: list[bytes] = []
    left = limit
    while left > 0:
        chunk = os.read(handle, min(left, READ_CHUNK_BYTES))
        if not chunk:
            break
        chunks.append(chunk)
        left -= len(chunk)
    return b"".join(chunks)


def join(folder: str, name: str) -> str:
    """The path of a name in a folder."""
    return f"{folder.rstrip('/')}/{name}"


def is_safe_name(name: str) -> bool:
    """Whether a table file's name stays in its folder and is not a temporary one."""
    return (
        name.endswith(SUFFIX)
        and not name.startswith(".")
        and len(name) <= MAX_NAME_LENGTH
        and PurePosixPath(name).name == name
        and "\x00" not in name
    )


def list_names(disk: Disk, folder: str) -> list[str]:
    """The names in a folder; none where it does not exist or can't be read."""
    try:
        return disk.names(folder)
    except OSError:
        return []


def read_file(disk: Disk, folder: str, name: str) -> bytes:
    """The present bytes of a table file, complete or not.

    Raises:
        FileRejectedError: the name is not allowed, or the file can't be read.
    """
    if not is_safe_name(name):
        raise FileRejectedError(Stage.OPEN, f"name {name[:60]!r} is not taken")
    try:
        return disk.read(join(folder, name), MAX_FILE_BYTES)
    except OSError as error:
        stage = Stage.SIZE if error.errno == errno.EFBIG else Stage.OPEN
        reason = "a symbolic link" if error.errno == errno.ELOOP else error.strerror or str(error)
        raise FileRejectedError(stage, reason) from error
