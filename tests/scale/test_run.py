"""Small runs as their users call them: right ones pass, a lost entry fails, nothing is left behind."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SMALL = ("--servers", "200", "--planners", "20", "--duration", "2.5", "--seed", "4", "--event-rate", "8")


def call(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "stackwheel", "scale", "run", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def test_a_small_run_ends_with_every_planner_right() -> None:
    done = call("--scenario", "churn", *SMALL, "--real-planners", "1", "--json")
    (line,) = done.stdout.splitlines()
    found = json.loads(line)
    assert done.returncode == 0, done.stderr
    assert found["wrong_entries"] == 0
    assert found["planners"] == found["planners_expected"] == 21
    assert found["entries_compared"] == 21 * 200
    assert found["changes"] > 0
    assert found["failures"] == 0
    force = found["in_force_ms"]
    assert force["missing"] == 0
    assert force["count"] == 20 * found["changes"]
    assert 0 < force["p50"] <= force["p99"] <= force["max"] < 6_000
    for role in ("registry", "real_planner", "hollow_planner"):
        figures = found[role]
        assert figures["core"] > 0 and figures["rss_mb"] > 0, role
    assert found["registry"]["bytes_out_per_s"] > 0
    assert found["hollow_planner"]["bytes_in_per_s"] > 0
    assert found["real_planner"]["bytes_in_per_s"] > 0
    assert found["relay"]["core"] is None
    assert found["machine"]["cores"] >= 1
    assert found["bounds"]["processes_seen"] == 4


def test_a_restart_ends_right_and_shows_a_table() -> None:
    done = call("--scenario", "restart", *SMALL, "--zones", "2", "--real-planners", "1")
    found = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 0
    assert len(done.stdout.splitlines()) > 5
    assert "21 of 21 planners right" in done.stdout
    assert found["wrong_entries"] == 0
    assert found["in_force_ms"]["missing"] == 0
    assert found["in_force_ms"]["count"] > 20


BEHIND = ("--relays", "2", "--real-planners", "1", "--whole-list-planners", "1", "--fault", "kill-relay")


def test_planners_behind_relays_end_right_with_their_cells_though_one_is_killed() -> None:
    done = call("--scenario", "churn", *SMALL, *BEHIND, "--json")
    found = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 0, done.stderr
    assert found["wrong_entries"] == 0
    assert found["planners"] == 22
    assert found["in_force_ms"]["missing"] == 0
    assert found["cells"]["cells"] > 1
    assert 200 < found["entries_compared"] < 21 * 200
    assert found["relay"]["count"] == 2
    assert found["relay"]["core"] > 0
    assert found["relay"]["bytes_out_per_s"] > 0
    assert found["whole_list_planner"]["bytes_in_per_s"] > found["real_planner"]["bytes_in_per_s"] > 0
    assert found["failures"] > 0  # watches at the relay that was killed
    assert found["datagrams"]["computed_per_s"] > 0
    assert found["datagrams"]["sent_per_s"] > 0


def test_an_entry_that_is_lost_fails_the_run() -> None:
    done = call("--scenario", "zone-loss", *SMALL, "--zones", "2", "--plant", "drop-entry", "--json")
    found = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 1
    assert found["wrong_entries"] == 1
    assert found["planners"] == 19
    assert "is missing" in found["wrong"][0]
    assert found["changes"] == 200
    assert found["in_force_ms"]["missing"] == 0
    assert found["in_force_ms"]["count"] == 4_000


@pytest.mark.parametrize(
    ("words", "why"),
    [
        (("--scenario", "tea"), "tea"),
        (("--scenario", "churn", "--servers", "0"), "--servers"),
        (("--scenario", "churn", "--planners", "0"), "no planner"),
        (("--scenario", "churn", "--relays", "1"), "two relays"),
        (("--scenario", "churn", "--servers", "3", "--zones", "4"), "--zones 4"),
        (("--scenario", "churn", "--duration", "0"), "--duration"),
        (("--scenario", "churn", "--planners", "0", "--real-planners", "1", "--plant", "drop-entry"), "--plant"),
        (("--scenario", "churn", "--servers", "48000", "--planners", "15000"), "MB are the most"),
        (("--scenario", "churn", "--planners", "65536", "--real-planners", "1"), "65537 planners"),
        (("--scenario", "churn", "--whole-list-planners", "1"), "without --relays"),
        (("--scenario", "churn", "--fault", "kill-relay"), "give --relays"),
        ((), "--scenario"),
    ],
)
def test_bad_arguments_are_one_line_and_two(words: tuple[str, ...], why: str) -> None:
    done = call(*words)
    assert done.returncode == 2
    assert done.stdout == ""
    assert why in done.stderr.splitlines()[-1]
    assert "Traceback" not in done.stderr


def children_of(parent: int) -> set[int]:
    """Processes that were started by another, as the kernel tells it."""
    found = set()
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == parent:
            found.add(int(path.parent.name))
    return found


def alive(process: int) -> bool:
    """Whether it is there and no zombie."""
    try:
        return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def started(words: tuple[str, ...], processes: int) -> tuple[subprocess.Popen[str], set[int], float]:
    """A run once it has so many processes, these, and when all has to be over."""
    run = subprocess.Popen(
        [sys.executable, "-m", "stackwheel", "scale", "run", *words, "--json"],
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
    return run, children, deadline


def test_a_process_that_dies_ends_the_run_with_a_line() -> None:
    words = ("--scenario", "churn", "--servers", "200", "--planners", "5", "--duration", "60")
    run, children, _ = started(words, 2)
    os.kill(max(children), signal.SIGKILL)
    out, told = run.communicate(timeout=30)
    assert run.returncode == 2
    assert out == ""
    assert "Traceback" not in told
    assert told.splitlines()[-1].startswith("stackwheel: ")
    assert not any(map(alive, children))


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_leaves_no_process(number: signal.Signals) -> None:
    words = ("--scenario", "churn", "--servers", "200", "--planners", "5", "--real-planners", "1", "--duration", "60")
    run, children, deadline = started(words, 3)
    os.kill(run.pid, number)
    out, told = run.communicate(timeout=30)
    while any(map(alive, children)):
        assert time.monotonic() < deadline, "a process is left"
        time.sleep(0.05)
    assert out == ""
    assert "Traceback" not in told
    assert run.returncode == (-number if number is signal.SIGKILL else 130)
