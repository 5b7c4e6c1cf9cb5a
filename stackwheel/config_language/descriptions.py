"""Formats values and constraints for messages and listings."""

from __future__ import annotations

from collections.abc import Iterable

from stackwheel.config_language.syntax import (
    Bound,
    Conjunction,
    Disjunction,
    ListValue,
    Record,
    Reference,
    Scalar,
    ScalarValue,
    TypeName,
    Value,
)


def format_scalar(value: ScalarValue) -> str:
    """Format a scalar in the syntax of the language; strings are quoted without escapes."""
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    return f"{value:g}" if isinstance(value, float) else str(value)


def describe(value: Value) -> str:
    """Format a value in the syntax of the language; records and lists are only named as such."""
    match value:
        case Scalar(scalar, _):
            return format_scalar(scalar)
        case TypeName(name, _) | Reference(name, _):
            return name
        case Bound(operator, limit, _):
            return f"{operator}{format_scalar(limit.value)}"
        case Conjunction(operands, _):
            return " & ".join(describe(operand) for operand in operands)
    return "a record" if isinstance(value, Record) else "a list"


def describe_alternatives(disjunction: Disjunction) -> str:
    """Format the alternatives; a scalar default is omitted if others are types or bounds."""
    only_scalars = all(isinstance(alternative, Scalar) for alternative in disjunction.alternatives)
    shown: list[Value] = [
        alternative
        for index, alternative in enumerate(disjunction.alternatives)
        if index != disjunction.default_index or isinstance(alternative, Record | ListValue) or only_scalars
    ]
    return join_distinct(" | ", (describe(alternative) for alternative in shown))


def describe_constraints(types: Iterable[TypeName], bounds: Iterable[Bound]) -> str:
    """Format the types and bounds that a value must satisfy."""
    constraints: list[Value] = [*types, *bounds]
    return join_distinct(" & ", (describe(constraint) for constraint in constraints)) or "another value"


def join_distinct(separator: str, texts: Iterable[str]) -> str:
    """Join texts with a separator, omitting repeated ones."""
    return separator.join(dict.fromkeys(texts))
