"""`stackwheel cells`, as its users call it."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import generated_fleet
import pytest

from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan_file import load_plan
from stackwheel.cli import root

ROOT = Path(__file__).parents[2]
Call = Callable[..., tuple[int, str, str]]


@pytest.fixture
def call(capsys: pytest.CaptureFixture[str]) -> Call:
    def run(*words: object) -> tuple[int, str, str]:
        code = root.run(["cells", *map(str, words)])
        out, err = capsys.readouterr()
        return code, out, err

    return run


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "list.json").write_bytes(generated_fleet.encode_endpoint_list(generated_fleet.servers(1, 300, 12)))
    (tmp_path / "regions.json").write_text(json.dumps(generated_fleet.regions()))
    return tmp_path


def plan_words(folder: Path, *more: object, relays: int = 3, planners: int = 60) -> list[object]:
    words: list[object] = ["plan", "--servers-file", folder / "list.json", "--planners", planners]
    words += ["--regions", folder / "regions.json", "--out", folder / "plan.json"]
    for number in range(relays):
        words += ["--relay", f"relay-{number}=127.0.1.{number + 1}"]
    return [*words, *more]


def test_a_plan_is_made_checked_and_shown(folder: Path, call: Call) -> None:
    code, out, err = call(*plan_words(folder))
    assert (code, err) == (0, "") and "servers by cell" in out and "cells by relay (3 relays)" in out
    plan = load_plan(folder / "plan.json")
    assert len(plan.relays) == 3 and {cell.service for cell in plan.cells} == {f"svc-{n:04}" for n in range(12)}
    path = folder / "plan.json"
    assert call("check", path) == (0, f"{path}: {len(plan.cells)} cells, no faults\n", "")
    code, out, err = call("check", path, "--list", folder / "list.json")
    assert (code, out, err) == (0, f"{path}: {len(plan.cells)} cells, no faults for 300 servers\n", "")
    code, out, _ = call("show", path)
    assert code == 0 and all(cell.name in out for cell in plan.cells)


def test_one_cell_is_shown_with_the_discovery_of_its_planners(folder: Path, call: Call) -> None:
    call(*plan_words(folder))
    cell = load_plan(folder / "plan.json").cells[-1]
    code, out, _ = call("show", folder / "plan.json", "--cell", cell.name)
    assert code == 0 and "discovery of its planners: 127.0.1." in out and out.count(f":{cell.port}") == 2
    code, out, _ = call("show", folder / "plan.json", "--cell", cell.name, "--json")
    (found,) = json.loads(out)
    assert code == 0 and found["name"] == cell.name and len(found["relays"]) == 2
    assert len(found["discovery"].split(",")) == 2


def test_a_plan_from_a_former_one_tells_what_moves(folder: Path, call: Call) -> None:
    call(*plan_words(folder))
    first = (folder / "plan.json").read_bytes()
    code, out, _ = call(*plan_words(folder, "--former", folder / "plan.json", "--json"))
    told = json.loads(out)["movement"]
    assert code == 0 and (folder / "plan.json").read_bytes() == first
    assert (told["servers_moved"], told["servers"], told["replicas_moved"]) == (0, 300, 0)
    code, out, _ = call(*plan_words(folder, "--former", folder / "plan.json", relays=4))
    assert code == 0 and "servers moved: 0 of 300" in out and "replicas moved: " in out


def test_limits_come_from_the_former_plan_or_the_call(folder: Path, call: Call) -> None:
    call(*plan_words(folder, "--most-servers", 40, "--most-planners", 8))
    call(*plan_words(folder, "--former", folder / "plan.json", "--most-planners", 9))
    limits = load_plan(folder / "plan.json").limits
    assert (limits.servers, limits.planners) == (40, 9)


def test_faults_against_a_list_are_told_with_their_places(folder: Path, call: Call) -> None:
    call(*plan_words(folder))
    path, other = folder / "plan.json", folder / "other.json"
    other.write_bytes(
        generated_fleet.encode_endpoint_list([ListedServer("svc-0000-1", "zone-00"), ListedServer("new-1", "zone-99")])
    )
    code, out, err = call("check", path, "--list", other)
    lines = out.splitlines()
    assert (code, err) == (1, "") and lines[0] == f"{other}: instances[1]: 'new-1' is in unknown zone 'zone-99'"
    assert lines[-1].endswith("faults for 2 servers")
    assert any(line.startswith(f"{path}: cells[") and line.endswith("has no server") for line in lines)
    code, out, _ = call("check", path, "--list", other, "--json")
    assert code == 1 and json.loads(out)["findings"] == lines[:-1]


def entry(**more: object) -> dict[str, object]:
    return {"instanceId": "a-1", "hostPort": "h:1", "zone": "zone-00", "lifecycle": "in_service", **more}


@pytest.mark.parametrize(
    ("data", "told"),
    [
        (b"", "no list of servers: Expecting value"),
        (generated_fleet.encode_endpoint_list(generated_fleet.servers(1, 20, 2))[:-30], "no list of servers: "),
        (b"[]", "no list of servers: no list of instances"),
        (b"\xff", "no list of servers: "),
        (b'{"instances":[]}', "no list of servers: no 'generation'"),
        (generated_fleet.encode_endpoint_list([]), "no server is listed"),
        (json.dumps({"generation": 4, "reset": False, "instances": []}).encode(), "reset: false"),
        (json.dumps({"generation": 4, "reset": True, "instances": [entry(), {}]}).encode(), "entry 1 ("),
        (json.dumps({"generation": 4, "reset": True, "instances": [entry(weight=float("nan"))]}).encode(), "entry 0 ("),
        (json.dumps({"generation": 4, "reset": True, "instances": [entry(zone=3)]}).encode(), "entry 0 ("),
        (json.dumps({"generation": 4, "reset": True, "instances": [entry(zone="z")]}).encode(), "unknown zone 'z'"),
        (json.dumps({"generation": 4, "reset": True, "instances": [entry(), entry()]}).encode(), "also instances[0]"),
    ],
)
def test_a_list_that_cannot_be_read_is_one_line_and_two(data: bytes, told: str, folder: Path, call: Call) -> None:
    (folder / "list.json").write_bytes(data)
    (folder / "plan.json").write_bytes(b"former")
    code, out, err = call(*plan_words(folder))
    assert code == 2 and out == "" and err.count("\n") == 1
    assert err.startswith(f"stackwheel: {folder}/list.json: ") and told in err
    assert (folder / "plan.json").read_bytes() == b"former"


@pytest.mark.parametrize(
    ("change", "told"),
    [
        ({"relays": 1}, "stackwheel: plan: relays: 1 given, at least 2 needed"),
        ({"relays": 0}, "Missing option '--relay'"),
        ({"more": ("--relay", "relay-0=h")}, "relays[3].name: 'relay-0' is also that of [0]"),
        ({"more": ("--relay", "r9=127.0.1.1")}, "relays[3].host: '127.0.1.1' is also that of [0]"),
        ({"more": ("--relay", "r9=a b")}, "relays[3].host: Expected `str` matching regex"),
        ({"more": ("--relay", "r9")}, "'r9' is not name=host"),
        ({"more": ("--most-servers", 0)}, "--most-servers"),
        ({"more": ("--first-port", 70_000)}, "--first-port"),
        ({"more": ("--first-port", 65_535)}, "no port is left from 65535 to 65535"),
        ({"more": ("--former", "none.json")}, "none.json: No such file"),
        ({"more": ("--regions", "none.json")}, "none.json: No such file"),
        ({"more": ("--servers-file", "none.json")}, "none.json: No such file"),
        ({"more": ("--out", "/none/plan.json")}, "/none/plan.json: No such file"),
        ({"planners": 11}, "planners: 11 for 12 services"),
    ],
)
def test_a_call_that_cannot_be_met_is_one_line_and_two(
    change: dict[str, object], told: str, folder: Path, call: Call
) -> None:
    (folder / "plan.json").write_bytes(b"former")
    more = change.pop("more", ())
    assert isinstance(more, tuple)
    code, out, err = call(*plan_words(folder, *more, **change))  # type: ignore[arg-type]
    assert code == 2 and out == "" and err.count("\n") == 1 and told in err
    assert (folder / "plan.json").read_bytes() == b"former"


def test_a_plan_that_cannot_hold_is_one_line_and_two(folder: Path, call: Call) -> None:
    call(*plan_words(folder))
    path = folder / "plan.json"
    path.write_bytes(path.read_bytes().replace(b'"version": 1', b'"version": 3'))
    line = f"stackwheel: {path}: version: 3 is unknown, 1 is known\n"
    assert call("check", path) == call("show", path) == (2, "", line)
    path.write_bytes(path.read_bytes()[:100])
    assert call("check", path)[2].startswith(f"stackwheel: {path}: no JSON: Input data was truncated")


def test_a_cell_that_is_not_there_is_told(folder: Path, call: Call) -> None:
    call(*plan_words(folder))
    path = folder / "plan.json"
    assert call("show", path, "--cell", "x") == (2, "", f"stackwheel: {path}: no cell is called 'x'\n")


def test_neither_the_planner_nor_other_groups_load_cells() -> None:
    """The plain planner has neither library; the command line loads a group once it is called."""
    probe = (
        "import sys, stackwheel.__main__, stackwheel.cli.root\n"
        "print([name for name in sys.modules if name.partition('.')[0] in ('xxhash', 'msgspec') or 'cells' in name])"
    )
    done = subprocess.run([sys.executable, "-c", probe], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"
