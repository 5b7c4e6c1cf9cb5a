"""Orders on a stream as a forwarder reads them: lines in, whole messages of typed parts out."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

FIELDS = frozenset(("routes", "full", "endpoints", "admit", "policy", "eject", "restore", "nonce_out", "continued"))
MAX_PARTS = 64  # the protocol: so many parts make a message at most
FIGURE = re.compile(r"[0-9]+(\.[0-9]+)?")


class InvalidUpdate(ValueError):
    """An order that a forwarder must answer with a reset; the text says why."""


@dataclass(frozen=True, slots=True)
class ConfigUpdatePart:
    """One line of an order. `routes` is empty where it is meant for all classes."""

    routes: tuple[str, ...] = ()
    complete: bool = False
    lines: tuple[tuple[str, float], ...] = ()
    level: tuple[float, int] | None = None  # what is let in, and the way of trying again
    eject: tuple[str, ...] = ()
    restore: tuple[str, ...] = ()
    nonce: int | None = None

    def cost(self) -> int:
        """Lines, as the channel counts them."""
        return (
            len(self.lines)
            + len(self.eject)
            + len(self.restore)
            + self.complete
            + (self.level is not None)
            + (self.nonce is not None)
        )


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """One message, to be applied as one."""

    parts: tuple[ConfigUpdatePart, ...]

    def cost(self) -> int:
        return sum(part.cost() for part in self.parts)

    def nonces(self) -> tuple[int, ...]:
        return tuple(part.nonce for part in self.parts if part.nonce is not None)


class ConfigUpdateReader:
    """Gathers parts until a message is whole; one reader serves one stream."""

    def __init__(self) -> None:
        self.parts: list[ConfigUpdatePart] = []

    def take(self, line: str) -> ConfigUpdate | None:
        """A whole message, or None while more parts are to come; Unusable if it can't be read."""
        part, continued = read_part(line)
        self.parts.append(part)
        if continued:
            if len(self.parts) >= MAX_PARTS:
                raise InvalidUpdate(f"a message of over {MAX_PARTS} parts")
            return None
        order, self.parts = ConfigUpdate(tuple(self.parts)), []
        return order


def read_part(line: str) -> tuple[ConfigUpdatePart, bool]:
    kind, *words = line.split(" ")
    if kind != "CONFIG":
        raise InvalidUpdate(f"kind {kind[:40]!r}")
    fields: dict[str, str] = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or name not in FIELDS or name in fields:
            raise InvalidUpdate(f"word {word[:40]!r}")
        fields[name] = value
    if ("admit" in fields) != ("policy" in fields):
        raise InvalidUpdate("a level without its way of trying again, or the other way round")
    level = (figure(fields["admit"]), way(fields["policy"])) if "admit" in fields else None
    mark = int(whole(fields["nonce_out"])) if "nonce_out" in fields else None
    part = ConfigUpdatePart(
        tuple(fields["routes"].split("+")) if "routes" in fields else (),
        flag(fields, "full"),
        tuple(pair(text) for text in fields["endpoints"].split(",")) if fields.get("endpoints") else (),
        level,
        names(fields, "eject"),
        names(fields, "restore"),
        mark,
    )
    return part, flag(fields, "continued")


def names(fields: dict[str, str], field: str) -> tuple[str, ...]:
    return tuple(fields[field].split(",")) if fields.get(field) else ()


def pair(text: str) -> tuple[str, float]:
    name, colon, weight = text.rpartition(":")
    if not colon or not name:
        raise InvalidUpdate(f"line {text[:40]!r}")
    return name, figure(weight)


def figure(text: str) -> float:
    if not FIGURE.fullmatch(text) or not math.isfinite(float(text)):
        raise InvalidUpdate(f"figure {text[:40]!r}")
    return float(text)


def whole(text: str) -> str:
    if not text.isdecimal():
        raise InvalidUpdate(f"mark {text[:40]!r}")
    return text


def way(text: str) -> int:
    if text not in ("0", "1", "2", "3"):
        raise InvalidUpdate(f"policy {text[:40]!r}")
    return int(text)


def flag(fields: dict[str, str], name: str) -> bool:
    if fields.get(name, "0") not in ("0", "1"):
        raise InvalidUpdate(f"{name} {fields[name][:40]!r}")
    return fields.get(name) == "1"
