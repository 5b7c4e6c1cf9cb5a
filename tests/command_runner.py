"""Runs the command line for tests, in the process of the test or in a separate one."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest

from stackwheel.cli import root

ROOT = Path(__file__).parents[1]
PROCESS_TIMEOUT_S = 120


class CommandResult(NamedTuple):
    """Exit code and output of a command."""

    exit_code: int
    out: str
    err: str


RunCommand = Callable[..., CommandResult]


def in_process_runner(capsys: pytest.CaptureFixture[str]) -> RunCommand:
    """Return a function that runs commands in the process of the test."""

    def run_command(*arguments: object) -> CommandResult:
        exit_code = root.run([str(argument) for argument in arguments])
        out, err = capsys.readouterr()
        return CommandResult(exit_code, out, err)

    return run_command


def run_process(*arguments: str, **environment: str) -> CommandResult:
    """Run `python -m stackwheel` with arguments and additional environment variables."""
    process = subprocess.run(
        [sys.executable, "-m", "stackwheel", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, **environment},
        timeout=PROCESS_TIMEOUT_S,
        check=False,
    )
    return CommandResult(process.returncode, process.stdout, process.stderr)


def is_one_line(text: str) -> bool:
    """Return whether an error message consists of a single line."""
    return len(text.strip().splitlines()) == 1
