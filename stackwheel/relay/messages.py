"""Replies of a relay to requests for a cell's list, and the actions that the relay's HTTP server has to perform.

A snapshot is the complete list of a cell, and a delta contains the changes since a generation.
"""

from __future__ import annotations

from dataclasses import dataclass

from stackwheel.errors import StackwheelError


class UnavailableError(StackwheelError):
    """The relay cannot answer a request at present (status 503); the client retries later or at another relay.

    `str()` returns the body of the response.
    """


@dataclass(frozen=True, slots=True)
class SnapshotRequired:
    """The client needs the snapshot of the cell, which the server gets from `WatchCache.snapshot` when it writes."""


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes since the generation that the client has, as one encoded line."""

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
    """End all watches of some cells, so that their clients connect to another relay."""

    cells: tuple[str, ...]
    reason: str


Action = SendDelta | SendSnapshot | EndWatches
