"""Generates endpoint lists, regions and relays; the sizes of services follow a power law."""

from __future__ import annotations

import json
from collections.abc import Iterable
from random import Random

from stackwheel.cells.check import ListedServer
from stackwheel.cells.plan import Relay

SERVERS = 48_000
SERVICES = 2_100
ZONES = 85
REGIONS = 36
RELAYS = 17
PLANNERS = 15_000
SIZE_EXPONENT = 0.9  # of the power law by which the size of a service decreases with its rank


def regions(zones: int = ZONES, count: int = REGIONS) -> dict[str, str]:
    return {f"zone-{zone:02}": f"region-{zone % count:02}" for zone in range(zones)}


def relays(count: int = RELAYS) -> tuple[Relay, ...]:
    return tuple(Relay(f"relay-{number}", f"127.0.1.{number + 1}") for number in range(count))


def servers(
    seed: int, count: int = SERVERS, services: int = SERVICES, zones: Iterable[str] | None = None
) -> list[ListedServer]:
    """Generate servers in random zones; each service has at least one server."""
    random = Random(seed)
    zone_names = list(zones if zones is not None else regions())
    weights = [(number + 1) ** -SIZE_EXPONENT for number in range(services)]
    service_numbers = [*range(services), *random.choices(range(services), weights, k=count - services)]
    suffixes = random.sample(range(1 << 32), count)
    return [
        ListedServer(f"svc-{service:04}-{suffix:08x}", random.choice(zone_names))
        for service, suffix in zip(service_numbers, suffixes, strict=True)
    ]


def encode_endpoint_list(listed: Iterable[ListedServer]) -> bytes:
    """Encode servers as a response of the discovery service."""
    instances = [
        {"instanceId": server.name, "hostPort": "10.1.0.1:80", "zone": server.zone, "lifecycle": "in_service"}
        for server in listed
    ]
    return json.dumps({"generation": 1, "reset": True, "instances": instances}).encode()
