"""Tests of the command `stackwheel scale slopes`: invalid input, and SIGTERM during a sweep."""

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
STEP_TIMEOUT_S = 30.0


def children(pid: int) -> list[int]:
    """Return the ids of the running child processes of a process."""
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def test_sigterm_during_a_sweep_ends_all_its_processes_and_writes_no_file(tmp_path: Path) -> None:
    out = tmp_path / "slopes.json"
    arguments = ["scale", "slopes", "--out", str(out), "--only", "servers", "--no-direct", "--span", "60"]
    run = subprocess.Popen([sys.executable, "-m", "stackwheel", *arguments], cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        end = time.monotonic() + STEP_TIMEOUT_S
        while len(started := children(run.pid)) < 3:
            assert run.poll() is None
            assert time.monotonic() < end
            time.sleep(0.02)
        run.send_signal(signal.SIGTERM)
        assert run.wait(STEP_TIMEOUT_S) == 130
    finally:
        run.kill()
        run.wait()
    assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]
    assert os.listdir(tmp_path) == []


def test_the_error_about_an_unknown_sweep_names_it_and_the_known_ones(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    out = tmp_path / "slopes.json"
    assert main(["scale", "slopes", "--out", str(out), "--only", "nix"]) == 2
    error = capsys.readouterr().err
    assert "'nix'" in error
    assert "relay-watchers" in error
    assert error.count("\n") == 1
    assert not out.exists()


def test_replacing_sweeps_of_a_truncated_file_is_rejected_and_leaves_the_file_unchanged(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    out = tmp_path / "slopes.json"
    out.write_text('{"version": 1')
    assert main(["scale", "slopes", "--out", str(out), "--only", "servers", "--replace"]) == 2
    assert "truncated" in capsys.readouterr().err
    assert out.read_text() == '{"version": 1'
