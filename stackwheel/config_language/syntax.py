"""The syntax tree of the configuration language: values with their positions in the text."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

ScalarValue: TypeAlias = str | int | float | bool | None

ANY_TYPE = "_"
TYPE_NAMES = ("string", "int", "number", "bool", ANY_TYPE)


@dataclass(frozen=True, slots=True)
class Position:
    """Line and column in the text, both starting at 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Scalar:
    """A concrete string, number or boolean, or null."""

    value: ScalarValue
    position: Position


@dataclass(frozen=True, slots=True)
class TypeName:
    """A type, whose name is one of `TYPE_NAMES`."""

    name: str
    position: Position


@dataclass(frozen=True, slots=True)
class Reference:
    """A reference to a definition, `#Name`."""

    name: str
    position: Position


@dataclass(frozen=True, slots=True)
class Bound:
    """A comparison that a value must satisfy, such as `>=1` or `=~"^/"`.

    Attributes:
        operator: the operator, such as ">=".
        limit: the right operand, a string or number.
        position: position of the operator.
    """

    operator: str
    limit: Scalar
    position: Position


@dataclass(frozen=True, slots=True)
class Field:
    """A named value in a record.

    Attributes:
        name: name of the field.
        value: expression for its value.
        optional: whether the field may be absent.
        position: position of the name.
    """

    name: str
    value: Value
    optional: bool
    position: Position


@dataclass(frozen=True, slots=True)
class Record:
    """A record: fields and definitions in braces.

    Attributes:
        fields: the fields.
        definitions: the definitions, `#Name: value`.
        is_open: whether a file may add fields of any name.
        position: position of the first member; line 1, column 1 if there is none.
    """

    fields: tuple[Field, ...]
    definitions: tuple[Field, ...]
    is_open: bool
    position: Position


@dataclass(frozen=True, slots=True)
class ListValue:
    """A list of values in brackets."""

    items: tuple[Value, ...]
    position: Position


@dataclass(frozen=True, slots=True)
class Conjunction:
    """A conjunction `a & b`: the value must satisfy all operands."""

    operands: tuple[Value, ...]
    position: Position


@dataclass(frozen=True, slots=True)
class Disjunction:
    """A disjunction `a | *b`: the value must satisfy one alternative; the one marked by `*` is the default."""

    alternatives: tuple[Value, ...]
    default_index: int | None
    position: Position

    @property
    def default(self) -> Value | None:
        """Return the alternative that is marked as the default; None if there is none."""
        return None if self.default_index is None else self.alternatives[self.default_index]


Value: TypeAlias = Scalar | TypeName | Reference | Bound | Record | ListValue | Conjunction | Disjunction
