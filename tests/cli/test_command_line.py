"""The command line as its users call it: what it prints, its exit codes, one clear line for bad input."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from stackwheel.cli import entry
from stackwheel.trials.defects.catalogue import ALL_DEFECTS
from stackwheel.trials.faults import Drain
from stackwheel.trials.script import Script, decode, encode, load
from stackwheel.trials.shape import Shape

ROOT = Path(__file__).parents[2]


def call(*words: str, **more: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "stackwheel", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, **more},
        timeout=120,
        check=False,
    )


def test_relay_scripts_are_drawn_and_shown() -> None:
    done = call("trial", "run", "--seeds", "1:2", "--relays", "--jobs", "1", "--json")
    assert done.returncode == 0 and json.loads(done.stdout.splitlines()[-1])["broken"] == []
    assert ", 2 relays, " in call("trial", "show", "1", "--relays").stdout


def test_run_ends_with_one_object_and_zero() -> None:
    done = call("trial", "run", "--seeds", "0:4", "--jobs", "2", "--json")
    found = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 0 and set(found) == {"seeds", "broken", "virtual_seconds", "seconds", "digest"}
    assert found["seeds"] == 4 and found["broken"] == [] and found["virtual_seconds"] > 80


@pytest.fixture
def drain(tmp_path: Path) -> str:
    path = tmp_path / "drain.json"
    script = Script(0, 20.0, Shape(proxies=4), (Drain(6.0, ("server-0",), 10.0),))
    path.write_bytes(encode(script))
    return str(path)


def test_replay_of_a_broken_seed_names_it_and_exits_one(drain: str) -> None:
    done = call("trial", "replay", drain, "--defect", "drain-ignored", "--json")
    found = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 1 and found["broken"][0]["seed"] == 0
    assert found["broken"][0]["rule"] == "drains kept" and found["broken"][0]["at"] > 0 and found["digest"]


def test_replay_tells_verdicts_with_their_trail(drain: str) -> None:
    done = call("trial", "replay", drain, "--defect", "drain-ignored")
    assert done.returncode == 1 and ": drains kept: planner" in done.stdout and "    " in done.stdout


def test_a_script_is_shown_in_words_and_as_it_stands(tmp_path: Path, drain: str) -> None:
    assert "breaks no rule" in call("trial", "shrink", drain, "--out", str(tmp_path / "out.json")).stderr
    shown = call("trial", "show", drain)
    assert shown.returncode == 0 and "drain: servers server-0; gone 10; back 0" in shown.stdout
    assert decode(call("trial", "show", drain, "--json").stdout.encode()) == load(Path(drain))


@pytest.mark.parametrize(
    ("words", "told"),
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
def test_bad_usage_is_one_line_and_two(words: tuple[str, ...], told: str) -> None:
    done = call(*words)
    assert done.returncode == 2 and told in done.stderr
    assert done.stderr.startswith("stackwheel: ") and len(done.stderr.strip().splitlines()) == 1


def test_a_script_that_cannot_be_read_is_one_line(tmp_path: Path) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{"faults": [{"kind": "melt", "at": 1}]}')
    done = call("trial", "replay", str(path))
    assert done.returncode == 2 and f"{path}: Invalid value 'melt' - at `$.faults[0].kind`" in done.stderr
    assert len(done.stderr.strip().splitlines()) == 1


def test_interrupted_it_reports_what_was_done() -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "stackwheel", "trial", "run", "--seeds", "0:100000", "--jobs", "1", "--json"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    time.sleep(4.0)
    process.send_signal(signal.SIGINT)
    out, _ = process.communicate(timeout=60)
    found = json.loads(out.splitlines()[-1])
    assert found["stopped"] is True and 0 < found["seeds"] < 100000 and process.returncode == 130


def test_without_its_libraries_it_says_what_to_install(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(sys.modules, "click", None)
    assert entry.main(["trial"]) == 2
    assert capsys.readouterr().err == "stackwheel: the command line needs click: pip install 'stackwheel[cli]'\n"


def test_the_plain_planner_loads_nothing_of_it(tmp_path: Path) -> None:
    """As light as before: no library but h11 and loguru, and no package of the trials or the command line."""
    code = (
        "import sys, runpy\nsys.argv = ['stackwheel']\nfrom stackwheel import __main__\n"
        "import stackwheel.service.app, stackwheel.service.logging_setup\nprint(*sorted(sys.modules))"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()
    heads = {name.partition(".")[0] for name in loaded}
    assert not heads & {"click", "rich", "msgspec", "numpy", "pydantic", "lark", "hypothesis"}
    assert not [
        name
        for name in loaded
        if name.startswith(("stackwheel.trials", "stackwheel.cli", "stackwheel.rules", "stackwheel.forwarder"))
    ]


def test_serve_is_the_plain_planner() -> None:
    for words in (("serve",), ()):
        done = call(*words, ROUTER_CONFIG="")
        assert done.returncode == 2 and done.stderr == "stackwheel: ROUTER_CONFIG names no configuration\n"


def test_defects_cover_all_rules() -> None:
    from stackwheel.rules.violations import Rule

    assert len(ALL_DEFECTS) >= 15 and {rule for defect in ALL_DEFECTS for rule in defect.visible_rules} == set(Rule)
