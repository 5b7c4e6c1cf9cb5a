"""The sizes at which a planner and a relay are measured: sweeps of one variable, and single points of the design."""

from __future__ import annotations

from dataclasses import asdict, dataclass, replace
from typing import Any

from stackwheel.scale import target_size as design
from stackwheel.scale.entries import Entry

SERVICE_SERVERS = round(design.SERVERS / design.SERVICES)  # of a mean service
ZONES = design.ZONES
MEAN_REQUESTS = round(design.REQUESTS / design.SERVICES)  # of a mean service, a second


@dataclass(frozen=True, slots=True)
class Point:
    """The sizes at which one planner is measured."""

    servers: int = 128
    zones: int = 1
    proxies: int = 32
    planners: int = 1
    changes: float = 0.0  # of the list, a second
    zone_lost: bool = False  # all servers of the first zone leave during the span
    requests: int = MEAN_REQUESTS  # a second; it bounds the servers that have a report in a report interval

    def entries(self, probe_address: str) -> list[Entry]:
        """The list: names as in the fleet, zones in turn; all servers at one address for health checks."""
        return [Entry(f"svc-0001-{number:08x}", probe_address, self.zone(number)) for number in range(self.servers)]

    def zone(self, number: int) -> str:
        """The zone of a server or proxy by its number."""
        return f"zone-{number % self.zones:02d}"


@dataclass(frozen=True, slots=True)
class RelayPoint:
    """The sizes at which one relay is measured: it has all servers, its watchers are spread over the cells."""

    servers: int = 2_000
    watchers: int = 200
    changes: float = 0.0  # of the list, a second

    def cells(self) -> int:
        """The number of cells, one for each service of mean size."""
        return max(1, round(self.servers / SERVICE_SERVERS))

    def entries(self) -> list[Entry]:
        """The list: services and zones in turn."""
        cells = self.cells()
        return [
            Entry(f"{cell_name(number % cells)}-{number:08x}", "10.0.0.1:8081", f"zone-{number % ZONES:02d}")
            for number in range(self.servers)
        ]


def cell_name(number: int) -> str:
    """The name of a cell, and of the one service in it."""
    return f"svc-{number:04d}"


@dataclass(frozen=True, slots=True)
class SweepPlan:
    """One sweep of a variable."""

    variable: str
    sizes: tuple[int, ...]  # that the fits are made from
    held_out: int  # the size that is predicted by the fits, and then measured
    base: Point | RelayPoint  # the other sizes
    jobs: int  # points measured concurrently: few, as they share the machine

    @property
    def role(self) -> str:
        """The role whose process is measured."""
        return "planner" if isinstance(self.base, Point) else "relay"

    @property
    def name(self) -> str:
        """The sweep's name on the command line."""
        return self.variable if isinstance(self.base, Point) else f"relay-{self.variable}"

    def point(self, size: int) -> Point | RelayPoint:
        """The point at a size of the swept variable."""
        changed: dict[str, Any] = {self.swept_field(): size}
        return replace(self.base, **changed)

    def fixed(self) -> dict[str, float]:
        """The sizes that are the same at all points of the sweep."""
        swept = self.swept_field()
        return {name: float(value) for name, value in asdict(self.base).items() if name != swept}

    def swept_field(self) -> str:
        """The field of a point that the sweep changes."""
        return FIELDS.get(self.variable, self.variable)


FIELDS = {"list": "servers"}  # the changed field of sweeps that have another name

SWEEP_PLANS = (
    SweepPlan("servers", sizes=(32, 64, 128, 256), held_out=512, base=Point(), jobs=3),
    SweepPlan("list", sizes=(250, 500, 1_000, 2_000), held_out=4_000, base=Point(zones=20, proxies=5), jobs=2),
    SweepPlan("zones", sizes=(2, 4, 8, 16), held_out=32, base=Point(servers=256, proxies=32), jobs=3),
    SweepPlan("proxies", sizes=(8, 16, 32, 64), held_out=128, base=Point(servers=23), jobs=3),
    SweepPlan("planners", sizes=(2, 4, 8, 16), held_out=32, base=Point(servers=23), jobs=3),
    SweepPlan("changes", sizes=(1, 2, 4, 8), held_out=16, base=Point(servers=256), jobs=3),
    SweepPlan("watchers", sizes=(100, 200, 400, 800), held_out=1_600, base=RelayPoint(), jobs=2),
    SweepPlan("servers", sizes=(2_000, 4_000, 8_000, 16_000), held_out=32_000, base=RelayPoint(), jobs=2),
    SweepPlan("changes", sizes=(5, 10, 20, 40), held_out=80, base=RelayPoint(), jobs=2),
)
MEAN_CELL = Point(servers=23, zones=2, proxies=5, planners=7)
SERVICE_PART = Point(
    servers=51, zones=2, proxies=5, planners=16, requests=1056
)  # of a large service: 16 planners' cell
LARGEST_CELL = Point(servers=512, zones=2, proxies=44, planners=16, requests=512)  # at both limits of the plan file
FULL_LIST = Point(servers=48_000, zones=85, proxies=5)  # a planner of a mean service, without cells

# Points that are measured as they are; result files and docs/CAPACITY.md use these names.
SINGLE_POINTS = {
    "mean cell": MEAN_CELL,
    "mean cell, one request a proxy": replace(MEAN_CELL, proxies=66),
    "mean cell, zone lost": replace(MEAN_CELL, zone_lost=True),
    "part of the largest service": SERVICE_PART,
    "part of the largest service, zone lost": replace(SERVICE_PART, zone_lost=True),
    "largest cell": LARGEST_CELL,
    "largest cell, zone lost": replace(LARGEST_CELL, zone_lost=True),
    "whole list": FULL_LIST,
    "whole list, zone lost": replace(FULL_LIST, zone_lost=True),
}
SINGLE_POINT_JOBS = 2  # of `SINGLE_POINTS`, measured concurrently
