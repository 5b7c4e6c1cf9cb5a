"""Fixtures for the tests of the command line."""

from __future__ import annotations

import pytest
from command_runner import RunCommand, in_process_runner


@pytest.fixture
def run_command(capsys: pytest.CaptureFixture[str]) -> RunCommand:
    return in_process_runner(capsys)
