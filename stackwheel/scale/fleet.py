"""Generates a fleet from a seed: services of skewed sizes, zones in regions, servers and planners."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

# Proportions of the operators' fleet: 48,000 servers in 2,100 services and 85 zones of 36 regions.
SERVERS_PER_SERVICE = 48_000 / 2_100
SERVERS_PER_ZONE = 48_000 / 85
ZONES_PER_REGION = 85 / 36

# Sizes of services are log-normal: of 2,100 services, the median has 7 servers and the largest 600 to 5,000.
SERVICE_SIZE_LOG_SIGMA = 1.6
MAX_ZONES = 1_000
SERVER_PORT = 8081


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Numbers of servers, zones and planners of a fleet, and the seed from which it is generated."""

    servers: int
    zones: int
    planners: int
    seed: int


@dataclass(frozen=True, slots=True)
class DrawnServer:
    """One generated server: its listed name and address, its service and its zone."""

    name: str
    service: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class DrawnPlanner:
    """One generated planner: its name, its service, and its zone, in which the service has servers."""

    name: str
    service: str
    zone: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """All servers and planners, and the region of each zone.

    Attributes:
        servers: all servers.
        regions: name of the region, by zone.
        planners: all planners; the index of a planner is its number.
    """

    servers: tuple[DrawnServer, ...]
    regions: dict[str, str]
    planners: tuple[DrawnPlanner, ...]

    def sizes(self) -> dict[str, int]:
        """Return the number of servers of each service."""
        counts: dict[str, int] = {}
        for server in self.servers:
            counts[server.service] = counts.get(server.service, 0) + 1
        return counts

    def planners_of(self, service: str) -> tuple[int, ...]:
        """Return the numbers of a service's planners."""
        return tuple(number for number, planner in enumerate(self.planners) if planner.service == service)


def default_zones(servers: int) -> int:
    """Return the number of zones for a number of servers, at least one, in the proportion of the operators' fleet."""
    return max(1, round(servers / SERVERS_PER_ZONE))


def draw_fleet(shape: FleetShape) -> Fleet:
    """Generate a fleet; equal shapes give equal fleets."""
    random = Random(shape.seed)
    sizes = draw_sizes(shape.servers, random)
    zones = [f"zone-{number:02d}" for number in range(shape.zones)]
    regions = max(1, round(shape.zones / ZONES_PER_REGION))
    names = instance_names(sizes, random)
    zone_indices = balanced_indices(shape.servers, shape.zones, random)
    servers = tuple(
        DrawnServer(instance.name, instance.service, zones[zone_index], server_address(number))
        for number, (instance, zone_index) in enumerate(zip(names, zone_indices, strict=True))
    )
    return Fleet(
        servers,
        {zone: f"region-{index * regions // shape.zones:02d}" for index, zone in enumerate(zones)},
        draw_planners(servers, shape.planners, random),
    )


def draw_sizes(servers: int, random: Random) -> dict[str, int]:
    """Draw the number of servers of each service.

    Each service has one server and a log-normal share of the others, rounded by the largest-remainder method.
    """
    count = min(servers, max(1, round(servers / SERVERS_PER_SERVICE)))
    shares = sorted((random.lognormvariate(0.0, SERVICE_SIZE_LOG_SIGMA) for _ in range(count)), reverse=True)
    scale = (servers - count) / sum(shares)
    exact = [share * scale for share in shares]
    sizes = [1 + math.floor(size) for size in exact]
    by_remainder = sorted(range(count), key=lambda index: exact[index] % 1.0, reverse=True)
    for index in by_remainder[: servers - sum(sizes)]:
        sizes[index] += 1
    return {f"svc-{index:04d}": size for index, size in enumerate(sizes)}


class InstanceName(NamedTuple):
    """The service and the unique name of a server."""

    service: str
    name: str


def instance_names(sizes: dict[str, int], random: Random) -> Iterator[InstanceName]:
    """Draw a unique name for each server, service by service. `sizes`: number of servers of each service."""
    for service, size in sizes.items():
        used: set[int] = set()
        while len(used) < size:
            drawn = random.getrandbits(32)
            if drawn not in used:
                used.add(drawn)
                yield InstanceName(service, f"{service}-{drawn:08x}")


def balanced_indices(count: int, kinds: int, random: Random) -> list[int]:
    """Return `count` indices below `kinds` in random order; their frequencies differ by at most one."""
    indices = [number % kinds for number in range(count)]
    random.shuffle(indices)
    return indices


def server_address(number: int) -> str:
    """Return a unique address for a server; nothing listens at it."""
    return f"10.{(number >> 16) & 255}.{(number >> 8) & 255}.{number & 255}:{SERVER_PORT}"


def draw_planners(servers: Sequence[DrawnServer], planners: int, random: Random) -> tuple[DrawnPlanner, ...]:
    """Assign planners to services in proportion to their servers, and at least one each if there are enough."""
    one_per_service = {server.service: server for server in servers}
    first = list(one_per_service.values()) if planners >= len(one_per_service) else []
    chosen = sorted(
        first + systematic_sample(servers, planners - len(first), random), key=lambda server: server.service
    )
    return tuple(
        DrawnPlanner(f"planner-{number:05d}", server.service, server.zone) for number, server in enumerate(chosen)
    )


def systematic_sample(servers: Sequence[DrawnServer], count: int, random: Random) -> list[DrawnServer]:
    """Choose evenly spaced servers from a random start, so that each service has its share within one server."""
    start = random.random()
    return [servers[int((index + start) * len(servers) / count)] for index in range(count)]
