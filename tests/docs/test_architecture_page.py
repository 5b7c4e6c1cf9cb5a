"""Each file and each name that docs/architecture.md mentions is there."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "architecture.md"
QUOTED = re.compile(r"`([^`\n]+)`")
FILE = re.compile(r"[a-z_]+(/[a-z_]+)*\.py")
PACKAGE = re.compile(r"[a-z_]+/")
NAME = re.compile(r"[A-Z][A-Za-z]+(\.[a-z_]+)?")


def quoted_words() -> Iterator[str]:
    """All words in backquotes outside the diagram."""
    text = re.sub(r"^```.*?^```", "", PAGE.read_text(), flags=re.MULTILINE | re.DOTALL)
    return (match.group(1) for match in QUOTED.finditer(text))


def names_defined_in(path: Path) -> set[str]:
    """Functions, classes, their methods and module-level names."""
    names: set[str] = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            methods = [item for item in node.body if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)]
            names |= {f"{node.name}.{method.name}" for method in methods}
    return names


def all_defined_names() -> set[str]:
    return set().union(*(names_defined_in(path) for path in (ROOT / "stackwheel").rglob("*.py")))


def pairs_of_file_and_name() -> list[tuple[str, str]]:
    """A file, and the name that follows it at once."""
    return re.findall(r"`((?:[a-z_]+/)*[a-z_]+\.py)` `([A-Za-z_.]+)`", PAGE.read_text())


@pytest.mark.parametrize("word", sorted({word for word in quoted_words() if FILE.fullmatch(word)}))
def test_each_file_exists(word: str) -> None:
    assert (ROOT / "stackwheel" / word).is_file()


@pytest.mark.parametrize("word", sorted({word for word in quoted_words() if PACKAGE.fullmatch(word)}))
def test_each_package_exists(word: str) -> None:
    assert (ROOT / "stackwheel" / word / "__init__.py").is_file()


@pytest.mark.parametrize("word", sorted({word for word in quoted_words() if NAME.fullmatch(word)}))
def test_each_class_and_method_is_defined(word: str) -> None:
    assert word in all_defined_names()


@pytest.mark.parametrize(("file", "name"), sorted(set(pairs_of_file_and_name())))
def test_each_name_is_defined_in_the_file_beside_it(file: str, name: str) -> None:
    assert name in names_defined_in(ROOT / "stackwheel" / file)


def test_the_page_has_files_and_names_to_check() -> None:
    """Parametrized tests over nothing would pass."""
    words = list(quoted_words())
    assert sum(1 for word in words if FILE.fullmatch(word)) > 30
    assert sum(1 for word in words if NAME.fullmatch(word)) > 30
    assert len(pairs_of_file_and_name()) > 30


def test_the_page_mentions_all_packages_of_a_planner() -> None:
    mentioned = set(quoted_words())
    assert {"policy/", "state/", "wire/", "service/", "relay/", "cells/", "files/", "cli/"} <= mentioned
