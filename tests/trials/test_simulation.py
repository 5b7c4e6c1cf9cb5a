"""Reproducibility of trials, and stored scripts that must not violate a rule."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from stackwheel.trials.draw import draw
from stackwheel.trials.script import load
from stackwheel.trials.simulation import run_script

ROOT = Path(__file__).parents[2]
SCRIPTS = sorted((Path(__file__).parent / "scripts").glob("*.json"))
CODE = (
    "from stackwheel.trials.draw import draw; from stackwheel.trials.simulation import run_script; import sys; "
    "print(*[run_script(draw(int(n))).digest for n in sys.argv[1:]])"
)


def test_digest_of_a_seed_is_independent_of_process_and_hash_seed() -> None:
    seeds = ["3", "11", "19"]
    digests = {
        subprocess.run(
            [sys.executable, "-c", CODE, *order],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout.split()[order.index("3")]
        for hash_seed, order in (("0", seeds), ("4711", seeds[::-1]))
    }
    assert digests == {run_script(draw(3)).digest}
    assert run_script(draw(4)).digest not in digests


@pytest.mark.parametrize("path", SCRIPTS, ids=lambda path: path.stem)
def test_stored_script_violates_no_rule(path: Path) -> None:
    """Guards against the defects that were found with these scripts."""
    assert [str(verdict) for verdict in run_script(load(path)).verdicts] == []


def test_trace_does_not_change_the_digest() -> None:
    lines: list[str] = []
    assert run_script(draw(6), trace=lines.append).digest == run_script(draw(6)).digest
    assert any("fault:" in line for line in lines)
    assert any("planner-0" in line for line in lines)
