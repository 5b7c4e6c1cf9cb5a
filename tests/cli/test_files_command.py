"""`stackwheel files`, as its users call it."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from stackwheel.cli import root
from stackwheel.files.codec import KeyRing, encode
from stackwheel.files.records import Incarnation, Reservation, TableLevel, TableUpdate, WeightTable

ROOT = Path(__file__).parents[2]
EXAMPLES = sorted((ROOT / "examples" / "files").glob("*.table"))
KEYS = 'signing = "k1"\n[keys]\nk1 = "' + "61" * 32 + '"\n'
ORDERS = TableUpdate(
    "n0",
    Incarnation(0, 1, 1),
    2,
    1000.0,
    2000.0,
    "east",
    tables=(WeightTable("read", {"s-1": 0.5}, TableLevel(0.9, 1)),),
    ejected=("s-2",),
    reservations=(Reservation("b1", "read", 3, 1500.0),),
)


def call(capsys: pytest.CaptureFixture[str], *words: str | Path) -> tuple[int, str, str]:
    code = root.run(["files", *map(str, words)])
    out, err = capsys.readouterr()
    return code, out, err


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "keys.toml").write_text(KEYS)
    (tmp_path / "plain.table").write_bytes(encode(ORDERS))
    (tmp_path / "signed.table").write_bytes(encode(ORDERS, KeyRing({"k1": b"a" * 32}, "k1")))
    (tmp_path / "torn.table").write_bytes(encode(ORDERS)[:-20])
    return tmp_path


def test_check_accepts_what_is_whole_and_genuine(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert call(capsys, "check", folder / "plain.table")[:2] == (
        0,
        f"{folder}/plain.table: sound, but its time is over\n",
    )
    assert call(capsys, "check", folder / "signed.table", "--key-file", folder / "keys.toml")[0] == 0
    code, out, _ = call(capsys, "check", folder / "plain.table", "--json")
    assert code == 0 and json.loads(out) == {"ok": True, "kind": "orders", "over": True}


@pytest.mark.parametrize(
    ("name", "told"),
    [
        ("torn.table", "trailer: no trailer: half written, or no table file"),
        ("none.table", "open: No such file or directory"),
        ("keys.toml", "open: name 'keys.toml' is not taken"),
    ],
)
def test_check_says_why_not(folder: Path, capsys: pytest.CaptureFixture[str], name: str, told: str) -> None:
    code, out, _ = call(capsys, "check", folder / name)
    assert code == 1 and out == f"{folder}/{name}: {told}\n"


def test_a_file_that_is_not_signed_is_refused_where_a_key_is_set(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    code, out, _ = call(capsys, "check", folder / "plain.table", "--key-file", folder / "keys.toml", "--json")
    assert code == 1 and json.loads(out)["stage"] == "key"


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("x", "keys.toml: "),
        ("", "no [keys]"),
        ('[keys]\nk1 = "zz"', "keys.k1: a key in hexadecimal was expected"),
        ('[keys]\nk1 = "00"', "key k1 has 1 bytes"),
        ('signing = 3\n[keys]\nk1 = "' + "00" * 16 + '"', "signing: the id"),
    ],
)
def test_a_key_file_that_cannot_be_used_is_one_line(
    folder: Path, capsys: pytest.CaptureFixture[str], text: str, told: str
) -> None:
    (folder / "keys.toml").write_text(text)
    code, _, err = call(capsys, "check", folder / "plain.table", "--key-file", folder / "keys.toml")
    assert code == 2 and told in err and len(err.strip().splitlines()) == 1


def test_show_and_make_are_each_other_s_inverse(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    code, out, _ = call(capsys, "show", folder / "plain.table")
    assert code == 0 and "whole file 2 of n0" in out and "s-1 0.5" in out and "withdrawn: s-2" in out and "b1" in out
    (folder / "x.json").write_text(call(capsys, "show", folder / "plain.table", "--json")[1])
    assert call(capsys, "make", folder / "x.json", folder / "again.table")[0] == 0
    assert (folder / "again.table").read_bytes() == (folder / "plain.table").read_bytes()
    (folder / "x.json").write_text("{}")
    code, _, err = call(capsys, "make", folder / "x.json", folder / "again.table")
    assert code == 2 and "missing required field `kind`" in err


def test_diff_names_what_moved(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (folder / "other.table").write_bytes(
        encode(
            TableUpdate(
                "n0",
                Incarnation(0, 1, 1),
                3,
                1000.0,
                2000.0,
                "east",
                tables=(WeightTable("read", {"s-1": 0.7}, TableLevel(0.9, 1)),),
            )
        )
    )
    code, out, _ = call(capsys, "diff", folder / "plain.table", folder / "other.table")
    assert (
        code == 1 and "read s-1: 0.5 -> 0.7" in out and "withdrawn: ['s-2'] -> []" in out and "sequence: 2 -> 3" in out
    )
    assert call(capsys, "diff", folder / "plain.table", folder / "signed.table")[:2] == (0, "no difference\n")
    assert call(capsys, "diff", folder / "plain.table", folder / "torn.table")[0] == 2


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_the_examples_are_sound(path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert call(capsys, "check", path)[0] == 0


def test_there_is_an_example_of_either_kind() -> None:
    assert len(EXAMPLES) >= 2
