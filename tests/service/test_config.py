"""Errors in the configuration file name the key, and the environment sets keys that are absent from the file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from fake_services import config

from stackwheel.service.config import ConfigError, load_config, read_config

ADDRESS = "127.0.0.1:8080"


@pytest.mark.parametrize(
    ("changed", "message"),
    [
        ({"settings": []}, "settings: not a non-empty JSON object"),
        ({"settings": {}}, "settings: not a non-empty JSON object"),
        ({"settings": {"zone": "x"}}, "settings: zone: not a number: 'x'"),
        ({"settings": {"instances": 2, "me": 2}}, "settings.me: index 2 is out of range for 2 instances"),
        (
            {"settings": {"instances": 2}, "peers": [ADDRESS]},
            "peers: 1 addresses for 2 instances, expected one for each",
        ),
        ({"listen": "127.0.0.1:65536"}, "listen: not host:port: '127.0.0.1:65536'"),
        ({"discovery": f"{ADDRESS},nowhere"}, "discovery: not host:port: 'nowhere'"),
        ({"peer_listen": 5}, "peer_listen: not host:port: '5'"),
        ({"peers": {}}, "peers: not a JSON array"),
        ({"limits": []}, "limits: not a JSON object"),
        ({"limits": {"sockets": 0}}, "limits.sockets: not a finite number of at least 1: '0'"),
        ({"limits": {"memory_mb": True}}, "limits.memory_mb: not a finite number of at least 1: 'True'"),
        ({"seed": "x"}, "seed: not a hexadecimal number: 'x'"),
    ],
)
def test_an_error_names_the_key_and_the_invalid_value(changed: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError) as caught:
        read_config({**config(ADDRESS), **changed})
    assert str(caught.value) == message


@pytest.mark.parametrize("key", ["settings", "listen", "discovery"])
def test_an_error_names_a_missing_required_key(key: str) -> None:
    document = config(ADDRESS)
    del document[key]
    with pytest.raises(ConfigError) as caught:
        read_config(document)
    assert (caught.value.location, caught.value.problem) == (key, "missing")


@pytest.mark.parametrize("known", [[], {"instances": []}, {"generation": 1, "reset": True, "instances": [{}]}])
def test_an_invalid_cached_endpoint_list_is_rejected(known: object) -> None:
    with pytest.raises(ConfigError) as caught:
        read_config({**config(ADDRESS), "known": known})
    assert caught.value.location == "known"


def test_an_error_begins_with_the_path_of_the_configuration_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("[]")
    with pytest.raises(ConfigError) as caught:
        load_config({"ROUTER_CONFIG": str(path)})
    assert str(caught.value) == f"{path}: not a JSON object"


def test_the_environment_sets_keys_that_are_absent_from_the_file(tmp_path: Path) -> None:
    document = config(ADDRESS)
    del document["listen"]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    environment = {
        "ROUTER_CONFIG": str(path),
        "ROUTER_LISTEN": "127.0.0.1:7",
        "ROUTER_DISCOVERY": "127.0.0.1:9",
    }
    addresses = load_config(environment).addresses
    assert addresses.listen == "127.0.0.1:7"
    assert addresses.discovery == ADDRESS  # the file has precedence over the environment
