"""Errors of table files: a file that is rejected, a file that can't be replaced, a key file that can't be used."""

from __future__ import annotations

from enum import IntEnum, StrEnum

from stackwheel.errors import InvalidInputError, StackwheelError


class Stage(IntEnum):
    """How far a file had come through the checks when it was rejected."""

    OPEN = 0  # not a regular file, or unreadable
    SIZE = 1
    TRAILER = 2  # no trailer: half written, or another program's file
    LENGTH = 3
    DIGEST = 4
    VERSION = 5
    KEY = 6  # unsigned although a key is set, or signed with a key that is not valid
    SIGNATURE = 7
    CONTENT = 8  # complete and genuine, but the document is invalid
    ORDER = 9  # older than what is applied, or of an earlier incarnation
    AGE = 10  # expired, or made too far in the future
    BASE = 11  # a delta on a complete file that the reader does not have
    TARGET = 12  # for another zone or proxy


class FileRejectedError(StackwheelError):
    """A table file is not used.

    Attributes:
        stage: the check that it failed.
        reason: what is wrong, in one line.
    """

    def __init__(self, stage: Stage, reason: str) -> None:
        super().__init__(f"{stage.name.lower()}: {reason}")
        self.stage = stage
        self.reason = reason


class ReplaceStep(StrEnum):
    """A step of an atomic replace, in order."""

    CREATE = "create"
    WRITE = "write"
    SYNC = "sync"
    CLOSE = "close"
    RENAME = "rename"
    SYNC_FOLDER = "sync folder"
    UNKNOWN = "replace"  # the disk failed with something else than an OSError


class ReplaceError(StackwheelError):
    """A file could not be replaced durably. Up to the rename the old file is in place.

    Attributes:
        step: the step that failed.
        reason: the operating system's message.
    """

    def __init__(self, step: ReplaceStep, reason: str) -> None:
        super().__init__(f"{step}: {reason}")
        self.step = step
        self.reason = reason


class KeyFileError(InvalidInputError):
    """A key file can't be used; the keys in use stay in force."""
