"""Deliberate defects of the exchange by files: writing, checking and applying them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackwheel.files import codec, publisher
from stackwheel.files.accept import Acceptor
from stackwheel.files.disk import SwapFailed
from stackwheel.files.reader import Reader
from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.planting import Defect, Patch, returns

WRITE_BYTES = 200  # written at a time, so that a reader may see part of a file


def written_in_place() -> Sequence[Patch]:
    """A file is written piece by piece under its final name."""

    def swap(disk: Any, folder: str, name: str, data: bytes) -> SwapFailed | None:
        try:
            handle = disk.create(f"{folder}/{name}")
            for start in range(0, len(data), WRITE_BYTES):
                disk.write(handle, data[start : start + WRITE_BYTES])
            disk.close(handle)
        except OSError as error:
            return SwapFailed("write", str(error))
        return None

    return [Patch(publisher, "swap", swap)]


def sequence_unchecked() -> Sequence[Patch]:
    """A file is accepted whatever was applied before it."""
    original = Acceptor.offer

    def offer(self: Acceptor, orders: Any, now: float) -> Any:
        marks = self.memory.marks
        self.memory.marks = {}
        try:
            return original(self, orders, now)
        finally:
            self.memory.marks = marks

    return [Patch(Acceptor, "offer", offer)]


def bookings_forgotten() -> Sequence[Patch]:
    """No id of a booking order is remembered."""
    original = Acceptor.commit

    def commit(self: Acceptor, accepted: Any, now: float) -> Any:
        memory = original(self, accepted, now)
        memory.bookings = {}
        return memory

    return [Patch(Acceptor, "commit", commit)]


def trailer_unchecked() -> Sequence[Patch]:
    """The body of a file is used without a look at its digest and signature."""

    def unseal(data: bytes, _keys: Any = None) -> Any:
        body = data.partition(b"\n")[2].partition(b"\nend ")[0]
        return body or codec.Refusal(codec.Stage.TRAILER, "empty")

    return [Patch(codec, "unseal", unseal)]


def age_unchecked() -> Sequence[Patch]:
    """A file is accepted as if it had just been made, and never expires."""
    original = Acceptor.offer
    return [
        Patch(Acceptor, "offer", lambda self, orders, now: original(self, orders, min(now, orders.made))),
        Patch(Reader, "over", returns(False)),
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
        bookings_forgotten,
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
