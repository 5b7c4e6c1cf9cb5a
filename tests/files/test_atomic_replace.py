"""Tests of atomic replacement at every crash point, with unsynced data lost, kept or partially written."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest
from model_disk import CrashError, ModelDisk

from stackwheel.files.atomic_replace import replace_file
from stackwheel.files.codec import decode, encode
from stackwheel.files.disk import SystemDisk, read_file
from stackwheel.files.errors import FileRejectedError, ReplaceError
from stackwheel.files.records import Incarnation, TableUpdate

OLD = TableUpdate("n0", Incarnation(0, 1, 1), 1, 1.0, 9.0, "east")
NEW = TableUpdate("n0", Incarnation(0, 1, 1), 2, 2.0, 9.0, "east")
STEPS = ["create", "write", "sync", "close", "rename", "sync folder"]


def disk_with_old_file(crash_at: int = -1) -> ModelDisk:
    disk = ModelDisk()
    replace_file(disk, "d", "x.table", encode(OLD))
    disk.steps = 0
    disk.crash_at = crash_at
    return disk


def sequence_of(data: bytes) -> int:
    document = decode(data)
    assert isinstance(document, TableUpdate)
    return document.sequence


@pytest.mark.parametrize("step", range(len(STEPS) + 1))
def test_a_crash_at_any_step_leaves_the_old_or_the_new_file(step: int) -> None:
    disk = disk_with_old_file(crash_at=step)
    try:
        replace_file(disk, "d", "x.table", encode(NEW))
        completed = True
    except CrashError:
        completed = False
    assert completed == (step == len(STEPS))
    outcomes = list(disk.outcomes("d/x.table"))
    sequences = {sequence_of(data) for data in outcomes if data is not None}
    assert None not in outcomes
    assert sequences <= {1, 2}
    assert step < len(STEPS) - 1 or 2 in sequences
    if completed:
        assert sequences == {2}


def test_the_model_disk_detects_a_missing_sync() -> None:
    """Without the sync of the file, a crash can leave an incomplete file, so the crash test above can fail."""

    class UnsyncedDisk(ModelDisk):
        def sync(self, handle: int) -> None:
            pass

    def is_rejected(data: bytes) -> bool:
        try:
            decode(data)
        except FileRejectedError:
            return True
        return False

    disk = UnsyncedDisk()
    replace_file(disk, "d", "x.table", encode(NEW))
    assert any(is_rejected(data) for data in disk.outcomes("d/x.table") if data is not None)


@pytest.mark.parametrize("step", STEPS)
def test_a_failed_step_is_reported_and_leaves_the_old_file(step: str) -> None:
    disk = disk_with_old_file()
    disk.failures[step] = OSError(errno.ENOSPC, "No space left on device")
    with pytest.raises(ReplaceError) as failed:
        replace_file(disk, "d", "x.table", encode(NEW))
    assert failed.value.step == step
    assert failed.value.reason == "No space left on device"
    assert str(failed.value) == f"{step}: No space left on device"
    assert decode(disk.read("d/x.table", 1 << 20)) == (NEW if step == "sync folder" else OLD)
    disk.failures.clear()
    replace_file(disk, "d", "x.table", encode(NEW))
    assert disk.names("d") == ["x.table"]
    assert sorted(disk.entries) == ["d/x.table"]


def test_partial_writes_are_continued_until_all_bytes_are_written() -> None:
    disk = ModelDisk()
    disk.max_write_bytes = 7
    replace_file(disk, "d", "x.table", encode(NEW))
    assert decode(disk.read("d/x.table", 1 << 20)) == NEW


def test_files_are_replaced_on_the_system_disk(tmp_path: Path) -> None:
    disk = SystemDisk()
    for update in (OLD, NEW):
        replace_file(disk, str(tmp_path), "x.table", encode(update))
        assert decode(read_file(disk, str(tmp_path), "x.table")) == update
    assert disk.names(str(tmp_path)) == ["x.table"]
    with pytest.raises(ReplaceError) as failed:
        replace_file(disk, str(tmp_path / "missing"), "x.table", b"x")
    assert failed.value.step == "create"
    assert failed.value.reason == "No such file or directory"
