"""Parses the notation into values with their positions. JSON is valid in it.

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

from functools import lru_cache

from lark import Lark, UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from lark.exceptions import VisitError

from stackwheel.config_language.errors import OperatorsSyntaxError
from stackwheel.config_language.syntax import Record
from stackwheel.config_language.syntax_builder import SyntaxBuilder

MAX_TEXT_SIZE = 1 << 20  # bytes of a file, characters of a text: far more than any installation says
MAX_DEPTH = 64  # braces and brackets within one another; keeps the parser's recursion bounded
MAX_QUOTED_TOKEN = 20  # characters of an unexpected token that a message repeats

GRAMMAR = r"""
start: _sep? (member (_sep member)* _sep?)?
_sep: _SEP+
member: field | ELLIPSIS -> ellipsis
field: label OPTIONAL? ":" _nl? (disjunction | field)
label: IDENT | DEFINITION | STRING
?disjunction: alternative ("|" _nl? alternative)*
alternative: STAR? term ("&" _nl? term)*
?term: atom | BOUND _nl? atom -> bound
?atom: record | list_value | scalar
record: "{" _sep? (member (_sep member)* _sep?)? "}"
list_value: "[" _nl? (disjunction (_sep disjunction)* _sep?)? "]"
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


@lru_cache(maxsize=1)
def _grammar_parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", propagate_positions=False, maybe_placeholders=False)


def parse(text: str, file: str) -> Record:
    """The record that a text stands for.

    Args:
        text: the text of a file.
        file: its name, for messages.

    Raises:
        OperatorsSyntaxError: the text is too large, too deep or not in the notation.
    """
    if len(text) > MAX_TEXT_SIZE:
        raise OperatorsSyntaxError(file, 1, "column 1", f"{len(text)} characters, at most {MAX_TEXT_SIZE}")
    _check_depth(text, file)
    text = _without_outer_braces(text)
    try:
        tree = _grammar_parser().parse(text)
        return SyntaxBuilder(file).build(tree)
    except UnexpectedToken as error:
        line = max(1, error.line)
        column = max(1, error.column)
        raise OperatorsSyntaxError(file, line, f"column {column}", _describe_unexpected(error)) from error
    except UnexpectedEOF as error:
        line = text.count("\n") + 1
        raise OperatorsSyntaxError(file, line, "column 1", "ends too early") from error
    except UnexpectedCharacters as error:
        raise OperatorsSyntaxError(file, error.line, f"column {error.column}", f"unexpected {error.char!r}") from error
    except VisitError as error:
        if isinstance(error.orig_exc, OperatorsSyntaxError):
            raise error.orig_exc from None
        raise


def _check_depth(text: str, file: str) -> None:
    """Reject what would overrun the stack, before it is parsed."""
    depth = 0
    for offset, char in enumerate(text):
        depth += (char in "{[") - (char in "}]")
        if depth > MAX_DEPTH:
            line = text.count("\n", 0, offset) + 1
            raise OperatorsSyntaxError(file, line, "column 1", f"over {MAX_DEPTH} records deep")


def _without_outer_braces(text: str) -> str:
    """JSON, or a record in its braces, with blanks for these two braces, so that positions stay."""
    body = text.strip()
    if not (body.startswith("{") and body.endswith("}")):
        return text
    text = text.replace("{", " ", 1)
    last_brace = text.rindex("}")
    return text[:last_brace] + " " + text[last_brace + 1 :]


def _describe_unexpected(error: UnexpectedToken) -> str:
    token = error.token
    if token.type == "$END":
        return "ends too early"
    return f"unexpected {str(token).strip()[:MAX_QUOTED_TOKEN]!r}"
