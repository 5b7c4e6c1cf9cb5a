"""What a relay answers to a call, and what it has to do after an event."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No answer now (503): the caller goes on at another replica, or tries again later."""

    reason: str


@dataclass(frozen=True, slots=True)
class WholeDue:
    """The caller is owed the whole part, as `ListingCache.whole` has it when it is written."""


@dataclass(frozen=True, slots=True)
class Resumed:
    """What changed after the generation that the caller knows."""

    line: bytes


Answer = Unavailable | WholeDue | Resumed


@dataclass(frozen=True, slots=True)
class TellChanges:
    """All watchers of a cell are told this line."""

    cell: str
    line: bytes


@dataclass(frozen=True, slots=True)
class TellWhole:
    """All watchers of a cell are owed the whole part."""

    cell: str


@dataclass(frozen=True, slots=True)
class EndWatches:
    """The watches of these cells end, so that callers go on at another replica."""

    cells: tuple[str, ...]
    reason: str


Action = TellChanges | TellWhole | EndWatches
