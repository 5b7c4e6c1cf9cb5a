"""A model of a disk that may lose, keep or tear what was not synced; every crash point and outcome can be listed."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import product


class Crash(BaseException):
    """The process ends here; no OSError, so that nothing cleans up after it."""


@dataclass
class Inode:
    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


class ModelDisk:
    """Names are kept by folder sync, contents by file sync. `crash_at`: the step at which the process dies."""

    def __init__(self, crash_at: int = -1) -> None:
        self.crash_at, self.steps = crash_at, 0
        self.names_now: dict[str, Inode] = {}
        self.names_kept: dict[str, Inode] = {}
        self.handles: dict[int, Inode] = {}
        self.renames: list[tuple[str, str]] = []  # not yet synced
        self.fails: dict[str, OSError] = {}  # step: what it raises
        self.chunk = 1 << 30

    def step(self, what: str) -> None:
        if self.steps == self.crash_at:
            raise Crash(what)
        self.steps += 1
        if what in self.fails:
            raise self.fails[what]

    def create(self, path: str) -> int:
        self.step("create")
        self.names_now[path] = inode = Inode()
        handle = len(self.handles) + 3
        self.handles[handle] = inode
        return handle

    def write(self, handle: int, data: bytes) -> int:
        self.step("write")
        taken = data[: self.chunk]
        self.handles[handle].data += taken
        return len(taken)

    def sync(self, handle: int) -> None:
        self.step("sync")
        inode = self.handles[handle]
        inode.synced = bytes(inode.data)

    def close(self, handle: int) -> None:
        self.step("close")

    def rename(self, old: str, new: str) -> None:
        self.step("rename")
        if old not in self.names_now:
            raise OSError(errno.ENOENT, "No such file or directory")
        self.names_now[new] = self.names_now.pop(old)

    def sync_folder(self, path: str) -> None:
        self.step("sync folder")
        self.names_kept = dict(self.names_now)

    def remove(self, path: str) -> None:
        self.names_now.pop(path, None)

    def names(self, path: str) -> list[str]:
        return sorted(name.rpartition("/")[2] for name in self.names_now)

    def read(self, path: str, most: int) -> bytes:
        if path not in self.names_now:
            raise OSError(errno.ENOENT, "No such file or directory")
        return bytes(self.names_now[path].data[: most + 1])

    def outcomes(self, path: str) -> Iterator[bytes | None]:
        """All that the file may hold after a loss of power: either name, and of what was not synced any start."""
        for names in (self.names_kept, self.names_now):
            inode = names.get(path)
            if inode is None:
                yield None
                continue
            yield bytes(inode.synced)
            for length in range(len(inode.synced), len(inode.data) + 1):
                yield bytes(inode.data[:length])
                yield bytes(inode.data[:length]) + bytes(len(inode.data) - length)  # grown, but not written


def powers(count: int) -> Iterator[tuple[bool, ...]]:
    yield from product((False, True), repeat=count)
