"""Disks of a trial: files in memory, with what can go wrong with them; no file of the machine is touched."""

from __future__ import annotations

import errno
from collections.abc import Callable

from stackwheel.files.disk import PART_SUFFIX


class TrialDisk:
    """One machine's disk. It outlives the machine's processes."""

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.files: dict[str, bytes] = {}
        self.open: dict[int, tuple[str, bytearray]] = {}
        self.handles = 0
        self.full = False
        self.gone = False  # the folders have vanished
        self.slow = 0.002  # s that something takes
        self.renamed: Callable[[str, bytes], None] = lambda path, data: None
        self.in_place: Callable[[str], None] = lambda path: None  # somebody wrote to a final name

    def fail(self) -> None:
        if self.gone:
            raise OSError(errno.ENOENT, "No such file or directory")

    def create(self, path: str) -> int:
        self.fail()
        if not path.endswith(PART_SUFFIX):
            self.in_place(path)
            self.files[path] = b""
        self.handles += 1
        self.open[self.handles] = path, bytearray()
        return self.handles

    def write(self, handle: int, data: bytes) -> int:
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        path, held = self.open[handle]
        held += data
        if path in self.files:
            self.files[path] = bytes(held)
        return len(data)

    def sync(self, handle: int) -> None:
        self.fail()

    def close(self, handle: int) -> None:
        path, held = self.open.pop(handle)
        if not path.endswith(PART_SUFFIX):
            self.renamed(path, bytes(held))
        else:
            self.files[path] = bytes(held)

    def rename(self, old: str, new: str) -> None:
        self.fail()
        if old not in self.files:
            raise OSError(errno.ENOENT, "No such file or directory")
        self.files[new] = self.files.pop(old)
        self.renamed(new, self.files[new])

    def sync_folder(self, path: str) -> None:
        self.fail()

    def remove(self, path: str) -> None:
        self.files.pop(path, None)

    def names(self, path: str) -> list[str]:
        self.fail()
        start = path.rstrip("/") + "/"
        inside = [name[len(start) :] for name in self.files if name.startswith(start)]
        return sorted(dict.fromkeys(name.partition("/")[0] for name in inside))

    def read(self, path: str, limit: int) -> bytes:
        self.fail()
        if path not in self.files:
            raise OSError(errno.ENOENT, "No such file or directory")
        return self.files[path][: limit + 1]
