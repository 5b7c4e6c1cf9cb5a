"""Tests of the endpoint list of the registry stand-in: generations, deltas and full lists."""

from __future__ import annotations

import json
from collections import deque

import pytest

from stackwheel.scale import registry_list as registry_list_module
from stackwheel.scale.entries import TERMINATED, TERMINATING, Entry
from stackwheel.scale.registry_list import RegistryList
from stackwheel.wire.discovery_protocol import parse_endpoint_list


def entry(number: int, lifecycle: str = "in_service", started: int = 0) -> Entry:
    return Entry(f"svc-0000-{number:08x}", f"10.0.0.{number}:1", "zone-00", lifecycle, started)


def names(line: bytes) -> list[str]:
    return [item["instanceId"][-1] for item in json.loads(line)["instances"]]


def test_the_full_list_has_the_documented_fields_and_is_parsed_by_the_client() -> None:
    line = RegistryList([entry(1)]).encode_since(None)
    assert line.endswith(b"\n")
    assert json.loads(line) == {
        "generation": 1,
        "reset": True,
        "instances": [
            {
                "instanceId": "svc-0000-00000001",
                "hostPort": "10.0.0.1:1",
                "zone": "zone-00",
                "lifecycle": "in_service",
                "startedAtMs": 0,
                "machineType": "m1",
                "cell": 0,
                "weight": 1.0,
            }
        ],
    }
    endpoint_list = parse_endpoint_list(line)
    assert len(getattr(endpoint_list, "instances", ())) == 1


def test_a_delta_since_a_generation_contains_the_last_change_of_each_server() -> None:
    registry_list = RegistryList([entry(1), entry(2)])
    delta = registry_list.apply([entry(1, TERMINATING)], 5.0)
    assert json.loads(delta)["generation"] == 2
    assert json.loads(delta)["reset"] is False
    registry_list.apply([entry(1, TERMINATED), entry(3)], 6.0)
    since = json.loads(registry_list.encode_since(1))
    assert [(item["instanceId"][-1], item["lifecycle"]) for item in since["instances"]] == [
        ("1", TERMINATED),
        ("3", "in_service"),
    ]
    assert names(registry_list.encode_since(2)) == ["1", "3"]
    assert names(registry_list.encode_since(3)) == []
    assert names(registry_list.encode_since(None)) == ["2", "3"]
    assert json.loads(registry_list.encode_since(None))["generation"] == 3
    assert [(change.name[-1], change.made_at, change.generation) for change in registry_list.made_changes] == [
        ("1", 5.0, 2),
        ("1", 6.0, 3),
        ("3", 6.0, 3),
    ]


def test_a_resume_from_an_unknown_generation_returns_the_full_list() -> None:
    registry_list = RegistryList([entry(1)])
    assert json.loads(registry_list.encode_since(0))["reset"]
    assert json.loads(registry_list.encode_since(99))["reset"]


def test_a_resume_from_before_the_stored_changes_returns_the_full_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry_list_module, "MAX_STORED_CHANGES", 3)
    registry_list = RegistryList([entry(1), entry(2)])
    registry_list.changes = deque(maxlen=3)
    for started in range(1, 6):
        registry_list.apply([entry(1, started=started)], 0.0)  # Creates generations 2 to 6, of which 4 to 6 are stored.
    assert json.loads(registry_list.encode_since(2))["reset"]
    assert json.loads(registry_list.encode_since(3))["reset"]
    assert not json.loads(registry_list.encode_since(4))["reset"]
    assert names(registry_list.encode_since(4)) == ["1"]
