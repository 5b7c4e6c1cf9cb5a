"""The values that a text in the notation stands for, each with its position."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

PlainValue: TypeAlias = str | int | float | bool | None

ANY_TYPE = "_"
TYPE_NAMES = ("string", "int", "number", "bool", ANY_TYPE)


@dataclass(frozen=True, slots=True)
class Position:
    """Line and column, both from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Scalar:
    """A concrete text, number or truth value, or null."""

    value: PlainValue
    position: Position


@dataclass(frozen=True, slots=True)
class TypeName:
    """A type, by one of `TYPE_NAMES`."""

    name: str
    position: Position


@dataclass(frozen=True, slots=True)
class Reference:
    """A definition by its name, `#Name`."""

    name: str
    position: Position


@dataclass(frozen=True, slots=True)
class Bound:
    """A comparison that a value must satisfy, such as `>=1` or `=~"^/"`."""

    operator: str
    limit: Scalar
    position: Position


@dataclass(frozen=True, slots=True)
class Field:
    """A named value of a record."""

    name: str
    value: Value
    optional: bool
    position: Position


@dataclass(frozen=True, slots=True)
class Record:
    """Fields in braces, and the definitions (`#Name: ...`) among them."""

    fields: tuple[Field, ...]
    definitions: tuple[Field, ...]
    is_open: bool  # fields of any name may be added
    position: Position


@dataclass(frozen=True, slots=True)
class ListValue:
    """Values in brackets."""

    items: tuple[Value, ...]
    position: Position


@dataclass(frozen=True, slots=True)
class Conjunction:
    """Values that must all hold, `a & b`."""

    operands: tuple[Value, ...]
    position: Position


@dataclass(frozen=True, slots=True)
class Disjunction:
    """Values of which one must hold, `a | *b`; the marked one is taken where nothing else is given."""

    alternatives: tuple[Value, ...]
    default_index: int | None
    position: Position

    @property
    def default(self) -> Value | None:
        """The marked alternative."""
        return None if self.default_index is None else self.alternatives[self.default_index]


Value: TypeAlias = Scalar | TypeName | Reference | Bound | Record | ListValue | Conjunction | Disjunction
