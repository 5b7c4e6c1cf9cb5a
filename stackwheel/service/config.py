"""The planner's configuration: one JSON file, named by the environment."""

from __future__ import annotations

import json
import math
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from stackwheel.endpoints import EndpointList
from stackwheel.errors import InvalidInputError
from stackwheel.interface import Settings
from stackwheel.settings import ConfiguredNames, SettingsError, load_settings
from stackwheel.wire.discovery_protocol import read_endpoint_list, replica_addresses
from stackwheel.wire.http import split_address
from stackwheel.wire.transport import Addresses

CONFIG_VARIABLE = "ROUTER_CONFIG"  # environment variable that names the file
OVERRIDE_VARIABLES = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY"}
"""Keys that the environment gives where the file does not."""

DEFAULT_LIMITS = {"sockets": 1024.0, "memory_mb": 192.0}
MAX_PORT: Final = 65535
SHOWN_CHARACTERS: Final = 40  # of an offending value in an error
SHOWN_ADDRESS_CHARACTERS: Final = 60  # of an offending address


class ConfigError(InvalidInputError):
    """The configuration can't be used; `location` is the file or the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one planner.

    Attributes:
        name: stands in every log line.
        addresses: where the planner listens and whom it calls, with the limits of the process.
        seed: of all random numbers.
        settings: what the policy decides by.
        names: what the settings name.
        cached_endpoints: the endpoint list that the planner starts from; it may be old.
        defaulted_settings: paths of settings that were not given.
    """

    name: str
    addresses: Addresses
    seed: int
    settings: Settings
    names: ConfiguredNames
    cached_endpoints: EndpointList
    defaulted_settings: tuple[str, ...] = ()


def load_config(environment: Mapping[str, str] = os.environ) -> Config:
    """The configuration that the environment names; ConfigError, with the file's path, where it can't be used."""
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError("", f"{CONFIG_VARIABLE} names no configuration")
    document = read_document(path)
    for key, variable in OVERRIDE_VARIABLES.items():
        if key not in document and variable in environment:
            document[key] = environment[variable]
    try:
        return read_config(document)
    except ConfigError as error:
        raise ConfigError(path, str(error)) from error


def read_document(path: str) -> dict[str, object]:
    """The JSON object in a file."""
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(path, str(error.strerror or error)) from error
    except (ValueError, RecursionError) as error:  # broken, not UTF-8, or nested too deeply
        raise ConfigError(path, f"no JSON: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(path, "not a JSON object")
    return document


def read_config(document: Mapping[str, object]) -> Config:
    """The typed configuration; ConfigError names the key that can't be used."""
    nested_settings = required(document, "settings")
    if not isinstance(nested_settings, dict) or not nested_settings:
        raise ConfigError("settings", "not an object, or an empty one")
    try:
        loaded = load_settings(nested_settings)
    except SettingsError as error:
        raise ConfigError("settings", str(error)) from error
    addresses = read_addresses(document)
    settings = loaded.settings
    if settings.planner_index >= settings.planner_count:
        raise ConfigError("settings.me", f"{settings.planner_index} of {settings.planner_count} instances")
    if addresses.peers and len(addresses.peers) != settings.planner_count:
        raise ConfigError("peers", f"{len(addresses.peers)} peers for {settings.planner_count} instances")
    return Config(
        name=str(document.get("name", "planner")),
        addresses=addresses,
        seed=read_seed(document.get("seed", "0")),
        settings=settings,
        names=loaded.names,
        cached_endpoints=read_cached_endpoints(document.get("known")),
        defaulted_settings=loaded.absent_paths,
    )


def required(document: Mapping[str, object], key: str) -> object:
    """The value of a key that has to be there."""
    if key not in document:
        raise ConfigError(key, "missing")
    return document[key]


def read_addresses(document: Mapping[str, object]) -> Addresses:
    """All addresses and limits."""
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits", "not an object")
    peers = document.get("peers", [])
    if not isinstance(peers, list):
        raise ConfigError("peers", "not a list")
    return Addresses(
        listen=check_address("listen", required(document, "listen")),
        discovery=check_replica_addresses("discovery", required(document, "discovery")),
        peer_listen=optional_address(document, "peer_listen"),
        peers=tuple(check_address("peers", peer) for peer in peers),
        peers_all=optional_address(document, "peers_all"),
        sockets=min(int(read_limit(limits, "sockets")), resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        memory_mb=read_limit(limits, "memory_mb"),
    )


def read_cached_endpoints(document: object) -> EndpointList:
    """The endpoint list to start from, in the form in which discovery gives it; empty if there is none.

    Unlike in a list of discovery, an entry that can't be read makes all of it unusable.
    """
    if document is None:
        return EndpointList(0, True, ())
    try:
        return read_endpoint_list(document, reject_entry)
    except InvalidInputError as error:
        raise ConfigError("known", str(error)) from error


def reject_entry(error: InvalidInputError) -> None:
    """Raise the error of an entry that can't be read."""
    raise error


def optional_address(document: Mapping[str, object], key: str) -> str:
    """An address, or nothing."""
    value = document.get(key, "")
    return "" if value == "" else check_address(key, value)


def check_replica_addresses(key: str, value: object) -> str:
    """One address, or those of several replicas of a service with commas between."""
    for replica in replica_addresses(str(value)):
        check_address(key, replica)
    return str(value)


def check_address(key: str, value: object) -> str:
    """A value that is "host:port"."""
    try:
        host, port = split_address(str(value))
    except ValueError:
        host = ""
        port = 0
    if not host or not 0 < port <= MAX_PORT:
        raise ConfigError(key, f"not host:port: {str(value)[:SHOWN_ADDRESS_CHARACTERS]!r}")
    return str(value)


def read_limit(limits: Mapping[str, object], key: str) -> float:
    """A limit of the process: a finite number from 1 up."""
    value = limits.get(key, DEFAULT_LIMITS[key])
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < math.inf:
        raise ConfigError(f"limits.{key}", f"not a finite number from 1 up: {str(value)[:SHOWN_CHARACTERS]!r}")
    return float(value)


def read_seed(value: object) -> int:
    """An integer, or text with a hexadecimal one."""
    try:
        return value if isinstance(value, int) else int(str(value), 16)
    except ValueError as error:
        raise ConfigError("seed", f"not a hexadecimal number: {str(value)[:SHOWN_CHARACTERS]!r}") from error
