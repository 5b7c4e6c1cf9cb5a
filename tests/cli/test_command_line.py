"""The command line as its users call it: what it prints, its exit codes, one clear line for bad input."""

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


def test_relay_scripts_are_drawn_and_shown() -> None:
    exit_code, out, _ = run_process("trial", "run", "--seeds", "1:2", "--relays", "--jobs", "1", "--json")
    assert exit_code == 0
    assert json.loads(out.splitlines()[-1])["broken"] == []
    assert ", 2 relays, " in run_process("trial", "show", "1", "--relays").out


def test_a_run_ends_with_one_object_and_zero() -> None:
    exit_code, out, _ = run_process("trial", "run", "--seeds", "0:4", "--jobs", "2", "--json")
    document = json.loads(out.splitlines()[-1])
    assert exit_code == 0
    assert set(document) == {"seeds", "broken", "virtual_seconds", "seconds", "digest"}
    assert document["seeds"] == 4
    assert document["broken"] == []
    assert document["virtual_seconds"] > 80


@pytest.fixture
def drain_script(tmp_path: Path) -> str:
    """A file with a script in which one server drains."""
    path = tmp_path / "drain.json"
    path.write_bytes(encode(Script(0, 20.0, Shape(proxies=4), (Drain(6.0, ("server-0",), 10.0),))))
    return str(path)


def test_replay_of_a_broken_seed_names_it_and_exits_one(drain_script: str) -> None:
    exit_code, out, _ = run_process("trial", "replay", drain_script, "--defect", "drain-ignored", "--json")
    document = json.loads(out.splitlines()[-1])
    assert exit_code == 1
    assert document["broken"][0]["seed"] == 0
    assert document["broken"][0]["rule"] == "drains kept"
    assert document["broken"][0]["at"] > 0
    assert document["digest"]


def test_replay_shows_violations_with_their_trail(drain_script: str) -> None:
    exit_code, out, _ = run_process("trial", "replay", drain_script, "--defect", "drain-ignored")
    assert exit_code == 1
    assert ": drains kept: planner" in out
    assert "    " in out


def test_a_script_is_shown_in_words_and_as_json(tmp_path: Path, drain_script: str) -> None:
    shrink = run_process("trial", "shrink", drain_script, "--out", str(tmp_path / "out.json"))
    assert "breaks no rule" in shrink.err
    show = run_process("trial", "show", drain_script)
    assert show.exit_code == 0
    assert "drain: servers server-0; gone 10; back 0" in show.out
    assert decode(run_process("trial", "show", drain_script, "--json").out.encode()) == load(Path(drain_script))


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (("trial", "run", "--seeds", "x:y"), "'x:y' is no range of seeds"),
        (("trial", "run", "--seeds", "5:5"), "holds 0 seeds"),
        (("trial", "run"), "Missing option '--seeds'"),
        (("trial", "run", "--seeds", "0:2", "--files", "--relays"), "give one of them"),
        (("trial", "run", "--seeds", "0:2", "--jobs", "0"), "--jobs"),
        (("trial", "replay", "nowhere.json"), "nowhere.json: No such file"),
        (("trial", "replay", "0", "--defect", "none"), "'none' is not one of"),
        (("trial", "melt"), "No such command 'melt'"),
        (("melt",), "No such command 'melt'"),
    ],
)
def test_bad_usage_is_one_line_and_exits_two(words: tuple[str, ...], message: str) -> None:
    exit_code, _, err = run_process(*words)
    assert exit_code == 2
    assert message in err
    assert err.startswith("stackwheel: ")
    assert is_one_line(err)


def test_an_unusable_script_is_one_line(tmp_path: Path) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{"faults": [{"kind": "melt", "at": 1}]}')
    exit_code, _, err = run_process("trial", "replay", str(path))
    assert exit_code == 2
    assert f"{path}: Invalid value 'melt' - at `$.faults[0].kind`" in err
    assert is_one_line(err)


def test_an_interrupted_run_reports_what_was_done() -> None:
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


def test_without_its_libraries_it_says_what_to_install(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(sys.modules, "click", None)
    assert entry.main(["trial"]) == 2
    assert capsys.readouterr().err == "stackwheel: the command line needs click: pip install 'stackwheel[cli]'\n"


def test_the_plain_planner_loads_nothing_of_the_command_line() -> None:
    """As light as before: no library but h11 and loguru, and no package of the trials or the command line."""
    code = (
        "import sys, runpy\nsys.argv = ['stackwheel']\nfrom stackwheel import __main__\n"
        "import stackwheel.service.app, stackwheel.service.logging_setup\nprint(*sorted(sys.modules))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    modules = done.stdout.split()
    distributions = {name.partition(".")[0] for name in modules}
    assert not distributions & {"click", "rich", "msgspec", "numpy", "pydantic", "lark", "hypothesis"}
    unused = ("stackwheel.trials", "stackwheel.cli", "stackwheel.rules", "stackwheel.forwarder")
    assert not [name for name in modules if name.startswith(unused)]


@pytest.mark.parametrize("words", [("serve",), ()])
def test_serve_is_the_plain_planner(words: tuple[str, ...]) -> None:
    result = run_process(*words, ROUTER_CONFIG="")
    assert result.exit_code == 2
    assert result.err == "stackwheel: the environment variable ROUTER_CONFIG is not set or empty\n"


def test_defects_cover_all_rules() -> None:
    assert len(ALL_DEFECTS) >= 15
    assert {rule for defect in ALL_DEFECTS for rule in defect.expected_rules} == set(Rule)
