"""`stackwheel scale slopes` on the command line: bad input, and SIGTERM in the middle of a sweep."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from stackwheel.cli.entry import main

ROOT = Path(__file__).parents[2]
STEP_TIMEOUT = 30.0  # s of one step of a test


def children(pid: int) -> list[int]:
    """The processes that a process has started and that are still running."""
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def test_sigterm_ends_a_sweep_with_its_processes_and_writes_nothing(tmp_path: Path) -> None:
    out = tmp_path / "slopes.json"
    arguments = ["scale", "slopes", "--out", str(out), "--only", "servers", "--no-direct", "--span", "60"]
    run = subprocess.Popen([sys.executable, "-m", "stackwheel", *arguments], cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        end = time.monotonic() + STEP_TIMEOUT
        while len(started := children(run.pid)) < 3:
            assert run.poll() is None
            assert time.monotonic() < end
            time.sleep(0.02)
        run.send_signal(signal.SIGTERM)
        assert run.wait(STEP_TIMEOUT) == 130
    finally:
        run.kill()
        run.wait()
    assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]
    assert os.listdir(tmp_path) == []


def test_an_unknown_sweep_is_named_beside_the_known_ones(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    out = tmp_path / "slopes.json"
    assert main(["scale", "slopes", "--out", str(out), "--only", "nix"]) == 2
    error = capsys.readouterr().err
    assert "'nix'" in error
    assert "relay-watchers" in error
    assert error.count("\n") == 1
    assert not out.exists()


def test_a_file_whose_sweeps_are_replaced_has_to_be_readable(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    out = tmp_path / "slopes.json"
    out.write_text('{"version": 1')
    assert main(["scale", "slopes", "--out", str(out), "--only", "servers", "--replace"]) == 2
    assert "cut" in capsys.readouterr().err
    assert out.read_text() == '{"version": 1'
