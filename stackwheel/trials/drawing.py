"""Draws machine names, times and numbers for the faults of a random script."""

from __future__ import annotations

import random

from stackwheel.trials.shape import NameList, Shape, machine_numbers

FAULT_FREE_START_S = 3.0
NO_NEW_FAULT_END_S = 6.0
ZONE_PROBABILITY = 0.2
ALL_PLANNERS_PROBABILITY = 0.15
BOTH_RELAYS_PROBABILITY = 0.2


class Drawing:
    """Random draws for the faults of one script.

    Don't change the order of draws in a method: the scripts of all seeds depend on it.
    """

    def __init__(self, generator: random.Random, shape: Shape, span: float) -> None:
        self.random = generator
        self.shape = shape
        self.span = span

    def time_of_fault(self) -> float:
        """Draw the start of a fault, in s."""
        latest = max(FAULT_FREE_START_S, self.span - NO_NEW_FAULT_END_S)
        return round(self.random.uniform(FAULT_FREE_START_S, latest), 2)

    def number(self, low: float, high: float) -> float:
        """Draw a number between two bounds, rounded to two decimals."""
        return round(self.random.uniform(low, high), 2)

    def chance(self, probability: float) -> bool:
        """Draw a boolean that is true with the given probability."""
        return self.random.random() < probability

    def zone(self) -> str:
        """Draw the name of a zone."""
        return f"zone-{self.random.randrange(self.shape.zones)}"

    def machines(self, kind: str, count: int, share: float) -> NameList:
        """Draw one or more machines of a kind, up to a share of `count`; for proxies and servers at times a zone."""
        if kind != "planner" and self.chance(ZONE_PROBABILITY):
            return (self.zone(),)
        size = self.random.randint(1, max(1, round(share * count)))
        return tuple(f"{kind}-{number}" for number in sorted(self.random.sample(range(count), size)))

    def servers(self, share: float) -> NameList:
        """Draw servers; a zone is replaced by its servers, because the name `zone-N` includes its other machines."""
        names = self.machines("server", self.shape.servers, share)
        if names[0].startswith("zone"):
            return tuple(f"server-{number}" for number in machine_numbers(names, self.shape, "server"))
        return names

    def proxies(self, share: float) -> NameList:
        """Draw proxies; a zone is replaced by its proxies, or by `proxy-0` if it has none."""
        names = self.machines("proxy", self.shape.proxies, share)
        if names[0].startswith("zone"):
            numbers = machine_numbers(names, self.shape, "proxy")
            return tuple(f"proxy-{number}" for number in numbers) or ("proxy-0",)
        return names

    def planners(self) -> NameList:
        """Draw planners: all of them at times, otherwise up to half."""
        if self.chance(ALL_PLANNERS_PROBABILITY):
            return ("planners",)
        return self.machines("planner", self.shape.planners, 0.5)

    def relays(self) -> NameList:
        """Draw both relays at times, otherwise one of them."""
        if self.chance(BOTH_RELAYS_PROBABILITY):
            return ("relays",)
        return (f"relay-{self.random.randrange(self.shape.relays)}",)
