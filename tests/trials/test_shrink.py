"""Shrinking of scripts that break a rule."""

from __future__ import annotations

import pytest

from stackwheel.rules.violations import Rule
from stackwheel.trials import faults
from stackwheel.trials.defects.catalogue import find_defect
from stackwheel.trials.defects.planting import planted
from stackwheel.trials.draw import draw
from stackwheel.trials.script import Script, ScriptError, decode, encode
from stackwheel.trials.shape import Shape
from stackwheel.trials.shrink import Shrinker, fitting_faults, shrink
from stackwheel.trials.simulation import run_script


def test_shrinking_removes_faults_and_machines_that_the_violation_does_not_need() -> None:
    needed = faults.Drain(8.0, ("server-0",), 15.0)
    script = Script(
        3,
        30.0,
        Shape(planners=2, proxies=8, servers=8, zones=1),
        (
            faults.RestartGenerations(4.0),
            faults.Reset(5.0, ("proxy-1", "proxy-2")),
            needed,
            faults.Demand(9.0, ("proxy-3",), 4.0, 2.0),
        ),
    )
    defect = find_defect("drain-ignored")
    assert defect is not None
    with planted(defect):
        shrunk = shrink(script, Rule.DRAINS)
    shape = shrunk.script.shape
    assert shrunk.script.faults == (needed,)
    assert (shape.planners, shape.proxies, shape.servers) == (1, 1, 2)
    assert shrunk.script.span < 15.0
    assert shrunk.runs < 60
    with planted(defect):
        again = run_script(decode(encode(shrunk.script)))
        assert shrink(shrunk.script, Rule.DRAINS).script.shape == shape
    assert any(verdict.rule is Rule.DRAINS for verdict in again.verdicts)


def test_shrinking_stops_at_the_run_limit_and_rejects_a_script_that_breaks_no_rule() -> None:
    candidates: list[Script] = []

    def always_breaks(script: Script, _rule: Rule) -> float:
        candidates.append(script)
        return 5.0

    assert Shrinker(draw(1), Rule.DRAINS, 7, always_breaks).run().runs == len(candidates) == 7
    with pytest.raises(ScriptError, match="does not break the rule"):
        Shrinker(draw(1), Rule.DRAINS, 7, lambda _script, _rule: None).run()


def test_shrinking_does_not_treat_a_boolean_field_as_a_list_of_names() -> None:
    """`proxies` is a boolean in `LoseZone` and a list of names in `Reset`."""
    lose_zone = faults.LoseZone(5.0, 0, 4.0, True)
    script = Script(1, 20.0, Shape(), (lose_zone, faults.Reset(6.0, ("proxy-0", "proxy-1"))))

    def find_violation_time(candidate: Script, _rule: Rule) -> float | None:
        return 8.0 if lose_zone in candidate.faults and len(candidate.faults) == 2 else None

    shrunk = Shrinker(script, Rule.DRAINS, 100, find_violation_time).run().script
    assert shrunk.faults == (lose_zone, faults.Reset(6.0, ("proxy-1",)))


def test_names_that_match_no_machine_of_a_smaller_shape_are_removed_from_faults() -> None:
    script = Script(
        1,
        20.0,
        Shape(proxies=2),
        (
            faults.Reset(3.0, ("proxy-1", "proxy-5")),
            faults.Reset(4.0, ("proxy-6",)),
            faults.RestartGenerations(5.0),
        ),
    )
    assert list(fitting_faults(script)) == [faults.Reset(3.0, ("proxy-1",)), faults.RestartGenerations(5.0)]
