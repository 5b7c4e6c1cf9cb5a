"""The protocol's messages as small typed values, in the policy's terms: zones and classes by their place."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Ping:
    pass


@dataclass(frozen=True, slots=True)
class Source:
    """A collector of a zone."""

    zone: int


@dataclass(frozen=True, slots=True)
class Load:
    """What the proxies of a zone met at a server; `load`: its own report, by column."""

    zone: int
    target: str
    count: int
    failed: int
    mean: float
    over: float
    load: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Rate:
    """Requests of a class that reached a proxy."""

    proxy: int
    place: int
    count: int
    failed: int
    over: float


@dataclass(frozen=True, slots=True)
class Join:
    proxy: int
    zone: int
    rate: float
    fresh: bool


@dataclass(frozen=True, slots=True)
class Ack:
    proxy: int
    nonce: int
    elapsed: float


Message: TypeAlias = Ping | Source | Load | Rate | Join | Ack


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """A message of a known kind that can't be used, and why: it is left out whole, those around it count."""

    reason: str


@dataclass(frozen=True, slots=True)
class ProtocolViolation:
    """Bytes that are no message, and where that showed: nothing that follows can be trusted."""

    reason: str


def columns_in_order(load: tuple[tuple[str, float], ...], columns: tuple[str, ...]) -> tuple[float, ...]:
    """A load report as the settings order it; what it lacks is no number, and what they lack is left out."""
    found = dict(load)
    return tuple(found.get(column, math.nan) for column in columns) if found else ()
