"""The base of all errors that this project raises on purpose."""


class StackwheelError(Exception):
    """Anything that went wrong for a known reason; `str()` of it is one line that a person can act on."""


class InvalidInputError(StackwheelError, ValueError):
    """Something read from outside can't be used: a setting, a file, a message.

    Attributes:
        location: the field, line or byte where the fault was found, in the words of the format that was read.
        problem: what is wrong there, with the offending value shortened.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}" if location else problem)
        self.location = location
        self.problem = problem
