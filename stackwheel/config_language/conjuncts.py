"""Conjuncts, the constraints of each source on a value, and the resolution of conjunctions and references."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from stackwheel.config_language.errors import UnificationError
from stackwheel.config_language.syntax import Conjunction, Position, Record, Reference, Value
from stackwheel.config_language.tree import Origin

MAX_REFERENCE_DEPTH = 32  # nested references and conjunctions; detects definitions that refer to themselves
ROOT_LABEL = "top level"  # stands for an empty path in messages

ValueT = TypeVar("ValueT", bound=Value)
ValueT_co = TypeVar("ValueT_co", bound=Value, covariant=True)


@dataclass(frozen=True, slots=True)
class Source:
    """A parsed file, or the schema.

    Attributes:
        name: name of the file in messages.
        record: record at the top level.
    """

    name: str
    record: Record

    def origin(self, position: Position) -> Origin:
        """Return the origin for a position in this source."""
        return Origin(self.name, position.line)


@dataclass(frozen=True, slots=True)
class Conjunct(Generic[ValueT_co]):
    """The expression that one source gives for a value, with the definitions that are in scope.

    Attributes:
        source: the source that contains the expression.
        value: the expression.
        definitions: definitions in the enclosing records, by name.
    """

    source: Source
    value: ValueT_co
    definitions: Mapping[str, Value]

    @property
    def origin(self) -> Origin:
        """Return the file and line of the expression."""
        return self.source.origin(self.value.position)

    def with_value(self, value: ValueT) -> Conjunct[ValueT]:
        """Return a conjunct for another expression of the same source and scope."""
        return Conjunct(self.source, value, self.definitions)


def select(conjuncts: Iterable[Conjunct[Value]], kind: type[ValueT]) -> list[Conjunct[ValueT]]:
    """Return the conjuncts whose value is an instance of `kind`."""
    return [conjunct.with_value(conjunct.value) for conjunct in conjuncts if isinstance(conjunct.value, kind)]


def unification_error(origin: Origin, path: str, problem: str) -> UnificationError:
    """Create the error for the field at `path`, located at the conflicting origin."""
    return UnificationError(origin.file, origin.line, path or ROOT_LABEL, problem)


class SourceSet:
    """The sources to unify; the first one is the schema."""

    def __init__(self, sources: Sequence[Source]) -> None:
        self.sources = sources

    @property
    def schema(self) -> Source:
        """Return the schema, which defines the allowed fields."""
        return self.sources[0]

    def is_schema(self, conjunct: Conjunct[Value]) -> bool:
        """Return whether a conjunct belongs to the schema."""
        return conjunct.source is self.schema

    def rank(self, conjunct: Conjunct[Value]) -> int:
        """Return the index of a conjunct's source among the sources."""
        return self.sources.index(conjunct.source)

    def flatten(self, path: str, conjunct: Conjunct[Value], depth: int = 0) -> Iterator[Conjunct[Value]]:
        """Yield the parts of a conjunct, with conjunctions and references resolved.

        Raises:
            UnificationError: a reference is undefined, or a definition refers to itself.
        """
        if depth > MAX_REFERENCE_DEPTH:
            raise unification_error(conjunct.origin, path, "the definition refers to itself")
        if isinstance(conjunct.value, Conjunction):
            for operand in conjunct.value.operands:
                yield from self.flatten(path, conjunct.with_value(operand), depth + 1)
        elif isinstance(conjunct.value, Reference):
            target = self._find_definition(conjunct, conjunct.value.name)
            if target is None:
                raise unification_error(conjunct.origin, path, f"{conjunct.value.name} is not defined")
            yield from self.flatten(path, conjunct.with_value(target), depth + 1)
        else:
            yield conjunct

    def _find_definition(self, conjunct: Conjunct[Value], name: str) -> Value | None:
        """Return the definition of a name in the scope of a conjunct, otherwise at the top level of a source."""
        if name in conjunct.definitions:
            return conjunct.definitions[name]
        for source in self.sources:
            for definition in source.record.definitions:
                if definition.name == name:
                    return definition.value
        return None
