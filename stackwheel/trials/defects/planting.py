"""The record of a deliberate defect, and the context manager that plants it in the running program."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, NamedTuple

from stackwheel.rules.violations import Rule


class Patch(NamedTuple):
    """An attribute of a class or module that is replaced while a defect is planted."""

    owner: Any
    attribute: str
    value: Any


@dataclass(frozen=True, slots=True)
class Defect:
    """A defect that is planted in the program on purpose.

    Attributes:
        name: Name on the command line.
        layer: Layer of the program in which it is planted.
        expected_rules: Rules whose violation counts as detection of the defect.
        patches: Returns new patches; called each time the defect is planted.
        description: Short description of the incorrect behaviour.
    """

    name: str
    layer: str
    expected_rules: tuple[Rule, ...]
    patches: Callable[[], Sequence[Patch]]
    description: str


def returns(value: object) -> Callable[..., Any]:
    """Return a function that accepts any arguments and always returns `value`."""
    return lambda *_args, **_keywords: value


@contextmanager
def planted(defect: Defect | None) -> Iterator[None]:
    """Plant a defect, if any, for the duration of a `with` block, and restore the program at its end."""
    originals: list[Patch] = []
    try:
        for patch in defect.patches() if defect is not None else ():
            originals.append(Patch(patch.owner, patch.attribute, patch.owner.__dict__[patch.attribute]))
            setattr(patch.owner, patch.attribute, patch.value)
        yield
    finally:
        for original in reversed(originals):
            setattr(original.owner, original.attribute, original.value)
