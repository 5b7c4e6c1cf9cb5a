"""What a deliberate defect is, and how it is planted in the running program."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, NamedTuple

from stackwheel.rules.violations import Rule


class Patch(NamedTuple):
    """One attribute of a class or module that is replaced while a defect is planted."""

    owner: Any
    attribute: str
    value: Any


@dataclass(frozen=True, slots=True)
class Defect:
    """A fault that is put into the program on purpose.

    Attributes:
        name: How the command line names it.
        layer: The part of the program that it is planted in.
        expected_rules: The rules that it may break.
        patches: Makes the patches; called anew at each planting.
        description: What the program does wrong, in a few words.
    """

    name: str
    layer: str
    expected_rules: tuple[Rule, ...]
    patches: Callable[[], Sequence[Patch]]
    description: str


def returns(value: object) -> Callable[..., Any]:
    """Make a replacement for a function that returns the same value whatever it is called with."""
    return lambda *_args, **_keywords: value


@contextmanager
def planted(defect: Defect | None) -> Iterator[None]:
    """Plant a defect, if any, for the length of a block; the program is as before afterwards."""
    originals: list[Patch] = []
    try:
        for patch in defect.patches() if defect is not None else ():
            originals.append(Patch(patch.owner, patch.attribute, patch.owner.__dict__[patch.attribute]))
            setattr(patch.owner, patch.attribute, patch.value)
        yield
    finally:
        for original in reversed(originals):
            setattr(original.owner, original.attribute, original.value)
