"""Reads plan files, reporting the location of each error, and replaces them atomically."""

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
VALIDATION_MESSAGE_PATTERN: Final = re.compile(
    r"^(?P<reason>.*) - at (?:`key` in )?`\$\.?(?P<location>[^`]*)`$", re.DOTALL
)

PLAN_FILE_MODE: Final = 0o644
"""Permissions of a plan file, which relays and planners of other users have to read."""


def load_plan(path: Path | str) -> Plan:
    """Read and validate a plan file.

    Raises:
        CellPlanError: the file cannot be read or does not contain a valid plan.
    """
    return decode_plan(_read(path), str(path))


def decode_plan(data: bytes, source: str = "plan") -> Plan:
    """Decode and validate the contents of a plan file.

    Args:
        data: contents of the file.
        source: name of the file or plan, with which the location in errors begins.

    Raises:
        CellPlanError: the contents are not a valid plan.
    """
    plan = _decode(PLAN_DECODER, data, source)
    validate(plan, source)
    return plan


def load_regions(path: Path | str) -> dict[str, str]:
    """Read the region of each zone from a file with one JSON object.

    Raises:
        CellPlanError: the file cannot be read, is invalid or contains no zone.
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
    match = VALIDATION_MESSAGE_PATTERN.match(message)
    if match is None:
        return CellPlanError(source, message)
    location = match["location"]
    return CellPlanError(f"{source}: {location}" if location else source, match["reason"])


class _RepeatedKeyError(ValueError):
    """A JSON object contains a key more than once; decoders would silently use the last value."""


def _reject_repeated_keys(pairs: list[tuple[str, object]]) -> None:
    keys: set[str] = set()
    for key, _ in pairs:
        if key in keys:
            raise _RepeatedKeyError(f"duplicate key {key!r}")
        keys.add(key)


def encode_plan(plan: Plan) -> bytes:
    """Encode a plan as the contents of a plan file; equal plans have identical contents."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n"


def encode_valid_plan(plan: Plan, source: str = "plan") -> bytes:
    """Encode a plan as the contents of a plan file, and validate the result.

    Field constraints are only enforced by the decoder, so a plan constructed in memory may violate them.

    Args:
        plan: the plan.
        source: name of the file or plan, with which the location in errors begins.

    Raises:
        CellPlanError: the plan is invalid.
    """
    try:
        data = encode_plan(plan)
    except UnicodeEncodeError as error:
        raise CellPlanError(source, f"text cannot be encoded as UTF-8: {error.object!r}") from error
    decode_plan(data, source)
    return data


def save_plan(plan: Plan, path: Path | str) -> None:
    """Validate a plan and replace a plan file with it atomically; if this fails, the directory is left unchanged.

    Raises:
        CellPlanError: the plan is invalid or the file cannot be written.
    """
    data = encode_valid_plan(plan, str(path))
    target = Path(path)
    temporary = ""
    try:
        descriptor, temporary = tempfile.mkstemp(prefix=f".{target.name}.", dir=target.parent)
        with os.fdopen(descriptor, "wb") as file:
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
