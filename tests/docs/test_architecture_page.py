"""Checks that the files, packages, classes and methods mentioned in docs/architecture.md exist."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "architecture.md"
QUOTED_TEXT = re.compile(r"`([^`\n]+)`")
FILE_PATTERN = re.compile(r"[a-z_]+(/[a-z_]+)*\.py")
PACKAGE_PATTERN = re.compile(r"[a-z_]+/")
NAME_PATTERN = re.compile(r"[A-Z][A-Za-z]+(\.[a-z_]+)?")


def quoted_texts() -> Iterator[str]:
    """Yield the text between each pair of backquotes outside fenced code blocks."""
    text = re.sub(r"^```.*?^```", "", PAGE.read_text(), flags=re.MULTILINE | re.DOTALL)
    return (match.group(1) for match in QUOTED_TEXT.finditer(text))


def names_defined_in(path: Path) -> set[str]:
    """Return the names of the top-level functions and classes of a module, and of methods as `Class.method`."""
    names: set[str] = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            methods = [item for item in node.body if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)]
            names |= {f"{node.name}.{method.name}" for method in methods}
    return names


def all_defined_names() -> set[str]:
    """Return the names that are defined in any module of the package."""
    return set().union(*(names_defined_in(path) for path in (ROOT / "stackwheel").rglob("*.py")))


def files_with_names() -> list[tuple[str, str]]:
    """Return each quoted file that is directly followed by a quoted name, with that name."""
    return re.findall(r"`((?:[a-z_]+/)*[a-z_]+\.py)` `([A-Za-z_.]+)`", PAGE.read_text())


@pytest.mark.parametrize(
    "quoted_text", sorted({quoted_text for quoted_text in quoted_texts() if FILE_PATTERN.fullmatch(quoted_text)})
)
def test_each_mentioned_file_exists(quoted_text: str) -> None:
    assert (ROOT / "stackwheel" / quoted_text).is_file()


@pytest.mark.parametrize(
    "quoted_text", sorted({quoted_text for quoted_text in quoted_texts() if PACKAGE_PATTERN.fullmatch(quoted_text)})
)
def test_each_mentioned_package_exists(quoted_text: str) -> None:
    assert (ROOT / "stackwheel" / quoted_text / "__init__.py").is_file()


@pytest.mark.parametrize(
    "quoted_text", sorted({quoted_text for quoted_text in quoted_texts() if NAME_PATTERN.fullmatch(quoted_text)})
)
def test_each_mentioned_class_and_method_is_defined(quoted_text: str) -> None:
    assert quoted_text in all_defined_names()


@pytest.mark.parametrize(("file", "name"), sorted(set(files_with_names())))
def test_a_name_after_a_file_is_defined_in_that_file(file: str, name: str) -> None:
    assert name in names_defined_in(ROOT / "stackwheel" / file)


def test_the_page_mentions_enough_files_and_names_to_check() -> None:
    """Parametrized tests without any cases would pass."""
    texts = list(quoted_texts())
    assert sum(1 for quoted_text in texts if FILE_PATTERN.fullmatch(quoted_text)) > 30
    assert sum(1 for quoted_text in texts if NAME_PATTERN.fullmatch(quoted_text)) > 30
    assert len(files_with_names()) > 30


def test_the_page_mentions_all_packages_of_a_planner() -> None:
    mentioned = set(quoted_texts())
    assert {"policy/", "state/", "wire/", "service/", "relay/", "cells/", "files/", "cli/"} <= mentioned
