"""The plan file: reads it with errors that name the place, and replaces it atomically."""

from __future__ import annotations

import contextlib
import json
import os
import re
import tempfile
from pathlib import Path
from typing import Final, TypeVar

import msgspec

from stackwheel.cells.plan import CellPlanError, Name, Plan
from stackwheel.cells.plan_validation import validate

Decoded = TypeVar("Decoded")

PLAN_DECODER: Final = msgspec.json.Decoder(Plan)
REGIONS_DECODER: Final = msgspec.json.Decoder(dict[Name, Name])
PLACE_IN_MESSAGE: Final = re.compile(r"^(?P<reason>.*) - at (?:`key` in )?`\$\.?(?P<place>[^`]*)`$", re.DOTALL)
PLAN_FILE_MODE: Final = 0o644  # relays and planners of other users read it


def load_plan(path: Path | str) -> Plan:
    """The valid plan of a file.

    Raises:
        CellPlanError: it can't be read, is truncated, or can't hold.
    """
    return decode_plan(_read(path), str(path))


def decode_plan(data: bytes, source: str = "plan") -> Plan:
    """The valid plan of a file's bytes.

    Raises:
        CellPlanError: the bytes hold no valid plan; the error begins with `source`.
    """
    plan = _decode(PLAN_DECODER, data, source)
    validate(plan, source)
    return plan


def load_regions(path: Path | str) -> dict[str, str]:
    """The region of each zone, from a file with one JSON object.

    Raises:
        CellPlanError: the file can't be read or names no zone.
    """
    regions = _decode(REGIONS_DECODER, _read(path), str(path))
    if not regions:
        raise CellPlanError(str(path), "expected at least one zone")
    return regions


def _read(path: Path | str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CellPlanError(str(path), error.strerror or str(error)) from error


def _decode(decoder: msgspec.json.Decoder[Decoded], data: bytes, source: str) -> Decoded:
    try:
        decoded = decoder.decode(data)
        json.loads(data, object_pairs_hook=_reject_repeated_keys)
    except msgspec.ValidationError as error:
        raise _validation_failure(source, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CellPlanError(source, f"invalid JSON: {error}") from error
    except _RepeatedKeyError as error:
        raise CellPlanError(source, str(error)) from error
    return decoded


def _validation_failure(source: str, message: str) -> CellPlanError:
    match = PLACE_IN_MESSAGE.match(message)
    if match is None:
        return CellPlanError(source, message)
    place = match["place"]
    return CellPlanError(f"{source}: {place}" if place else source, match["reason"])


class _RepeatedKeyError(ValueError):
    """A JSON object that has one key twice; readers would keep the last and lose the others."""


def _reject_repeated_keys(pairs: list[tuple[str, object]]) -> None:
    keys: set[str] = set()
    for key, _ in pairs:
        if key in keys:
            raise _RepeatedKeyError(f"duplicate key {key!r}")
        keys.add(key)


def encode_plan(plan: Plan) -> bytes:
    """The bytes of a plan's file, the same for equal plans."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n"


def encode_valid_plan(plan: Plan, source: str = "plan") -> bytes:
    """The bytes of a plan's file, checked as a reader would.

    A plan that was not read may break the constraints of its fields, which are checked where one is read.

    Raises:
        CellPlanError: a reader would refuse the bytes; the error begins with `source`.
    """
    try:
        data = encode_plan(plan)
    except UnicodeEncodeError as error:
        raise CellPlanError(source, f"text cannot be encoded as UTF-8: {error.object!r}") from error
    decode_plan(data, source)
    return data


def save_plan(plan: Plan, path: Path | str) -> None:
    """Replace a file by a valid plan; a failed call leaves the former file, and nothing beside it.

    Raises:
        CellPlanError: the plan can't hold or can't be written.
    """
    data = encode_valid_plan(plan, str(path))
    target = Path(path)
    temporary = ""
    try:
        handle, temporary = tempfile.mkstemp(prefix=f".{target.name}.", dir=target.parent)
        with os.fdopen(handle, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary, PLAN_FILE_MODE)
        os.replace(temporary, target)
    except OSError as error:
        if temporary:
            with contextlib.suppress(OSError):
                os.unlink(temporary)
        raise CellPlanError(str(path), error.strerror or str(error)) from error
