"""Reads the operators' file: notation, schema, records; what is wrong is one line that names file, line and path."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from stackwheel.config_language.notation import SIZE_MOST, NotationError, parse
from stackwheel.config_language.schema import SCHEMA, Operators
from stackwheel.config_language.unify import Plain, Source, Tree, Unifier, UnifyError, origins, values


class OperatorsError(ValueError):
    """A file that can't be used; one line. What was in force stays so."""


@dataclass(frozen=True, slots=True)
class Loaded:
    records: Operators
    tree: dict[str, Tree]

    def origins(self) -> Iterable[tuple[str, Plain, str]]:
        return origins(self.tree)


def load(*paths: Path) -> Loaded:
    """The records of the files together; without any, the defaults."""
    return combine([(str(path), read(path)) for path in paths])


def read(path: Path) -> str:
    try:
        if path.stat().st_size > SIZE_MOST:
            raise OperatorsError(f"{path}: over {SIZE_MOST} bytes")
        return path.read_text("utf-8")
    except OSError as error:
        raise OperatorsError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError as error:
        raise OperatorsError(f"{path}: not UTF-8 at byte {error.start}") from None


def combine(texts: Iterable[tuple[str, str]]) -> Loaded:
    sources = [Source("schema", parse(SCHEMA))]
    for name, text in texts:
        try:
            sources.append(Source(name, parse(text)))
        except NotationError as error:
            raise OperatorsError(f"{name}:{error.line}: column {error.column}: {error.reason}") from None
    try:
        tree = Unifier(sources).run()
    except UnifyError as error:
        raise OperatorsError(str(error)) from None
    try:
        return Loaded(msgspec.convert(values(tree), Operators), tree)
    except msgspec.ValidationError as error:  # the schema lets through what the records do not take
        raise OperatorsError(f"schema: {error}") from None
