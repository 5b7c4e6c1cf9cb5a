"""Updates as a proxy reads them from its stream: lines in, complete updates of typed parts out."""

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
"""Parts of one update, as the protocol bounds them."""

MAX_VALUE_SHOWN = 40
"""Characters of a value that an error shows."""

FIGURE = re.compile(r"[0-9]+(\.[0-9]+)?")
RETRY_MODES = {str(int(mode)): mode for mode in Retry}


class InvalidUpdateError(InvalidInputError):
    """An update that a proxy can't apply: by the protocol it resets the stream."""


@dataclass(frozen=True, slots=True)
class ConfigUpdatePart:
    """One line of an update.

    Attributes:
        classes: the request classes that it changes; empty: all of them.
        complete: whether the lines replace those of the classes' tables, and the level theirs.
        lines: servers and weights; 0 removes the line.
        level: the admission level; None: unchanged, or none if the part is complete.
        eject: servers to avoid.
        restore: servers to use again.
        nonce: what to acknowledge once the update is applied.
    """

    classes: tuple[str, ...] = ()
    complete: bool = False
    lines: tuple[tuple[str, float], ...] = ()
    level: AdmissionLevel | None = None
    eject: tuple[str, ...] = ()
    restore: tuple[str, ...] = ()
    nonce: int | None = None

    def cost(self) -> int:
        """Lines, as the channel counts them."""
        lists = len(self.lines) + len(self.eject) + len(self.restore)
        return lists + self.complete + (self.level is not None) + (self.nonce is not None)


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """An update of a proxy, to be applied as a whole or not at all."""

    parts: tuple[ConfigUpdatePart, ...]

    def cost(self) -> int:
        """Lines, as the channel counts them, without what every message costs."""
        return sum(part.cost() for part in self.parts)

    def nonces(self) -> tuple[int, ...]:
        """What to acknowledge once it is applied, in order."""
        return tuple(part.nonce for part in self.parts if part.nonce is not None)


class ConfigUpdateReader:
    """Collects the parts of an update until it is complete; one reader serves one stream."""

    def __init__(self) -> None:
        self.parts: list[ConfigUpdatePart] = []

    def feed_line(self, line: str) -> ConfigUpdate | None:
        """Read a line, without its end.

        Returns:
            The update that it completes; None while more parts are to come.

        Raises:
            InvalidUpdateError: the line is no part of an update, or one too many.
        """
        part, continued = read_part(line)
        self.parts.append(part)
        if continued:
            if len(self.parts) >= MAX_PARTS:
                raise InvalidUpdateError("continued", f"an update of over {MAX_PARTS} parts")
            return None
        update = ConfigUpdate(tuple(self.parts))
        self.parts = []
        return update


class UpdateLine(NamedTuple):
    """A part, and whether more parts of its update follow."""

    part: ConfigUpdatePart
    continued: bool


def read_part(line: str) -> UpdateLine:
    """Read one line of an update; `InvalidUpdateError` names the field that can't be used."""
    fields = read_fields(line)
    if ("admit" in fields) != ("policy" in fields):
        raise InvalidUpdateError("admit, policy", "one without the other")
    level = AdmissionLevel(read_figure("admit", fields["admit"]), read_retry(fields)) if "admit" in fields else None
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
    """The fields of a line by name: each is known and given once."""
    kind, *tokens = line.split(" ")
    if kind != KIND:
        raise InvalidUpdateError("kind", f"{shown(kind)} is not {KIND}")
    fields: dict[str, str] = {}
    for token in tokens:
        name, equals, value = token.partition("=")
        if not equals or name not in FIELDS or name in fields:
            raise InvalidUpdateError("field", f"{shown(token)} is unknown, repeated or not name=value")
        fields[name] = value
    return fields


def read_names(fields: dict[str, str], field: str) -> tuple[str, ...]:
    """A list of names; empty if the field is missing or empty."""
    return tuple(fields[field].split(",")) if fields.get(field) else ()


def read_line(text: str) -> tuple[str, float]:
    """A line of a table: server and weight."""
    name, colon, weight = text.rpartition(":")
    if not colon or not name:
        raise InvalidUpdateError("endpoints", f"{shown(text)} is not name:weight")
    return name, read_figure("endpoints", weight)


def read_figure(field: str, text: str) -> float:
    """A finite figure of 0 or more, without sign or exponent."""
    if not FIGURE.fullmatch(text) or not math.isfinite(float(text)):
        raise InvalidUpdateError(field, f"{shown(text)} is no figure")
    return float(text)


def read_nonce(text: str) -> int:
    """A nonce: decimal digits."""
    if not text.isdecimal():
        raise InvalidUpdateError("nonce_out", f"{shown(text)} is no number")
    return int(text)


def read_retry(fields: dict[str, str]) -> Retry:
    """The retry mode of a level."""
    mode = RETRY_MODES.get(fields["policy"])
    if mode is None:
        raise InvalidUpdateError("policy", f"{shown(fields['policy'])} is no retry mode")
    return mode


def read_flag(fields: dict[str, str], name: str) -> bool:
    """A flag, 0 or 1; 0 if it is missing."""
    text = fields.get(name, "0")
    if text not in ("0", "1"):
        raise InvalidUpdateError(name, f"{shown(text)} is neither 0 nor 1")
    return text == "1"


def shown(value: str) -> str:
    """A value as an error shows it."""
    return repr(value[:MAX_VALUE_SHOWN])
