"""The registry stand-in's list: generations, changes since, whole lists, as the protocol's page has them."""

from __future__ import annotations

import json

from stackwheel.scale import registry_list as module
from stackwheel.scale.entries import TERMINATED, TERMINATING, Entry
from stackwheel.scale.registry_list import RegistryList
from stackwheel.wire.discovery_protocol import parse_endpoint_list


def entry(number: int, lifecycle: str = "in_service", started: int = 0) -> Entry:
    return Entry(f"svc-0000-{number:08x}", f"10.0.0.{number}:1", "zone-00", lifecycle, started)


def names(line: bytes) -> list[str]:
    return [item["instanceId"][-1] for item in json.loads(line)["instances"]]


def test_the_whole_list_has_the_published_fields_and_can_be_read() -> None:
    line = RegistryList([entry(1)]).since(None)
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
    read = parse_endpoint_list(line)
    assert len(getattr(read, "instances", ())) == 1


def test_changes_since_a_generation_hold_the_last_word_of_each_server() -> None:
    found = RegistryList([entry(1), entry(2)])
    told = found.apply([entry(1, TERMINATING)], 5.0)
    assert json.loads(told)["generation"] == 2
    assert json.loads(told)["reset"] is False
    found.apply([entry(1, TERMINATED), entry(3)], 6.0)
    since = json.loads(found.since(1))
    assert [(item["instanceId"][-1], item["lifecycle"]) for item in since["instances"]] == [
        ("1", TERMINATED),
        ("3", "in_service"),
    ]
    assert names(found.since(2)) == ["1", "3"]
    assert names(found.since(3)) == []
    assert names(found.since(None)) == ["2", "3"]
    assert json.loads(found.since(None))["generation"] == 3
    assert [(change.name[-1], change.made_at, change.generation) for change in found.made] == [
        ("1", 5.0, 2),
        ("1", 6.0, 3),
        ("3", 6.0, 3),
    ]


def test_an_unknown_generation_gets_the_whole_list() -> None:
    found = RegistryList([entry(1)])
    assert json.loads(found.since(0))["reset"]
    assert json.loads(found.since(99))["reset"]


def test_who_is_behind_what_is_kept_gets_the_whole_list(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    monkeypatch.setattr(module, "MAX_CHANGES_KEPT", 3)
    found = RegistryList([entry(1), entry(2)])
    found.changes = module.deque(maxlen=3)
    for started in range(1, 6):
        found.apply([entry(1, started=started)], 0.0)  # generations 2 to 6; 4 to 6 are kept
    assert json.loads(found.since(2))["reset"]
    assert json.loads(found.since(3))["reset"]
    assert not json.loads(found.since(4))["reset"]
    assert names(found.since(4)) == ["1"]
