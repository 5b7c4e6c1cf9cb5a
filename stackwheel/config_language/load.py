"""Loads the operators' file: parses it, unifies it with the schema and converts the result to records."""

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

SCHEMA_NAME = "schema"  # what messages call the program's own part


class NamedText(NamedTuple):
    """The text of a file, and the file's name for messages."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class OperatorsConfig:
    """The configuration that some files give together."""

    records: OperatorsRecord
    tree: dict[str, Tree]

    def origins(self) -> Iterator[FieldOrigin]:
        """Each value with its path and where it comes from."""
        return field_origins(self.tree)

    def plain_values(self) -> object:
        """All values without their origins, as JSON has them."""
        return plain_values_of(self.tree)


def load(*paths: Path) -> OperatorsConfig:
    """The configuration of some files together; without any, the defaults.

    Raises:
        OperatorsFileError: a file can't be read, or the files can't be used together.
    """
    return combine([NamedText(str(path), read_text(path)) for path in paths])


def read_text(path: Path) -> str:
    """The text of a file; OperatorsFileError if it can't be read, is too large or is not UTF-8."""
    try:
        if path.stat().st_size > MAX_TEXT_SIZE:
            raise OperatorsFileError(str(path), None, "", f"over {MAX_TEXT_SIZE} bytes")
        return path.read_text("utf-8")
    except OSError as error:
        raise OperatorsFileError(str(path), None, "", str(error.strerror or error)) from error
    except UnicodeDecodeError as error:
        raise OperatorsFileError(str(path), None, "", f"not UTF-8 at byte {error.start}") from error


def combine(texts: Iterable[NamedText]) -> OperatorsConfig:
    """The configuration of some texts together with the schema.

    Raises:
        OperatorsFileError: a text is not in the notation, or the texts can't be used together.
    """
    sources = [Source(SCHEMA_NAME, parse(SCHEMA, SCHEMA_NAME))]
    sources += [Source(name, parse(text, name)) for name, text in texts]
    tree = unify(sources)
    try:
        records = msgspec.convert(plain_values_of(tree), OperatorsRecord)
    except msgspec.ValidationError as error:  # the schema lets through what the records do not take
        raise OperatorsFileError(SCHEMA_NAME, None, "", str(error)) from error
    return OperatorsConfig(records, tree)
