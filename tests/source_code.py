"""Parsing of the project's own source code, for tests that compare it with the documentation or check its imports."""

from __future__ import annotations

import ast
import gc
from pathlib import Path


def parse_module(path: Path) -> ast.Module:
    """Parse a module without garbage collection in the meantime.

    The parser of CPython 3.11 raises SystemError if it is entered again while it runs. A collection does so if it finds
    an object of an earlier test whose finalizer fails, because the traceback is formatted with the parser's help.
    """
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()
