"""Builds the syntax tree from lark's parse tree, with one method for each rule of the grammar."""

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

START_POSITION = Position(1, 1)
"""Position assigned to empty records and lists; its line and column are also used for tokens without them."""

CONSTANTS: dict[str, bool | None] = {"true": True, "false": False, "null": None}
SUFFIX_FACTORS = {
    "Ki": 1 << 10,
    "Mi": 1 << 20,
    "Gi": 1 << 30,
    "K": 10**3,
    "M": 10**6,
    "G": 10**9,
}
"""Factors of numbers by suffix."""


@dataclass(frozen=True, slots=True)
class Alternative:
    """An alternative of a disjunction, which may be marked as the default."""

    is_default: bool
    value: Value


Node: TypeAlias = Token | Value | Field | Alternative
"""Any child or result of a method for a rule."""


class SyntaxBuilder(Transformer[Token, Node]):
    """Transforms a parse tree into the syntax tree, from the leaves to the root."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self._file = file

    def build(self, tree: Tree[Token]) -> Record:
        """Return the record at the top level of a file."""
        record = self.transform(tree)
        if not isinstance(record, Record):
            raise TypeError(f"expected a record as the result of the start rule, got {record!r}")
        return record

    def start(self, children: list[Node]) -> Record:
        """Build the top-level record of a file, whose members are not enclosed in braces."""
        return build_record(children)

    def record(self, children: list[Node]) -> Record:
        """Build a record from the members in braces."""
        return build_record(children)

    def member(self, children: list[Node]) -> Node:
        """Return the field."""
        return children[0]

    def ellipsis(self, children: list[Node]) -> Node:
        """Return the token `...`, which marks an open record."""
        return children[0]

    def field(self, children: list[Node]) -> Field:
        """Build a field from a label and a value, or from a label and another field, as in `a: b: value`."""
        label = cast(Token, children[0])
        optional = any(is_token(child, "OPTIONAL") for child in children[1:])
        content = children[-1]
        value = Record((content,), (), False, content.position) if isinstance(content, Field) else to_value(content)
        name = json.loads(str(label)) if label.type == "STRING" else str(label)
        return Field(name, value, optional, position_of(label))

    def label(self, children: list[Node]) -> Node:
        """Return the token with the name of a field."""
        return children[0]

    def disjunction(self, children: list[Alternative]) -> Disjunction:
        """Build a disjunction of two or more alternatives; the grammar inlines a single one."""
        defaults = [index for index, alternative in enumerate(children) if alternative.is_default]
        values = tuple(alternative.value for alternative in children)
        if len(defaults) > 1:
            raise self._error(values[defaults[1]].position, "more than one default")
        return Disjunction(values, defaults[0] if defaults else None, values[0].position)

    def alternative(self, children: list[Node]) -> Alternative:
        """Build an alternative from a value or conjunction, which may be marked as the default."""
        is_default = is_token(children[0], "STAR")
        values = tuple(cast(Value, child) for child in children if not isinstance(child, Token))
        value = values[0] if len(values) == 1 else Conjunction(values, values[0].position)
        return Alternative(is_default, value)

    def bound(self, children: list[Node]) -> Bound:
        """Build a bound, whose limit is a string or number."""
        operator, limit = children
        position = position_of(cast(Token, operator))
        if not isinstance(limit, Scalar) or isinstance(limit.value, bool) or limit.value is None:
            raise self._error(position, f"{operator} must be followed by a string or number")
        return Bound(str(operator), limit, position)

    def list_value(self, children: list[Node]) -> ListValue:
        """Build a list from the values in brackets."""
        items = tuple(to_value(child) for child in children)
        return ListValue(items, items[0].position if items else START_POSITION)

    def scalar(self, children: list[Token]) -> Scalar | TypeName | Reference:
        """Build a scalar, a type name or a reference from a token."""
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
        raise self._error(position, f"{text!r} is not a value; strings must be in double quotes")

    def _error(self, position: Position, problem: str) -> OperatorsSyntaxError:
        return OperatorsSyntaxError(self._file, position.line, f"column {position.column}", problem)


def is_token(node: Node, kind: str) -> bool:
    """Return whether a node is a token of the given type."""
    return isinstance(node, Token) and node.type == kind


def position_of(token: Token) -> Position:
    """Return the position of a token."""
    return Position(token.line or START_POSITION.line, token.column or START_POSITION.column)


def to_value(node: Node) -> Value:
    """Convert a node to a value; a single alternative that is marked becomes a disjunction with a default."""
    if not isinstance(node, Alternative):
        return cast(Value, node)
    if node.is_default:
        return Disjunction((node.value,), 0, node.value.position)
    return node.value


def build_record(members: list[Node]) -> Record:
    """Build a record from its fields, its definitions and the `...` of an open record."""
    all_fields = [member for member in members if isinstance(member, Field)]
    return Record(
        fields=tuple(field for field in all_fields if not field.name.startswith("#")),
        definitions=tuple(field for field in all_fields if field.name.startswith("#")),
        is_open=any(is_token(member, "ELLIPSIS") for member in members),
        position=all_fields[0].position if all_fields else START_POSITION,
    )


def parse_number(text: str) -> int | float:
    """Parse a number and multiply it by the factor of its suffix; integral results of this are integers."""
    for suffix, factor in SUFFIX_FACTORS.items():
        if text.endswith(suffix):
            scaled = parse_number(text.removesuffix(suffix)) * factor
            return int(scaled) if scaled == int(scaled) else scaled
    digits = text.replace("_", "")
    is_float = any(char in digits for char in ".eE")
    return float(digits) if is_float else int(digits)
