"""Errors of table files: rejected files, failed replacements and invalid key files."""

from __future__ import annotations

from enum import IntEnum, StrEnum

from stackwheel.errors import InvalidInputError, StackwheelError


class Stage(IntEnum):
    """Checks of a table file, by the names that command output and log lines use in lower case."""

    OPEN = 0  # invalid name, not a regular file, or unreadable
    SIZE = 1  # larger than the maximum
    TRAILER = 2  # no trailer: incomplete, or not a table file
    LENGTH = 3  # length differs from the one in the trailer
    DIGEST = 4  # digest differs from the one in the trailer
    VERSION = 5  # unknown format or format version
    KEY = 6  # unsigned although a signature is required, or signed with an unknown key
    SIGNATURE = 7  # signature does not match
    CONTENT = 8  # invalid document
    ORDER = 9  # older than the applied update, or from an earlier incarnation
    AGE = 10  # expired, or created too far in the future
    BASE = 11  # delta on a complete update that the reader does not have
    TARGET = 12  # update for another zone or proxy


class FileRejectedError(StackwheelError):
    """A table file failed a check and is not applied.

    Attributes:
        stage: check that failed.
        reason: description of the failure in one line.
    """

    def __init__(self, stage: Stage, reason: str) -> None:
        super().__init__(f"{stage.name.lower()}: {reason}")
        self.stage = stage
        self.reason = reason


class ReplaceStep(StrEnum):
    """Step of an atomic replacement, in the order of execution."""

    CREATE = "create"
    WRITE = "write"
    SYNC = "sync"
    CLOSE = "close"
    RENAME = "rename"
    SYNC_FOLDER = "sync folder"
    UNKNOWN = "replace"  # an exception other than OSError


class ReplaceError(StackwheelError):
    """A file could not be replaced durably; if a step up to the rename failed, the old file is unchanged.

    Attributes:
        step: step that failed.
        reason: error message of the operating system.
    """

    def __init__(self, step: ReplaceStep, reason: str) -> None:
        super().__init__(f"{step}: {reason}")
        self.step = step
        self.reason = reason


class KeyFileError(InvalidInputError):
    """A key file cannot be read or is invalid."""
