"""The sizes that a planner is measured at: sweeps of one size each, and whole points as the design has them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from stackwheel.scale import design_size as design
from stackwheel.scale.surroundings import ListEntry

MEAN_REQUESTS = round(design.REQUESTS / design.SERVICES)  # a second; each is met by one server, and reported there


@dataclass(frozen=True, slots=True)
class Point:
    """The sizes that one planner is measured at."""

    servers: int = 128
    zones: int = 1
    proxies: int = 32
    planners: int = 1
    changes: float = 0.0  # of the list, a second
    zone_lost: bool = False  # all servers of the first zone leave during the span
    requests: int = MEAN_REQUESTS  # a second that collectors report on: no more servers a cycle can have met one

    def entries(self, probe_address: str) -> list[ListEntry]:
        """The list: names as in the fleet, zones in turn."""
        return [ListEntry(f"svc-0001-{number:08x}", probe_address, self.zone(number)) for number in range(self.servers)]

    def zone(self, number: int) -> str:
        return f"zone-{number % self.zones:02d}"


@dataclass(frozen=True, slots=True)
class Plan:
    """One sweep: which size, which values, the one held out, and what stands meanwhile."""

    variable: str
    sizes: tuple[int, ...]
    held_out: int
    base: Point
    jobs: int  # points measured side by side: few, as they share the machine

    def points(self, size: int) -> Point:
        """The point at a size of the swept variable."""
        changed: dict[str, Any] = {FIELDS.get(self.variable, self.variable): size}
        return replace(self.base, **changed)


FIELDS = {"list": "servers"}  # sweeps that are named otherwise than the field they change

PLANS = (
    Plan("servers", (32, 64, 128, 256), 512, Point(), 3),
    Plan("list", (250, 500, 1_000, 2_000), 4_000, Point(zones=20, proxies=5), 2),
    Plan("zones", (2, 4, 8, 16), 32, Point(servers=256, proxies=32), 3),
    Plan("proxies", (8, 16, 32, 64), 128, Point(servers=23), 3),
    Plan("planners", (2, 4, 8, 16), 32, Point(servers=23), 3),
    Plan("changes", (1, 2, 4, 8), 16, Point(servers=256), 3),
)
MEAN_CELL = Point(servers=23, zones=2, proxies=5, planners=7)
SERVICE_PART = Point(servers=51, zones=2, proxies=5, planners=16, requests=1056)  # 16 planners' part of a large one
LARGEST_CELL = Point(servers=512, zones=2, proxies=44, planners=16, requests=512)  # both limits of the plan file
WHOLE_LIST = Point(servers=48_000, zones=85, proxies=5)  # a mean service's planner, without cells
DIRECT = {
    "mean cell": MEAN_CELL,
    "mean cell, one request a proxy": replace(MEAN_CELL, proxies=66),
    "mean cell, zone lost": replace(MEAN_CELL, zone_lost=True),
    "part of the largest service": SERVICE_PART,
    "part of the largest service, zone lost": replace(SERVICE_PART, zone_lost=True),
    "largest cell": LARGEST_CELL,
    "largest cell, zone lost": replace(LARGEST_CELL, zone_lost=True),
    "whole list": WHOLE_LIST,
    "whole list, zone lost": replace(WHOLE_LIST, zone_lost=True),
}
DIRECT_JOBS = 2
