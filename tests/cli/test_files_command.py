"""Tests of `stackwheel files`."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from command_runner import ROOT, RunCommand, is_one_line

from stackwheel.files.codec import KeyRing, encode
from stackwheel.files.records import Incarnation, Reservation, TableLevel, TableUpdate, WeightTable

EXAMPLES = sorted((ROOT / "examples" / "files").glob("*.table"))
KEY_FILE = 'signing = "k1"\n[keys]\nk1 = "' + "61" * 32 + '"\n'
UPDATE = TableUpdate(
    planner="n0",
    incarnation=Incarnation(0, 1, 1),
    sequence=2,
    created_at=1000.0,
    expires_at=2000.0,
    zone="east",
    tables=(WeightTable("read", {"s-1": 0.5}, TableLevel(0.9, 1)),),
    ejected=("s-2",),
    reservations=(Reservation("b1", "read", 3, 1500.0),),
)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "keys.toml").write_text(KEY_FILE)
    (tmp_path / "plain.table").write_bytes(encode(UPDATE))
    (tmp_path / "signed.table").write_bytes(encode(UPDATE, KeyRing({"k1": b"a" * 32}, "k1")))
    (tmp_path / "torn.table").write_bytes(encode(UPDATE)[:-20])
    return tmp_path


def test_check_accepts_a_complete_and_correctly_signed_file(folder: Path, run_command: RunCommand) -> None:
    exit_code, out, _ = run_command("files", "check", folder / "plain.table")
    assert (exit_code, out) == (0, f"{folder}/plain.table: valid, but expired\n")
    exit_code, _, _ = run_command("files", "check", folder / "signed.table", "--key-file", folder / "keys.toml")
    assert exit_code == 0
    exit_code, out, _ = run_command("files", "check", folder / "plain.table", "--json")
    assert exit_code == 0
    assert json.loads(out) == {"ok": True, "kind": "orders", "over": True}


@pytest.mark.parametrize(
    ("name", "reason"),
    [
        ("torn.table", "trailer: no trailer: incomplete, or not a table file"),
        ("none.table", "open: No such file or directory"),
        ("keys.toml", "open: 'keys.toml' is not a valid name for a table file"),
    ],
)
def test_check_prints_the_reason_for_a_rejection(folder: Path, run_command: RunCommand, name: str, reason: str) -> None:
    exit_code, out, _ = run_command("files", "check", folder / name)
    assert exit_code == 1
    assert out == f"{folder}/{name}: {reason}\n"


def test_an_unsigned_file_is_rejected_if_a_key_file_is_given(folder: Path, run_command: RunCommand) -> None:
    keys = folder / "keys.toml"
    exit_code, out, _ = run_command("files", "check", folder / "plain.table", "--key-file", keys, "--json")
    assert exit_code == 1
    assert json.loads(out)["stage"] == "key"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("x", "keys.toml: "),
        ("", "table [keys] is missing or empty"),
        ('[keys]\nk1 = "zz"', "keys.k1: expected a key in hexadecimal digits"),
        ('[keys]\nk1 = "00"', "key k1 has 1 bytes"),
        ('signing = 3\n[keys]\nk1 = "' + "00" * 16 + '"', "signing: expected the id"),
    ],
)
def test_an_invalid_key_file_results_in_one_line_and_exit_code_2(
    folder: Path, run_command: RunCommand, text: str, message: str
) -> None:
    keys = folder / "keys.toml"
    keys.write_text(text)
    exit_code, _, err = run_command("files", "check", folder / "plain.table", "--key-file", keys)
    assert exit_code == 2
    assert message in err
    assert is_one_line(err)


def test_show_prints_a_table_update(folder: Path, run_command: RunCommand) -> None:
    exit_code, out, _ = run_command("files", "show", folder / "plain.table")
    assert exit_code == 0
    assert "complete update 2 of planner n0" in out
    assert "s-1 0.5" in out
    assert "ejected servers: s-2" in out
    assert "b1" in out


def test_make_recreates_a_file_from_the_json_output_of_show(folder: Path, run_command: RunCommand) -> None:
    document = folder / "x.json"
    document.write_text(run_command("files", "show", folder / "plain.table", "--json").out)
    assert run_command("files", "make", document, folder / "again.table").exit_code == 0
    assert (folder / "again.table").read_bytes() == (folder / "plain.table").read_bytes()


def test_make_rejects_an_invalid_document(folder: Path, run_command: RunCommand) -> None:
    document = folder / "x.json"
    document.write_text("{}")
    exit_code, _, err = run_command("files", "make", document, folder / "again.table")
    assert exit_code == 2
    assert "missing required field `kind`" in err


def test_diff_prints_each_difference(folder: Path, run_command: RunCommand) -> None:
    other = msgspec.structs.replace(
        UPDATE,
        sequence=3,
        tables=(WeightTable("read", {"s-1": 0.7}, TableLevel(0.9, 1)),),
        ejected=(),
        reservations=(),
    )
    (folder / "other.table").write_bytes(encode(other))
    exit_code, out, _ = run_command("files", "diff", folder / "plain.table", folder / "other.table")
    assert exit_code == 1
    assert "read s-1: 0.5 -> 0.7" in out
    assert "withdrawn: ['s-2'] -> []" in out
    assert "sequence: 2 -> 3" in out


def test_diff_of_equal_files_exits_with_0_and_of_invalid_files_with_2(folder: Path, run_command: RunCommand) -> None:
    exit_code, out, _ = run_command("files", "diff", folder / "plain.table", folder / "signed.table")
    assert (exit_code, out) == (0, "no differences\n")
    assert run_command("files", "diff", folder / "plain.table", folder / "torn.table").exit_code == 2


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_the_example_files_are_valid(path: Path, run_command: RunCommand) -> None:
    assert run_command("files", "check", path).exit_code == 0


def test_there_are_at_least_two_example_files() -> None:
    assert len(EXAMPLES) >= 2
