"""What became of a file that a reader found."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from stackwheel.files.acceptor import CurrentTables, target_key
from stackwheel.files.errors import FileRejectedError, Stage
from stackwheel.files.records import Reservation


@dataclass(frozen=True, slots=True)
class FileApplied:
    """A file is in force, and these reservations take effect now."""

    name: str
    current: CurrentTables
    reservations: tuple[Reservation, ...]


@dataclass(frozen=True, slots=True)
class FileRejected:
    """A file was not applied."""

    name: str
    stage: Stage
    reason: str

    @classmethod
    def because(cls, name: str, error: FileRejectedError) -> FileRejected:
        """The outcome of a check that failed."""
        return cls(name, error.stage, error.reason)


ReadOutcome = FileApplied | FileRejected


def outcome_document(outcome: ReadOutcome) -> dict[str, object]:
    """An outcome as the JSON object that `files follow --json` prints."""
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
