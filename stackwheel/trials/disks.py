"""Disks of a simulation: files in memory, with what can go wrong with them; no file of the machine is touched."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field

from stackwheel.files.disk import TEMPORARY_SUFFIX
from stackwheel.trials.loop import do_nothing

DEFAULT_DELAY_S = 0.002  # that an operation takes


@dataclass(slots=True)
class OpenFile:
    """A file that is being written."""

    path: str
    data: bytearray = field(default_factory=bytearray)


class SimulatedDisk:
    """One machine's disk. It outlives the machine's processes.

    Attributes:
        full: Nothing can be written.
        missing: The folders have vanished.
        delay: What an operation takes, in s.
        on_renamed: Called with path and data of a file that has got its final name.
        on_written_in_place: Called with the path where somebody writes to a final name.
    """

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.files: dict[str, bytes] = {}
        self.open_files: dict[int, OpenFile] = {}
        self.handle_count = 0
        self.full = False
        self.missing = False
        self.delay = DEFAULT_DELAY_S
        self.on_renamed: Callable[[str, bytes], None] = do_nothing
        self.on_written_in_place: Callable[[str], None] = do_nothing

    def check_present(self) -> None:
        """Raise `FileNotFoundError` where the folders have vanished."""
        if self.missing:
            raise OSError(errno.ENOENT, "No such file or directory")

    def create(self, path: str) -> int:
        """Open a file for writing; return its handle."""
        self.check_present()
        if not path.endswith(TEMPORARY_SUFFIX):
            self.on_written_in_place(path)
            self.files[path] = b""
        self.handle_count += 1
        self.open_files[self.handle_count] = OpenFile(path)
        return self.handle_count

    def write(self, handle: int, data: bytes) -> int:
        """Append to an open file; return how many bytes were written."""
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        file = self.open_files[handle]
        file.data += data
        if file.path in self.files:
            self.files[file.path] = bytes(file.data)
        return len(data)

    def sync(self, handle: int) -> None:
        """Write a file's data through to the disk."""
        assert handle in self.open_files
        self.check_present()

    def close(self, handle: int) -> None:
        """Close an open file."""
        file = self.open_files.pop(handle)
        if not file.path.endswith(TEMPORARY_SUFFIX):
            self.on_renamed(file.path, bytes(file.data))
        else:
            self.files[file.path] = bytes(file.data)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what has it."""
        self.check_present()
        if old not in self.files:
            raise OSError(errno.ENOENT, "No such file or directory")
        self.files[new] = self.files.pop(old)
        self.on_renamed(new, self.files[new])

    def sync_folder(self, path: str) -> None:
        """Write a folder's entries through to the disk."""
        assert path.startswith("/")
        self.check_present()

    def remove(self, path: str) -> None:
        """Remove a file, if it is there."""
        self.files.pop(path, None)

    def names(self, path: str) -> list[str]:
        """The names in a folder, in order."""
        self.check_present()
        start = path.rstrip("/") + "/"
        inside = [name[len(start) :] for name in self.files if name.startswith(start)]
        return sorted(dict.fromkeys(name.partition("/")[0] for name in inside))

    def read(self, path: str, limit: int) -> bytes:
        """The first bytes of a file, one more than `limit` where it is longer."""
        self.check_present()
        if path not in self.files:
            raise OSError(errno.ENOENT, "No such file or directory")
        return self.files[path][: limit + 1]
