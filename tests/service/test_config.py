"""The configuration file: errors name the key that can't be used, and the environment fills in what the file lacks."""

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
        ({"settings": []}, "settings: not an object, or an empty one"),
        ({"settings": {}}, "settings: not an object, or an empty one"),
        ({"settings": {"zone": "x"}}, "settings: zone: not a number: 'x'"),
        ({"settings": {"instances": 2, "me": 2}}, "settings.me: 2 of 2 instances"),
        ({"settings": {"instances": 2}, "peers": [ADDRESS]}, "peers: 1 peers for 2 instances"),
        ({"listen": "127.0.0.1:65536"}, "listen: not host:port: '127.0.0.1:65536'"),
        ({"discovery": f"{ADDRESS},nowhere"}, "discovery: not host:port: 'nowhere'"),
        ({"peer_listen": 5}, "peer_listen: not host:port: '5'"),
        ({"peers": {}}, "peers: not a list"),
        ({"limits": []}, "limits: not an object"),
        ({"limits": {"sockets": 0}}, "limits.sockets: not a finite number from 1 up: '0'"),
        ({"limits": {"memory_mb": True}}, "limits.memory_mb: not a finite number from 1 up: 'True'"),
        ({"seed": "x"}, "seed: not a hexadecimal number: 'x'"),
    ],
)
def test_an_error_names_the_key_and_the_value(changed: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError) as caught:
        read_config({**config(ADDRESS), **changed})
    assert str(caught.value) == message


@pytest.mark.parametrize("key", ["settings", "listen", "discovery"])
def test_a_key_that_has_to_be_there_is_named(key: str) -> None:
    document = config(ADDRESS)
    del document[key]
    with pytest.raises(ConfigError) as caught:
        read_config(document)
    assert (caught.value.location, caught.value.problem) == (key, "missing")


@pytest.mark.parametrize("known", [[], {"instances": []}, {"generation": 1, "reset": True, "instances": [{}]}])
def test_a_cached_endpoint_list_with_an_unreadable_entry_is_rejected(known: object) -> None:
    with pytest.raises(ConfigError) as caught:
        read_config({**config(ADDRESS), "known": known})
    assert caught.value.location == "known"


def test_an_error_begins_with_the_path_of_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("[]")
    with pytest.raises(ConfigError) as caught:
        load_config({"ROUTER_CONFIG": str(path)})
    assert str(caught.value) == f"{path}: not a JSON object"


def test_the_environment_gives_what_the_file_lacks(tmp_path: Path) -> None:
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
    assert addresses.discovery == ADDRESS  # the file comes first
