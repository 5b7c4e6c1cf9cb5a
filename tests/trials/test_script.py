"""Scripts: drawn the same everywhere, written and read back, refused with the place where they can't be used."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from stackwheel.trials import script as s
from stackwheel.trials.draw import draw

SHAPE = s.Shape(planners=2, zones=2, proxies=4, servers=4)


def test_names_stand_for_machines() -> None:
    assert s.members(("zone-1",), SHAPE, "server") == [1, 3]
    assert s.members(("planners",), SHAPE, "planner") == [0, 1]
    assert s.members(("proxy-2", "proxy-9", "server-1"), SHAPE, "proxy") == [2]
    assert s.machines(("zone-0", "discovery"), SHAPE) == [
        "planner-0",
        "proxy-0",
        "proxy-2",
        "server-0",
        "server-2",
        "collector-0",
        "discovery",
    ]


@pytest.mark.parametrize("seed", range(0, 400, 7))
def test_a_drawn_script_can_be_used_and_read_back(seed: int) -> None:
    found = draw(seed)
    assert s.check(found) == found == draw(seed)
    assert s.decode(s.encode(found)) == found
    assert len(s.words(found)) == 1 + len(found.faults)


def test_every_kind_of_fault_is_drawn() -> None:
    scripts = [
        draw(seed, files, relays)
        for seed in range(400)
        for files, relays in ((False, False), (True, False), (False, True))
    ]
    kinds = {type(fault) for script in scripts for fault in script.faults}
    assert kinds == set(s.Fault.__args__)  # type: ignore[attr-defined]


def test_the_median_trial_is_as_large_as_promised() -> None:
    shapes = sorted((draw(seed).shape for seed in range(501)), key=lambda shape: shape.proxies)
    middle = len(shapes) // 2
    assert shapes[middle].proxies >= 8
    assert sorted(shape.servers for shape in shapes)[middle] >= 8
    assert sorted(shape.planners for shape in shapes)[middle] >= 2
    assert min(draw(seed).span for seed in range(501)) >= 20.0


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ('{"faults": [{"kind": "kill", "planners": ["planner-0"]}]}', "missing required field `at` - at `$.faults[0]`"),
        ('{"faults": [{"kind": "melt", "at": 1}]}', "Invalid value 'melt' - at `$.faults[0].kind`"),
        ('{"span": -1}', "at `$.span`"),
        ('{"sapn": 3}', "unknown field `sapn`"),
        ('{"span": "x"}', "at `$.span`"),
        ("{", "truncated"),
        ('{"shape": {"planners": 99}}', "at `$.shape.planners`"),
        (
            '{"faults": [{"kind": "kill", "at": 1, "planners": ["planner-7"]}]}',
            "faults[0].planners: the shape has no 'planner-7'",
        ),
        (
            '{"span": 5, "faults": [{"kind": "reset", "at": 6, "proxies": ["proxies"]}]}',
            "faults[0].at: 6 s is beyond the end at 5 s",
        ),
        ('{"faults": [{"kind": "lose_zone", "at": 1, "zone": 5}]}', "faults[0].zone: the shape has no zone 5"),
        ('{"shape": {"classes": [{"name": "a", "share": 0.5, "work": 10}]}}', "shares do not add up to 1"),
    ],
)
def test_bad_input_is_one_line_that_names_the_place(tmp_path: Path, text: str, told: str) -> None:
    path = tmp_path / "script.json"
    path.write_text(text)
    with pytest.raises(s.ScriptError) as caught:
        s.load(path)
    assert told in str(caught.value) and str(path) in str(caught.value) and "\n" not in str(caught.value)


def test_a_missing_file_is_one_line() -> None:
    with pytest.raises(s.ScriptError, match=r"nowhere\.json: No such file"):
        s.load(Path("nowhere.json"))


def test_a_script_in_words_names_all_it_does() -> None:
    told = s.words(s.Script(5, 20.0, SHAPE, (s.Cut(3.0, ("zone-0",), ("planners",), 4.0, True), s.Renumber(9.0))))
    assert told[1] == "  at   3.00 s  cut: source zone-0; target planners; span 4; one way True"
    assert told[2] == "  at   9.00 s  renumber"


def test_fields_keep_their_types() -> None:
    with pytest.raises(msgspec.ValidationError):
        s.decode(b'{"seed": 1.5}')
