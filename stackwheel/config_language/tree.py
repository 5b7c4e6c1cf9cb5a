"""What unification leaves: records, lists and concrete values, each value with its origin."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple, TypeAlias

from stackwheel.config_language.syntax import PlainValue


class Origin(NamedTuple):
    """The file and line that gave a value."""

    file: str
    line: int | None = None  # None: the file as a whole

    def __str__(self) -> str:
        return self.file if self.line is None else f"{self.file}:{self.line}"


DEFAULT_ORIGIN = Origin("default")
"""The origin of a value that no file gives."""


class Leaf(NamedTuple):
    """A concrete value and where it comes from."""

    value: PlainValue
    origin: Origin


Tree: TypeAlias = "dict[str, Tree] | list[Tree] | Leaf"


class FieldOrigin(NamedTuple):
    """One concrete value of a tree, by its path such as `files.pace.cap`."""

    path: str
    value: PlainValue
    origin: Origin


def plain_values(tree: Tree) -> object:
    """The tree without its origins, as JSON has it."""
    if isinstance(tree, Leaf):
        return tree.value
    if isinstance(tree, list):
        return [plain_values(item) for item in tree]
    return {name: plain_values(field) for name, field in tree.items()}


def field_origins(tree: Tree, path: str = "") -> Iterator[FieldOrigin]:
    """Each concrete value with its path and origin, in the order of the tree."""
    if isinstance(tree, Leaf):
        yield FieldOrigin(path, tree.value, tree.origin)
    elif isinstance(tree, list):
        for index, item in enumerate(tree):
            yield from field_origins(item, f"{path}[{index}]")
    else:
        for name, field in tree.items():
            yield from field_origins(field, join_path(path, name))


def join_path(path: str, name: str) -> str:
    """The path of a field within a record."""
    return f"{path}.{name}" if path else name
