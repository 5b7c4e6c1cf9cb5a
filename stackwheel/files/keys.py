"""The file of keys: TOML, an id and a key in hexadecimal each, and which of them signs."""

from __future__ import annotations

import tomllib
from pathlib import Path

from stackwheel.files.codec import KeyRing

KEY_FILE_MOST = 4096  # bytes


class KeyFileError(ValueError):
    """A file of keys that can't be used; one line that names file and place. The old keys stay in force."""


def load_keys(path: Path) -> KeyRing:
    """The keys of a file such as

    signing = "k2"
    [keys]
    k1 = "6f1d..."
    k2 = "90aa..."
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror or error}") from None
    if len(data) > KEY_FILE_MOST:
        raise KeyFileError(f"{path}: {len(data)} bytes, at most {KEY_FILE_MOST}")
    try:
        found = tomllib.loads(data.decode("utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise KeyFileError(f"{path}: {error}") from None
    keys, signing = found.get("keys"), found.get("signing")
    if not isinstance(keys, dict) or not keys:
        raise KeyFileError(f"{path}: no [keys]")
    if signing is not None and not isinstance(signing, str):
        raise KeyFileError(f"{path}: signing: the id of a key was expected")
    read: dict[str, bytes] = {}
    for name, text in keys.items():
        try:
            read[name] = bytes.fromhex(text)
        except (TypeError, ValueError):
            raise KeyFileError(f"{path}: keys.{name}: a key in hexadecimal was expected") from None
    try:
        return KeyRing(read, signing)
    except ValueError as error:
        raise KeyFileError(f"{path}: {error}") from None
