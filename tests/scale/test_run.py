"""Tests of small runs on the command line: their results, exit codes and the end of their processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[2]
SMALL = ("--servers", "200", "--planners", "20", "--duration", "2.5", "--seed", "4", "--event-rate", "8")


def call(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "stackwheel", "scale", "run", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def test_after_a_small_run_all_planners_agree_with_the_list() -> None:
    run = call("--scenario", "churn", *SMALL, "--real-planners", "1", "--json")
    (line,) = run.stdout.splitlines()
    report = json.loads(line)
    assert run.returncode == 0, run.stderr
    assert report["wrong_entries"] == 0
    assert report["planners"] == report["planners_expected"] == 21
    assert report["entries_compared"] == 21 * 200
    assert report["changes"] > 0
    assert report["failures"] == 0
    in_force = report["in_force_ms"]
    assert in_force["missing"] == 0
    assert in_force["count"] == 20 * report["changes"]
    assert 0 < in_force["p50"] <= in_force["p99"] <= in_force["max"] < 6_000
    for role in ("registry", "real_planner", "hollow_planner"):
        figures = report[role]
        assert figures["core"] > 0, role
        assert figures["rss_mb"] > 0, role
    assert report["registry"]["bytes_out_per_s"] > 0
    assert report["hollow_planner"]["bytes_in_per_s"] > 0
    assert report["real_planner"]["bytes_in_per_s"] > 0
    assert report["relay"]["core"] is None
    assert report["machine"]["cores"] >= 1
    assert report["bounds"]["processes_seen"] == 4


def test_after_a_restart_all_planners_agree_with_the_list_and_a_table_is_printed() -> None:
    run = call("--scenario", "restart", *SMALL, "--zones", "2", "--real-planners", "1")
    report = json.loads(run.stdout.splitlines()[-1])
    assert run.returncode == 0
    assert len(run.stdout.splitlines()) > 5
    assert "21 of 21 planners right" in run.stdout
    assert report["wrong_entries"] == 0
    assert report["in_force_ms"]["missing"] == 0
    assert report["in_force_ms"]["count"] > 20


WITH_RELAYS = ("--relays", "2", "--real-planners", "1", "--whole-list-planners", "1", "--fault", "kill-relay")


def test_planners_behind_relays_agree_with_the_list_after_a_relay_is_killed() -> None:
    run = call("--scenario", "churn", *SMALL, *WITH_RELAYS, "--json")
    report = json.loads(run.stdout.splitlines()[-1])
    assert run.returncode == 0, run.stderr
    assert report["wrong_entries"] == 0
    assert report["planners"] == 22
    assert report["in_force_ms"]["missing"] == 0
    assert report["cells"]["cells"] > 1
    assert 200 < report["entries_compared"] < 21 * 200
    assert report["relay"]["count"] == 2
    assert report["relay"]["core"] > 0
    assert report["relay"]["bytes_out_per_s"] > 0
    assert report["whole_list_planner"]["bytes_in_per_s"] > report["real_planner"]["bytes_in_per_s"] > 0
    assert report["failures"] > 0  # Watches at the killed relay.
    assert report["datagrams"]["computed_per_s"] > 0
    assert report["datagrams"]["sent_per_s"] > 0


def test_a_run_with_a_dropped_entry_ends_with_exit_code_one() -> None:
    run = call("--scenario", "zone-loss", *SMALL, "--zones", "2", "--plant", "drop-entry", "--json")
    report = json.loads(run.stdout.splitlines()[-1])
    assert run.returncode == 1
    assert report["wrong_entries"] == 1
    assert report["planners"] == 19
    assert "is missing" in report["wrong"][0]
    assert report["changes"] == 200
    assert report["in_force_ms"]["missing"] == 0
    assert report["in_force_ms"]["count"] == 4_000


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (("--scenario", "tea"), "tea"),
        (("--scenario", "churn", "--servers", "0"), "--servers"),
        (("--scenario", "churn", "--planners", "0"), "no planner"),
        (("--scenario", "churn", "--relays", "1"), "two relays"),
        (("--scenario", "churn", "--servers", "3", "--zones", "4"), "--zones 4"),
        (("--scenario", "churn", "--duration", "0"), "--duration"),
        (("--scenario", "churn", "--planners", "0", "--real-planners", "1", "--plant", "drop-entry"), "--plant"),
        (("--scenario", "churn", "--servers", "48000", "--planners", "15000"), "MB of memory; the maximum is"),
        (("--scenario", "churn", "--planners", "65536", "--real-planners", "1"), "65537 planners"),
        (("--scenario", "churn", "--whole-list-planners", "1"), "without --relays"),
        (("--scenario", "churn", "--fault", "kill-relay"), "give --relays"),
        ((), "--scenario"),
    ],
)
def test_invalid_arguments_end_with_exit_code_two_and_an_error_message(arguments: tuple[str, ...], reason: str) -> None:
    run = call(*arguments)
    assert run.returncode == 2
    assert run.stdout == ""
    assert reason in run.stderr.splitlines()[-1]
    assert "Traceback" not in run.stderr


def children_of(parent: int) -> set[int]:
    """Return the ids of the child processes of a process."""
    children = set()
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == parent:
            children.add(int(path.parent.name))
    return children


def is_running(process: int) -> bool:
    """Return whether a process exists and is not a zombie."""
    try:
        return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


class StartedRun(NamedTuple):
    """A run, its child processes, and the monotonic time in s by which all of them have to have ended."""

    process: subprocess.Popen[str]
    children: set[int]
    deadline: float


def start(arguments: tuple[str, ...], processes: int) -> StartedRun:
    """Start a run and wait until it has `processes` child processes."""
    run = subprocess.Popen(
        [sys.executable, "-m", "stackwheel", "scale", "run", *arguments, "--json"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    deadline = time.monotonic() + 30
    while len(children := children_of(run.pid)) < processes:
        assert time.monotonic() < deadline
        assert run.poll() is None
        time.sleep(0.05)
    return StartedRun(run, children, deadline)


def test_a_run_ends_with_exit_code_two_and_an_error_message_if_a_process_is_killed() -> None:
    run = start(("--scenario", "churn", "--servers", "200", "--planners", "5", "--duration", "60"), 2)
    os.kill(max(run.children), signal.SIGKILL)
    stdout, stderr = run.process.communicate(timeout=30)
    assert run.process.returncode == 2
    assert stdout == ""
    assert "Traceback" not in stderr
    assert stderr.splitlines()[-1].startswith("stackwheel: ")
    assert not any(map(is_running, run.children))


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_leaves_no_running_process(signal_number: signal.Signals) -> None:
    size = ("--servers", "200", "--planners", "5", "--real-planners", "1")
    run = start(("--scenario", "churn", *size, "--duration", "60"), 3)
    os.kill(run.process.pid, signal_number)
    stdout, stderr = run.process.communicate(timeout=30)
    while any(map(is_running, run.children)):
        assert time.monotonic() < run.deadline, "a process of the run has not ended"
        time.sleep(0.05)
    assert stdout == ""
    assert "Traceback" not in stderr
    assert run.process.returncode == (-signal_number if signal_number is signal.SIGKILL else 130)
