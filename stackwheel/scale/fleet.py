"""Draws a fleet from a seed: services with skewed sizes, zones in regions, servers, and the planners' services."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

SERVERS_A_SERVICE = 48_000 / 2_100  # the operators' size: 48,000 servers in 2,100 services
SERVERS_A_ZONE = 48_000 / 85  # ... in 85 zones
ZONES_A_REGION = 85 / 36  # ... in 36 regions
SIZE_SIGMA = 1.6  # of the lognormal sizes: of 2,100 services the median has 7 servers, the largest 600 to 5,000 by seed
MAX_ZONES = 1_000
SERVER_PORT = 8081


@dataclass(frozen=True, slots=True)
class Shape:
    """What a fleet is drawn from."""

    servers: int
    zones: int
    planners: int
    seed: int


@dataclass(frozen=True, slots=True)
class DrawnServer:
    """One server: its name as listed, its service and its zone."""

    name: str
    service: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class DrawnPlanner:
    """One planner: its name, its service, and its zone, which is one of the service's."""

    name: str
    service: str
    zone: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """All that is drawn. A planner's place in `planners` is its number."""

    servers: tuple[DrawnServer, ...]
    regions: dict[str, str]  # of each zone
    planners: tuple[DrawnPlanner, ...]

    def sizes(self) -> dict[str, int]:
        """Servers of each service."""
        found: dict[str, int] = {}
        for server in self.servers:
            found[server.service] = found.get(server.service, 0) + 1
        return found

    def planners_of(self, service: str) -> tuple[int, ...]:
        """The numbers of a service's planners."""
        return tuple(number for number, planner in enumerate(self.planners) if planner.service == service)


def default_zones(servers: int) -> int:
    """Zones for so many servers, as the operators' size has them; at least one."""
    return max(1, round(servers / SERVERS_A_ZONE))


def draw_fleet(shape: Shape) -> Fleet:
    """The same fleet for the same shape and seed, always."""
    random = Random(shape.seed)
    sizes = draw_sizes(shape.servers, random)
    zones = [f"zone-{number:02d}" for number in range(shape.zones)]
    regions = max(1, round(shape.zones / ZONES_A_REGION))
    names = instance_names(sizes, random)
    places = even_places(shape.servers, shape.zones, random)
    servers = tuple(
        DrawnServer(name, service, zones[place], server_address(number))
        for number, ((service, name), place) in enumerate(zip(names, places, strict=True))
    )
    return Fleet(
        servers,
        {zone: f"region-{place * regions // shape.zones:02d}" for place, zone in enumerate(zones)},
        draw_planners(servers, shape.planners, random),
    )


def draw_sizes(servers: int, random: Random) -> dict[str, int]:
    """Servers of each service: lognormal shares, rounded so that they add up, at least one each."""
    count = min(servers, max(1, round(servers / SERVERS_A_SERVICE)))
    shares = sorted((random.lognormvariate(0.0, SIZE_SIGMA) for _ in range(count)), reverse=True)
    scale = (servers - count) / sum(shares)
    exact = [share * scale for share in shares]
    sizes = [1 + math.floor(size) for size in exact]
    by_rest = sorted(range(count), key=lambda place: exact[place] % 1.0, reverse=True)
    for place in by_rest[: servers - sum(sizes)]:
        sizes[place] += 1
    return {f"svc-{place:04d}": size for place, size in enumerate(sizes)}


def instance_names(sizes: dict[str, int], random: Random) -> Iterator[tuple[str, str]]:
    """Each server's service and its own unique name within it."""
    for service, size in sizes.items():
        taken: set[int] = set()
        while len(taken) < size:
            drawn = random.getrandbits(32)
            if drawn not in taken:
                taken.add(drawn)
                yield service, f"{service}-{drawn:08x}"


def even_places(count: int, kinds: int, random: Random) -> list[int]:
    """Numbers below `kinds`, each as often as any other (or once more), in an order that is drawn."""
    found = [place % kinds for place in range(count)]
    random.shuffle(found)
    return found


def server_address(number: int) -> str:
    """An address of its own for each server; nobody listens there."""
    return f"10.{(number >> 16) & 255}.{(number >> 8) & 255}.{number & 255}:{SERVER_PORT}"


def draw_planners(servers: Sequence[DrawnServer], planners: int, random: Random) -> tuple[DrawnPlanner, ...]:
    """Planners over services in proportion to their servers; one each first where there are enough."""
    of_service = {server.service: server for server in servers}
    first = list(of_service.values()) if planners >= len(of_service) else []
    chosen = sorted(
        first + systematic_sample(servers, planners - len(first), random), key=lambda server: server.service
    )
    return tuple(
        DrawnPlanner(f"planner-{number:05d}", server.service, server.zone) for number, server in enumerate(chosen)
    )


def systematic_sample(servers: Sequence[DrawnServer], count: int, random: Random) -> list[DrawnServer]:
    """Servers at even steps from one random start: no service is off its share of the sample by more than one."""
    start = random.random()
    return [servers[int((place + start) * len(servers) / count)] for place in range(count)]
