"""Parser that converts the lines of a proxy's stream to updates of its tables."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import NamedTuple

from stackwheel.errors import InvalidInputError
from stackwheel.interface import AdmissionLevel, Retry

KIND = "CONFIG"
FIELDS = frozenset(("routes", "full", "endpoints", "admit", "policy", "eject", "restore", "nonce_out", "continued"))
MAX_PARTS = 64
"""Limit of the protocol on the parts of one update."""

MAX_QUOTED_CHARACTERS = 40
"""Length to which values are truncated in error messages."""

NUMBER_PATTERN = re.compile(r"[0-9]+(\.[0-9]+)?")
RETRY_MODES = {str(int(mode)): mode for mode in Retry}


class InvalidUpdateError(InvalidInputError):
    """An update is invalid; the protocol requires that the proxy resets the stream."""


@dataclass(frozen=True, slots=True)
class ConfigUpdatePart:
    """One part of an update, which is one line on the wire.

    Attributes:
        classes: names of the request classes that the part changes; empty for all classes.
        complete: whether the part replaces the lines and admission levels of the classes' tables.
        lines: server names and weights; a weight of 0 removes the line.
        level: admission level; None leaves the level unchanged, or removes it if the part is complete.
        eject: names of servers that the proxy has to avoid.
        restore: names of servers that the proxy may use again.
        nonce: nonce to acknowledge after the update has been applied, if any.
    """

    classes: tuple[str, ...] = ()
    complete: bool = False
    lines: tuple[tuple[str, float], ...] = ()
    level: AdmissionLevel | None = None
    eject: tuple[str, ...] = ()
    restore: tuple[str, ...] = ()
    nonce: int | None = None

    def cost(self) -> int:
        """Return the number of lines that the part counts for in the channel."""
        servers = len(self.lines) + len(self.eject) + len(self.restore)
        return servers + self.complete + (self.level is not None) + (self.nonce is not None)


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """An update of a proxy's tables, which is applied as a whole or not at all."""

    parts: tuple[ConfigUpdatePart, ...]

    def cost(self) -> int:
        """Return the number of lines that the update counts for in the channel, without the overhead per message."""
        return sum(part.cost() for part in self.parts)

    def nonces(self) -> tuple[int, ...]:
        """Return the nonces to acknowledge after the update has been applied, in order."""
        return tuple(part.nonce for part in self.parts if part.nonce is not None)


class ConfigUpdateReader:
    """Collects the parts of updates until they are complete; each stream has its own reader."""

    def __init__(self) -> None:
        self.parts: list[ConfigUpdatePart] = []

    def feed_line(self, line: str) -> ConfigUpdate | None:
        """Parse a line, which has no line terminator.

        Returns:
            The update that the line completes; None if more parts follow.

        Raises:
            InvalidUpdateError: the line is not a valid part, or the update has too many parts.
        """
        part, continued = read_part(line)
        self.parts.append(part)
        if continued:
            if len(self.parts) >= MAX_PARTS:
                raise InvalidUpdateError("continued", f"update has more than {MAX_PARTS} parts")
            return None
        update = ConfigUpdate(tuple(self.parts))
        self.parts = []
        return update


class UpdateLine(NamedTuple):
    """A part, and whether more parts of the same update follow."""

    part: ConfigUpdatePart
    continued: bool


def read_part(line: str) -> UpdateLine:
    """Parse one line of an update; raises InvalidUpdateError with the name of the invalid field."""
    fields = read_fields(line)
    if ("admit" in fields) != ("policy" in fields):
        raise InvalidUpdateError("admit, policy", "only one of the two fields is present")
    level = AdmissionLevel(read_number("admit", fields["admit"]), read_retry(fields)) if "admit" in fields else None
    nonce = read_nonce(fields["nonce_out"]) if "nonce_out" in fields else None
    part = ConfigUpdatePart(
        classes=tuple(fields["routes"].split("+")) if "routes" in fields else (),
        complete=read_flag(fields, "full"),
        lines=tuple(read_line(text) for text in fields["endpoints"].split(",")) if fields.get("endpoints") else (),
        level=level,
        eject=read_names(fields, "eject"),
        restore=read_names(fields, "restore"),
        nonce=nonce,
    )
    return UpdateLine(part, read_flag(fields, "continued"))


def read_fields(line: str) -> dict[str, str]:
    """Split a line into its fields by name; unknown and repeated fields are invalid."""
    kind, *tokens = line.split(" ")
    if kind != KIND:
        raise InvalidUpdateError("kind", f"expected {KIND}, got {quoted(kind)}")
    fields: dict[str, str] = {}
    for token in tokens:
        name, equals, value = token.partition("=")
        if not equals or name not in FIELDS or name in fields:
            raise InvalidUpdateError("field", f"unknown, repeated or not of the form name=value: {quoted(token)}")
        fields[name] = value
    return fields


def read_names(fields: dict[str, str], field: str) -> tuple[str, ...]:
    """Parse a list of names; it is empty if the field is absent or empty."""
    return tuple(fields[field].split(",")) if fields.get(field) else ()


def read_line(text: str) -> tuple[str, float]:
    """Parse a line of a table, which consists of a server name and a weight."""
    name, colon, weight = text.rpartition(":")
    if not colon or not name:
        raise InvalidUpdateError("endpoints", f"not of the form name:weight: {quoted(text)}")
    return name, read_number("endpoints", weight)


def read_number(field: str, text: str) -> float:
    """Parse a finite, non-negative decimal number without sign and exponent."""
    if not NUMBER_PATTERN.fullmatch(text) or not math.isfinite(float(text)):
        raise InvalidUpdateError(field, f"not a non-negative decimal number: {quoted(text)}")
    return float(text)


def read_nonce(text: str) -> int:
    """Parse a nonce, which consists of decimal digits."""
    if not text.isdecimal():
        raise InvalidUpdateError("nonce_out", f"not an integer: {quoted(text)}")
    return int(text)


def read_retry(fields: dict[str, str]) -> Retry:
    """Parse the retry mode of an admission level."""
    mode = RETRY_MODES.get(fields["policy"])
    if mode is None:
        raise InvalidUpdateError("policy", f"not a retry mode: {quoted(fields['policy'])}")
    return mode


def read_flag(fields: dict[str, str], name: str) -> bool:
    """Parse a flag, which is 0 or 1; an absent flag is false."""
    text = fields.get(name, "0")
    if text not in ("0", "1"):
        raise InvalidUpdateError(name, f"neither 0 nor 1: {quoted(text)}")
    return text == "1"


def quoted(value: str) -> str:
    """Return a value in quotes, truncated for an error message."""
    return repr(value[:MAX_QUOTED_CHARACTERS])
