"""What the planner is told at its start: one JSON file, named by the environment."""

from __future__ import annotations

import json
import math
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from stackwheel.endpoints import EndpointList
from stackwheel.errors import InvalidInputError
from stackwheel.interface import Settings
from stackwheel.settings import Names, SettingsError, build_all, flatten
from stackwheel.wire.discovery_protocol import read_endpoint_list, replica_addresses
from stackwheel.wire.http import split_address
from stackwheel.wire.transport import Addresses

VARIABLE = "ROUTER_CONFIG"
OVERRIDES = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY"}
DEFAULT_LIMITS = {"sockets": 1024.0, "memory_mb": 192.0}


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    addresses: Addresses
    seed: int
    settings: Settings
    names: Names
    cached_endpoints: EndpointList
    defaulted_settings: tuple[str, ...] = ()  # settings that have their default


@dataclass(frozen=True, slots=True)
class ConfigError:
    """Why there is nothing to start with, in one line."""

    reason: str


def load_config(environment: Mapping[str, str] = os.environ) -> Config | ConfigError:
    path = environment.get(VARIABLE)
    if not path:
        return ConfigError(f"{VARIABLE} names no configuration")
    try:
        found = json.loads(Path(path).read_bytes())
    except OSError as error:
        return ConfigError(f"{path}: {error.strerror or error}")
    except (ValueError, RecursionError) as error:
        return ConfigError(f"{path}: no JSON: {error}")
    if not isinstance(found, dict):
        return ConfigError(f"{path}: not a JSON object")
    for key, variable in OVERRIDES.items():
        if key not in found and variable in environment:
            found[key] = environment[variable]
    try:
        return read_config(found)
    except SettingsError as error:
        return ConfigError(f"{path}: settings: {error}")
    except KeyError as error:
        return ConfigError(f"{path}: {error} is missing")
    except (ValueError, TypeError, AttributeError) as error:
        return ConfigError(f"{path}: {error}")


def read_config(found: dict[str, object]) -> Config:
    settings = found["settings"]
    if not isinstance(settings, dict) or not settings:
        raise ValueError("settings is no object")
    built, names, absent = build_all(dict(flatten(settings)))
    limits, peers = found.get("limits", {}), found.get("peers", [])
    if not isinstance(limits, dict) or not isinstance(peers, list):
        raise ValueError("limits or peers is wrong")
    addresses = Addresses(
        address(found, "listen"),
        replicated(found, "discovery"),
        address(found, "peer_listen", ""),
        tuple(checked("peers", peer) for peer in peers),
        address(found, "peers_all", ""),
        min(int(limit(limits, "sockets")), resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        limit(limits, "memory_mb"),
    )
    if built.planner_index >= built.planner_count:
        raise ValueError(f"settings.me is {built.planner_index}, of {built.planner_count} instances")
    if addresses.peers and len(addresses.peers) != built.planner_count:
        raise ValueError(f"{len(addresses.peers)} peers for {built.planner_count} instances")
    known = found.get("known")
    return Config(
        str(found.get("name", "planner")),
        addresses,
        read_seed(found.get("seed", "0")),
        built,
        names,
        EndpointList(0, True, ()) if known is None else read_endpoint_list(known, refuse),
        absent,
    )


def refuse(error: InvalidInputError) -> None:
    raise InvalidInputError(f"known: {error.place}", error.problem)


def address(found: dict[str, object], key: str, default: str | None = None) -> str:
    value = found[key] if default is None else found.get(key, default)
    return str(value) if value == default else checked(key, value)


def replicated(found: dict[str, object], key: str) -> str:
    """One address, or those of several replicas with commas between."""
    for replica in replica_addresses(str(found[key])):
        checked(key, replica)
    return str(found[key])


def checked(key: str, value: object) -> str:
    try:
        host, port = split_address(str(value))
    except ValueError:
        host, port = "", 0
    if not host or not 0 < port < 65536:
        raise ValueError(f"{key} is no address: {str(value)[:60]!r}")
    return str(value)


def limit(limits: dict[str, object], key: str) -> float:
    value = limits.get(key, DEFAULT_LIMITS[key])
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < math.inf:
        raise ValueError(f"limits.{key} is out of range: {str(value)[:40]!r}")
    return float(value)


def read_seed(value: object) -> int:
    try:
        return value if isinstance(value, int) else int(str(value), 16)
    except ValueError:
        raise ValueError(f"seed is no hexadecimal number: {str(value)[:40]!r}") from None
