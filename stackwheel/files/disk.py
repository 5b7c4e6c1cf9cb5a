"""The file operations that table files need, their implementation by the operating system, and checked reads.

A read rejects file names that lead out of the folder, symbolic links, special files and oversized files.
"""

from __future__ import annotations

import errno
import os
import stat
from pathlib import PurePosixPath
from typing import Protocol

from stackwheel.files.codec import MAX_FILE_BYTES
from stackwheel.files.errors import FileRejectedError, Stage

TABLE_SUFFIX = ".table"
TEMPORARY_SUFFIX = ".part"
MAX_NAME_CHARACTERS = 120
READ_CHUNK_BYTES = 1 << 20


class Disk(Protocol):
    """File operations, which raise OSError on failure. Paths are absolute; handles are opaque to the caller."""

    def create(self, path: str) -> int:
        """Open an empty file for writing and return its handle."""

    def write(self, handle: int, data: bytes) -> int:
        """Write a prefix of the data and return the number of bytes written."""

    def sync(self, handle: int) -> None:
        """Make the content of an open file durable."""

    def close(self, handle: int) -> None:
        """Close an open file."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically; an existing file `new` is replaced."""

    def sync_folder(self, path: str) -> None:
        """Make the entries of a folder durable."""

    def remove(self, path: str) -> None:
        """Delete a file."""

    def names(self, path: str) -> list[str]:
        """Return the sorted names of a folder's entries."""

    def read(self, path: str, limit: int) -> bytes:
        """Return the content of a regular file; raises OSError if it has more than `limit` bytes."""


class SystemDisk:
    """File operations of the operating system.

    Only regular files are read, because a pipe would block and a symbolic link could lead out of the folder.
    """

    def create(self, path: str) -> int:
        """Open an empty file for writing and return its handle; symbolic links are not followed."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(path, flags, 0o644)

    def write(self, handle: int, data: bytes) -> int:
        """Write a prefix of the data and return the number of bytes written."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Make the content of an open file durable."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Close an open file."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically; an existing file `new` is replaced."""
        os.rename(old, new)

    def sync_folder(self, path: str) -> None:
        """Make the entries of a folder durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove(self, path: str) -> None:
        """Delete a file."""
        os.unlink(path)

    def names(self, path: str) -> list[str]:
        """Return the sorted names of a folder's entries."""
        return sorted(os.listdir(path))

    def read(self, path: str, limit: int) -> bytes:
        """Return the content of a regular file; raises OSError if it has more than `limit` bytes.

        If the file grows while it is read, up to `limit + 1` bytes are returned.
        """
        handle = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK)
        try:
            status = os.fstat(handle)
            if not stat.S_ISREG(status.st_mode):
                raise OSError(errno.EINVAL, "not a regular file")
            if status.st_size > limit:
                raise OSError(errno.EFBIG, f"the file has {status.st_size} bytes, at most {limit} are allowed")
            return _read_up_to(handle, limit + 1)
        finally:
            os.close(handle)


def _read_up_to(handle: int, limit: int) -> bytes:
    chunks: list[bytes] = []
    remaining = limit
    while remaining > 0:
        chunk = os.read(handle, min(remaining, READ_CHUNK_BYTES))
        if not chunk:
            break
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)


def join(folder: str, name: str) -> str:
    """Return the path of an entry of a folder."""
    return f"{folder.rstrip('/')}/{name}"


def is_safe_name(name: str) -> bool:
    """Return whether a name is that of a table file within its folder, and not of a hidden or temporary file."""
    return (
        name.endswith(TABLE_SUFFIX)
        and not name.startswith(".")
        and len(name) <= MAX_NAME_CHARACTERS
        and PurePosixPath(name).name == name
        and "\x00" not in name
    )


def list_names(disk: Disk, folder: str) -> list[str]:
    """Return the sorted names of a folder's entries; empty if the folder cannot be read."""
    try:
        return disk.names(folder)
    except OSError:
        return []


def read_file(disk: Disk, folder: str, name: str) -> bytes:
    """Read the bytes of a table file without checking its content.

    Raises:
        FileRejectedError: the name is not allowed, or the file cannot be read.
    """
    if not is_safe_name(name):
        raise FileRejectedError(Stage.OPEN, f"{name[:60]!r} is not a valid name for a table file")
    try:
        return disk.read(join(folder, name), MAX_FILE_BYTES)
    except OSError as error:
        stage = Stage.SIZE if error.errno == errno.EFBIG else Stage.OPEN
        reason = "symbolic links are not followed" if error.errno == errno.ELOOP else error.strerror or str(error)
        raise FileRejectedError(stage, reason) from error
