"""Unifies sources: what they say of a field must all hold, and one value is left. No I/O.

A value is narrowed by types, bounds and choices until it is concrete; a default is taken where no source gives a value.
Each concrete value keeps its origin. Errors name file, line and path, what was found and what was expected.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from difflib import get_close_matches
from typing import NamedTuple

from stackwheel.config_language.conjuncts import Conjunct, Source, SourceSet, select, unification_error
from stackwheel.config_language.descriptions import describe, describe_alternatives
from stackwheel.config_language.errors import UnificationError
from stackwheel.config_language.scalars import ScalarUnifier
from stackwheel.config_language.syntax import ANY_TYPE, Disjunction, Field, ListValue, Record, TypeName, Value
from stackwheel.config_language.tree import Tree, join_path


class FieldConjunct(NamedTuple):
    """A field as one source has it."""

    field: Field
    conjunct: Conjunct[Value]


class _Structure(NamedTuple):
    """The conjuncts of a value that is a record or a list."""

    records: list[Conjunct[Record]]
    lists: list[Conjunct[ListValue]]

    @property
    def all(self) -> list[Conjunct[Record | ListValue]]:
        """Records first, then lists."""
        return [*self.records, *self.lists]


def unify(sources: Sequence[Source]) -> dict[str, Tree]:
    """The tree that all sources allow; the first is the schema, which says what fields there may be.

    Raises:
        UnificationError: sources contradict each other, or a field is unknown or missing.
    """
    return _Unifier(SourceSet(sources)).unify_sources()


class _Unifier:
    """Goes down the fields of all sources together."""

    def __init__(self, sources: SourceSet) -> None:
        self._sources = sources
        self._scalars = ScalarUnifier(sources)

    def unify_sources(self) -> dict[str, Tree]:
        """Unify the sources from their top records down."""
        conjuncts = [Conjunct(source, source.record, {}) for source in self._sources.sources]
        return self._unify_records("", conjuncts)

    def _unify_records(self, path: str, conjuncts: Sequence[Conjunct[Record]]) -> dict[str, Tree]:
        """All sources say it is a record: each field is unified by itself."""
        fields_by_name: dict[str, list[FieldConjunct]] = {}
        for conjunct in conjuncts:
            record = conjunct.value
            definitions = {**conjunct.definitions, **{field.name: field.value for field in record.definitions}}
            for field in record.fields:
                field_conjunct = FieldConjunct(field, Conjunct(conjunct.source, field.value, definitions))
                fields_by_name.setdefault(field.name, []).append(field_conjunct)
        self._reject_unknown_fields(path, conjuncts, fields_by_name)
        tree: dict[str, Tree] = {}
        for name, fields in fields_by_name.items():
            if all(field.optional for field, _ in fields):
                continue  # it may be given, and no source gives it
            tree[name] = self._unify_value(join_path(path, name), [conjunct for _, conjunct in fields])
        return tree

    def _reject_unknown_fields(
        self,
        path: str,
        conjuncts: Sequence[Conjunct[Record]],
        fields_by_name: Mapping[str, Sequence[FieldConjunct]],
    ) -> None:
        closed = [c.value for c in conjuncts if self._sources.is_schema(c) and not c.value.is_open]
        if not closed:
            return
        known = {field.name for record in closed for field in record.fields}
        for name, fields in fields_by_name.items():
            if name not in known:
                field, conjunct = fields[0]
                origin = conjunct.source.origin(field.position)
                raise unification_error(origin, join_path(path, name), describe_unknown_field(name, known))

    def _unify_value(self, path: str, conjuncts: Sequence[Conjunct[Value]]) -> Tree:
        """The one value that all conjuncts allow."""
        flattened = [flat for conjunct in conjuncts for flat in self._sources.flatten(path, conjunct)]
        structure = _Structure(select(flattened, Record), select(flattened, ListValue))
        disjunctions = select(flattened, Disjunction)
        constraints = [flat for flat in flattened if not isinstance(flat.value, Record | ListValue | Disjunction)]
        if not structure.all:
            return self._scalars.unify(path, constraints, disjunctions)
        self._reject_constraints(path, structure, constraints)
        for disjunction in disjunctions:
            self._take_alternative(path, structure, disjunction)
        if structure.records and structure.lists:
            raise self._mixed_structure(path, structure)
        if structure.records:
            return self._unify_records(path, structure.records)
        return self._unify_lists(path, structure.lists)

    def _reject_constraints(self, path: str, structure: _Structure, constraints: Sequence[Conjunct[Value]]) -> None:
        """What says that a record or list is a scalar is in the way."""
        for conjunct in constraints:
            if isinstance(conjunct.value, TypeName) and conjunct.value.name == ANY_TYPE:
                continue
            expected = "a record" if structure.records else "a list"
            raise unification_error(conjunct.origin, path, f"{expected} was expected")

    def _take_alternative(self, path: str, structure: _Structure, disjunction: Conjunct[Disjunction]) -> None:
        """Add the first alternative that is a record (or a list, where the value is one) before the others."""
        for alternative in disjunction.value.alternatives:
            if structure.records and isinstance(alternative, Record):
                structure.records.insert(0, disjunction.with_value(alternative))
                return
            if not structure.records and isinstance(alternative, ListValue):
                structure.lists.insert(0, disjunction.with_value(alternative))
                return
        from_files = [conjunct for conjunct in structure.all if not self._sources.is_schema(conjunct)]
        blamed: Conjunct[Value] = from_files[0] if from_files else disjunction
        problem = f"{describe(blamed.value)} found, {describe_alternatives(disjunction.value)} expected"
        raise unification_error(blamed.origin, path, problem)

    def _mixed_structure(self, path: str, structure: _Structure) -> UnificationError:
        """The error for a value that is a record in one source and a list in another; the last source is to blame."""
        blamed = max(structure.all, key=self._sources.rank)
        expected = "a list" if isinstance(blamed.value, Record) else "a record"
        return unification_error(blamed.origin, path, f"{describe(blamed.value)} found, {expected} expected")

    def _unify_lists(self, path: str, conjuncts: Sequence[Conjunct[ListValue]]) -> list[Tree]:
        """The last list that a file gives, its items checked against the first item of the schema's list."""
        from_files = [conjunct for conjunct in conjuncts if not self._sources.is_schema(conjunct)]
        from_schema = [conjunct for conjunct in conjuncts if self._sources.is_schema(conjunct)]
        given = (from_files or conjuncts)[-1]
        shape = from_schema[0] if from_schema else None
        if given is shape:  # the schema's list says what its items are, and holds none
            return []
        item_shapes = [shape.with_value(item) for item in shape.value.items[:1]] if shape is not None else []
        return [
            self._unify_value(f"{path}[{index}]", [*item_shapes, given.with_value(item)])
            for index, item in enumerate(given.value.items)
        ]


def describe_unknown_field(name: str, known: Collection[str]) -> str:
    """That a field is unknown, and which one is likely to be meant."""
    similar = get_close_matches(name, sorted(known), 1)
    return f"no such field; is {similar[0]!r} meant?" if similar else "no such field"
