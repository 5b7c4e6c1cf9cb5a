"""Tests of `stackwheel cells`."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import generated_fleet
import pytest
from command_runner import ROOT, CommandResult, RunCommand

from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan_file import load_plan


@pytest.fixture
def call(run_command: RunCommand) -> RunCommand:
    def call_cells(*arguments: object) -> CommandResult:
        return run_command("cells", *arguments)

    return call_cells


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    servers = generated_fleet.servers(1, 300, 12)
    (tmp_path / "list.json").write_bytes(generated_fleet.encode_endpoint_list(servers))
    (tmp_path / "regions.json").write_text(json.dumps(generated_fleet.regions()))
    return tmp_path


def plan_arguments(folder: Path, *more: object, relays: int = 3, planners: int = 60) -> list[object]:
    """Return the arguments of `cells plan` for the list in the folder, with `more` at the end."""
    arguments: list[object] = ["plan", "--servers-file", folder / "list.json", "--planners", planners]
    arguments += ["--regions", folder / "regions.json", "--out", folder / "plan.json"]
    for number in range(relays):
        arguments += ["--relay", f"relay-{number}=127.0.1.{number + 1}"]
    return [*arguments, *more]


def test_a_plan_is_created_checked_and_shown(folder: Path, call: RunCommand) -> None:
    exit_code, out, err = call(*plan_arguments(folder))
    assert (exit_code, err) == (0, "")
    assert "servers per cell" in out
    assert "cells per relay (3 relays)" in out
    path = folder / "plan.json"
    plan = load_plan(path)
    assert len(plan.relays) == 3
    assert {cell.service for cell in plan.cells} == {f"svc-{number:04}" for number in range(12)}
    assert call("check", path) == (0, f"{path}: {len(plan.cells)} cells, no errors\n", "")
    result = call("check", path, "--list", folder / "list.json")
    assert result == (0, f"{path}: {len(plan.cells)} cells, no errors for a list of 300 servers\n", "")
    exit_code, out, _ = call("show", path)
    assert exit_code == 0
    assert all(cell.name in out for cell in plan.cells)


def test_one_cell_is_shown_with_the_discovery_addresses_of_its_planners(folder: Path, call: RunCommand) -> None:
    call(*plan_arguments(folder))
    cell = load_plan(folder / "plan.json").cells[-1]
    exit_code, out, _ = call("show", folder / "plan.json", "--cell", cell.name)
    assert exit_code == 0
    assert "discovery addresses of its planners: 127.0.1." in out
    assert out.count(f":{cell.port}") == 2
    exit_code, out, _ = call("show", folder / "plan.json", "--cell", cell.name, "--json")
    (document,) = json.loads(out)
    assert exit_code == 0
    assert document["name"] == cell.name
    assert len(document["relays"]) == 2
    assert len(document["discovery"].split(",")) == 2


def test_a_plan_based_on_a_former_one_shows_what_moves(folder: Path, call: RunCommand) -> None:
    call(*plan_arguments(folder))
    first = (folder / "plan.json").read_bytes()
    exit_code, out, _ = call(*plan_arguments(folder, "--former", folder / "plan.json", "--json"))
    movement = json.loads(out)["movement"]
    assert exit_code == 0
    assert (folder / "plan.json").read_bytes() == first
    assert (movement["servers_moved"], movement["servers"], movement["replicas_moved"]) == (0, 300, 0)
    exit_code, out, _ = call(*plan_arguments(folder, "--former", folder / "plan.json", relays=4))
    assert exit_code == 0
    assert "servers moved: 0 of 300" in out
    assert "replicas moved: " in out


def test_limits_are_taken_from_the_options_and_the_former_plan(folder: Path, call: RunCommand) -> None:
    call(*plan_arguments(folder, "--most-servers", 40, "--most-planners", 8))
    call(*plan_arguments(folder, "--former", folder / "plan.json", "--most-planners", 9))
    limits = load_plan(folder / "plan.json").limits
    assert (limits.servers, limits.planners) == (40, 9)


def test_differences_from_an_endpoint_list_are_shown_with_their_locations(folder: Path, call: RunCommand) -> None:
    call(*plan_arguments(folder))
    path = folder / "plan.json"
    other = folder / "other.json"
    servers = [ListedServer("svc-0000-1", "zone-00"), ListedServer("new-1", "zone-99")]
    other.write_bytes(generated_fleet.encode_endpoint_list(servers))
    exit_code, out, err = call("check", path, "--list", other)
    lines = out.splitlines()
    assert (exit_code, err) == (1, "")
    assert lines[0] == f"{other}: instances[1]: server 'new-1' is in unknown zone 'zone-99'"
    assert lines[-1].endswith("errors for a list of 2 servers")
    assert any(line.startswith(f"{path}: cells[") and line.endswith("has no server") for line in lines)
    exit_code, out, _ = call("check", path, "--list", other, "--json")
    assert exit_code == 1
    assert json.loads(out)["findings"] == lines[:-1]


def entry(**fields: object) -> dict[str, object]:
    """Return an entry of an endpoint list as the discovery service returns it."""
    return {"instanceId": "a-1", "hostPort": "h:1", "zone": "zone-00", "lifecycle": "in_service", **fields}


def list_document(*entries: object, reset: bool = True) -> bytes:
    return json.dumps({"generation": 4, "reset": reset, "instances": entries}).encode()


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"", "invalid endpoint list: Expecting value"),
        (generated_fleet.encode_endpoint_list(generated_fleet.servers(1, 20, 2))[:-30], "invalid endpoint list: "),
        (b"[]", "invalid endpoint list: expected an object, found list"),
        (b"\xff", "invalid endpoint list: "),
        (b'{"instances":[]}', "invalid endpoint list: generation: missing"),
        (generated_fleet.encode_endpoint_list([]), "the list contains no server"),
        (list_document(reset=False), "reset: false"),
        (list_document(entry(), {}), "entry 1 ("),
        (list_document(entry(weight=float("nan"))), "entry 0 ("),
        (list_document(entry(zone=3)), "entry 0 ("),
        (list_document(entry(zone="z")), "unknown zone 'z'"),
        (list_document(entry(), entry()), "duplicate server 'a-1', first listed at instances[0]"),
    ],
)
def test_an_invalid_endpoint_list_results_in_one_line_and_exit_code_2(
    data: bytes, message: str, folder: Path, call: RunCommand
) -> None:
    (folder / "list.json").write_bytes(data)
    (folder / "plan.json").write_bytes(b"former")
    exit_code, out, err = call(*plan_arguments(folder))
    assert (exit_code, out) == (2, "")
    assert err.count("\n") == 1
    assert err.startswith(f"stackwheel: {folder}/list.json: ")
    assert message in err
    assert (folder / "plan.json").read_bytes() == b"former"


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"relays": 1}, "stackwheel: plan: relays: 1 relays, expected at least 2"),
        ({"relays": 0}, "Missing option '--relay'"),
        ({"more": ("--relay", "relay-0=h")}, "relays[3].name: duplicate value 'relay-0', first used at index 0"),
        ({"more": ("--relay", "r9=127.0.1.1")}, "relays[3].host: duplicate value '127.0.1.1', first used at index 0"),
        ({"more": ("--relay", "r9=a b")}, "relays[3].host: Expected `str` matching regex"),
        ({"more": ("--relay", "r9")}, "'r9' does not have the form name=host"),
        ({"more": ("--most-servers", 0)}, "--most-servers"),
        ({"more": ("--first-port", 70_000)}, "--first-port"),
        ({"more": ("--first-port", 65_535)}, "no free port from 65535 to 65535"),
        ({"more": ("--former", "none.json")}, "none.json: No such file"),
        ({"more": ("--regions", "none.json")}, "none.json: No such file"),
        ({"more": ("--servers-file", "none.json")}, "none.json: No such file"),
        ({"more": ("--out", "/none/plan.json")}, "/none/plan.json: No such file"),
        ({"planners": 11}, "planners: 11 for 12 services"),
    ],
)
def test_invalid_options_result_in_one_line_and_exit_code_2(
    change: dict[str, object], message: str, folder: Path, call: RunCommand
) -> None:
    (folder / "plan.json").write_bytes(b"former")
    more = change.pop("more", ())
    assert isinstance(more, tuple)
    exit_code, out, err = call(*plan_arguments(folder, *more, **change))  # type: ignore[arg-type]
    assert (exit_code, out) == (2, "")
    assert err.count("\n") == 1
    assert message in err
    assert (folder / "plan.json").read_bytes() == b"former"


def test_an_invalid_plan_results_in_one_line_and_exit_code_2(folder: Path, call: RunCommand) -> None:
    call(*plan_arguments(folder))
    path = folder / "plan.json"
    path.write_bytes(path.read_bytes().replace(b'"version": 1', b'"version": 3'))
    line = f"stackwheel: {path}: version: unsupported version 3, expected 1\n"
    assert call("check", path) == (2, "", line)
    assert call("show", path) == (2, "", line)
    path.write_bytes(path.read_bytes()[:100])
    assert call("check", path).err.startswith(f"stackwheel: {path}: invalid JSON: Input data was truncated")


def test_an_unknown_cell_is_reported_by_name(folder: Path, call: RunCommand) -> None:
    call(*plan_arguments(folder))
    path = folder / "plan.json"
    assert call("show", path, "--cell", "x") == (2, "", f"stackwheel: {path}: the plan has no cell named 'x'\n")


def test_the_planner_and_the_command_line_do_not_import_the_cells_package() -> None:
    """The planner must run without the libraries of the cells package; groups of commands are imported on use."""
    probe = (
        "import sys, stackwheel.__main__, stackwheel.cli.root\n"
        "print([name for name in sys.modules if name.partition('.')[0] in ('xxhash', 'msgspec') or 'cells' in name])"
    )
    done = subprocess.run([sys.executable, "-c", probe], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"
