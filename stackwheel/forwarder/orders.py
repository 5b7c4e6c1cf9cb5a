"""Orders on a stream as a forwarder reads them: lines in, whole messages of typed parts out."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

FIELDS = frozenset(("routes", "full", "endpoints", "admit", "policy", "eject", "restore", "nonce_out", "continued"))
PARTS_MOST = 64  # the protocol: so many parts make a message at most
FIGURE = re.compile(r"[0-9]+(\.[0-9]+)?")


class Unusable(ValueError):
    """An order that a forwarder must answer with a reset; the text says why."""


@dataclass(frozen=True, slots=True)
class OrderPart:
    """One line of an order. `routes` is empty where it is meant for all classes."""

    routes: tuple[str, ...] = ()
    whole: bool = False
    lines: tuple[tuple[str, float], ...] = ()
    level: tuple[float, int] | None = None  # what is let in, and the way of trying again
    eject: tuple[str, ...] = ()
    restore: tuple[str, ...] = ()
    mark: int | None = None

    def cost(self) -> int:
        """Lines, as the channel counts them."""
        return (
            len(self.lines)
            + len(self.eject)
            + len(self.restore)
            + self.whole
            + (self.level is not None)
            + (self.mark is not None)
        )


@dataclass(frozen=True, slots=True)
class Order:
    """One message, to be applied as one."""

    parts: tuple[OrderPart, ...]

    def cost(self) -> int:
        return sum(part.cost() for part in self.parts)

    def marks(self) -> tuple[int, ...]:
        return tuple(part.mark for part in self.parts if part.mark is not None)


class OrderReader:
    """Gathers parts until a message is whole; one reader serves one stream."""

    def __init__(self) -> None:
        self.parts: list[OrderPart] = []

    def take(self, line: str) -> Order | None:
        """A whole message, or None while more parts are to come; Unusable if it can't be read."""
        part, continued = read_part(line)
        self.parts.append(part)
        if continued:
            if len(self.parts) >= PARTS_MOST:
                raise Unusable(f"a message of over {PARTS_MOST} parts")
            return None
        order, self.parts = Order(tuple(self.parts)), []
        return order


def read_part(line: str) -> tuple[OrderPart, bool]:
    kind, *words = line.split(" ")
    if kind != "CONFIG":
        raise Unusable(f"kind {kind[:40]!r}")
    fields: dict[str, str] = {}
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or name not in FIELDS or name in fields:
            raise Unusable(f"word {word[:40]!r}")
        fields[name] = value
    if ("admit" in fields) != ("policy" in fields):
        raise Unusable("a level without its way of trying again, or the other way round")
    level = (figure(fields["admit"]), way(fields["policy"])) if "admit" in fields else None
    mark = int(whole(fields["nonce_out"])) if "nonce_out" in fields else None
    part = OrderPart(
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
        raise Unusable(f"line {text[:40]!r}")
    return name, figure(weight)


def figure(text: str) -> float:
    if not FIGURE.fullmatch(text) or not math.isfinite(float(text)):
        raise Unusable(f"figure {text[:40]!r}")
    return float(text)


def whole(text: str) -> str:
    if not text.isdecimal():
        raise Unusable(f"mark {text[:40]!r}")
    return text


def way(text: str) -> int:
    if text not in ("0", "1", "2", "3"):
        raise Unusable(f"policy {text[:40]!r}")
    return int(text)


def flag(fields: dict[str, str], name: str) -> bool:
    if fields.get(name, "0") not in ("0", "1"):
        raise Unusable(f"{name} {fields[name][:40]!r}")
    return fields.get(name) == "1"
