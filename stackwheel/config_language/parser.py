"""Parses the configuration language into values with positions. JSON is valid input.

    // the settings of this installation
    files: {
        on:     true
        folder: "/var/lib/stackwheel/tables"
        cap:    int & >=1 & <=100 | *12      // type, bounds, default
    }
    files: pace: least: 200                  // adds to the record above

The types are `string`, `int`, `number` and `bool`. `#Name: ...` is a definition that values can refer to, `field?:`
is an optional field, and `...` allows additional fields in a record. Numbers may have a suffix `Ki`, `Mi`, `Gi`, `K`,
`M` or `G`.
"""

from __future__ import annotations

from functools import lru_cache

from lark import Lark, UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from lark.exceptions import VisitError

from stackwheel.config_language.errors import OperatorsSyntaxError
from stackwheel.config_language.syntax import Record
from stackwheel.config_language.syntax_builder import SyntaxBuilder

MAX_TEXT_SIZE = 1 << 20
"""Maximum size of a file in bytes, and of a text in characters."""

MAX_NESTING_DEPTH = 64
"""Maximum depth of nested braces and brackets, which are also counted in strings and comments."""

MAX_QUOTED_CHARACTERS = 20
"""Maximum number of characters of an unexpected token that an error message quotes."""

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
    """Parse the text of a file into a record.

    Args:
        text: the text of the file.
        file: the name of the file, for messages.

    Raises:
        OperatorsSyntaxError: the text is too long, too deeply nested or violates the syntax.
    """
    if len(text) > MAX_TEXT_SIZE:
        raise OperatorsSyntaxError(file, 1, "column 1", f"{len(text)} characters, the maximum is {MAX_TEXT_SIZE}")
    _check_depth(text, file)
    text = _blank_outer_braces(text)
    try:
        tree = _grammar_parser().parse(text)
        return SyntaxBuilder(file).build(tree)
    except UnexpectedToken as error:
        line = max(1, error.line)
        column = max(1, error.column)
        raise OperatorsSyntaxError(file, line, f"column {column}", _describe_unexpected(error)) from error
    except UnexpectedEOF as error:
        line = text.count("\n") + 1
        raise OperatorsSyntaxError(file, line, "column 1", "unexpected end of file") from error
    except UnexpectedCharacters as error:
        raise OperatorsSyntaxError(file, error.line, f"column {error.column}", f"unexpected {error.char!r}") from error
    except VisitError as error:
        if isinstance(error.orig_exc, OperatorsSyntaxError):
            raise error.orig_exc from None
        raise


def _check_depth(text: str, file: str) -> None:
    """Reject a text whose braces and brackets are nested too deeply; chains such as `a: b: 1` are not counted."""
    depth = 0
    for offset, char in enumerate(text):
        depth += (char in "{[") - (char in "}]")
        if depth > MAX_NESTING_DEPTH:
            line = text.count("\n", 0, offset) + 1
            raise OperatorsSyntaxError(file, line, "column 1", f"nested more than {MAX_NESTING_DEPTH} levels deep")


def _blank_outer_braces(text: str) -> str:
    """Replace the braces around the whole text, as in JSON, by spaces, so that positions do not change."""
    body = text.strip()
    if not (body.startswith("{") and body.endswith("}")):
        return text
    text = text.replace("{", " ", 1)
    last_brace = text.rindex("}")
    return text[:last_brace] + " " + text[last_brace + 1 :]


def _describe_unexpected(error: UnexpectedToken) -> str:
    token = error.token
    if token.type == "$END":
        return "unexpected end of file"
    return f"unexpected {str(token).strip()[:MAX_QUOTED_CHARACTERS]!r}"
