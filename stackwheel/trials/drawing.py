"""Names, times and numbers for the faults of one drawn script."""

from __future__ import annotations

import random

from stackwheel.trials.shape import NameList, Shape, machine_numbers

QUIET_AT_START_S = 3.0  # without a fault
QUIET_AT_END_S = 6.0  # without a new fault
ZONE_DRAW_SHARE = 0.2  # of draws of proxies or servers
ALL_PLANNERS_SHARE = 0.15  # of draws of planners
BOTH_RELAYS_SHARE = 0.2  # of draws of relays


class Drawing:
    """Names and times for the faults of one script."""

    def __init__(self, generator: random.Random, shape: Shape, span: float) -> None:
        self.random = generator
        self.shape = shape
        self.span = span

    def time_of_fault(self) -> float:
        """Draw when a fault begins, in s."""
        latest = max(QUIET_AT_START_S, self.span - QUIET_AT_END_S)
        return round(self.random.uniform(QUIET_AT_START_S, latest), 2)

    def number(self, low: float, high: float) -> float:
        """Draw a number of two digits after the point: a time in s, a share or a factor."""
        return round(self.random.uniform(low, high), 2)

    def chance(self, probability: float) -> bool:
        """Draw a boolean that is true with a probability."""
        return self.random.random() < probability

    def zone(self) -> str:
        """Draw the name of a zone."""
        return f"zone-{self.random.randrange(self.shape.zones)}"

    def some_machines(self, kind: str, count: int, share: float) -> NameList:
        """Draw between one and a share of the machines of a kind; at times a complete zone."""
        if kind != "planner" and self.chance(ZONE_DRAW_SHARE):
            return (self.zone(),)
        size = self.random.randint(1, max(1, round(share * count)))
        return tuple(f"{kind}-{number}" for number in sorted(self.random.sample(range(count), size)))

    def servers(self, share: float) -> NameList:
        """Draw servers by name; `zone-n` would name its proxies too."""
        names = self.some_machines("server", self.shape.servers, share)
        if names[0].startswith("zone"):
            return tuple(f"server-{number}" for number in machine_numbers(names, self.shape, "server"))
        return names

    def proxies(self, share: float) -> NameList:
        """Draw proxies by name."""
        names = self.some_machines("proxy", self.shape.proxies, share)
        if names[0].startswith("zone"):
            numbers = machine_numbers(names, self.shape, "proxy")
            return tuple(f"proxy-{number}" for number in numbers) or ("proxy-0",)
        return names

    def planners(self) -> NameList:
        """Draw planners: at times all, else up to half of them."""
        if self.chance(ALL_PLANNERS_SHARE):
            return ("planners",)
        return self.some_machines("planner", self.shape.planners, 0.5)

    def relays(self) -> NameList:
        """Draw relays: one of the two more often than both."""
        if self.chance(BOTH_RELAYS_SHARE):
            return ("relays",)
        return (f"relay-{self.random.randrange(self.shape.relays)}",)
