"""Tests that data stored by version 52b45c2 is read with the same values and written with the same bytes."""

from __future__ import annotations

import json
import typing
from pathlib import Path

import msgspec
import pytest

from stackwheel.cells.plan_file import encode_plan, load_plan
from stackwheel.config_language.load import load as load_operators
from stackwheel.files.codec import KeyRing, decode, encode
from stackwheel.files.disk import SystemDisk
from stackwheel.files.key_file import load_keys
from stackwheel.files.memory import load_memory, save_memory
from stackwheel.files.records import (
    ClassDemand,
    Document,
    Incarnation,
    ProxyStatus,
    Reservation,
    ServerObservation,
    TableLevel,
    TableUpdate,
    WeightTable,
)
from stackwheel.scale.report import Report, encode_report
from stackwheel.scale.slopes import read_result, write_result
from stackwheel.trials import faults
from stackwheel.trials import script as trial_script
from stackwheel.trials.draw import draw

DATA = Path(__file__).parent / "data" / "52b45c2"
INCARNATION = Incarnation(2, 1796000000000, 421)

COMPLETE_UPDATE = TableUpdate(
    "n0",
    INCARNATION,
    7,
    1796000001000.0,
    1796000031000.0,
    "east",
    tables=(
        WeightTable("read", {"s-0": 1.0, "s-1": 0.8125, "s-2": 0.5}, TableLevel(0.95, 1)),
        WeightTable("write", {"s-0": 1.0}, TableLevel(120.0, 3)),
    ),
    ejected=("s-3", "s-4"),
    reservations=(Reservation("b-1", "write", 3, 1796000040000.0, 1796000000500.0),),
)
SIGNED_UPDATE = msgspec.structs.replace(COMPLETE_UPDATE, sequence=9, proxy=5, created_at=1796000002500.0)
DELTA = TableUpdate(
    "n0",
    INCARNATION,
    8,
    1796000002000.0,
    1796000032000.0,
    "east",
    None,
    7,
    (WeightTable("read", {"s-1": 0.25, "s-2": 0.0}), WeightTable("write", {"s-0": 1.0}, None, True)),
    ("s-2",),
)
STATUS = ProxyStatus(
    5,
    "east",
    Incarnation(0, 1796000000123, 9),
    12,
    1796000003000.0,
    "n0",
    INCARNATION,
    8,
    41.5,
    False,
    17.25,
    1000.0,
    (ClassDemand("read", 31, 2), ClassDemand("write", 4)),
    (ServerObservation("s-0", 20, 1, 12.5, {"outstanding": 3.0}), ServerObservation("s-1", 11)),
)


def stored(name: str) -> bytes:
    return (DATA / name).read_bytes()


def as_json(value: object) -> typing.Any:
    """Return a record with the field names and values of its stored form."""
    return json.loads(msgspec.json.encode(value))


@pytest.mark.parametrize(
    ("name", "document", "signed"),
    [
        ("orders-whole.table", COMPLETE_UPDATE, False),
        ("orders-change.table", DELTA, False),
        ("orders-signed.table", SIGNED_UPDATE, True),
        ("answer.table", STATUS, False),
        ("answer-signed.table", STATUS, True),
    ],
)
def test_table_files_have_the_same_values_and_bytes(name: str, document: Document, signed: bool) -> None:
    keys = load_keys(DATA / "keys.toml") if signed else KeyRing()
    data = stored(name)
    assert decode(data, keys) == document
    assert encode(document, keys) == data
    assert as_json(document) == json.loads(data.splitlines()[1])


def test_the_key_file_has_the_same_keys() -> None:
    keys = load_keys(DATA / "keys.toml")
    assert keys == KeyRing({"k1": b"\x11" * 32, "k2": b"\x22" * 32}, "k2")


def test_the_reader_memory_has_the_same_values_and_bytes(tmp_path: Path) -> None:
    memory = load_memory(SystemDisk(), str(DATA))
    assert memory is not None
    assert as_json(memory) == {
        "version": 1,
        "since": 1795999999000.0,
        "marks": {
            "n0|east|all": {
                "incarnation": {"epoch": 2, "started": 1796000000000, "salt": 421},
                "sequence": 8,
                "until": 1796000032000.0,
                "at": 1796000002100.0,
            },
            "n0|east|5": {
                "incarnation": {"epoch": 2, "started": 1796000000000, "salt": 421},
                "sequence": 9,
                "until": 1796000031000.0,
                "at": 1796000002600.0,
            },
        },
        "bookings": {"b-1": 1796000040000.0},
    }
    assert memory.valid_since == 1795999999000.0
    assert memory.applied["n0|east|5"].sequence == 9
    assert memory.applied["n0|east|all"].incarnation == INCARNATION
    save_memory(SystemDisk(), str(tmp_path), memory)
    assert (tmp_path / "memory.table").read_bytes() == stored("memory.table")


def test_the_cell_plan_has_the_same_values_and_bytes() -> None:
    data = stored("cells-plan.json")
    plan = load_plan(DATA / "cells-plan.json")
    assert as_json(plan) == json.loads(data)
    assert encode_plan(plan) == data
    assert (plan.version, plan.limits.servers, plan.limits.planners) == (1, 10, 4)
    assert plan.regions == {f"zone-{n:02d}": f"region-{n // 2}" for n in range(4)}
    assert [(relay.name, relay.host) for relay in plan.relays] == [
        ("relay-0", "relay-0.internal"),
        ("relay-1", "relay-1.internal"),
    ]


@pytest.mark.parametrize(
    ("name", "seed", "files", "relays"),
    [
        ("script-sockets.json", 7, False, False),
        ("script-files.json", 2, True, False),
        ("script-relays.json", 3, False, True),
    ],
)
def test_drawn_trial_scripts_have_the_same_values_and_bytes(name: str, seed: int, files: bool, relays: bool) -> None:
    data = stored(name)
    script = trial_script.load(DATA / name)
    assert as_json(script) == json.loads(data)
    drawn = draw(seed, files, relays)
    assert script == drawn
    assert trial_script.encode(drawn) == data
    assert trial_script.decode(trial_script.encode(script)) == script


def test_a_trial_script_with_every_fault_type_has_the_same_values_and_bytes() -> None:
    data = stored("script-every-fault.json")
    script = trial_script.load(DATA / "script-every-fault.json")
    assert as_json(script) == json.loads(data)
    assert trial_script.encode(script) == data
    assert {type(fault) for fault in script.faults} >= set(typing.get_args(faults.Fault))
    assert len(script.faults) == 27
    assert (script.seed, script.span, script.note) == (11, 30.5, "every kind of fault")
    assert (script.shape.relays, script.shape.planners, script.shape.removal_is_advisory) == (2, 2, True)
    first = script.faults[0]
    assert isinstance(first, faults.Kill)
    assert (first.at, first.planners, first.restart_after, first.resets_connections) == (
        1.0,
        ("planner-0",),
        2.0,
        False,
    )
    last = script.faults[-1]
    assert isinstance(last, faults.Disks)
    assert (last.at, last.machines, last.span, last.mode, last.delay) == (14.0, ("planners",), 2.0, "slow", 0.75)


def test_the_result_of_a_scale_run_has_the_same_values_and_bytes() -> None:
    data = stored("scale-run.json")
    report = msgspec.json.decode(data, type=Report)
    assert as_json(report) == json.loads(data)
    assert encode_report(report) == data.decode().rstrip("\n")
    assert report.passed()
    assert (report.arguments.servers, report.arguments.fault) == (12_000, "kill-relay")
    assert (report.registry.core, report.relay.count, report.in_force_ms.p99) == (0.004434, 17, 77.375)


def test_the_result_of_the_scale_slopes_has_the_same_values_and_bytes(tmp_path: Path) -> None:
    data = stored("scale-slopes.json")
    result = read_result(DATA / "scale-slopes.json")
    assert as_json(result) == json.loads(data)
    assert [(sweep.role, sweep.variable) for sweep in result.sweeps] == [("planner", "servers"), ("relay", "servers")]
    first = result.sweeps[0].repeats[0]
    assert (first.size, first.usage.core, first.peak.core, first.span_seconds) == (32.0, 0.032495, 0.034952, 6.001)
    write_result(tmp_path / "again.json", result)
    assert (tmp_path / "again.json").read_bytes() == data


def test_the_operators_file_has_the_same_values() -> None:
    records = load_operators(DATA / "operators.cue").records
    assert records.files.pace.max_files == 4
    assert records.files.silent_planner.fallback == "refuse"
    assert records.relay.upstream == "registry-0:8500,registry-1:8500"
    assert as_json(records) == {
        "files": {
            "on": True,
            "out": "/srv/out",
            "answers": "/srv/answers",
            "state": "/srv/state",
            "keys": "keys.toml",
            "life": 25000.0,
            "whole_every": 7,
            "under_way": 3,
            "poll": 250.0,
            "pace": {"cap": 4, "span": 8000.0, "least": 40.0},
            "silent": {"silence": 2500.0, "life": 21000.0, "keep": 9000.0, "after": "refuse"},
        },
        "relay": {"on": True, "name": "relay-1", "upstream": "registry-0:8500,registry-1:8500", "plan": "plan.json"},
    }
