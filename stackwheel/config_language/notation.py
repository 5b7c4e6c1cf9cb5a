"""The notation: text in, a tree of values with their places out. JSON is valid in it.

    // what this installation adds
    files: {
        on:     true
        folder: "/var/lib/stackwheel/tables"
        cap:    int & >=1 & <=100 | *12      // type, bounds, default
    }
    files: pace: least: 200                  // the same record once more: both hold

Types are `string`, `int`, `number` and `bool`; `#Name: ...` defines what may be named elsewhere; `field?:` need not be
given; `...` leaves a record open for fields of any name; `Ki`, `Mi`, `Gi`, `K`, `M`, `G` stand behind numbers.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import lru_cache
from typing import TypeAlias

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from lark.exceptions import VisitError

SIZE_MOST = 1 << 20  # bytes of a file
DEPTH_MOST = 64

GRAMMAR = r"""
start: _sep? (member (_sep member)* _sep?)?
_sep: _SEP+
member: field | ELLIPSIS -> ellipsis
field: label OPTIONAL? ":" _nl? (expr | field)
label: IDENT | DEFINITION | STRING
?expr: alternative ("|" _nl? alternative)*
alternative: STAR? term ("&" _nl? term)*
?term: atom | BOUND _nl? atom -> bound
?atom: record | list | scalar
record: "{" _sep? (member (_sep member)* _sep?)? "}"
list: "[" _nl? (expr (_sep expr)* _sep?)? "]"
scalar: NUMBER | STRING | IDENT | DEFINITION
_nl: _NL+
_SEP: /[,\n][,\s]*/
_NL: /\n\s*/
ELLIPSIS: "..."
OPTIONAL: "?"
STAR: "*"
BOUND: ">=" | "<=" | ">" | "<" | "!=" | "=~"
DEFINITION: /#[A-Za-z_][A-Za-z0-9_]*/
IDENT: /[A-Za-z_][A-Za-z0-9_]*/
NUMBER: /-?(0|[1-9][0-9_]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?(Ki|Mi|Gi|K|M|G)?/
STRING: /"([^"\\\n\x00-\x1f]|\\["\\\/bfnrt]|\\u[0-9a-fA-F]{4})*"/
%ignore /[ \t\r]+/
%ignore /\/\/[^\n]*/
"""
FACTORS = {"Ki": 1 << 10, "Mi": 1 << 20, "Gi": 1 << 30, "K": 10**3, "M": 10**6, "G": 10**9}


class NotationError(ValueError):
    """What can't be read, with its place; one line."""

    def __init__(self, line: int, column: int, reason: str) -> None:
        super().__init__(f"line {line}, column {column}: {reason}")
        self.line, self.column, self.reason = line, column, reason


@dataclass(frozen=True, slots=True)
class Place:
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Scalar:
    value: str | int | float | bool | None
    place: Place


@dataclass(frozen=True, slots=True)
class Kind:
    """A type by name."""

    name: str  # string, int, number, bool, _ (anything)
    place: Place


@dataclass(frozen=True, slots=True)
class Reference:
    name: str  # with its #
    place: Place


@dataclass(frozen=True, slots=True)
class Bound:
    op: str
    value: Scalar
    place: Place


@dataclass(frozen=True, slots=True)
class Field:
    name: str
    value: Value
    optional: bool
    place: Place


@dataclass(frozen=True, slots=True)
class Record:
    fields: tuple[Field, ...]
    definitions: tuple[Field, ...]
    open: bool
    place: Place


@dataclass(frozen=True, slots=True)
class Items:
    values: tuple[Value, ...]
    place: Place


@dataclass(frozen=True, slots=True)
class All:
    """Every one of these must hold."""

    values: tuple[Value, ...]
    place: Place


@dataclass(frozen=True, slots=True)
class Either:
    """One of these; the one marked is taken where nothing else is said."""

    values: tuple[Value, ...]
    default: int | None
    place: Place


Value: TypeAlias = Scalar | Kind | Reference | Bound | Record | Items | All | Either
KINDS = ("string", "int", "number", "bool", "_")
WORDS: dict[str, bool | None] = {"true": True, "false": False, "null": None}


def place_of(token: Token) -> Place:
    return Place(token.line or 1, token.column or 1)


class Build(Transformer[Token, Value]):
    """The parser's tree as values."""

    def scalar(self, children: list[Token]) -> Value:
        token = children[0]
        place, text = place_of(token), str(token)
        if token.type == "NUMBER":
            return Scalar(number(text), place)
        if token.type == "STRING":
            return Scalar(json.loads(text), place)
        if token.type == "DEFINITION":
            return Reference(text, place)
        if text in WORDS:
            return Scalar(WORDS[text], place)
        if text in KINDS:
            return Kind(text, place)
        raise NotationError(place.line, place.column, f"{text!r} is no value; text stands in double quotes")

    def bound(self, children: list[object]) -> Value:
        op, value = children
        assert isinstance(op, Token)
        if not isinstance(value, Scalar) or isinstance(value.value, bool) or value.value is None:
            place = place_of(op)
            raise NotationError(place.line, place.column, f"{op} stands before a number or text")
        return Bound(str(op), value, place_of(op))

    def alternative(self, children: list[object]) -> object:
        marked = isinstance(children[0], Token) and children[0].type == "STAR"
        values: list[Value] = [c for c in children if not isinstance(c, Token)]  # type: ignore[misc]
        value = values[0] if len(values) == 1 else All(tuple(values), values[0].place)
        return (marked, value)

    def expr(self, children: list[tuple[bool, Value]]) -> Value:
        defaults = [at for at, (marked, _) in enumerate(children) if marked]
        values = tuple(value for _, value in children)
        if len(defaults) > 1:
            place = values[defaults[1]].place
            raise NotationError(place.line, place.column, "a second default")
        return Either(values, defaults[0] if defaults else None, values[0].place)

    def label(self, children: list[Token]) -> Token:
        return children[0]

    def field(self, children: list[object]) -> Field:
        label = children[0]
        assert isinstance(label, Token)
        optional = any(isinstance(c, Token) and c.type == "OPTIONAL" for c in children[1:])
        value = plain(children[-1])
        place = place_of(label)
        if isinstance(value, Field):
            value = Record((value,), (), False, value.place)
        name = json.loads(str(label)) if label.type == "STRING" else str(label)
        return Field(name, value, optional, place)  # type: ignore[arg-type]

    def ellipsis(self, children: list[Token]) -> Token:
        return children[0]

    def member(self, children: list[object]) -> object:
        return children[0]

    def record(self, children: list[object]) -> Record:
        return gathered(children, Place(1, 1))

    def list(self, children: list[object]) -> Items:
        values = tuple(plain(c) for c in children)
        place = next((v.place for v in values), Place(1, 1))  # type: ignore[attr-defined]
        return Items(values, place)  # type: ignore[arg-type]

    start = record


def plain(child: object) -> object:
    """An alternative that stands alone is its value; with a mark it is a default without choice."""
    if isinstance(child, tuple) and len(child) == 2 and isinstance(child[0], bool):
        marked, value = child
        return Either((value,), 0, value.place) if marked else value
    return child


def gathered(children: list[object], place: Place) -> Record:
    fields = [c for c in children if isinstance(c, Field)]
    place = fields[0].place if fields else place
    return Record(
        tuple(f for f in fields if not f.name.startswith("#")),
        tuple(f for f in fields if f.name.startswith("#")),
        any(isinstance(c, Token) and c.type == "ELLIPSIS" for c in children),
        place,
    )


def number(text: str) -> int | float:
    for suffix, factor in FACTORS.items():
        if text.endswith(suffix):
            value = number(text.removesuffix(suffix))
            scaled = value * factor
            return int(scaled) if scaled == int(scaled) else scaled
    digits = text.replace("_", "")
    return float(digits) if any(c in digits for c in ".eE") else int(digits)


@lru_cache(maxsize=1)
def parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=False, maybe_placeholders=False)


def parse(text: str) -> Record:
    """The record a text stands for; NotationError where it stands for none."""
    if len(text) > SIZE_MOST:
        raise NotationError(1, 1, f"{len(text)} characters, at most {SIZE_MOST}")
    deepest(text)
    body = text.strip()
    if body.startswith("{") and body.endswith("}"):  # JSON, or a record in its braces
        text = text.replace("{", " ", 1)
        cut = text.rindex("}")
        text = text[:cut] + " " + text[cut + 1 :]
    try:
        tree = parser().parse(text)
        found = Build().transform(tree)
    except UnexpectedToken as error:
        raise NotationError(max(1, error.line), max(1, error.column), unexpected(error)) from None
    except UnexpectedEOF:
        raise NotationError(text.count("\n") + 1, 1, "ends too early") from None
    except UnexpectedCharacters as error:
        raise NotationError(error.line, error.column, f"unexpected {error.char!r}") from None
    except VisitError as error:
        if isinstance(error.orig_exc, NotationError):
            raise error.orig_exc from None
        raise
    assert isinstance(found, Record)
    return found


def unexpected(error: UnexpectedToken) -> str:
    token = error.token
    return "ends too early" if token.type == "$END" else f"unexpected {str(token).strip()[:20]!r}"


def deepest(text: str) -> None:
    """Refuse what would overrun the stack, before it is parsed."""
    depth = 0
    for at, char in enumerate(text):
        depth += (char in "{[") - (char in "}]")
        if depth > DEPTH_MOST:
            raise NotationError(text.count("\n", 0, at) + 1, 1, f"over {DEPTH_MOST} records deep")
