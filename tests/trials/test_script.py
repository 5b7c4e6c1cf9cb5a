"""Decoding, validation and description of trial scripts."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from stackwheel.trials import faults
from stackwheel.trials.script import Script, ScriptError, check, decode, describe, load
from stackwheel.trials.shape import Shape

SHAPE = Shape(planners=2, zones=2, proxies=4, servers=4)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ('{"faults": [{"kind": "kill", "planners": ["planner-0"]}]}', "missing required field `at` - at `$.faults[0]`"),
        ('{"faults": [{"kind": "melt", "at": 1}]}', "Invalid value 'melt' - at `$.faults[0].kind`"),
        ('{"span": -1}', "at `$.span`"),
        ('{"sapn": 3}', "unknown field `sapn`"),
        ('{"span": "x"}', "at `$.span`"),
        ("{", "truncated"),
        ('{"shape": {"planners": 99}}', "at `$.shape.planners`"),
        ('{"shape": {"cold": -1}}', "at `$.shape.cold`"),
        (
            '{"faults": [{"kind": "kill", "at": 1, "planners": ["planner-7"]}]}',
            "faults[0].planners: the shape has no 'planner-7'",
        ),
        (
            '{"faults": [{"kind": "stall", "at": 1, "span": 1, "who": ["proxy-99"]}]}',
            "faults[0].who: the shape has no 'proxy-99'",
        ),
        (
            '{"span": 5, "faults": [{"kind": "reset", "at": 6, "proxies": ["proxies"]}]}',
            "faults[0].at: 6 s is after the end of the script at 5 s",
        ),
        ('{"faults": [{"kind": "lose_zone", "at": 1, "zone": 5}]}', "faults[0].zone: the shape has no zone 5"),
        ('{"shape": {"classes": [{"name": "a", "share": 0.5, "work": 10}]}}', "shares do not add up to 1"),
    ],
)
def test_invalid_script_raises_one_line_with_path_and_location(tmp_path: Path, text: str, problem: str) -> None:
    path = tmp_path / "script.json"
    path.write_text(text)
    with pytest.raises(ScriptError) as caught:
        load(path)
    assert problem in str(caught.value)
    assert str(path) in str(caught.value)
    assert "\n" not in str(caught.value)


def test_missing_file_raises_one_line_with_its_path() -> None:
    with pytest.raises(ScriptError, match=r"nowhere\.json: No such file"):
        load(Path("nowhere.json"))


def test_description_has_one_line_per_fault_with_all_fields() -> None:
    cut = faults.Cut(3.0, ("zone-0",), ("planners",), 4.0, True)
    lines = describe(Script(5, 20.0, SHAPE, (cut, faults.RestartGenerations(9.0))))
    assert lines[1] == "  at   3.00 s  cut: source zone-0; target planners; span 4; one way True"
    assert lines[2] == "  at   9.00 s  renumber"


def test_decoding_rejects_a_fraction_for_an_integer_field() -> None:
    with pytest.raises(msgspec.ValidationError):
        decode(b'{"seed": 1.5}')


def test_faults_of_relays_require_a_shape_with_these_relays() -> None:
    kill = faults.Kill(1.0, ("relay-1",))
    assert check(Script(1, 5.0, Shape(relays=2), (kill,)))
    with pytest.raises(ScriptError, match="has no 'relay-1'"):
        check(Script(1, 5.0, Shape(relays=1), (kill,)))
    with pytest.raises(ScriptError, match="unreadable entries require a shape with relays"):
        check(Script(1, 5.0, Shape(), (faults.Unreadable(1.0, ("server-0",), 2.0),)))
