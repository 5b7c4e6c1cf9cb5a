"""A key file that can't be used is one line with file, place and reason."""

from __future__ import annotations

from pathlib import Path

import pytest

from stackwheel.files.codec import KeyRing
from stackwheel.files.errors import KeyFileError
from stackwheel.files.key_file import load_keys

KEY = "11" * 32


def test_a_key_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "keys.toml"
    path.write_text(f'signing = "k1"\n[keys]\nk1 = "{KEY}"\n')
    assert load_keys(path) == KeyRing({"k1": b"\x11" * 32}, "k1")


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("", "no [keys]"),
        ("[keys]\n", "no [keys]"),
        (f'signing = 3\n[keys]\nk1 = "{KEY}"\n', "signing: the id of a key was expected"),
        (f'signing = "k2"\n[keys]\nk1 = "{KEY}"\n', "signing key k2 is not among the keys"),
        ('[keys]\nk1 = "zz"\n', "keys.k1: a key in hexadecimal was expected"),
        ("[keys]\nk1 = 5\n", "keys.k1: a key in hexadecimal was expected"),
        ('[keys]\nk1 = "00"\n', "key k1 has 1 bytes, at least 16 are needed"),
        ("#" * 5000, "5000 bytes, at most 4096"),
    ],
)
def test_what_is_wrong_is_named_with_its_place(tmp_path: Path, text: str, problem: str) -> None:
    path = tmp_path / "keys.toml"
    path.write_text(text)
    with pytest.raises(KeyFileError) as raised:
        load_keys(path)
    assert str(raised.value) == f"{path}: {problem}"


def test_a_missing_key_file_is_named(tmp_path: Path) -> None:
    path = tmp_path / "keys.toml"
    with pytest.raises(KeyFileError) as raised:
        load_keys(path)
    assert str(raised.value) == f"{path}: No such file or directory"
