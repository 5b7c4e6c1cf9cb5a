"""A seed is a run: the same in every process; broken ones are shrunk to a script that a file holds."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from stackwheel.rules.violations import Rule
from stackwheel.trials import script as s
from stackwheel.trials.defects.catalogue import find_defect
from stackwheel.trials.defects.planting import planted
from stackwheel.trials.draw import draw
from stackwheel.trials.runner import Summary, run_seeds
from stackwheel.trials.shrink import Shrinker, fitting, shrink
from stackwheel.trials.world import run_script

ROOT = Path(__file__).parents[2]
SCRIPTS = sorted((Path(__file__).parent / "scripts").glob("*.json"))
CODE = (
    "from stackwheel.trials.draw import draw; from stackwheel.trials.world import run_script; import sys; "
    "print(*[run_script(draw(int(n))).digest for n in sys.argv[1:]])"
)


def test_a_seed_replays_byte_for_byte_in_another_process_with_other_hashes() -> None:
    seeds = ["3", "11", "19"]
    found = {
        subprocess.run(
            [sys.executable, "-c", CODE, *order],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": salt},
        ).stdout.split()[order.index("3")]
        for salt, order in (("0", seeds), ("4711", seeds[::-1]))
    }
    assert found == {run_script(draw(3)).digest}
    assert run_script(draw(4)).digest not in found


def test_results_are_the_same_over_any_number_of_processes() -> None:
    one, three = Summary(), Summary()
    for result in run_seeds(range(20, 32), 1):
        one.add(result)
    for result in run_seeds(range(20, 32), 3):
        three.add(result)
    assert one.hasher.hexdigest() == three.hasher.hexdigest() and one.seeds == three.seeds == 12


@pytest.mark.parametrize("path", SCRIPTS, ids=lambda path: path.stem)
def test_what_was_broken_once_is_kept_now(path: Path) -> None:
    """Scripts shrunk from seeds that broke a rule, before the cause was taken out."""
    assert [str(verdict) for verdict in run_script(s.load(path)).verdicts] == []


def test_shrinking_leaves_only_what_the_break_needs() -> None:
    needed = s.Drain(8.0, ("server-0",), 15.0)
    script = s.Script(
        3,
        30.0,
        s.Shape(planners=2, proxies=8, servers=8, zones=1),
        (s.Renumber(4.0), s.Reset(5.0, ("proxy-1", "proxy-2")), needed, s.Demand(9.0, ("proxy-3",), 4.0, 2.0)),
    )
    defect = find_defect("drain-ignored")
    assert defect is not None
    with planted(defect):
        found = shrink(script, Rule.DRAINS)
    shape = found.script.shape
    assert found.script.faults == (needed,) and (shape.planners, shape.proxies, shape.servers) == (2, 1, 2)
    assert found.script.span < 15.0 and found.runs < 60
    with planted(defect):
        again = run_script(s.decode(s.encode(found.script)))
        assert shrink(found.script, Rule.DRAINS).script.shape == shape  # nothing smaller breaks it
    assert any(verdict.rule is Rule.DRAINS for verdict in again.verdicts)


def test_shrinking_stops_at_its_bound_and_tells_what_breaks_nothing() -> None:
    asked: list[s.Script] = []

    def always(script: s.Script, rule: Rule) -> float:
        asked.append(script)
        return 5.0

    assert Shrinker(draw(1), Rule.DRAINS, 7, always).run().runs == len(asked) == 7
    with pytest.raises(s.ScriptError, match="does not break the rule"):
        Shrinker(draw(1), Rule.DRAINS, 7, lambda script, rule: None).run()


def test_shrinking_takes_a_flag_for_no_list_of_names() -> None:
    """`proxies` of a lost zone says whether they are lost too; of a reset, which they are."""
    script = s.Script(1, 20.0, s.Shape(), (s.LoseZone(5.0, 0, 4.0, True), s.Reset(6.0, ("proxy-0", "proxy-1"))))
    needed = script.faults[0]

    def breaks(tried: s.Script, rule: Rule) -> float | None:
        return 8.0 if needed in tried.faults and len(tried.faults) == 2 else None

    found = Shrinker(script, Rule.DRAINS, 100, breaks).run().script
    assert found.faults == (needed, s.Reset(6.0, ("proxy-1",)))


def test_faults_lose_whom_a_smaller_shape_does_not_have() -> None:
    script = s.Script(
        1, 20.0, s.Shape(proxies=2), (s.Reset(3.0, ("proxy-1", "proxy-5")), s.Reset(4.0, ("proxy-6",)), s.Renumber(5.0))
    )
    assert list(fitting(script)) == [s.Reset(3.0, ("proxy-1",)), s.Renumber(5.0)]


def test_a_trace_changes_nothing() -> None:
    told: list[str] = []
    assert run_script(draw(6), trace=told.append).digest == run_script(draw(6)).digest
    assert any("fault:" in line for line in told) and any("planner-0" in line for line in told)
