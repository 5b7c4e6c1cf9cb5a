"""Loads operators' files: parses them, unifies them with the schema and converts the result to typed records."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import msgspec

from stackwheel.config_language.conjuncts import Source
from stackwheel.config_language.errors import OperatorsFileError
from stackwheel.config_language.parser import MAX_TEXT_SIZE, parse
from stackwheel.config_language.schema import SCHEMA, OperatorsRecord
from stackwheel.config_language.tree import FieldOrigin, Tree, field_origins
from stackwheel.config_language.tree import plain_values as plain_values_of
from stackwheel.config_language.unify import unify

SCHEMA_NAME = "schema"  # name of the schema in messages


class SourceText(NamedTuple):
    """The text of a file, with the name of the file for messages."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class OperatorsConfig:
    """The result of unifying files with the schema.

    Attributes:
        records: typed records of all values.
        tree: all values with their origins.
    """

    records: OperatorsRecord
    tree: dict[str, Tree]

    def origins(self) -> Iterator[FieldOrigin]:
        """Yield each value with its path and origin."""
        return field_origins(self.tree)

    def plain_values(self) -> object:
        """Return all values without their origins, as nested dicts, lists and scalars."""
        return plain_values_of(self.tree)


def load(*paths: Path) -> OperatorsConfig:
    """Load the configuration of all given files; the defaults if there are none.

    Raises:
        OperatorsFileError: a file cannot be read or is invalid, or the files contradict each other.
    """
    return combine([SourceText(str(path), read_text(path)) for path in paths])


def read_text(path: Path) -> str:
    """Read the text of a file; raises OperatorsFileError if it cannot be read, is too large or is not UTF-8."""
    try:
        if path.stat().st_size > MAX_TEXT_SIZE:
            raise OperatorsFileError(str(path), None, "", f"larger than the maximum of {MAX_TEXT_SIZE} bytes")
        return path.read_text("utf-8")
    except OSError as error:
        raise OperatorsFileError(str(path), None, "", str(error.strerror or error)) from error
    except UnicodeDecodeError as error:
        raise OperatorsFileError(str(path), None, "", f"not UTF-8 at byte {error.start}") from error


def combine(texts: Iterable[SourceText]) -> OperatorsConfig:
    """Unify texts with the schema.

    Raises:
        OperatorsFileError: a text violates the syntax or the schema, or the texts contradict each other.
    """
    sources = [Source(SCHEMA_NAME, parse(SCHEMA, SCHEMA_NAME))]
    sources += [Source(name, parse(text, name)) for name, text in texts]
    tree = unify(sources)
    try:
        records = msgspec.convert(plain_values_of(tree), OperatorsRecord)
    except msgspec.ValidationError as error:  # the schema allows a value that the records reject
        raise OperatorsFileError(SCHEMA_NAME, None, "", str(error)) from error
    return OperatorsConfig(records, tree)
