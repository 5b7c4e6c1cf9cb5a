"""Unifies sources: combines their constraints on each field into one concrete value, without I/O.

Types, bounds and disjunctions narrow a value until it is concrete; if no source sets a value, its default is used.
Each concrete value has its origin. Errors contain the file, line and path, the value found and what was expected.
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
    """A field with its conjunct in one source."""

    field: Field
    conjunct: Conjunct[Value]


class _Structure(NamedTuple):
    """The conjuncts of a value that are records or lists."""

    records: list[Conjunct[Record]]
    lists: list[Conjunct[ListValue]]

    @property
    def all(self) -> list[Conjunct[Record | ListValue]]:
        """Return all conjuncts, records first."""
        return [*self.records, *self.lists]


def unify(sources: Sequence[Source]) -> dict[str, Tree]:
    """Unify sources into a tree of concrete values; the first source is the schema, which defines the allowed fields.

    Raises:
        UnificationError: sources contradict each other, or a field is unknown or has no value.
    """
    return _Unifier(SourceSet(sources)).unify_sources()


class _Unifier:
    """Unifies the fields of all sources recursively."""

    def __init__(self, sources: SourceSet) -> None:
        self._sources = sources
        self._scalars = ScalarUnifier(sources)

    def unify_sources(self) -> dict[str, Tree]:
        """Unify the top-level records of all sources."""
        conjuncts = [Conjunct(source, source.record, {}) for source in self._sources.sources]
        return self._unify_records("", conjuncts)

    def _unify_records(self, path: str, conjuncts: Sequence[Conjunct[Record]]) -> dict[str, Tree]:
        """Unify records field by field."""
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
                continue  # no source sets the optional field
            tree[name] = self._unify_value(join_path(path, name), [conjunct for _, conjunct in fields])
        return tree

    def _reject_unknown_fields(
        self,
        path: str,
        conjuncts: Sequence[Conjunct[Record]],
        fields_by_name: Mapping[str, Sequence[FieldConjunct]],
    ) -> None:
        closed_records = [
            conjunct.value for conjunct in conjuncts if self._sources.is_schema(conjunct) and not conjunct.value.is_open
        ]
        if not closed_records:
            return
        known_names = {field.name for record in closed_records for field in record.fields}
        for name, fields in fields_by_name.items():
            if name not in known_names:
                field, conjunct = fields[0]
                origin = conjunct.source.origin(field.position)
                raise unification_error(origin, join_path(path, name), describe_unknown_field(name, known_names))

    def _unify_value(self, path: str, conjuncts: Sequence[Conjunct[Value]]) -> Tree:
        """Unify the conjuncts of a value of any kind."""
        parts = [part for conjunct in conjuncts for part in self._sources.flatten(path, conjunct)]
        structure = _Structure(select(parts, Record), select(parts, ListValue))
        disjunctions = select(parts, Disjunction)
        constraints = [part for part in parts if not isinstance(part.value, Record | ListValue | Disjunction)]
        if not structure.all:
            return self._scalars.unify(path, constraints, disjunctions)
        self._reject_constraints(path, structure, constraints)
        for disjunction in disjunctions:
            self._add_alternative(path, structure, disjunction)
        if structure.records and structure.lists:
            raise self._mixed_structure_error(path, structure)
        if structure.records:
            return self._unify_records(path, structure.records)
        return self._unify_lists(path, structure.lists)

    def _reject_constraints(self, path: str, structure: _Structure, constraints: Sequence[Conjunct[Value]]) -> None:
        """Raise UnificationError if a scalar constraint applies to a record or list."""
        for conjunct in constraints:
            if isinstance(conjunct.value, TypeName) and conjunct.value.name == ANY_TYPE:
                continue
            expected = "a record" if structure.records else "a list"
            raise unification_error(conjunct.origin, path, f"{expected} expected")

    def _add_alternative(self, path: str, structure: _Structure, disjunction: Conjunct[Disjunction]) -> None:
        """Insert the first alternative of the same structure, record or list, before the other conjuncts.

        Raises:
            UnificationError: no alternative has this structure.
        """
        for alternative in disjunction.value.alternatives:
            if structure.records and isinstance(alternative, Record):
                structure.records.insert(0, disjunction.with_value(alternative))
                return
            if not structure.records and isinstance(alternative, ListValue):
                structure.lists.insert(0, disjunction.with_value(alternative))
                return
        from_files = [conjunct for conjunct in structure.all if not self._sources.is_schema(conjunct)]
        conflicting: Conjunct[Value] = from_files[0] if from_files else disjunction
        problem = f"{describe(conflicting.value)} found, {describe_alternatives(disjunction.value)} expected"
        raise unification_error(conflicting.origin, path, problem)

    def _mixed_structure_error(self, path: str, structure: _Structure) -> UnificationError:
        """Create the error for a value that is a record in one source and a list in another, at the last source."""
        conflicting = max(structure.all, key=self._sources.rank)
        expected = "a list" if isinstance(conflicting.value, Record) else "a record"
        return unification_error(conflicting.origin, path, f"{describe(conflicting.value)} found, {expected} expected")

    def _unify_lists(self, path: str, conjuncts: Sequence[Conjunct[ListValue]]) -> list[Tree]:
        """Unify the items of the last file's list with the first item of the schema's list, which is their schema."""
        from_files = [conjunct for conjunct in conjuncts if not self._sources.is_schema(conjunct)]
        from_schema = [conjunct for conjunct in conjuncts if self._sources.is_schema(conjunct)]
        items_source = (from_files or conjuncts)[-1]
        schema_list = from_schema[0] if from_schema else None
        if items_source is schema_list:  # the schema's list only defines the type of the items
            return []
        item_schemas = (
            [schema_list.with_value(item) for item in schema_list.value.items[:1]] if schema_list is not None else []
        )
        return [
            self._unify_value(f"{path}[{index}]", [*item_schemas, items_source.with_value(item)])
            for index, item in enumerate(items_source.value.items)
        ]


def describe_unknown_field(name: str, known_names: Collection[str]) -> str:
    """Describe an unknown field, with the most similar known name if there is one."""
    similar = get_close_matches(name, sorted(known_names), 1)
    return f"no such field, did you mean {similar[0]!r}?" if similar else "no such field"
