"""Tests that key files are loaded, and that errors name the file, the field and the reason."""

from __future__ import annotations

from pathlib import Path

import pytest

from stackwheel.files.codec import KeyRing
from stackwheel.files.errors import KeyFileError
from stackwheel.files.key_file import load_keys

KEY = "11" * 32


def test_a_valid_key_file_is_loaded(tmp_path: Path) -> None:
    path = tmp_path / "keys.toml"
    path.write_text(f'signing = "k1"\n[keys]\nk1 = "{KEY}"\n')
    assert load_keys(path) == KeyRing({"k1": b"\x11" * 32}, "k1")


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("", "table [keys] is missing or empty"),
        ("[keys]\n", "table [keys] is missing or empty"),
        (f'signing = 3\n[keys]\nk1 = "{KEY}"\n', "signing: expected the id of a key"),
        (f'signing = "k2"\n[keys]\nk1 = "{KEY}"\n', "signing key k2 is not among the keys"),
        ('[keys]\nk1 = "zz"\n', "keys.k1: expected a key in hexadecimal digits"),
        ("[keys]\nk1 = 5\n", "keys.k1: expected a key in hexadecimal digits"),
        ('[keys]\nk1 = "00"\n', "key k1 has 1 bytes, at least 16 are required"),
        ("#" * 5000, "the file has 5000 bytes, at most 4096 are allowed"),
    ],
)
def test_an_invalid_key_file_is_reported_with_its_path_and_field(tmp_path: Path, text: str, problem: str) -> None:
    path = tmp_path / "keys.toml"
    path.write_text(text)
    with pytest.raises(KeyFileError) as raised:
        load_keys(path)
    assert str(raised.value) == f"{path}: {problem}"


def test_a_missing_key_file_is_reported_with_its_path(tmp_path: Path) -> None:
    path = tmp_path / "keys.toml"
    with pytest.raises(KeyFileError) as raised:
        load_keys(path)
    assert str(raised.value) == f"{path}: No such file or directory"
