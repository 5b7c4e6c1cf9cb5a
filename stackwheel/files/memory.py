"""Keeps what a reader must not forget: swapped whole, sealed like every file."""

from __future__ import annotations

import msgspec

from stackwheel.files.accept import Memory
from stackwheel.files.codec import Refusal, Stage, seal, unseal
from stackwheel.files.disk import Disk, SwapFailed, read_file, swap

NAME = "memory.table"
DECODER = msgspec.json.Decoder(Memory)


def keep(disk: Disk, folder: str, memory: Memory) -> SwapFailed | None:
    return swap(disk, folder, NAME, seal(msgspec.json.encode(memory)))


def recall(disk: Disk, folder: str, now: float) -> tuple[Memory, Refusal | None]:
    """The memory as kept. Where there is none, or none that can be used, one that begins now: orders for bookings made
    before may have taken effect, and are not applied. The reason is told unless there simply was none."""
    data = read_file(disk, folder, NAME)
    if isinstance(data, Refusal):
        missing = data.stage is Stage.OPEN and NAME not in listed(disk, folder)
        return Memory(since=now), None if missing else data
    body = unseal(data)
    if isinstance(body, Refusal):
        return Memory(since=now), body
    try:
        return DECODER.decode(body), None
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
        return Memory(since=now), Refusal(Stage.CONTENT, str(error)[:200])


def listed(disk: Disk, folder: str) -> list[str]:
    try:
        return disk.names(folder)
    except OSError:
        return []
