"""A half-written file is never read: every crash point of a swap, with the disk losing, keeping or tearing the rest."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest
from modeldisk import Crash, ModelDisk

from stackwheel.files.codec import Refusal, Stage, decode, encode
from stackwheel.files.disk import SystemDisk, read_file, safe_name, swap
from stackwheel.files.records import Incarnation, Orders

OLD = Orders("n0", Incarnation(0, 1, 1), 1, 1.0, 9.0, "east")
NEW = Orders("n0", Incarnation(0, 1, 1), 2, 2.0, 9.0, "east")
STEPS = 6  # create, write, sync, close, rename, sync folder


def with_old(crash_at: int) -> ModelDisk:
    disk = ModelDisk()
    assert swap(disk, "d", "x.table", encode(OLD)) is None
    disk.steps, disk.crash_at = 0, crash_at
    return disk


@pytest.mark.parametrize("step", range(STEPS + 1))
def test_after_a_crash_at_any_step_a_reader_finds_the_old_file_or_the_new_one(step: int) -> None:
    disk = with_old(step)
    try:
        done = swap(disk, "d", "x.table", encode(NEW)) is None
    except Crash:
        done = False
    assert done == (step == STEPS)
    found = {decode(data).sequence for data in disk.outcomes("d/x.table") if data is not None}  # type: ignore[union-attr]
    assert found <= {1, 2} and None not in list(disk.outcomes("d/x.table"))
    assert step < STEPS - 1 or 2 in found
    if done:
        assert found == {2}


def test_a_swap_without_sync_would_be_seen_to_tear() -> None:
    """The check can fail: without the file's sync some outcome is no whole file."""

    class Careless(ModelDisk):
        def sync(self, handle: int) -> None:
            pass

    disk = Careless()
    swap(disk, "d", "x.table", encode(NEW))
    assert any(isinstance(decode(data), Refusal) for data in disk.outcomes("d/x.table") if data is not None)


@pytest.mark.parametrize("step", ["create", "write", "sync", "close", "rename", "sync folder"])
def test_a_failure_at_any_step_says_where_and_leaves_the_old_file(step: str) -> None:
    disk = with_old(-1)
    disk.fails[step] = OSError(errno.ENOSPC, "No space left on device")
    failed = swap(disk, "d", "x.table", encode(NEW))
    assert failed is not None and failed.step == step and failed.reason == "No space left on device"
    assert decode(disk.read("d/x.table", 1 << 20)) == (NEW if step == "sync folder" else OLD)
    disk.fails.clear()
    assert swap(disk, "d", "x.table", encode(NEW)) is None and disk.names("d") == ["x.table"]


def test_a_disk_that_takes_a_few_bytes_at_a_time_gets_them_all() -> None:
    disk = ModelDisk()
    disk.chunk = 7
    assert swap(disk, "d", "x.table", encode(NEW)) is None
    assert decode(disk.read("d/x.table", 1 << 20)) == NEW


def test_on_the_system_s_disk(tmp_path: Path) -> None:
    disk = SystemDisk()
    for orders in (OLD, NEW):
        assert swap(disk, str(tmp_path), "x.table", encode(orders)) is None
        data = read_file(disk, str(tmp_path), "x.table")
        assert isinstance(data, bytes) and decode(data) == orders
    assert disk.names(str(tmp_path)) == ["x.table"]
    failed = swap(disk, str(tmp_path / "gone"), "x.table", b"x")
    assert failed is not None and failed.step == "create" and failed.reason == "No such file or directory"


@pytest.mark.parametrize("what", ["link", "fifo", "folder", "huge", "missing"])
def test_what_is_no_plain_file_is_refused_and_does_not_hang(tmp_path: Path, what: str) -> None:
    path = tmp_path / "x.table"
    if what == "link":
        (tmp_path / "real").write_bytes(encode(OLD))
        path.symlink_to(tmp_path / "real")
    elif what == "fifo":
        os.mkfifo(path)
    elif what == "folder":
        path.mkdir()
    elif what == "huge":
        with path.open("wb") as file:
            file.truncate((16 << 20) + 1)
    found = read_file(SystemDisk(), str(tmp_path), "x.table")
    assert isinstance(found, Refusal) and found.stage is (Stage.SIZE if what == "huge" else Stage.OPEN)


@pytest.mark.parametrize(
    "name",
    ["../x.table", "/etc/x.table", "a/b.table", ".x.table", "x.table.part", "x", "\x00.table", "a" * 200 + ".table"],
)
def test_names_that_leave_the_folder_or_are_half_written_are_not_taken(name: str) -> None:
    assert not safe_name(name)
    assert isinstance(read_file(SystemDisk(), "/", name), Refusal)
