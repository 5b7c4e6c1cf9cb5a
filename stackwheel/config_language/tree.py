"""The result of unification: records, lists and concrete values, each value with its origin."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple, TypeAlias

from stackwheel.config_language.syntax import ScalarValue


class Origin(NamedTuple):
    """The file and line that define a value.

    Attributes:
        file: name of the file.
        line: line number, from 1; None for the file as a whole.
    """

    file: str
    line: int | None = None

    def __str__(self) -> str:
        return self.file if self.line is None else f"{self.file}:{self.line}"


DEFAULT_ORIGIN = Origin("default")
"""Origin of a value that no file sets."""


class Leaf(NamedTuple):
    """A concrete value with its origin."""

    value: ScalarValue
    origin: Origin


Tree: TypeAlias = "dict[str, Tree] | list[Tree] | Leaf"


class FieldOrigin(NamedTuple):
    """A concrete value of a tree with its path, such as `files.pace.cap`, and its origin."""

    path: str
    value: ScalarValue
    origin: Origin


def plain_values(tree: Tree) -> object:
    """Return a tree without origins, as nested dicts, lists and scalars."""
    if isinstance(tree, Leaf):
        return tree.value
    if isinstance(tree, list):
        return [plain_values(item) for item in tree]
    return {name: plain_values(field) for name, field in tree.items()}


def field_origins(tree: Tree, path: str = "") -> Iterator[FieldOrigin]:
    """Yield each concrete value with its path and origin, in the order of the tree."""
    if isinstance(tree, Leaf):
        yield FieldOrigin(path, tree.value, tree.origin)
    elif isinstance(tree, list):
        for index, item in enumerate(tree):
            yield from field_origins(item, f"{path}[{index}]")
    else:
        for name, field in tree.items():
            yield from field_origins(field, join_path(path, name))


def join_path(path: str, name: str) -> str:
    """Return the path of a field within the record at `path`."""
    return f"{path}.{name}" if path else name
