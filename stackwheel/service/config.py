"""Reads the planner's configuration from the JSON file whose path is set in the environment."""

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

CONFIG_VARIABLE = "ROUTER_CONFIG"  # environment variable with the path of the configuration file
FALLBACK_VARIABLES = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY"}
"""Environment variables that set a key which is absent from the file, by key."""

DEFAULT_LIMITS = {"sockets": 1024.0, "memory_mb": 192.0}
MAX_PORT: Final = 65535
MAX_QUOTED_CHARACTERS: Final = 40  # length of an invalid value that is quoted in an error message
MAX_QUOTED_ADDRESS_CHARACTERS: Final = 60  # length of an invalid address that is quoted in an error message


class ConfigError(InvalidInputError):
    """The configuration is invalid or cannot be read; `location` is the path of the file or the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one planner.

    Attributes:
        name: name of the planner, which every log line contains.
        addresses: addresses to listen on and to connect to, and the limits of the process.
        seed: seed of all random number generators.
        settings: settings of the policy.
        names: names that the settings define, and settings that the policy does not use.
        cached_endpoints: endpoint list to start from; it may be out of date.
        defaulted_settings: paths of settings that are not set and have their defaults.
    """

    name: str
    addresses: Addresses
    seed: int
    settings: Settings
    names: ConfiguredNames
    cached_endpoints: EndpointList
    defaulted_settings: tuple[str, ...] = ()


def load_config(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration file whose path is set in an environment variable.

    Raises:
        ConfigError: the file cannot be read or is invalid; the message begins with its path.
    """
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError("", f"the environment variable {CONFIG_VARIABLE} is not set or empty")
    document = read_document(path)
    for key, variable in FALLBACK_VARIABLES.items():
        if key not in document and variable in environment:
            document[key] = environment[variable]
    try:
        return read_config(document)
    except ConfigError as error:
        raise ConfigError(path, str(error)) from error


def read_document(path: str) -> dict[str, object]:
    """Read the JSON object in a file; raises ConfigError if the file is unreadable or contains something else."""
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(path, str(error.strerror or error)) from error
    except (ValueError, RecursionError) as error:  # a syntax error, not UTF-8, or nested too deeply
        raise ConfigError(path, f"not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(path, "not a JSON object")
    return document


def read_config(document: Mapping[str, object]) -> Config:
    """Convert a JSON object to the typed configuration; raises ConfigError with the key of an invalid value."""
    nested_settings = required(document, "settings")
    if not isinstance(nested_settings, dict) or not nested_settings:
        raise ConfigError("settings", "not a non-empty JSON object")
    try:
        loaded = load_settings(nested_settings)
    except SettingsError as error:
        raise ConfigError("settings", str(error)) from error
    addresses = read_addresses(document)
    settings = loaded.settings
    if settings.planner_index >= settings.planner_count:
        raise ConfigError(
            "settings.me", f"index {settings.planner_index} is out of range for {settings.planner_count} instances"
        )
    if addresses.peers and len(addresses.peers) != settings.planner_count:
        raise ConfigError(
            "peers",
            f"{len(addresses.peers)} addresses for {settings.planner_count} instances, expected one for each",
        )
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
    """Return the value of a required key; raises ConfigError if it is missing."""
    if key not in document:
        raise ConfigError(key, "missing")
    return document[key]


def read_addresses(document: Mapping[str, object]) -> Addresses:
    """Read the addresses and the limits of the process."""
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits", "not a JSON object")
    peers = document.get("peers", [])
    if not isinstance(peers, list):
        raise ConfigError("peers", "not a JSON array")
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
    """Read the endpoint list to start from, in the format of the discovery service; empty if it is not set.

    Unlike in a list from the discovery service, one invalid entry makes the whole list invalid.
    """
    if document is None:
        return EndpointList(0, True, ())
    try:
        return read_endpoint_list(document, reject_entry)
    except InvalidInputError as error:
        raise ConfigError("known", str(error)) from error


def reject_entry(error: InvalidInputError) -> None:
    """Raise the error of an invalid entry instead of skipping the entry."""
    raise error


def optional_address(document: Mapping[str, object], key: str) -> str:
    """Return an optional address; an empty string if it is not set."""
    value = document.get(key, "")
    return "" if value == "" else check_address(key, value)


def check_replica_addresses(key: str, value: object) -> str:
    """Return the comma-separated addresses of the replicas of a service; raises ConfigError if one is invalid."""
    for replica in replica_addresses(str(value)):
        check_address(key, replica)
    return str(value)


def check_address(key: str, value: object) -> str:
    """Return an address "host:port"; raises ConfigError if the value is not one."""
    try:
        host, port = split_address(str(value))
    except ValueError:
        host = ""
        port = 0
    if not host or not 0 < port <= MAX_PORT:
        raise ConfigError(key, f"not host:port: {str(value)[:MAX_QUOTED_ADDRESS_CHARACTERS]!r}")
    return str(value)


def read_limit(limits: Mapping[str, object], key: str) -> float:
    """Return a limit of the process, which has to be a finite number of at least 1."""
    value = limits.get(key, DEFAULT_LIMITS[key])
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < math.inf:
        raise ConfigError(f"limits.{key}", f"not a finite number of at least 1: {str(value)[:MAX_QUOTED_CHARACTERS]!r}")
    return float(value)


def read_seed(value: object) -> int:
    """Return the seed, which is an integer or a string with a hexadecimal number."""
    try:
        return value if isinstance(value, int) else int(str(value), 16)
    except ValueError as error:
        raise ConfigError("seed", f"not a hexadecimal number: {str(value)[:MAX_QUOTED_CHARACTERS]!r}") from error
