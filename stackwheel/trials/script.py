"""Scripts of trials: the shape of a deployment and a list of timed faults, stored as JSON.

Machines are named `planner-0`, `proxy-3`, `server-5`, `relay-1`, `discovery`, or `collector-1` for the collector of
zone 1. `zone-1` means all machines in that zone; `planners`, `proxies`, `servers` and `relays` mean all of their kind.
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

MAX_SHARES_ERROR = 0.01


class ScriptError(InvalidInputError):
    """An invalid script, or one that does not meet a requirement of the caller."""


class Script(Struct, frozen=True, forbid_unknown_fields=True):
    """A trial.

    Attributes:
        seed: Seed of the random choices that the script does not determine.
        span: Duration, in s of virtual time.
        shape: The simulated deployment.
        faults: Faults to apply, in any order.
        note: Comment for readers; not evaluated.
    """

    seed: Annotated[int, Meta(ge=0)] = 0
    span: Annotated[float, Meta(gt=0, le=86400)] = 24.0
    shape: Shape = Shape()
    faults: tuple[Fault, ...] = ()
    note: str = ""


def check(script: Script) -> Script:
    """Validate a script and return it unchanged.

    Raises:
        ScriptError: The request classes are inconsistent, or a fault does not match the shape or the span.
    """
    check_classes(script.shape)
    for index, fault in enumerate(script.faults):
        check_fault(script, index, fault)
    return script


def check_classes(shape: Shape) -> None:
    """Raise `ScriptError` if the shares of the request classes do not add up to 1 or a name is not unique."""
    if abs(sum(request_class.share for request_class in shape.classes) - 1.0) > MAX_SHARES_ERROR:
        raise ScriptError("shape.classes", "shares do not add up to 1")
    if len({request_class.name for request_class in shape.classes}) < len(shape.classes):
        raise ScriptError("shape.classes", "duplicate class name")


def check_fault(script: Script, index: int, fault: Fault) -> None:
    """Raise `ScriptError` if a fault does not match the script's span or shape."""
    shape = script.shape
    location = f"faults[{index}]"
    if fault.at > script.span:
        raise ScriptError(f"{location}.at", f"{fault.at:g} s is after the end of the script at {script.span:g} s")
    check_names(shape, location, fault)
    if isinstance(fault, Unreadable) and not shape.relays:
        raise ScriptError(location, "unreadable entries require a shape with relays")
    if isinstance(fault, LoseZone) and fault.zone >= shape.zones:
        raise ScriptError(f"{location}.zone", f"the shape has no zone {fault.zone}")
    if isinstance(fault, UnidentifiedClients) and not machine_numbers((fault.planner,), shape, "planner"):
        raise ScriptError(f"{location}.planner", f"the shape has no {fault.planner!r}")


def check_names(shape: Shape, location: str, fault: Fault) -> None:
    """Raise `ScriptError` if a name in a fault matches no machine of the shape."""
    for field, names in machine_name_fields(fault).items():
        for name in names:
            if not machine_names((name,), shape):
                raise ScriptError(f"{location}.{stored_field_name(fault, field)}", f"the shape has no {name!r}")


def load(path: Path) -> Script:
    """Read a script from a file.

    Raises:
        ScriptError: The file can't be read, or its script is invalid; the message begins with the path.
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
    """Decode a script from JSON without checking its faults against its shape.

    Raises:
        msgspec.DecodeError: The data is not JSON, or not a script.
    """
    return msgspec.json.decode(data, type=Script)


def encode(script: Script) -> bytes:
    """Encode a script as indented JSON with a trailing line feed."""
    return msgspec.json.format(msgspec.json.encode(script), indent=2) + b"\n"


def describe(script: Script) -> list[str]:
    """Return a description of a script: one line for the shape, then one line per fault in order of time."""
    shape = script.shape
    relays = f"{shape.relays} relays, " if shape.relays else ""
    lines = [
        f"seed {script.seed}: {script.span:g} s, {shape.planners} planners, {shape.proxies} proxies, "
        f"{shape.servers} servers in {shape.zones} zones, {relays}"
        f"demand {shape.utilization:.0%} of capacity"
    ]
    return lines + [describe_fault(fault) for fault in sorted(script.faults, key=lambda fault: fault.at)]


def describe_fault(fault: Fault) -> str:
    """Return one line with the time, kind and fields of a fault, by their stored names."""
    kind = fault_kind(fault).replace("_", " ")
    fields = [
        f"{info.encode_name.replace('_', ' ')} {format_value(getattr(fault, info.name))}"
        for info in msgspec.structs.fields(fault)
        if info.name != "at"
    ]
    line = f"  at {fault.at:6.2f} s  {kind}"
    return f"{line}: {'; '.join(fields)}" if fields else line


def format_value(value: object) -> str:
    """Format the value of a field for `describe_fault`."""
    if isinstance(value, tuple):
        return ", ".join(map(str, value))
    return f"{value:g}" if isinstance(value, float) else str(value)
