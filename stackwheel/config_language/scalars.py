"""Unifies scalars: narrows a value by types, bounds and choices until it is concrete."""

from __future__ import annotations

import operator
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from stackwheel.config_language.conjuncts import Conjunct, SourceSet, unification_error
from stackwheel.config_language.descriptions import describe_alternatives, describe_constraints, format_scalar
from stackwheel.config_language.errors import UnificationError
from stackwheel.config_language.syntax import ANY_TYPE, Bound, Disjunction, PlainValue, Scalar, TypeName, Value
from stackwheel.config_language.tree import DEFAULT_ORIGIN, Leaf, Origin

COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
}
TYPE_NAME_OF_CLASS: dict[type, str] = {str: "string", int: "int", float: "number", bool: "bool", type(None): "null"}


def has_type(value: PlainValue, type_name: str) -> bool:
    """Whether a value is of a type; integers are numbers too."""
    actual = TYPE_NAME_OF_CLASS[type(value)]
    return type_name in (ANY_TYPE, actual) or (type_name == "number" and actual == "int")


def satisfies(value: PlainValue, bound: Bound) -> bool:
    """Whether a value is within a bound; texts compare with texts and numbers with numbers alone."""
    limit = bound.limit.value
    if bound.operator == "!=":
        return value != limit
    if bound.operator == "=~":
        return isinstance(value, str) and isinstance(limit, str) and re.search(limit, value) is not None
    if isinstance(value, str) != isinstance(limit, str) or value is None or isinstance(value, bool):
        return False
    return COMPARISONS[bound.operator](value, limit)


def equal(first: PlainValue, second: PlainValue) -> bool:
    """Whether two values are one; true and 1 are not."""
    return first == second and isinstance(first, bool) == isinstance(second, bool)


@dataclass(slots=True)
class ScalarState:
    """What is known of a scalar so far."""

    types: list[Conjunct[TypeName]] = field(default_factory=list)
    bounds: list[Conjunct[Bound]] = field(default_factory=list)
    leaf: Leaf | None = None

    def copy(self) -> ScalarState:
        """A state to try an alternative on."""
        return ScalarState(list(self.types), list(self.bounds), self.leaf)

    def describe(self) -> str:
        """The types and bounds, as messages name them."""
        return describe_constraints(
            [conjunct.value for conjunct in self.types], [conjunct.value for conjunct in self.bounds]
        )

    def narrow(self, path: str, conjunct: Conjunct[Value]) -> None:
        """Take in what one conjunct says; UnificationError where both can't hold."""
        value = conjunct.value
        if isinstance(value, TypeName):
            self.types.append(conjunct.with_value(value))
        elif isinstance(value, Bound):
            self.bounds.append(conjunct.with_value(value))
        elif isinstance(value, Scalar):
            self._take_value(path, value.value, conjunct.origin)
        else:
            raise unification_error(conjunct.origin, path, "a plain value was expected")
        self._check_value(path)

    def _take_value(self, path: str, value: PlainValue, origin: Origin) -> None:
        if self.leaf is None:
            self.leaf = Leaf(value, origin)
        elif not equal(self.leaf.value, value):
            problem = f"{format_scalar(value)}, but {self.leaf.origin} says {format_scalar(self.leaf.value)}"
            raise unification_error(origin, path, problem)

    def _check_value(self, path: str) -> None:
        if self.leaf is None:
            return
        value = self.leaf.value
        types_hold = all(has_type(value, conjunct.value.name) for conjunct in self.types)
        if types_hold and all(satisfies(value, conjunct.value) for conjunct in self.bounds):
            return
        raise unification_error(self.leaf.origin, path, f"{format_scalar(value)} found, {self.describe()} expected")


class ScalarUnifier:
    """Finds the one concrete value that all sources allow."""

    def __init__(self, sources: SourceSet) -> None:
        self._sources = sources

    def unify(
        self, path: str, constraints: Sequence[Conjunct[Value]], disjunctions: Sequence[Conjunct[Disjunction]]
    ) -> Leaf:
        """The given value against every choice; without one, the first default.

        Raises:
            UnificationError: two values differ, one is not allowed, or none is given.
        """
        state = ScalarState()
        for conjunct in constraints:
            state.narrow(path, conjunct)
        if state.leaf is not None:
            for disjunction in disjunctions:
                self._check_allowed(path, state, state.leaf, disjunction)
            return state.leaf
        for disjunction in disjunctions:
            default = self._default_of(path, state, disjunction)
            if default is not None:
                return default
        raise self._missing(path, state, disjunctions)

    def _check_allowed(self, path: str, state: ScalarState, leaf: Leaf, disjunction: Conjunct[Disjunction]) -> None:
        """UnificationError unless an alternative takes the value."""
        for alternative in disjunction.value.alternatives:
            try:
                self._narrowed(path, state, disjunction.with_value(alternative))
            except UnificationError:
                continue
            return
        problem = f"{format_scalar(leaf.value)} found, {describe_alternatives(disjunction.value)} expected"
        raise unification_error(leaf.origin, path, problem)

    def _default_of(self, path: str, state: ScalarState, disjunction: Conjunct[Disjunction]) -> Leaf | None:
        """The default of a disjunction, checked against what is known; None if it has none."""
        default = disjunction.value.default
        if default is None:
            return None
        leaf = self._narrowed(path, state, disjunction.with_value(default)).leaf
        if leaf is not None and self._sources.is_schema(disjunction):
            return Leaf(leaf.value, DEFAULT_ORIGIN)
        return leaf

    def _narrowed(self, path: str, state: ScalarState, conjunct: Conjunct[Value]) -> ScalarState:
        """A copy of the state that has taken in one more conjunct."""
        attempt = state.copy()
        for constraint in self._sources.flatten(path, conjunct):
            attempt.narrow(path, constraint)
        return attempt

    def _missing(
        self, path: str, state: ScalarState, disjunctions: Sequence[Conjunct[Disjunction]]
    ) -> UnificationError:
        """The error for a field that no source gives a value."""
        conjuncts: Sequence[Conjunct[Value]] = disjunctions or state.types or state.bounds
        if not conjuncts:
            return unification_error(Origin(self._sources.schema.name), path, "nothing says what it is")
        if disjunctions:
            expected = " & ".join(describe_alternatives(disjunction.value) for disjunction in disjunctions)
        else:
            expected = state.describe()
        last_file = Origin(self._sources.sources[-1].name)
        origin = last_file if self._sources.is_schema(conjuncts[0]) else conjuncts[0].origin
        return unification_error(origin, path, f"not given; {expected} expected")
