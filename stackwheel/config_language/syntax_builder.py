"""Builds values out of the parser's tree: one method for each rule of the grammar."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TypeAlias, cast

from lark import Token, Transformer, Tree

from stackwheel.config_language.errors import OperatorsSyntaxError
from stackwheel.config_language.syntax import (
    TYPE_NAMES,
    Bound,
    Conjunction,
    Disjunction,
    Field,
    ListValue,
    Position,
    Record,
    Reference,
    Scalar,
    TypeName,
    Value,
)

START = Position(1, 1)  # of what is empty
CONSTANTS: dict[str, bool | None] = {"true": True, "false": False, "null": None}
FACTORS = {
    "Ki": 1 << 10,
    "Mi": 1 << 20,
    "Gi": 1 << 30,
    "K": 10**3,
    "M": 10**6,
    "G": 10**9,
}
"""Suffixes of numbers; a suffix of two letters is tried before the one that it ends with."""


@dataclass(frozen=True, slots=True)
class Alternative:
    """One alternative of a disjunction."""

    is_default: bool
    value: Value


Node: TypeAlias = Token | Value | Field | Alternative
"""What a rule's method is given for its parts, or gives itself."""


class SyntaxBuilder(Transformer[Token, Node]):
    """Turns a tree into values from its leaves up."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self._file = file

    def build(self, tree: Tree[Token]) -> Record:
        """The record that a file stands for."""
        record = self.transform(tree)
        if not isinstance(record, Record):
            raise TypeError(f"the rule of a file gives a record, not {record!r}")
        return record

    def start(self, children: list[Node]) -> Record:
        """A file: the members of a record without its braces."""
        return record_of(children)

    def record(self, children: list[Node]) -> Record:
        """Members in braces."""
        return record_of(children)

    def member(self, children: list[Node]) -> Node:
        """A field."""
        return children[0]

    def ellipsis(self, children: list[Node]) -> Node:
        """The mark of an open record."""
        return children[0]

    def field(self, children: list[Node]) -> Field:
        """A label with a value, or with a field for `a: b: value`."""
        label = cast(Token, children[0])
        optional = any(is_token(child, "OPTIONAL") for child in children[1:])
        content = children[-1]
        value = Record((content,), (), False, content.position) if isinstance(content, Field) else value_of(content)
        name = json.loads(str(label)) if label.type == "STRING" else str(label)
        return Field(name, value, optional, position_of(label))

    def label(self, children: list[Node]) -> Node:
        """The name of a field."""
        return children[0]

    def disjunction(self, children: list[Alternative]) -> Disjunction:
        """Two alternatives or more; one alone is no disjunction for the grammar."""
        defaults = [index for index, alternative in enumerate(children) if alternative.is_default]
        values = tuple(alternative.value for alternative in children)
        if len(defaults) > 1:
            raise self._error(values[defaults[1]].position, "a second default")
        return Disjunction(values, defaults[0] if defaults else None, values[0].position)

    def alternative(self, children: list[Node]) -> Alternative:
        """One value or a conjunction, perhaps marked as the default."""
        is_default = is_token(children[0], "STAR")
        values = tuple(cast(Value, child) for child in children if not isinstance(child, Token))
        value = values[0] if len(values) == 1 else Conjunction(values, values[0].position)
        return Alternative(is_default, value)

    def bound(self, children: list[Node]) -> Bound:
        """A comparison with a number or a text."""
        operator, limit = children
        position = position_of(cast(Token, operator))
        if not isinstance(limit, Scalar) or isinstance(limit.value, bool) or limit.value is None:
            raise self._error(position, f"{operator} stands before a number or text")
        return Bound(str(operator), limit, position)

    def list_value(self, children: list[Node]) -> ListValue:
        """Values in brackets."""
        items = tuple(value_of(child) for child in children)
        return ListValue(items, items[0].position if items else START)

    def scalar(self, children: list[Token]) -> Scalar | TypeName | Reference:
        """A number, a text, a constant, a type or a reference."""
        token = children[0]
        position = position_of(token)
        text = str(token)
        if token.type == "NUMBER":
            return Scalar(parse_number(text), position)
        if token.type == "STRING":
            return Scalar(json.loads(text), position)
        if token.type == "DEFINITION":
            return Reference(text, position)
        if text in CONSTANTS:
            return Scalar(CONSTANTS[text], position)
        if text in TYPE_NAMES:
            return TypeName(text, position)
        raise self._error(position, f"{text!r} is no value; text stands in double quotes")

    def _error(self, position: Position, problem: str) -> OperatorsSyntaxError:
        return OperatorsSyntaxError(self._file, position.line, f"column {position.column}", problem)


def is_token(node: Node, kind: str) -> bool:
    """Whether a node is a token of one kind."""
    return isinstance(node, Token) and node.type == kind


def position_of(token: Token) -> Position:
    """Where a token stands."""
    return Position(token.line or START.line, token.column or START.column)


def value_of(node: Node) -> Value:
    """An alternative that stands alone is its value; with the mark it is a default without a choice."""
    if not isinstance(node, Alternative):
        return cast(Value, node)
    if node.is_default:
        return Disjunction((node.value,), 0, node.value.position)
    return node.value


def record_of(members: list[Node]) -> Record:
    """A record of fields, definitions and perhaps the mark of an open record."""
    all_fields = [member for member in members if isinstance(member, Field)]
    return Record(
        fields=tuple(field for field in all_fields if not field.name.startswith("#")),
        definitions=tuple(field for field in all_fields if field.name.startswith("#")),
        is_open=any(is_token(member, "ELLIPSIS") for member in members),
        position=all_fields[0].position if all_fields else START,
    )


def parse_number(text: str) -> int | float:
    """A number times the factor of its suffix; integral results are integers."""
    for suffix, factor in FACTORS.items():
        if text.endswith(suffix):
            scaled = parse_number(text.removesuffix(suffix)) * factor
            return int(scaled) if scaled == int(scaled) else scaled
    digits = text.replace("_", "")
    is_float = any(char in digits for char in ".eE")
    return float(digits) if is_float else int(digits)
