"""Base classes of the exceptions that this package raises."""


class StackwheelError(Exception):
    """Base class of all expected errors; `str()` returns a one-line message for the operator."""


class InvalidInputError(StackwheelError, ValueError):
    """External input, such as a setting, a file or a message, is invalid.

    Attributes:
        location: the field, line or byte offset of the error, in the terms of the input format; empty if unknown.
        problem: description of the error, in which the invalid value is truncated.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}" if location else problem)
        self.location = location
        self.problem = problem
