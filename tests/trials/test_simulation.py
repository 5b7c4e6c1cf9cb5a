"""A seed is a run: the same in every process; scripts that once broke a rule keep it now."""

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


def test_seed_replays_byte_for_byte_in_another_process_with_other_hashes() -> None:
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
def test_stored_script_breaks_no_rule(path: Path) -> None:
    """Scripts shrunk from seeds that broke a rule, before the cause was removed."""
    assert [str(verdict) for verdict in run_script(load(path)).verdicts] == []


def test_trace_changes_nothing() -> None:
    lines: list[str] = []
    assert run_script(draw(6), trace=lines.append).digest == run_script(draw(6)).digest
    assert any("fault:" in line for line in lines)
    assert any("planner-0" in line for line in lines)
