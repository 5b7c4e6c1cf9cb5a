"""Finalizes the transports that a test has left open, before the next test begins."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def _finalize_open_transports() -> Iterator[None]:
    """Collect garbage after each test.

    A transport of a closed event loop fails to close itself when it is collected, and pytest reports that with a
    formatted traceback, for which CPython 3.11 calls its parser. If this happens while a later test parses source code,
    the parser raises SystemError, because it has been entered again.
    """
    yield
    gc.collect()
