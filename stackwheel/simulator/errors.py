"""The exception that the simulator adapter raises for malformed input."""

from __future__ import annotations

from stackwheel.errors import InvalidInputError


class WireError(InvalidInputError):
    """A frame or a record from the simulator is malformed, after which the input cannot be decoded reliably."""
