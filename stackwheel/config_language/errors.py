"""Errors of the operators' file: one line each that names file, line and field."""

from __future__ import annotations

from stackwheel.errors import InvalidInputError


class OperatorsFileError(InvalidInputError):
    """A file can't be used; the configuration in force stays as it is.

    Attributes:
        file: the file, or `schema` for the program's own part.
        line: the line in it; None where the fault concerns the file as a whole.
        field: the path of the field, or the column of a syntax error; may be empty.
    """

    def __init__(self, file: str, line: int | None, field: str, problem: str) -> None:
        location = file if line is None else f"{file}:{line}"
        super().__init__(f"{location}: {field}" if field else location, problem)
        self.file = file
        self.line = line
        self.field = field


class OperatorsSyntaxError(OperatorsFileError):
    """A text is not in the notation."""


class UnificationError(OperatorsFileError):
    """Values that the files and the schema give to one field can't all hold."""
