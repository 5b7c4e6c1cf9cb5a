"""Deliberate defects of the exchange of files: writing, validating and applying them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackwheel.files import codec, publisher
from stackwheel.files.acceptor import Acceptor
from stackwheel.files.errors import FileRejectedError, ReplaceError, ReplaceStep, Stage
from stackwheel.files.reader import FileReader
from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.planting import Defect, Patch, returns

MAX_WRITE_BYTES = 200


def written_in_place() -> Sequence[Patch]:
    """Write a file in several pieces under its final name, so that readers may see an incomplete file."""

    def replace_file(disk: Any, folder: str, name: str, data: bytes) -> None:
        """Replacement for `publisher.replace_file`."""
        try:
            handle = disk.create(f"{folder}/{name}")
            for start in range(0, len(data), MAX_WRITE_BYTES):
                disk.write(handle, data[start : start + MAX_WRITE_BYTES])
            disk.close(handle)
        except OSError as error:
            raise ReplaceError(ReplaceStep.WRITE, str(error)) from error

    return [Patch(publisher, "replace_file", replace_file)]


def sequence_unchecked() -> Sequence[Patch]:
    """Accept a file even if a newer one has been applied."""
    original = Acceptor.validate

    def validate(self: Acceptor, update: Any, now: float) -> Any:
        """Replacement for `Acceptor.validate`."""
        applied = self.memory.applied
        self.memory.applied = {}
        try:
            return original(self, update, now)
        finally:
            self.memory.applied = applied

    return [Patch(Acceptor, "validate", validate)]


def reservations_not_recorded() -> Sequence[Patch]:
    """Record no ids of reservations."""
    original = Acceptor.record_applied

    def record_applied(self: Acceptor, acceptance: Any, now: float) -> Any:
        """Replacement for `Acceptor.record_applied`."""
        memory = original(self, acceptance, now)
        memory.reservations = {}
        return memory

    return [Patch(Acceptor, "record_applied", record_applied)]


def trailer_unchecked() -> Sequence[Patch]:
    """Use the body of a file without checking its digest and signature."""

    def unseal(data: bytes, _keys: Any = None) -> Any:
        """Replacement for `codec.unseal`."""
        body = data.partition(b"\n")[2].partition(b"\nend ")[0]
        if not body:
            raise FileRejectedError(Stage.TRAILER, "empty")
        return body

    return [Patch(codec, "unseal", unseal)]


def age_unchecked() -> Sequence[Patch]:
    """Accept a file as if it had just been created, and never let it expire."""
    original = Acceptor.validate
    return [
        Patch(Acceptor, "validate", lambda self, update, now: original(self, update, min(now, update.created_at))),
        Patch(FileReader, "is_expired", returns(False)),
    ]


FILE_DEFECTS: tuple[Defect, ...] = (
    Defect(
        "no-rename",
        "files",
        (Rule.GENUINE,),
        written_in_place,
        "files are written in place",
    ),
    Defect(
        "no-sequence-check",
        "files",
        (Rule.GENUINE,),
        sequence_unchecked,
        "older files are applied after newer ones",
    ),
    Defect(
        "booking-forgotten",
        "files",
        (Rule.ONCE,),
        reservations_not_recorded,
        "ids of booking orders are not remembered",
    ),
    Defect(
        "digest-unchecked",
        "files",
        (Rule.GENUINE,),
        trailer_unchecked,
        "a file's digest and signature are not checked",
    ),
    Defect(
        "age-ignored",
        "files",
        (Rule.GENUINE,),
        age_unchecked,
        "files are used after their time",
    ),
)
