"""Tests of the command line: output, exit codes, and one-line messages for invalid input."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from command_runner import ROOT, is_one_line, run_process

from stackwheel.cli import entry
from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.catalogue import ALL_DEFECTS
from stackwheel.trials.faults import Drain
from stackwheel.trials.script import Script, decode, encode, load
from stackwheel.trials.shape import Shape


def test_trial_scripts_with_relays_are_run_and_shown() -> None:
    exit_code, out, _ = run_process("trial", "run", "--seeds", "1:2", "--relays", "--jobs", "1", "--json")
    assert exit_code == 0
    assert json.loads(out.splitlines()[-1])["broken"] == []
    assert ", 2 relays, " in run_process("trial", "show", "1", "--relays").out


def test_a_trial_run_prints_one_json_object_and_exits_with_0() -> None:
    exit_code, out, _ = run_process("trial", "run", "--seeds", "0:4", "--jobs", "2", "--json")
    document = json.loads(out.splitlines()[-1])
    assert exit_code == 0
    assert set(document) == {"seeds", "broken", "virtual_seconds", "seconds", "digest"}
    assert document["seeds"] == 4
    assert document["broken"] == []
    assert document["virtual_seconds"] > 80


@pytest.fixture
def drain_script(tmp_path: Path) -> str:
    """Return the path of a script file in which one server drains."""
    path = tmp_path / "drain.json"
    path.write_bytes(encode(Script(0, 20.0, Shape(proxies=4), (Drain(6.0, ("server-0",), 10.0),))))
    return str(path)


def test_replay_of_a_violation_reports_it_and_exits_with_1(drain_script: str) -> None:
    exit_code, out, _ = run_process("trial", "replay", drain_script, "--defect", "drain-ignored", "--json")
    document = json.loads(out.splitlines()[-1])
    assert exit_code == 1
    assert document["broken"][0]["seed"] == 0
    assert document["broken"][0]["rule"] == "drains kept"
    assert document["broken"][0]["at"] > 0
    assert document["digest"]


def test_replay_prints_violations_with_the_events_before_them(drain_script: str) -> None:
    exit_code, out, _ = run_process("trial", "replay", drain_script, "--defect", "drain-ignored")
    assert exit_code == 1
    assert ": drains kept: planner" in out
    assert "    " in out


def test_a_script_is_shown_as_text_and_as_json(tmp_path: Path, drain_script: str) -> None:
    shrink = run_process("trial", "shrink", drain_script, "--out", str(tmp_path / "out.json"))
    assert "does not violate any rule" in shrink.err
    show = run_process("trial", "show", drain_script)
    assert show.exit_code == 0
    assert "drain: servers server-0; gone 10; back 0" in show.out
    assert decode(run_process("trial", "show", drain_script, "--json").out.encode()) == load(Path(drain_script))


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("trial", "run", "--seeds", "x:y"), "'x:y' is not a range of seeds"),
        (("trial", "run", "--seeds", "5:5"), "contains 0 seeds"),
        (("trial", "run"), "Missing option '--seeds'"),
        (("trial", "run", "--seeds", "0:2", "--files", "--relays"), "--files and --relays are mutually exclusive"),
        (("trial", "run", "--seeds", "0:2", "--jobs", "0"), "--jobs"),
        (("trial", "replay", "nowhere.json"), "nowhere.json: No such file"),
        (("trial", "replay", "0", "--defect", "none"), "'none' is not one of"),
        (("trial", "melt"), "No such command 'melt'"),
        (("melt",), "No such command 'melt'"),
    ],
)
def test_incorrect_usage_results_in_one_line_and_exit_code_2(arguments: tuple[str, ...], message: str) -> None:
    exit_code, _, err = run_process(*arguments)
    assert exit_code == 2
    assert message in err
    assert err.startswith("stackwheel: ")
    assert is_one_line(err)


def test_an_invalid_script_results_in_one_line_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{"faults": [{"kind": "melt", "at": 1}]}')
    exit_code, _, err = run_process("trial", "replay", str(path))
    assert exit_code == 2
    assert f"{path}: Invalid value 'melt' - at `$.faults[0].kind`" in err
    assert is_one_line(err)


def test_an_interrupted_run_reports_the_completed_seeds() -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "stackwheel", "trial", "run", "--seeds", "0:100000", "--jobs", "1", "--json"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    time.sleep(4.0)
    process.send_signal(signal.SIGINT)
    out, _ = process.communicate(timeout=60)
    document = json.loads(out.splitlines()[-1])
    assert document["stopped"] is True
    assert 0 < document["seeds"] < 100000
    assert process.returncode == 130


def test_a_missing_library_is_reported_with_the_command_that_installs_it(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(sys.modules, "click", None)
    assert entry.main(["trial"]) == 2
    assert capsys.readouterr().err == "stackwheel: the command line requires click: pip install 'stackwheel[cli]'\n"


def test_the_planner_does_not_import_the_command_line_or_its_libraries() -> None:
    """The planner must run with h11 and loguru as its only libraries."""
    code = (
        "import sys, runpy\nsys.argv = ['stackwheel']\nfrom stackwheel import __main__\n"
        "import stackwheel.service.app, stackwheel.service.logging_setup\nprint(*sorted(sys.modules))"
    )
    process = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    modules = process.stdout.split()
    distributions = {name.partition(".")[0] for name in modules}
    assert not distributions & {"click", "rich", "msgspec", "numpy", "pydantic", "lark", "hypothesis"}
    unused = ("stackwheel.trials", "stackwheel.cli", "stackwheel.rules", "stackwheel.forwarder")
    assert not [name for name in modules if name.startswith(unused)]


@pytest.mark.parametrize("arguments", [("serve",), ()])
def test_serve_and_no_arguments_run_the_planner(arguments: tuple[str, ...]) -> None:
    result = run_process(*arguments, ROUTER_CONFIG="")
    assert result.exit_code == 2
    assert result.err == "stackwheel: the environment variable ROUTER_CONFIG is not set or empty\n"


def test_each_rule_is_violated_by_a_deliberate_defect() -> None:
    assert len(ALL_DEFECTS) >= 15
    assert {rule for defect in ALL_DEFECTS for rule in defect.expected_rules} == set(Rule)
