"""Simulated disks: files in memory, with delays and faults."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field

from stackwheel.files.disk import TEMPORARY_SUFFIX
from stackwheel.trials.loop import do_nothing

DEFAULT_DELAY_S = 0.002


@dataclass(slots=True)
class OpenFile:
    """A file that is open for writing."""

    path: str
    data: bytearray = field(default_factory=bytearray)


class SimulatedDisk:
    """The disk of one machine; its files persist when processes of the machine end.

    Attributes:
        full: Whether writes fail because the disk is full.
        missing: Whether operations fail because the folders are missing.
        delay: Duration of an operation, in s.
        on_renamed: Called with the path and the data of a file that has received its final name.
        on_direct_write: Called with the path of a file that is opened for writing under its final name.
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
        self.on_direct_write: Callable[[str], None] = do_nothing

    def check_folders_exist(self) -> None:
        """Raise `FileNotFoundError` if the folders are missing."""
        if self.missing:
            raise OSError(errno.ENOENT, "No such file or directory")

    def create(self, path: str) -> int:
        """Open a file for writing; return its handle."""
        self.check_folders_exist()
        if not path.endswith(TEMPORARY_SUFFIX):
            self.on_direct_write(path)
            self.files[path] = b""
        self.handle_count += 1
        self.open_files[self.handle_count] = OpenFile(path)
        return self.handle_count

    def write(self, handle: int, data: bytes) -> int:
        """Append to an open file; return the number of bytes written."""
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        file = self.open_files[handle]
        file.data += data
        if file.path in self.files:
            self.files[file.path] = bytes(file.data)
        return len(data)

    def sync(self, handle: int) -> None:
        """Flush the data of an open file to the disk."""
        assert handle in self.open_files
        self.check_folders_exist()

    def close(self, handle: int) -> None:
        """Close an open file."""
        file = self.open_files.pop(handle)
        if not file.path.endswith(TEMPORARY_SUFFIX):
            self.on_renamed(file.path, bytes(file.data))
        else:
            self.files[file.path] = bytes(file.data)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of that name."""
        self.check_folders_exist()
        if old not in self.files:
            raise OSError(errno.ENOENT, "No such file or directory")
        self.files[new] = self.files.pop(old)
        self.on_renamed(new, self.files[new])

    def sync_folder(self, path: str) -> None:
        """Flush the entries of a folder to the disk."""
        assert path.startswith("/")
        self.check_folders_exist()

    def remove(self, path: str) -> None:
        """Remove a file if it exists."""
        self.files.pop(path, None)

    def names(self, path: str) -> list[str]:
        """Return the names in a folder, sorted."""
        self.check_folders_exist()
        prefix = path.rstrip("/") + "/"
        relative_paths = [name[len(prefix) :] for name in self.files if name.startswith(prefix)]
        return sorted(dict.fromkeys(name.partition("/")[0] for name in relative_paths))

    def read(self, path: str, limit: int) -> bytes:
        """Return the first bytes of a file, at most `limit` + 1, so that callers can detect longer files."""
        self.check_folders_exist()
        if path not in self.files:
            raise OSError(errno.ENOENT, "No such file or directory")
        return self.files[path][: limit + 1]
