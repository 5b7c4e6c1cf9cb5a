"""Saves and loads a reader's memory: a file replaced atomically and sealed as every other one, but never signed."""

from __future__ import annotations

import msgspec

from stackwheel.files.acceptor import ReaderMemory
from stackwheel.files.atomic_replace import replace_file
from stackwheel.files.codec import decode_body, seal, unseal
from stackwheel.files.disk import Disk, list_names, read_file
from stackwheel.files.errors import FileRejectedError, Stage

NAME = "memory.table"
DECODER = msgspec.json.Decoder(ReaderMemory)


def save_memory(disk: Disk, folder: str, memory: ReaderMemory) -> None:
    """Put a memory in place of the former one; it is durable on return.

    Raises:
        ReplaceError: it could not be written.
    """
    replace_file(disk, folder, NAME, seal(msgspec.json.encode(memory)))


def load_memory(disk: Disk, folder: str) -> ReaderMemory | None:
    """The memory as it was saved, or None where there is none.

    Raises:
        FileRejectedError: there is one, but it can't be used.
    """
    try:
        data = read_file(disk, folder, NAME)
    except FileRejectedError as error:
        if error.stage is Stage.OPEN and NAME not in list_names(disk, folder):
            return None
        raise
    return decode_body(DECODER, unseal(data))
