"""`stackwheel scale slopes` as its users call it: bad input, a stop in the middle."""

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
MOST = 30.0  # s that any one thing may take


def children(pid: int) -> list[int]:
    """Processes that it has started and that still run."""
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def test_sigterm_ends_a_run_with_all_that_it_started_and_writes_nothing(tmp_path: Path) -> None:
    out = tmp_path / "slopes.json"
    words = ["scale", "slopes", "--out", str(out), "--only", "servers", "--no-direct", "--span", "60"]
    run = subprocess.Popen([sys.executable, "-m", "stackwheel", *words], cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        end = time.monotonic() + MOST
        while len(started := children(run.pid)) < 3:
            assert run.poll() is None
            assert time.monotonic() < end
            time.sleep(0.02)
        run.send_signal(signal.SIGTERM)
        assert run.wait(MOST) == 130
    finally:
        run.kill()
        run.wait()
    assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]
    assert os.listdir(tmp_path) == []


def test_an_unknown_sweep_is_named_with_the_known(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    out = tmp_path / "slopes.json"
    assert main(["scale", "slopes", "--out", str(out), "--only", "nix"]) == 2
    told = capsys.readouterr().err
    assert "'nix'" in told
    assert "relay-watchers" in told
    assert told.count("\n") == 1
    assert not out.exists()


def test_what_is_to_be_replaced_in_part_has_to_be_readable(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    out = tmp_path / "slopes.json"
    out.write_text('{"version": 1')
    assert main(["scale", "slopes", "--out", str(out), "--only", "servers", "--replace"]) == 2
    assert "cut" in capsys.readouterr().err
    assert out.read_text() == '{"version": 1'
