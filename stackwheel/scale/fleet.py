"""Draws a fleet from a seed: services of skewed sizes, zones in regions, servers, and planners of the services."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

# The operators' fleet has 48,000 servers in 2,100 services and 85 zones of 36 regions.
SERVERS_PER_SERVICE = 48_000 / 2_100
SERVERS_PER_ZONE = 48_000 / 85
ZONES_PER_REGION = 85 / 36

SERVICE_SIZE_LOG_SIGMA = (
    1.6  # of the log-normal sizes: of 2,100 services the median has 7 servers, the largest 600 to 5,000
)
MAX_ZONES = 1_000
SERVER_PORT = 8081


@dataclass(frozen=True, slots=True)
class FleetShape:
    """What a fleet is drawn from: its numbers and the seed."""

    servers: int
    zones: int
    planners: int
    seed: int


@dataclass(frozen=True, slots=True)
class DrawnServer:
    """One server: its name and address as listed, its service and its zone."""

    name: str
    service: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class DrawnPlanner:
    """One planner: its name, its service, and its zone, which is one of the service's zones."""

    name: str
    service: str
    zone: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """All servers and planners, and the region of each zone."""

    servers: tuple[DrawnServer, ...]
    regions: dict[str, str]  # by zone
    planners: tuple[DrawnPlanner, ...]  # a planner's number is its index

    def sizes(self) -> dict[str, int]:
        """The number of servers of each service."""
        counts: dict[str, int] = {}
        for server in self.servers:
            counts[server.service] = counts.get(server.service, 0) + 1
        return counts

    def planners_of(self, service: str) -> tuple[int, ...]:
        """The numbers of a service's planners."""
        return tuple(number for number, planner in enumerate(self.planners) if planner.service == service)


def default_zones(servers: int) -> int:
    """The number of zones for a number of servers, in the proportion of the operators' fleet; at least one."""
    return max(1, round(servers / SERVERS_PER_ZONE))


def draw_fleet(shape: FleetShape) -> Fleet:
    """Draw a fleet; the same shape and seed always give the same one."""
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
    """The number of servers of each service: one each, and log-normal shares of the rest (largest remainder)."""
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
    """A server's service and its name, which is unique."""

    service: str
    name: str


def instance_names(sizes: dict[str, int], random: Random) -> Iterator[InstanceName]:
    """A name for each server, service by service; `sizes`: the number of servers of each service."""
    for service, size in sizes.items():
        used: set[int] = set()
        while len(used) < size:
            drawn = random.getrandbits(32)
            if drawn not in used:
                used.add(drawn)
                yield InstanceName(service, f"{service}-{drawn:08x}")


def balanced_indices(count: int, kinds: int, random: Random) -> list[int]:
    """So many numbers below `kinds`, each as often as any other or once more, in a drawn order."""
    indices = [number % kinds for number in range(count)]
    random.shuffle(indices)
    return indices


def server_address(number: int) -> str:
    """A different address for each server; nothing listens there."""
    return f"10.{(number >> 16) & 255}.{(number >> 8) & 255}.{number & 255}:{SERVER_PORT}"


def draw_planners(servers: Sequence[DrawnServer], planners: int, random: Random) -> tuple[DrawnPlanner, ...]:
    """Planners of the services in proportion to their servers, with one for each service if there are enough."""
    one_per_service = {server.service: server for server in servers}
    first = list(one_per_service.values()) if planners >= len(one_per_service) else []
    chosen = sorted(
        first + systematic_sample(servers, planners - len(first), random), key=lambda server: server.service
    )
    return tuple(
        DrawnPlanner(f"planner-{number:05d}", server.service, server.zone) for number, server in enumerate(chosen)
    )


def systematic_sample(servers: Sequence[DrawnServer], count: int, random: Random) -> list[DrawnServer]:
    """Evenly spaced servers from one random start: no service is off its share of the sample by more than one."""
    start = random.random()
    return [servers[int((index + start) * len(servers) / count)] for index in range(count)]
