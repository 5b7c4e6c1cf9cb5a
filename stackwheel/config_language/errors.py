"""Errors in the operators' file; each message is one line with the file, line and field."""

from __future__ import annotations

from stackwheel.errors import InvalidInputError


class OperatorsFileError(InvalidInputError):
    """An operators' file is invalid or cannot be read.

    Attributes:
        file: name of the file; "schema" for the schema of the program.
        line: line number, from 1; None if the error concerns the file as a whole.
        field: path of the field, or the column of a syntax error; may be empty.
    """

    def __init__(self, file: str, line: int | None, field: str, problem: str) -> None:
        location = file if line is None else f"{file}:{line}"
        super().__init__(f"{location}: {field}" if field else location, problem)
        self.file = file
        self.line = line
        self.field = field


class OperatorsSyntaxError(OperatorsFileError):
    """A text violates the syntax of the language."""


class UnificationError(OperatorsFileError):
    """The files and the schema contradict each other, or a field is unknown or has no value."""
