"""A model of a disk on which unsynced data may be lost, kept or partially written in a crash."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from dataclasses import dataclass, field


class CrashError(BaseException):
    """Simulates the end of the process; not an Exception, so that no handler runs its cleanup."""


@dataclass
class Inode:
    """Content of a file, as a running process sees it and as it survives a power failure."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


def folder_of(path: str) -> str:
    return path.rpartition("/")[0]


class ModelDisk:
    """A disk in memory: a folder sync makes names durable, a file sync makes contents durable.

    Attributes:
        crash_at: index of the step that raises CrashError; -1 for none.
        steps: number of completed steps.
        entries: files by path, as a running process sees them.
        durable_entries: files by path, as of the last folder sync.
        handles: open files by handle.
        failures: error that a step raises, by the name of the step.
        max_write_bytes: maximum number of bytes that one write accepts.
    """

    def __init__(self, crash_at: int = -1) -> None:
        self.crash_at = crash_at
        self.steps = 0
        self.entries: dict[str, Inode] = {}
        self.durable_entries: dict[str, Inode] = {}
        self.handles: dict[int, Inode] = {}
        self.next_handle = 3
        self.failures: dict[str, OSError] = {}
        self.max_write_bytes = 1 << 30

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
        accepted = data[: self.max_write_bytes]
        self.handles[handle].data += accepted
        return len(accepted)

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
        """Yield every content that a file may have after a power failure; None if the file may be missing.

        The name may be that before or after the last folder sync, and any prefix of unsynced data may be written.
        """
        for entries in (self.durable_entries, self.entries):
            inode = entries.get(path)
            if inode is None:
                yield None
                continue
            yield bytes(inode.synced)
            for length in range(len(inode.synced), len(inode.data) + 1):
                yield bytes(inode.data[:length])
                yield bytes(inode.data[:length]) + bytes(len(inode.data) - length)  # extended with zeros
