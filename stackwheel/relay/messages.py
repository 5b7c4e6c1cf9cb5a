"""What a relay answers to a call for a cell's list, and what it has to do after an event."""

from __future__ import annotations

from dataclasses import dataclass

from stackwheel.errors import StackwheelError


class UnavailableError(StackwheelError):
    """The call can't be answered now (503): the caller goes on at another replica, or tries again later.

    Its text is the body of the response.
    """


@dataclass(frozen=True, slots=True)
class SnapshotRequired:
    """The caller needs the cell's snapshot, as `WatchCache.snapshot` gives it at the moment it is written."""


@dataclass(frozen=True, slots=True)
class Delta:
    """What changed after the generation that the caller knows, as one encoded line."""

    line: bytes


Answer = SnapshotRequired | Delta


@dataclass(frozen=True, slots=True)
class SendDelta:
    """Send this encoded line to all watchers of a cell."""

    cell: str
    line: bytes


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Send the cell's snapshot to all its watchers."""

    cell: str


@dataclass(frozen=True, slots=True)
class EndWatches:
    """End the watches of these cells, so that callers go on at another replica."""

    cells: tuple[str, ...]
    reason: str


Action = SendDelta | SendSnapshot | EndWatches
