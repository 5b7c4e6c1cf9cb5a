"""The error of everything that can be wrong on the simulator's wire."""

from __future__ import annotations

from stackwheel.errors import InvalidInputError


class WireError(InvalidInputError):
    """A frame or a record is malformed; the conversation can't go on, because its framing can't be trusted."""
