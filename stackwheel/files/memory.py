"""Saves and loads the reader memory, a file with the trailer of a table file but without a signature."""

from __future__ import annotations

import msgspec

from stackwheel.files.acceptor import ReaderMemory
from stackwheel.files.atomic_replace import replace_file
from stackwheel.files.codec import decode_body, seal, unseal
from stackwheel.files.disk import Disk, list_names, read_file
from stackwheel.files.errors import FileRejectedError, Stage

FILE_NAME = "memory.table"
DECODER = msgspec.json.Decoder(ReaderMemory)


def save_memory(disk: Disk, folder: str, memory: ReaderMemory) -> None:
    """Replace the reader memory in a folder; the new one is durable on return.

    Raises:
        ReplaceError: the memory could not be written.
    """
    replace_file(disk, folder, FILE_NAME, seal(msgspec.json.encode(memory)))


def load_memory(disk: Disk, folder: str) -> ReaderMemory | None:
    """Load the reader memory from a folder; returns None if there is none.

    Raises:
        FileRejectedError: the memory cannot be read or is invalid.
    """
    try:
        data = read_file(disk, folder, FILE_NAME)
    except FileRejectedError as error:
        if error.stage is Stage.OPEN and FILE_NAME not in list_names(disk, folder):
            return None
        raise
    return decode_body(DECODER, unseal(data))
