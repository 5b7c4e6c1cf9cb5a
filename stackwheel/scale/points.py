"""Sizes at which a planner and a relay are measured: sweeps of one variable, and single points of the target size."""

from __future__ import annotations

from dataclasses import asdict, dataclass, replace
from typing import Any

from stackwheel.scale import target_size as target
from stackwheel.scale.entries import Entry

MEAN_SERVICE_SERVERS = round(target.SERVERS / target.SERVICES)
ZONES = target.ZONES
MEAN_SERVICE_REQUESTS_PER_S = round(target.REQUESTS_PER_S / target.SERVICES)


@dataclass(frozen=True, slots=True)
class Point:
    """The sizes at which one planner is measured.

    Attributes:
        servers: number of servers in the endpoint list.
        zones: number of zones over which servers and proxies are distributed.
        proxies: number of proxies that are connected to the planner.
        planners: number of planners of the cell, including the measured one.
        changes: number of changes of the endpoint list per second.
        zone_lost: whether all servers of the first zone are removed during the span.
        requests: number of requests per second; at most this many servers are in the load reports of a report interval.
    """

    servers: int = 128
    zones: int = 1
    proxies: int = 32
    planners: int = 1
    changes: float = 0.0
    zone_lost: bool = False
    requests: int = MEAN_SERVICE_REQUESTS_PER_S

    def entries(self, health_check_address: str) -> list[Entry]:
        """Return the endpoint list: zones in rotation, and one health check address for all servers."""
        return [
            Entry(f"svc-0001-{number:08x}", health_check_address, self.zone(number)) for number in range(self.servers)
        ]

    def zone(self, number: int) -> str:
        """Return the zone of a server or proxy by its number."""
        return f"zone-{number % self.zones:02d}"


@dataclass(frozen=True, slots=True)
class RelayPoint:
    """The sizes at which one relay is measured.

    Attributes:
        servers: number of servers in the full endpoint list, which the relay watches.
        watchers: number of watches that are open at the relay, distributed over the cells.
        changes: number of changes of the endpoint list per second.
    """

    servers: int = 2_000
    watchers: int = 200
    changes: float = 0.0

    def cells(self) -> int:
        """Return the number of cells, one for each service of mean size."""
        return max(1, round(self.servers / MEAN_SERVICE_SERVERS))

    def entries(self) -> list[Entry]:
        """Return the endpoint list: services and zones in rotation."""
        cells = self.cells()
        return [
            Entry(f"{cell_name(number % cells)}-{number:08x}", "10.0.0.1:8081", f"zone-{number % ZONES:02d}")
            for number in range(self.servers)
        ]


def cell_name(number: int) -> str:
    """Return the name of a cell, which is also the name of its only service."""
    return f"svc-{number:04d}"


@dataclass(frozen=True, slots=True)
class SweepPlan:
    """The plan of one sweep of a variable.

    Attributes:
        variable: the name of the swept variable.
        sizes: the values of the variable from which the fits are made.
        held_out_size: the value of the variable for which the fits predict the usage before it is measured.
        base_point: the point that provides the values of the other variables.
        jobs: the number of points that are measured concurrently; they share the machine.
    """

    variable: str
    sizes: tuple[int, ...]
    held_out_size: int
    base_point: Point | RelayPoint
    jobs: int

    @property
    def role(self) -> str:
        """The role of the measured process."""
        return "planner" if isinstance(self.base_point, Point) else "relay"

    @property
    def name(self) -> str:
        """The name of the sweep on the command line."""
        return self.variable if isinstance(self.base_point, Point) else f"relay-{self.variable}"

    def point(self, size: int) -> Point | RelayPoint:
        """Return the point for a value of the swept variable."""
        changed: dict[str, Any] = {self.swept_field(): size}
        return replace(self.base_point, **changed)

    def fixed(self) -> dict[str, float]:
        """Return the values of the variables that are the same at all points of the sweep, by name."""
        swept = self.swept_field()
        return {name: float(value) for name, value in asdict(self.base_point).items() if name != swept}

    def swept_field(self) -> str:
        """Return the name of the point's field that the sweep varies."""
        return SWEPT_FIELDS.get(self.variable, self.variable)


SWEPT_FIELDS = {"list": "servers"}
"""Names of the swept fields of points, by variable; a variable without an entry has the name of its field."""

SWEEP_PLANS = (
    SweepPlan("servers", sizes=(32, 64, 128, 256), held_out_size=512, base_point=Point(), jobs=3),
    SweepPlan(
        "list", sizes=(250, 500, 1_000, 2_000), held_out_size=4_000, base_point=Point(zones=20, proxies=5), jobs=2
    ),
    SweepPlan("zones", sizes=(2, 4, 8, 16), held_out_size=32, base_point=Point(servers=256, proxies=32), jobs=3),
    SweepPlan("proxies", sizes=(8, 16, 32, 64), held_out_size=128, base_point=Point(servers=23), jobs=3),
    SweepPlan("planners", sizes=(2, 4, 8, 16), held_out_size=32, base_point=Point(servers=23), jobs=3),
    SweepPlan("changes", sizes=(1, 2, 4, 8), held_out_size=16, base_point=Point(servers=256), jobs=3),
    SweepPlan("watchers", sizes=(100, 200, 400, 800), held_out_size=1_600, base_point=RelayPoint(), jobs=2),
    SweepPlan("servers", sizes=(2_000, 4_000, 8_000, 16_000), held_out_size=32_000, base_point=RelayPoint(), jobs=2),
    SweepPlan("changes", sizes=(5, 10, 20, 40), held_out_size=80, base_point=RelayPoint(), jobs=2),
)
MEAN_CELL = Point(servers=23, zones=2, proxies=5, planners=7)
LARGEST_SERVICE_CELL = Point(servers=51, zones=2, proxies=5, planners=16, requests=1056)
LARGEST_CELL = Point(servers=512, zones=2, proxies=44, planners=16, requests=512)  # both limits of a cell are reached
FULL_LIST = Point(servers=48_000, zones=85, proxies=5)  # planner that watches the full list, without cells

# Points that are measured outside of sweeps. Result files and docs/CAPACITY.md use these names.
SINGLE_POINTS = {
    "mean cell": MEAN_CELL,
    "mean cell, one request a proxy": replace(MEAN_CELL, proxies=66),
    "mean cell, zone lost": replace(MEAN_CELL, zone_lost=True),
    "part of the largest service": LARGEST_SERVICE_CELL,
    "part of the largest service, zone lost": replace(LARGEST_SERVICE_CELL, zone_lost=True),
    "largest cell": LARGEST_CELL,
    "largest cell, zone lost": replace(LARGEST_CELL, zone_lost=True),
    "whole list": FULL_LIST,
    "whole list, zone lost": replace(FULL_LIST, zone_lost=True),
}
SINGLE_POINT_JOBS = 2  # number of single points that are measured concurrently
