"""Tests of reading, validating and writing plan files."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import pytest

from stackwheel.cells.plan import Cell, CellPlanError, Limits, Plan, Relay
from stackwheel.cells.plan_file import decode_plan, encode_plan, load_plan, load_regions, save_plan

VALID_PLAN: dict[str, Any] = {
    "version": 1,
    "limits": {"servers": 512, "planners": 16},
    "regions": {"zone-0": "east", "zone-1": "west"},
    "relays": [{"name": "relay-0", "host": "127.0.1.1"}, {"name": "relay-1", "host": "127.0.1.2"}],
    "cells": [
        {"name": "small", "service": "small", "regions": [], "part": 0, "parts": 1, "port": 20001},
        {"name": "large.east.0", "service": "large", "regions": ["east"], "part": 0, "parts": 2, "port": 20002},
        {"name": "large.east.1", "service": "large", "regions": ["east"], "part": 1, "parts": 2, "port": 20003},
    ],
}


def plan_with_change(*path: str | int, value: object) -> bytes:
    document = json.loads(json.dumps(VALID_PLAN))
    container = document
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return json.dumps(document).encode()


def cell(name: str, service: str, regions: list[str], part: int = 0, parts: int = 1, port: int = 20004) -> object:
    return {"name": name, "service": service, "regions": regions, "part": part, "parts": parts, "port": port}


def plan_with_cells(*more: object) -> bytes:
    return plan_with_change("cells", value=[*VALID_PLAN["cells"], *more])


def test_a_plan_is_written_to_a_file_and_read_back_unchanged(tmp_path: Path) -> None:
    plan = decode_plan(json.dumps(VALID_PLAN).encode())
    assert plan.limits == Limits()
    assert plan.relays[1] == Relay("relay-1", "127.0.1.2")
    assert plan.cells[1] == Cell("large.east.0", "large", ("east",), 0, 2, 20002)
    path = tmp_path / "plan.json"
    save_plan(plan, path)
    assert load_plan(path) == plan
    assert json.loads(path.read_bytes()) == VALID_PLAN
    assert path.read_bytes() == encode_plan(plan)
    assert path.stat().st_mode & 0o777 == 0o644


INVALID_PLANS = [
    (b"", "plan.json: invalid JSON: Input data was truncated"),
    (json.dumps(VALID_PLAN).encode()[:-40], "plan.json: invalid JSON: Input data was truncated"),
    (b"\xff\xfe", "plan.json: invalid JSON: "),
    (b"[" * 100_000, "plan.json: "),
    (b"[]", "plan.json: Expected `object`, got `array`"),
    (json.dumps(VALID_PLAN).encode() + b"{}", "plan.json: invalid JSON: "),
    (plan_with_change("version", value=2), "plan.json: version: unsupported version 2, expected 1"),
    (plan_with_change("version", value="1"), "plan.json: version: Expected `int`, got `str`"),
    (plan_with_change("limits", "servers", value=float("nan")), "plan.json: invalid JSON: "),
    (plan_with_change("limits", "servers", value=0), "plan.json: limits.servers: Expected `int` >= 1"),
    (plan_with_change("limits", "servers", value=1.5), "plan.json: limits.servers: Expected `int`, got `float`"),
    (plan_with_change("limits", "planners", value=65_537), "plan.json: limits.planners: Expected `int` <= 65536"),
    (plan_with_change("limits", "planners", value=True), "plan.json: limits.planners: Expected `int`, got `bool`"),
    (plan_with_change("limits", "proxies", value=1), "plan.json: limits: Object contains unknown field `proxies`"),
    (plan_with_change("regions", value=[]), "plan.json: regions: Expected `object`, got `array`"),
    (plan_with_change("regions", "zone 2", value="east"), "plan.json: regions: Expected `str` matching regex"),
    (plan_with_change("regions", "zone-2", value=3), "plan.json: regions[...]: Expected `str`, got `int`"),
    (
        json.dumps(VALID_PLAN).replace('"zone-1": "west"', '"zone-1": "west", "zone-0": "west"').encode(),
        "plan.json: duplicate key 'zone-0'",
    ),
    (plan_with_change("relays", value=VALID_PLAN["relays"][:1]), "plan.json: relays: 1 relays, expected at least 2"),
    (
        plan_with_change("relays", 1, "name", value="relay-0"),
        "plan.json: relays[1].name: duplicate value 'relay-0', first used at index 0",
    ),
    (
        plan_with_change("relays", 1, "host", value="127.0.1.1"),
        "plan.json: relays[1].host: duplicate value '127.0.1.1', first used at index 0",
    ),
    (plan_with_change("relays", 1, "host", value="h:80"), "plan.json: relays[1].host: Expected `str` matching regex"),
    (plan_with_change("relays", 1, "host", value="h1,h2"), "plan.json: relays[1].host: Expected `str` matching regex"),
    (plan_with_change("cells", 0, "name", value=""), "plan.json: cells[0].name: Expected `str` of length >= 1"),
    (plan_with_change("cells", 0, "name", value="a\n"), "plan.json: cells[0].name: Expected `str` matching regex"),
    (plan_with_change("cells", 0, "port", value=0), "plan.json: cells[0].port: Expected `int` >= 1"),
    (plan_with_change("cells", 0, "port", value=65_536), "plan.json: cells[0].port: Expected `int` <= 65535"),
    (
        plan_with_change("cells", 2, "port", value=20001),
        "plan.json: cells[2].port: duplicate value 20001, first used at index 0",
    ),
    (
        plan_with_change("cells", 2, "name", value="small"),
        "plan.json: cells[2].name: duplicate value 'small', first used at index 0",
    ),
    (
        plan_with_change("cells", 1, "regions", 0, value="north"),
        "plan.json: cells[1].regions[0]: unknown region 'north'",
    ),
    (
        plan_with_change("cells", 1, "regions", value=["east", "east"]),
        "plan.json: cells[1].regions[1]: duplicate region 'east'",
    ),
    (plan_with_change("cells", 1, "parts", value=0), "plan.json: cells[1].parts: Expected `int` >= 1"),
    (plan_with_change("cells", 1, "parts", value=1_025), "plan.json: cells[1].parts: Expected `int` <= 1024"),
    (
        plan_with_change("cells", 2, "part", value=2),
        "plan.json: cells[2].part: 2 is not less than the number of parts, 2",
    ),
    (
        plan_with_change("cells", 2, "part", value=0),
        "plan.json: cells[2].part: duplicate part 0, first used by cells[1]",
    ),
    (plan_with_change("cells", 2, "parts", value=3), "plan.json: cells[2].parts: 3 parts, expected 2 as in cells[1]"),
    (plan_with_change("cells", value=VALID_PLAN["cells"][:2]), "plan.json: cells[1].parts: part 1 of 2 is missing"),
    (plan_with_cells(cell("x", "small", [])), "plan.json: cells[3].part: duplicate part 0, first used by cells[0]"),
    (
        plan_with_cells(cell("x", "small", ["east"])),
        "plan.json: cells[0].regions: all regions of service 'small', which overlaps with cells[3]",
    ),
    (
        plan_with_cells(cell("x", "large", ["west", "east"])),
        "plan.json: cells[3].regions: region 'east' of service 'large' is already in cells[1]",
    ),
    (plan_with_cells({"name": "x"}), "plan.json: cells[3]: Object missing required field `service`"),
]


@pytest.mark.parametrize(("data", "message"), INVALID_PLANS, ids=[message[11:60] for _, message in INVALID_PLANS])
def test_an_invalid_plan_is_rejected_with_a_message_of_one_line(data: bytes, message: str, tmp_path: Path) -> None:
    path = tmp_path / "plan.json"
    path.write_bytes(data)
    with pytest.raises(CellPlanError) as raised:
        load_plan(path)
    line = str(raised.value)
    assert line.startswith(f"{tmp_path}/{message}")
    assert "\n" not in line


def test_every_truncation_of_a_plan_is_rejected() -> None:
    data = encode_plan(decode_plan(json.dumps(VALID_PLAN).encode()))
    for length in range(len(data) - 1):  # the last byte is a line feed
        if length < len(data.rstrip()):
            with pytest.raises(CellPlanError):
                decode_plan(data[:length])


def test_a_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(CellPlanError, match=r"none\.json: No such file or directory"):
        load_plan(tmp_path / "none.json")


def test_an_invalid_plan_is_not_written(tmp_path: Path) -> None:
    path = tmp_path / "plan.json"
    path.write_bytes(b"former")
    with pytest.raises(CellPlanError, match="relays: 0 relays, expected"):
        save_plan(Plan(1, Limits(), {}, (), ()), path)
    assert path.read_bytes() == b"former"
    assert os.listdir(tmp_path) == ["plan.json"]


@pytest.mark.parametrize("step", ["fsync", "replace"])
def test_a_failed_write_leaves_the_previous_file_unchanged(
    step: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object) -> None:
        raise OSError(28, "No space left on device")

    path = tmp_path / "plan.json"
    path.write_bytes(b"former")
    monkeypatch.setattr(os, step, fail)
    with pytest.raises(CellPlanError, match=r"plan\.json: No space left on device"):
        save_plan(decode_plan(json.dumps(VALID_PLAN).encode()), path)
    assert path.read_bytes() == b"former"
    assert os.listdir(tmp_path) == ["plan.json"]


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"{}", "expected at least one zone"),
        (b'{"zone-0":"east","zone-0":"west"}', "duplicate key 'zone-0'"),
        (b'{"zone-0":null}', "Expected `str`, got `null`"),
        (b'{"zone-0":"ea', "invalid JSON"),
    ],
)
def test_malformed_regions_are_rejected(data: bytes, message: str, tmp_path: Path) -> None:
    path = tmp_path / "regions.json"
    path.write_bytes(data)
    with pytest.raises(CellPlanError, match=f"regions.json: .*{message}"):
        load_regions(path)
    path.write_bytes(b'{"zone-0":"east"}')
    assert load_regions(path) == {"zone-0": "east"}
