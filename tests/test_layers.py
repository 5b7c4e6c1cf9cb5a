"""Imports run downward between packages, and no modules import each other in a circle."""

import ast
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
LAYERS = {
    "errors": 0,
    "interface": 1,
    "endpoints": 2,
    "settings": 2,
    "policy": 3,
    "cells": 4,
    "rules": 4,
    "forwarder": 4,
    "config_language": 4,
    "simulator": 4,
    "state": 5,
    "relay": 4,
    "files": 6,
    "wire": 7,
    "service": 8,
    "trials": 9,
    "scale": 9,
    "cli": 10,
    "__main__": 11,
}
"""By package or top-level module; a package imports from its own layer only within itself."""


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in (ROOT / "stackwheel").rglob("*.py")}


def imported_modules(path: Path) -> Iterator[str]:
    """The project's modules that a file imports anywhere, also inside functions."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in MODULES)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                if submodule in MODULES:
                    yield submodule
                elif node.module in MODULES:
                    yield node.module


IMPORTS = {name: set(imported_modules(path)) for name, path in MODULES.items()}


def package_of(module: str) -> str:
    return module.split(".")[1] if "." in module else module


@pytest.mark.parametrize("module", sorted(name for name in MODULES if "." in name))
def test_imports_run_downward(module: str) -> None:
    package = package_of(module)
    for imported in IMPORTS[module]:
        other = package_of(imported)
        if other not in (package, "stackwheel"):
            assert LAYERS[other] < LAYERS[package], f"{module} imports {imported}"


def test_no_modules_import_each_other_in_a_circle() -> None:
    graph = {name: imports - {name} for name, imports in IMPORTS.items()}
    try:
        order = list(TopologicalSorter(graph).static_order())
    except CycleError as error:
        pytest.fail(f"import cycle: {error.args[1]}")
    assert len(order) == len(MODULES) > 200
    assert sum(map(len, IMPORTS.values())) > 500
