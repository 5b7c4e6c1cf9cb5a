"""Loads signing keys from a key file: TOML with hexadecimal keys by id, and the id of the key to sign with."""

from __future__ import annotations

import tomllib
from pathlib import Path

from stackwheel.files.codec import KeyRing
from stackwheel.files.errors import KeyFileError

MAX_KEY_FILE_BYTES = 4096


def load_keys(path: Path) -> KeyRing:
    """Load the keys from a file of this form.

        signing = "k2"
        [keys]
        k1 = "6f1d..."
        k2 = "90aa..."

    Raises:
        KeyFileError: the file cannot be read, or its keys are invalid.
    """
    document = _read_toml(path)
    keys = document.get("keys")
    signing = document.get("signing")
    if not isinstance(keys, dict) or not keys:
        raise KeyFileError(str(path), "table [keys] is missing or empty")
    if signing is not None and not isinstance(signing, str):
        raise KeyFileError(f"{path}: signing", "expected the id of a key")
    decoded = {name: _decode_key(path, name, text) for name, text in keys.items()}
    try:
        return KeyRing(decoded, signing)
    except ValueError as error:
        raise KeyFileError(str(path), str(error)) from error


def _read_toml(path: Path) -> dict[str, object]:
    try:
        data = path.read_bytes()
    except OSError as error:
        raise KeyFileError(str(path), error.strerror or str(error)) from error
    if len(data) > MAX_KEY_FILE_BYTES:
        raise KeyFileError(str(path), f"the file has {len(data)} bytes, at most {MAX_KEY_FILE_BYTES} are allowed")
    try:
        return tomllib.loads(data.decode("utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise KeyFileError(str(path), str(error)) from error


def _decode_key(path: Path, name: str, text: object) -> bytes:
    if isinstance(text, str):
        try:
            return bytes.fromhex(text)
        except ValueError as error:
            raise KeyFileError(f"{path}: keys.{name}", "expected a key in hexadecimal digits") from error
    raise KeyFileError(f"{path}: keys.{name}", "expected a key in hexadecimal digits")
