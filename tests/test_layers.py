"""Packages import only from lower layers, and there are no import cycles between modules."""

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
"""Layer of each package or top-level module; packages in the same layer must not import each other."""


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in (ROOT / "stackwheel").rglob("*.py")}


def imported_modules(path: Path) -> Iterator[str]:
    """Yield the modules of this project that a file imports, including imports inside functions."""
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
def test_a_module_imports_only_from_lower_layers_or_its_own_package(module: str) -> None:
    package = package_of(module)
    for imported in IMPORTS[module]:
        other = package_of(imported)
        if other not in (package, "stackwheel"):
            assert LAYERS[other] < LAYERS[package], f"{module} imports {imported}"


def test_there_are_no_import_cycles() -> None:
    graph = {name: imports - {name} for name, imports in IMPORTS.items()}
    try:
        sorted_modules = list(TopologicalSorter(graph).static_order())
    except CycleError as error:
        pytest.fail(f"import cycle: {error.args[1]}")
    assert len(sorted_modules) == len(MODULES) > 200
    assert sum(map(len, IMPORTS.values())) > 500
