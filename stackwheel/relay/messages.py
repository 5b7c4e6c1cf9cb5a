"""Responses of a relay to requests for the list of a cell, and the actions that its server has to perform."""

from __future__ import annotations

from dataclasses import dataclass

from stackwheel.errors import StackwheelError


class UnavailableError(StackwheelError):
    """The relay cannot answer a request at present (503); the client retries later or at another replica.

    `str()` returns the body of the response.
    """


@dataclass(frozen=True, slots=True)
class SnapshotRequired:
    """The client needs the snapshot of the cell; it is read from `WatchCache.snapshot` when it is written."""


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes after the generation that the client knows, as one encoded line."""

    line: bytes


Answer = SnapshotRequired | Delta


@dataclass(frozen=True, slots=True)
class SendDelta:
    """Send an encoded line to all watchers of a cell."""

    cell: str
    line: bytes


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Send the snapshot of a cell to all its watchers."""

    cell: str


@dataclass(frozen=True, slots=True)
class EndWatches:
    """End all watches of some cells, so that their clients connect to another replica."""

    cells: tuple[str, ...]
    reason: str


Action = SendDelta | SendSnapshot | EndWatches
