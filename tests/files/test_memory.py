"""Tests that the reader memory is saved and loaded, and created anew if it is missing or damaged."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from stackwheel.files.acceptor import ReaderMemory
from stackwheel.files.disk import SystemDisk
from stackwheel.files.environment import FileEnvironment
from stackwheel.files.errors import FileRejectedError
from stackwheel.files.memory import FILE_NAME, load_memory, save_memory
from stackwheel.files.reader import FileReader, ReaderConfig


def started_memory(folder: Path, now: float) -> ReaderMemory:
    """Start a reader and return its memory."""
    config = ReaderConfig("east", 0, (), "", str(folder))
    return asyncio.run(FileReader(config, FileEnvironment(SystemDisk(), lambda: now)).start())


def test_a_saved_reader_memory_is_loaded(tmp_path: Path) -> None:
    assert load_memory(SystemDisk(), str(tmp_path)) is None
    assert started_memory(tmp_path, 5000.0).valid_since == 5000.0
    save_memory(SystemDisk(), str(tmp_path), ReaderMemory(valid_since=1.0))
    assert load_memory(SystemDisk(), str(tmp_path)) == ReaderMemory(valid_since=1.0)
    assert started_memory(tmp_path, 6000.0).valid_since == 1.0


@pytest.mark.parametrize("damage", ["missing", "empty", "corrupt"])
def test_a_reader_without_a_valid_memory_accepts_no_earlier_reservation(tmp_path: Path, damage: str) -> None:
    save_memory(SystemDisk(), str(tmp_path), ReaderMemory(valid_since=1.0))
    path = tmp_path / FILE_NAME
    if damage == "missing":
        path.unlink()
        assert load_memory(SystemDisk(), str(tmp_path)) is None
    else:
        path.write_bytes(b"" if damage == "empty" else path.read_bytes().replace(b"1", b"2", 1))
        with pytest.raises(FileRejectedError):
            load_memory(SystemDisk(), str(tmp_path))
    assert started_memory(tmp_path, 7000.0).valid_since == 7000.0
