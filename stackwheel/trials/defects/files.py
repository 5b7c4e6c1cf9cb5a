"""Deliberate defects of the exchange by files: writing, checking and applying them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackwheel.files import codec, publisher
from stackwheel.files.acceptor import Acceptor
from stackwheel.files.errors import FileRejectedError, ReplaceError, ReplaceStep, Stage
from stackwheel.files.reader import FileReader
from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.planting import Defect, Patch, returns

WRITE_BYTES = 200  # written at a time, so that a reader may see part of a file


def written_in_place() -> Sequence[Patch]:
    """A file is written piece by piece under its final name."""

    def replace_file(disk: Any, folder: str, name: str, data: bytes) -> None:
        """In place of `publisher.replace_file`."""
        try:
            handle = disk.create(f"{folder}/{name}")
            for start in range(0, len(data), WRITE_BYTES):
                disk.write(handle, data[start : start + WRITE_BYTES])
            disk.close(handle)
        except OSError as error:
            raise ReplaceError(ReplaceStep.WRITE, str(error)) from error

    return [Patch(publisher, "replace_file", replace_file)]


def sequence_unchecked() -> Sequence[Patch]:
    """A file is accepted whatever was applied before it."""
    original = Acceptor.validate

    def validate(self: Acceptor, update: Any, now: float) -> Any:
        """In place of `Acceptor.validate`."""
        applied = self.memory.applied
        self.memory.applied = {}
        try:
            return original(self, update, now)
        finally:
            self.memory.applied = applied

    return [Patch(Acceptor, "validate", validate)]


def reservations_forgotten() -> Sequence[Patch]:
    """No id of a reservation is remembered."""
    original = Acceptor.record_applied

    def record_applied(self: Acceptor, acceptance: Any, now: float) -> Any:
        """In place of `Acceptor.record_applied`."""
        memory = original(self, acceptance, now)
        memory.reservations = {}
        return memory

    return [Patch(Acceptor, "record_applied", record_applied)]


def trailer_unchecked() -> Sequence[Patch]:
    """The body of a file is used without a look at its digest and signature."""

    def unseal(data: bytes, _keys: Any = None) -> Any:
        """In place of `codec.unseal`."""
        body = data.partition(b"\n")[2].partition(b"\nend ")[0]
        if not body:
            raise FileRejectedError(Stage.TRAILER, "empty")
        return body

    return [Patch(codec, "unseal", unseal)]


def age_unchecked() -> Sequence[Patch]:
    """A file is accepted as if it had just been made, and never expires."""
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
        reservations_forgotten,
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
