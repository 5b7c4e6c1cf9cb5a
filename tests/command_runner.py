"""Runs the command line within the test's process or as a process of its own."""

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
    """What a command left."""

    exit_code: int
    out: str
    err: str


RunCommand = Callable[..., CommandResult]


def in_process_runner(capsys: pytest.CaptureFixture[str]) -> RunCommand:
    """Runs commands within the test's process."""

    def run_command(*words: object) -> CommandResult:
        exit_code = root.run([str(word) for word in words])
        out, err = capsys.readouterr()
        return CommandResult(exit_code, out, err)

    return run_command


def run_process(*words: str, **environment: str) -> CommandResult:
    """Run `python -m stackwheel` as its users do."""
    done = subprocess.run(
        [sys.executable, "-m", "stackwheel", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, **environment},
        timeout=PROCESS_TIMEOUT_S,
        check=False,
    )
    return CommandResult(done.returncode, done.stdout, done.stderr)


def is_one_line(text: str) -> bool:
    """Whether an error message is one line, as all are."""
    return len(text.strip().splitlines()) == 1
