"""What each source says of one value, and how conjunctions and references in it are resolved."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from stackwheel.config_language.errors import UnificationError
from stackwheel.config_language.syntax import Conjunction, Position, Record, Reference, Value
from stackwheel.config_language.tree import Origin

MAX_REFERENCE_DEPTH = 32  # one within another: a definition that names itself would never end
ROOT_PATH = "the file"  # what messages call a path that is empty

ValueT = TypeVar("ValueT", bound=Value)
ValueT_co = TypeVar("ValueT_co", bound=Value, covariant=True)


@dataclass(frozen=True, slots=True)
class Source:
    """A parsed file, or the schema."""

    name: str
    record: Record

    def origin(self, position: Position) -> Origin:
        """A place in this source."""
        return Origin(self.name, position.line)


@dataclass(frozen=True, slots=True)
class Conjunct(Generic[ValueT_co]):
    """What one source says of a value, with the definitions that may be named there."""

    source: Source
    value: ValueT_co
    definitions: Mapping[str, Value]

    @property
    def origin(self) -> Origin:
        """The place in the source."""
        return self.source.origin(self.value.position)

    def with_value(self, value: ValueT) -> Conjunct[ValueT]:
        """The same source and definitions with another value."""
        return Conjunct(self.source, value, self.definitions)


def select(conjuncts: Iterable[Conjunct[Value]], kind: type[ValueT]) -> list[Conjunct[ValueT]]:
    """The conjuncts whose value is of one kind."""
    return [conjunct.with_value(conjunct.value) for conjunct in conjuncts if isinstance(conjunct.value, kind)]


def unification_error(origin: Origin, path: str, problem: str) -> UnificationError:
    """The error for a field, at the place that is to blame."""
    return UnificationError(origin.file, origin.line, path or ROOT_PATH, problem)


class SourceSet:
    """The sources that are unified; the first is the schema."""

    def __init__(self, sources: Sequence[Source]) -> None:
        self.sources = sources

    @property
    def schema(self) -> Source:
        """The source that says which fields there may be."""
        return self.sources[0]

    def is_schema(self, conjunct: Conjunct[Value]) -> bool:
        """Whether the schema says it."""
        return conjunct.source is self.schema

    def rank(self, conjunct: Conjunct[Value]) -> int:
        """The place of a conjunct's source in the order of sources."""
        return self.sources.index(conjunct.source)

    def flatten(self, path: str, conjunct: Conjunct[Value], depth: int = 0) -> Iterator[Conjunct[Value]]:
        """Yield what a conjunct says piece by piece, with conjunctions and references resolved.

        Raises:
            UnificationError: a reference names nothing, or itself.
        """
        if depth > MAX_REFERENCE_DEPTH:
            raise unification_error(conjunct.origin, path, "a definition that names itself")
        if isinstance(conjunct.value, Conjunction):
            for operand in conjunct.value.operands:
                yield from self.flatten(path, conjunct.with_value(operand), depth + 1)
        elif isinstance(conjunct.value, Reference):
            target = self._definition(conjunct, conjunct.value.name)
            if target is None:
                raise unification_error(conjunct.origin, path, f"{conjunct.value.name} is defined nowhere")
            yield from self.flatten(path, conjunct.with_value(target), depth + 1)
        else:
            yield conjunct

    def _definition(self, conjunct: Conjunct[Value], name: str) -> Value | None:
        """The nearest definition of a name: around the conjunct, else at the top of a source."""
        if name in conjunct.definitions:
            return conjunct.definitions[name]
        for source in self.sources:
            for definition in source.record.definitions:
                if definition.name == name:
                    return definition.value
        return None
