"""Tests of `stackwheel files follow` and `stackwheel files serve` on the system disk."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest

from stackwheel.cli import root
from stackwheel.files.codec import encode
from stackwheel.files.records import Incarnation, Reservation, TableUpdate, WeightTable


def update(sequence: int, now: float, *reservations: Reservation) -> TableUpdate:
    return TableUpdate(
        "n0",
        Incarnation(0, 1, 1),
        sequence,
        now,
        now + 60_000.0,
        "east",
        tables=(WeightTable("read", {"a": float(sequence)}),),
        reservations=reservations,
    )


def test_follow_reports_files_and_serve_passes_the_tables_in_force_to_its_outputs(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = tmp_path / "in"
    folder.mkdir()
    table_file = folder / "orders-n0.table"
    torn_file = folder / "torn.table"
    now = time.time() * 1000.0
    table_file.write_bytes(encode(update(2, now, Reservation("b1", "read", 1, now + 9e4))))
    torn_file.write_bytes(encode(update(3, now))[:-9])
    arguments = [str(folder), "--zone", "east", "--state", str(tmp_path), "--once", "--json"]
    assert root.run(["files", "follow", *arguments]) == 1
    outcomes = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [(outcome["file"], outcome["taken"]) for outcome in outcomes] == [
        ("torn.table", False),
        ("orders-n0.table", True),
    ]
    torn_file.unlink()
    table_file.write_bytes(encode(update(1, now)))
    out = tmp_path / "now.table"
    received = tmp_path / "received"
    outputs = ["--out", str(out), "--command", f"cat > {received}"]
    assert root.run(["files", "serve", *arguments, *outputs]) == 1
    assert json.loads(capsys.readouterr().out)["stage"] == "order"
    table_file.write_bytes(encode(update(4, now)))
    assert root.run(["files", "serve", *arguments, *outputs]) == 0
    assert json.loads(out.read_text())["tables"] == {"read": {"a": 4.0}}
    assert json.loads(received.read_text())["tables"] == {"read": {"a": 4.0}}
