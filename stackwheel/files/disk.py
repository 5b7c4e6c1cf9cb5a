"""The steps by which a file is swapped whole, on a disk that is handed in: the system's, or a model of one.

Written to a name of its own in the same folder, synced, renamed over the old one, the folder synced. Whatever step
the writer dies at, a reader finds the old file or the new one.
"""

from __future__ import annotations

import contextlib
import errno
import os
import stat
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import PurePosixPath
from typing import Protocol, TypeVar

from stackwheel.files.codec import SIZE_MOST, Refusal, Stage

T = TypeVar("T")

SUFFIX, PART = ".table", ".part"
NAME_MOST = 120


class Disk(Protocol):
    """What swapping and reading need. Failures are OSError."""

    def create(self, path: str) -> int: ...

    def write(self, handle: int, data: bytes) -> int: ...

    def sync(self, handle: int) -> None: ...

    def close(self, handle: int) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def sync_folder(self, path: str) -> None: ...

    def remove(self, path: str) -> None: ...

    def names(self, path: str) -> list[str]: ...

    def read(self, path: str, most: int) -> bytes: ...


class SystemDisk:
    """The machine's own. What is no plain file is never opened to the end: a pipe would not return, a link would
    lead elsewhere."""

    def create(self, path: str) -> int:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(path, flags, 0o644)

    def write(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        os.fsync(handle)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new)

    def sync_folder(self, path: str) -> None:
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove(self, path: str) -> None:
        os.unlink(path)

    def names(self, path: str) -> list[str]:
        return sorted(os.listdir(path))

    def read(self, path: str, most: int) -> bytes:
        handle = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK)
        try:
            found = os.fstat(handle)
            if not stat.S_ISREG(found.st_mode):
                raise OSError(errno.EINVAL, "not a plain file")
            if found.st_size > most:
                raise OSError(errno.EFBIG, f"{found.st_size} bytes, at most {most}")
            pieces: list[bytes] = []
            left = most + 1
            while left > 0 and (piece := os.read(handle, min(left, 1 << 20))):
                pieces.append(piece)
                left -= len(piece)
            return b"".join(pieces)
        finally:
            os.close(handle)


@dataclass(frozen=True, slots=True)
class SwapFailed:
    """A swap that did not come through, and how far it had come; the old file stands."""

    step: str
    reason: str


def swap(disk: Disk, folder: str, name: str, data: bytes) -> SwapFailed | None:
    """Put a file in the place of another, whole; None once it is there for good.

    Source of the steps: POSIX rename is atomic for names, and only a synced file behind a synced folder outlives a
    crash.
    """
    path, part = join(folder, name), join(folder, "." + name + PART)
    step, handle = "create", -1
    try:
        handle = disk.create(part)
        step, at = "write", 0
        while at < len(data):
            count = disk.write(handle, data[at:])
            if count <= 0:
                raise OSError(errno.EIO, "nothing was written")
            at += count
        step = "sync"
        disk.sync(handle)
        step, open_handle, handle = "close", handle, -1
        disk.close(open_handle)
        step = "rename"
        disk.rename(part, path)
        step = "sync folder"
        disk.sync_folder(folder)
        return None
    except OSError as error:
        if handle >= 0:
            quietly(disk.close, handle)
        if step != "sync folder":
            quietly(disk.remove, part)
        return SwapFailed(step, error.strerror or str(error))


def quietly(call: Callable[[T], None], argument: T) -> None:
    with contextlib.suppress(OSError):  # what can't be cleaned up is overwritten by the next swap
        call(argument)


def join(folder: str, name: str) -> str:
    return f"{folder.rstrip('/')}/{name}"


def safe_name(name: str) -> bool:
    """Whether a file's name stays in its folder and is no half-written file."""
    return (
        name.endswith(SUFFIX)
        and not name.startswith(".")
        and len(name) <= NAME_MOST
        and PurePosixPath(name).name == name
        and "\x00" not in name
    )


def read_file(disk: Disk, folder: str, name: str) -> bytes | Refusal:
    """A file's bytes as they are at once; whether they are whole, the codec tells."""
    if not safe_name(name):
        return Refusal(Stage.OPEN, f"name {name[:60]!r} is not taken")
    try:
        return disk.read(join(folder, name), SIZE_MOST)
    except OSError as error:
        stage = Stage.SIZE if error.errno == errno.EFBIG else Stage.OPEN
        why = "a symbolic link" if error.errno == errno.ELOOP else error.strerror or str(error)
        return Refusal(stage, why)
