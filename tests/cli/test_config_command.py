"""Tests of `stackwheel config`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from command_runner import RunCommand

from stackwheel.config_language.schema import SCHEMA


@pytest.fixture
def path(tmp_path: Path) -> Path:
    path = tmp_path / "op.cue"
    path.write_text("files: on: true")
    return path


def test_check_accepts_a_valid_file(path: Path, run_command: RunCommand) -> None:
    assert run_command("config", "check", path) == (0, "valid; values set: 1\n", "")
    exit_code, out, _ = run_command("config", "check", path, "--json")
    assert exit_code == 0
    assert json.loads(out) == {"ok": True, "given": 1}


def test_show_prints_each_value_with_its_origin(path: Path, run_command: RunCommand) -> None:
    exit_code, out, _ = run_command("config", "show", path)
    assert exit_code == 0
    assert f"files.on: true    // {path}:1\n" in out
    exit_code, out, _ = run_command("config", "show", path, "--json")
    assert exit_code == 0
    assert json.loads(out)["origins"]["files.life"] == "default"


def test_an_invalid_file_results_in_one_line_and_exit_code_1(path: Path, run_command: RunCommand) -> None:
    path.write_text("files: on: 1")
    line = f"{path}:1: files.on: 1 found, bool expected"
    assert run_command("config", "check", path) == (1, f"{line}\n", "")
    assert run_command("config", "show", path) == (1, "", f"{line}\n")
    exit_code, out, _ = run_command("config", "check", path, "--json")
    assert exit_code == 1
    assert json.loads(out) == {"ok": False, "reason": line}


def test_the_schema_is_printed(run_command: RunCommand) -> None:
    exit_code, out, _ = run_command("config", "schema")
    assert exit_code == 0
    assert out.strip() == SCHEMA.strip()
