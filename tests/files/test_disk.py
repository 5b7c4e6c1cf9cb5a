"""Tests that only regular files with safe names are read, without blocking."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from stackwheel.files.codec import encode
from stackwheel.files.disk import SystemDisk, is_safe_name, read_file
from stackwheel.files.errors import FileRejectedError, Stage
from stackwheel.files.records import Incarnation, TableUpdate

UPDATE = TableUpdate("n0", Incarnation(0, 1, 1), 1, 1.0, 9.0, "east")


@pytest.mark.parametrize("kind", ["link", "fifo", "folder", "huge", "missing"])
def test_entries_other_than_regular_files_are_rejected_without_blocking(tmp_path: Path, kind: str) -> None:
    path = tmp_path / "x.table"
    if kind == "link":
        (tmp_path / "real").write_bytes(encode(UPDATE))
        path.symlink_to(tmp_path / "real")
    elif kind == "fifo":
        os.mkfifo(path)
    elif kind == "folder":
        path.mkdir()
    elif kind == "huge":
        with path.open("wb") as file:
            file.truncate((16 << 20) + 1)
    with pytest.raises(FileRejectedError) as rejected:
        read_file(SystemDisk(), str(tmp_path), "x.table")
    assert rejected.value.stage is (Stage.SIZE if kind == "huge" else Stage.OPEN)


@pytest.mark.parametrize(
    "name",
    ["../x.table", "/etc/x.table", "a/b.table", ".x.table", "x.table.part", "x", "\x00.table", "a" * 200 + ".table"],
)
def test_names_outside_the_folder_and_temporary_names_are_rejected(name: str) -> None:
    assert not is_safe_name(name)
    with pytest.raises(FileRejectedError):
        read_file(SystemDisk(), "/", name)
