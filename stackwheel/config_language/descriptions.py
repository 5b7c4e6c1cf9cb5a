"""Values and constraints as messages and listings show them."""

from __future__ import annotations

from collections.abc import Iterable

from stackwheel.config_language.syntax import (
    Bound,
    Conjunction,
    Disjunction,
    ListValue,
    PlainValue,
    Record,
    Reference,
    Scalar,
    TypeName,
    Value,
)


def format_scalar(value: PlainValue) -> str:
    """A concrete value in the notation."""
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    return f"{value:g}" if isinstance(value, float) else str(value)


def describe(value: Value) -> str:
    """A value in the notation; records and lists only by what they are."""
    match value:
        case Scalar(plain, _):
            return format_scalar(plain)
        case TypeName(name, _) | Reference(name, _):
            return name
        case Bound(operator, limit, _):
            return f"{operator}{format_scalar(limit.value)}"
        case Conjunction(operands, _):
            return " & ".join(describe(operand) for operand in operands)
    return "a record" if isinstance(value, Record) else "a list"


def describe_alternatives(disjunction: Disjunction) -> str:
    """The alternatives, without a default that the others allow anyway."""
    only_scalars = all(isinstance(alternative, Scalar) for alternative in disjunction.alternatives)
    shown: list[Value] = [
        alternative
        for index, alternative in enumerate(disjunction.alternatives)
        if index != disjunction.default_index or isinstance(alternative, Record | ListValue) or only_scalars
    ]
    return join_distinct(" | ", (describe(alternative) for alternative in shown))


def describe_constraints(types: Iterable[TypeName], bounds: Iterable[Bound]) -> str:
    """The types and bounds that a value must satisfy."""
    constraints: list[Value] = [*types, *bounds]
    return join_distinct(" & ", (describe(constraint) for constraint in constraints)) or "another value"


def join_distinct(separator: str, texts: Iterable[str]) -> str:
    """Texts in a line, each once."""
    return separator.join(dict.fromkeys(texts))
