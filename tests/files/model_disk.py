"""A model of a disk that may lose, keep or tear what was not synced; every crash point and outcome can be listed."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from dataclasses import dataclass, field


class CrashError(BaseException):
    """The process ends here; not an Exception, so that nothing cleans up after it."""


@dataclass
class Inode:
    """A file's content, as a running process sees it and as it would survive a loss of power."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


def folder_of(path: str) -> str:
    return path.rpartition("/")[0]


class ModelDisk:
    """Names become durable by a folder sync, contents by a file sync.

    Attributes:
        crash_at: number of the step at which the process dies; -1: never.
        steps: made so far.
        entries: files by path as a running process sees them.
        durable_entries: files by path as of the last folder sync.
        failures: the error that a step raises, by its name.
        max_write: bytes that one write takes.
    """

    def __init__(self, crash_at: int = -1) -> None:
        self.crash_at = crash_at
        self.steps = 0
        self.entries: dict[str, Inode] = {}
        self.durable_entries: dict[str, Inode] = {}
        self.handles: dict[int, Inode] = {}  # of open files
        self.next_handle = 3
        self.failures: dict[str, OSError] = {}
        self.max_write = 1 << 30

    def step(self, name: str) -> None:
        if self.steps == self.crash_at:
            raise CrashError(name)
        self.steps += 1
        if name in self.failures:
            raise self.failures[name]

    def create(self, path: str) -> int:
        self.step("create")
        inode = Inode()
        self.entries[path] = inode
        handle = self.next_handle
        self.next_handle += 1
        self.handles[handle] = inode
        return handle

    def write(self, handle: int, data: bytes) -> int:
        self.step("write")
        taken = data[: self.max_write]
        self.handles[handle].data += taken
        return len(taken)

    def sync(self, handle: int) -> None:
        self.step("sync")
        inode = self.handles[handle]
        inode.synced = bytes(inode.data)

    def close(self, handle: int) -> None:
        self.step("close")
        del self.handles[handle]

    def rename(self, old: str, new: str) -> None:
        self.step("rename")
        if old not in self.entries:
            raise OSError(errno.ENOENT, "No such file or directory")
        self.entries[new] = self.entries.pop(old)

    def sync_folder(self, path: str) -> None:
        self.step("sync folder")
        others = {name: inode for name, inode in self.durable_entries.items() if folder_of(name) != path}
        self.durable_entries = others | {name: inode for name, inode in self.entries.items() if folder_of(name) == path}

    def remove(self, path: str) -> None:
        self.entries.pop(path, None)

    def names(self, path: str) -> list[str]:
        return sorted(name.rpartition("/")[2] for name in self.entries if folder_of(name) == path)

    def read(self, path: str, limit: int) -> bytes:
        if path not in self.entries:
            raise OSError(errno.ENOENT, "No such file or directory")
        return bytes(self.entries[path].data[: limit + 1])

    def outcomes(self, path: str) -> Iterator[bytes | None]:
        """All that the file may hold after a loss of power: under either name, any prefix of what was not synced."""
        for entries in (self.durable_entries, self.entries):
            inode = entries.get(path)
            if inode is None:
                yield None
                continue
            yield bytes(inode.synced)
            for length in range(len(inode.synced), len(inode.data) + 1):
                yield bytes(inode.data[:length])
                yield bytes(inode.data[:length]) + bytes(len(inode.data) - length)  # grown, but not written
