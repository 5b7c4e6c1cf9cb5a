"""Unifies scalars: types, bounds and disjunctions narrow a value until it is concrete."""

from __future__ import annotations

import operator
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from stackwheel.config_language.conjuncts import Conjunct, SourceSet, unification_error
from stackwheel.config_language.descriptions import describe_alternatives, describe_constraints, format_scalar
from stackwheel.config_language.errors import UnificationError
from stackwheel.config_language.syntax import ANY_TYPE, Bound, Disjunction, Scalar, ScalarValue, TypeName, Value
from stackwheel.config_language.tree import DEFAULT_ORIGIN, Leaf, Origin

COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    ">": operator.gt,
    "<": operator.lt,
}
TYPE_NAME_BY_CLASS: dict[type, str] = {str: "string", int: "int", float: "number", bool: "bool", type(None): "null"}


def has_type(value: ScalarValue, type_name: str) -> bool:
    """Return whether a value has a type; integers are also numbers."""
    actual = TYPE_NAME_BY_CLASS[type(value)]
    return type_name in (ANY_TYPE, actual) or (type_name == "number" and actual == "int")


def satisfies(value: ScalarValue, bound: Bound) -> bool:
    """Return whether a value satisfies a bound; strings and numbers cannot be compared with each other."""
    limit = bound.limit.value
    if bound.operator == "!=":
        return value != limit
    if bound.operator == "=~":
        return isinstance(value, str) and isinstance(limit, str) and re.search(limit, value) is not None
    if isinstance(value, str) != isinstance(limit, str) or value is None or isinstance(value, bool):
        return False
    return COMPARISONS[bound.operator](value, limit)


def equal(first: ScalarValue, second: ScalarValue) -> bool:
    """Return whether two values are equal; booleans and numbers are never equal."""
    return first == second and isinstance(first, bool) == isinstance(second, bool)


@dataclass(slots=True)
class ScalarState:
    """The constraints on a scalar that have been unified so far.

    Attributes:
        types: types that the value must have.
        bounds: bounds that the value must satisfy.
        leaf: the concrete value; None while it is not known.
    """

    types: list[Conjunct[TypeName]] = field(default_factory=list)
    bounds: list[Conjunct[Bound]] = field(default_factory=list)
    leaf: Leaf | None = None

    def copy(self) -> ScalarState:
        """Return a copy, which can be narrowed by an alternative."""
        return ScalarState(list(self.types), list(self.bounds), self.leaf)

    def describe(self) -> str:
        """Format the types and bounds for a message."""
        return describe_constraints(
            [conjunct.value for conjunct in self.types], [conjunct.value for conjunct in self.bounds]
        )

    def narrow(self, path: str, conjunct: Conjunct[Value]) -> None:
        """Add the constraint of a conjunct; raises UnificationError if it contradicts the others."""
        value = conjunct.value
        if isinstance(value, TypeName):
            self.types.append(conjunct.with_value(value))
        elif isinstance(value, Bound):
            self.bounds.append(conjunct.with_value(value))
        elif isinstance(value, Scalar):
            self._set_value(path, value.value, conjunct.origin)
        else:
            raise unification_error(conjunct.origin, path, "a scalar expected")
        self._validate_value(path)

    def _set_value(self, path: str, value: ScalarValue, origin: Origin) -> None:
        if self.leaf is None:
            self.leaf = Leaf(value, origin)
        elif not equal(self.leaf.value, value):
            problem = f"{format_scalar(value)} found, but {self.leaf.origin} sets {format_scalar(self.leaf.value)}"
            raise unification_error(origin, path, problem)

    def _validate_value(self, path: str) -> None:
        if self.leaf is None:
            return
        value = self.leaf.value
        types_match = all(has_type(value, conjunct.value.name) for conjunct in self.types)
        if types_match and all(satisfies(value, conjunct.value) for conjunct in self.bounds):
            return
        raise unification_error(self.leaf.origin, path, f"{format_scalar(value)} found, {self.describe()} expected")


class ScalarUnifier:
    """Determines the concrete value of a scalar from the constraints of all sources."""

    def __init__(self, sources: SourceSet) -> None:
        self._sources = sources

    def unify(
        self, path: str, constraints: Sequence[Conjunct[Value]], disjunctions: Sequence[Conjunct[Disjunction]]
    ) -> Leaf:
        """Return the value that a source sets, checked against all disjunctions; otherwise the first default.

        Raises:
            UnificationError: sources set different values, a value is not allowed, or no value is set.
        """
        state = ScalarState()
        for conjunct in constraints:
            state.narrow(path, conjunct)
        if state.leaf is not None:
            for disjunction in disjunctions:
                self._check_allowed(path, state, state.leaf, disjunction)
            return state.leaf
        for disjunction in disjunctions:
            default = self._default_leaf(path, state, disjunction)
            if default is not None:
                return default
        raise self._missing_value_error(path, state, disjunctions)

    def _check_allowed(self, path: str, state: ScalarState, leaf: Leaf, disjunction: Conjunct[Disjunction]) -> None:
        """Raise UnificationError unless the value is allowed by an alternative of the disjunction."""
        for alternative in disjunction.value.alternatives:
            try:
                self._narrowed_copy(path, state, disjunction.with_value(alternative))
            except UnificationError:
                continue
            return
        problem = f"{format_scalar(leaf.value)} found, {describe_alternatives(disjunction.value)} expected"
        raise unification_error(leaf.origin, path, problem)

    def _default_leaf(self, path: str, state: ScalarState, disjunction: Conjunct[Disjunction]) -> Leaf | None:
        """Return the default of a disjunction, checked against the state; None if it has no default."""
        default = disjunction.value.default
        if default is None:
            return None
        leaf = self._narrowed_copy(path, state, disjunction.with_value(default)).leaf
        if leaf is not None and self._sources.is_schema(disjunction):
            return Leaf(leaf.value, DEFAULT_ORIGIN)
        return leaf

    def _narrowed_copy(self, path: str, state: ScalarState, conjunct: Conjunct[Value]) -> ScalarState:
        """Return a copy of the state that is narrowed by a conjunct."""
        narrowed = state.copy()
        for constraint in self._sources.flatten(path, conjunct):
            narrowed.narrow(path, constraint)
        return narrowed

    def _missing_value_error(
        self, path: str, state: ScalarState, disjunctions: Sequence[Conjunct[Disjunction]]
    ) -> UnificationError:
        """Create the error for a field that has no value in any source."""
        conjuncts: Sequence[Conjunct[Value]] = disjunctions or state.types or state.bounds
        if not conjuncts:
            return unification_error(Origin(self._sources.schema.name), path, "no value, type or bound is given")
        if disjunctions:
            expected = " & ".join(describe_alternatives(disjunction.value) for disjunction in disjunctions)
        else:
            expected = state.describe()
        last_file = Origin(self._sources.sources[-1].name)
        origin = last_file if self._sources.is_schema(conjuncts[0]) else conjuncts[0].origin
        return unification_error(origin, path, f"no value given, {expected} expected")
