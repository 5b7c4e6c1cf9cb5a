"""Outcomes of reading a table file."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from stackwheel.files.acceptor import CurrentTables, target_key
from stackwheel.files.errors import FileRejectedError, Stage
from stackwheel.files.records import Reservation


@dataclass(frozen=True, slots=True)
class FileApplied:
    """A file was applied, and the reservations take effect.

    Attributes:
        name: name of the file.
        current: tables of the target after the update.
        reservations: reservations that take effect with this file.
    """

    name: str
    current: CurrentTables
    reservations: tuple[Reservation, ...]


@dataclass(frozen=True, slots=True)
class FileRejected:
    """A file was not applied.

    Attributes:
        name: name of the file.
        stage: check that failed.
        reason: description of the failure in one line.
    """

    name: str
    stage: Stage
    reason: str

    @classmethod
    def from_error(cls, name: str, error: FileRejectedError) -> FileRejected:
        """Return the outcome for a file that failed a check."""
        return cls(name, error.stage, error.reason)


ReadOutcome = FileApplied | FileRejected


def outcome_document(outcome: ReadOutcome) -> dict[str, object]:
    """Return an outcome as the JSON object that `stackwheel files follow --json` prints."""
    if isinstance(outcome, FileRejected):
        return {
            "file": outcome.name,
            "taken": False,
            "stage": outcome.stage.name.lower(),
            "reason": outcome.reason,
        }
    update = outcome.current.update
    tables = outcome.current.content.tables
    return {
        "file": outcome.name,
        "taken": True,
        "target": target_key(update),
        "sequence": update.sequence,
        "whole": update.complete,
        "lines": {request_class: len(lines) for request_class, lines in tables.items()},
        "withdrawn": list(update.ejected),
        "bookings": [reservation.id for reservation in outcome.reservations],
        "incarnation": msgspec.to_builtins(update.incarnation),
    }
