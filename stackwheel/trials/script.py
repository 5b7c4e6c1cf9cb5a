"""Scripts of trials: a deployment and what happens when, to whom. Typed, readable, stored as JSON.

Machines are named `planner-0`, `proxy-3`, `server-5`, `relay-1`, `discovery`, `collector-1` (of a zone);
`zone-1` names all in it, `planners`, `proxies`, `servers` and `relays` all of a kind.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from stackwheel.errors import InvalidInputError
from stackwheel.trials.faults import (
    Fault,
    LoseZone,
    UnidentifiedClients,
    Unreadable,
    fault_kind,
    machine_name_fields,
    stored_field_name,
)
from stackwheel.trials.shape import Shape, machine_names, machine_numbers

SHARES_TOLERANCE = 0.01  # by which the classes' shares may miss 1


class ScriptError(InvalidInputError):
    """A script that can't be used; one line that names the place."""


class Script(Struct, frozen=True, forbid_unknown_fields=True):
    """One trial: its seed decides what the script leaves to chance; `span` is s."""

    seed: Annotated[int, Meta(ge=0)] = 0
    span: Annotated[float, Meta(gt=0, le=86400)] = 24.0
    shape: Shape = Shape()
    faults: tuple[Fault, ...] = ()
    note: str = ""


def check(script: Script) -> Script:
    """Return the script itself.

    Raises:
        ScriptError: A fault names a machine that the shape does not have, or lies beyond the end.
    """
    check_classes(script.shape)
    for index, fault in enumerate(script.faults):
        check_fault(script, index, fault)
    return script


def check_classes(shape: Shape) -> None:
    """Raise `ScriptError` where the request classes do not fit together."""
    if abs(sum(request_class.share for request_class in shape.classes) - 1.0) > SHARES_TOLERANCE:
        raise ScriptError("shape.classes", "shares do not add up to 1")
    if len({request_class.name for request_class in shape.classes}) < len(shape.classes):
        raise ScriptError("shape.classes", "a name stands twice")


def check_fault(script: Script, index: int, fault: Fault) -> None:
    """Raise `ScriptError` where a fault does not fit the script's span or shape."""
    shape = script.shape
    place = f"faults[{index}]"
    if fault.at > script.span:
        raise ScriptError(f"{place}.at", f"{fault.at:g} s is beyond the end at {script.span:g} s")
    check_names(shape, place, fault)
    if isinstance(fault, Unreadable) and not shape.relays:
        raise ScriptError(place, "unreadable entries are for a shape with relays")
    if isinstance(fault, LoseZone) and fault.zone >= shape.zones:
        raise ScriptError(f"{place}.zone", f"the shape has no zone {fault.zone}")
    if isinstance(fault, UnidentifiedClients) and not machine_numbers((fault.planner,), shape, "planner"):
        raise ScriptError(f"{place}.planner", f"the shape has no {fault.planner!r}")


def check_names(shape: Shape, place: str, fault: Fault) -> None:
    """Raise `ScriptError` where a fault names a machine that the shape does not have."""
    for field, names in machine_name_fields(fault).items():
        for name in names:
            if not machine_names((name,), shape):
                raise ScriptError(f"{place}.{stored_field_name(fault, field)}", f"the shape has no {name!r}")


def load(path: Path) -> Script:
    """Read a script from a file.

    Raises:
        ScriptError: In one line the file, the place in it, and what was expected.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ScriptError(str(path), error.strerror or str(error)) from error
    try:
        return check(decode(data))
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError, ScriptError) as error:
        raise ScriptError(str(path), str(error)) from error


def decode(data: bytes) -> Script:
    """Decode a script from JSON; msgspec's errors are passed on."""
    return msgspec.json.decode(data, type=Script)


def encode(script: Script) -> bytes:
    """Encode a script as indented JSON that ends with a line feed."""
    return msgspec.json.format(msgspec.json.encode(script), indent=2) + b"\n"


def describe(script: Script) -> list[str]:
    """Describe the script for a reader: one line for the shape, then one a fault in order of time."""
    shape = script.shape
    relays = f"{shape.relays} relays, " if shape.relays else ""
    lines = [
        f"seed {script.seed}: {script.span:g} s, {shape.planners} planners, {shape.proxies} proxies, "
        f"{shape.servers} servers in {shape.zones} zones, {relays}"
        f"demand {shape.utilization:.0%} of capacity"
    ]
    return lines + [describe_fault(fault) for fault in sorted(script.faults, key=lambda fault: fault.at)]


def describe_fault(fault: Fault) -> str:
    """Describe one fault in a line: its time, kind and fields as they are stored."""
    kind = fault_kind(fault).replace("_", " ")
    fields = [
        f"{info.encode_name.replace('_', ' ')} {format_value(getattr(fault, info.name))}"
        for info in msgspec.structs.fields(fault)
        if info.name != "at"
    ]
    line = f"  at {fault.at:6.2f} s  {kind}"
    return f"{line}: {'; '.join(fields)}" if fields else line


def format_value(value: object) -> str:
    """Format a field's value for a reader."""
    if isinstance(value, tuple):
        return ", ".join(map(str, value))
    return f"{value:g}" if isinstance(value, float) else str(value)
