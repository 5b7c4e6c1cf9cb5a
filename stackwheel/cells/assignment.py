"""Which cell a server or planner belongs to, and which relays serve a cell: rendezvous hashing, without state.

Every hash is XXH3 (64 bits) of the xxhash library, which is the same on every machine and in every process. In
rendezvous hashing each candidate gets a score from its own name and the key; the highest wins. So a candidate that
is added takes only keys that it wins, and one that is removed gives away only its own.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

from stackwheel.cells.plan import PARTS_MOST, REPLICAS, Cell, Plan, Relay

SERVER_SEEDS: Final = tuple(xxh3_64_intdigest(b"server-part-%d" % part) for part in range(PARTS_MOST))
PLANNER_SEEDS: Final = tuple(xxh3_64_intdigest(b"planner-part-%d" % part) for part in range(PARTS_MOST))
ORDER_SEED: Final = xxh3_64_intdigest(b"replica-order")


def service_of(instance_name: str) -> str:
    """The service of a server: its name up to the last `-`; a name without one, or that begins with its only one,
    is its own service."""
    service, _, _ = instance_name.rpartition("-")
    return service or instance_name


def part_of(instance_name: str, parts: int) -> int:
    """The part, from 0 to `parts` - 1, that a server belongs to; O(parts). ValueError over PARTS_MOST parts."""
    return _highest(instance_name, parts, SERVER_SEEDS)


def planner_part(planner_name: str, parts: int) -> int:
    """The part that a planner belongs to; drawn apart from servers'. ValueError over PARTS_MOST parts."""
    return _highest(planner_name, parts, PLANNER_SEEDS)


def _highest(key: str, parts: int, seeds: tuple[int, ...]) -> int:
    if parts == 1:
        return 0
    if not 1 <= parts <= PARTS_MOST:
        raise ValueError(f"{parts} parts, 1 to {PARTS_MOST} are possible")
    data = key.encode()
    scores = [xxh3_64_intdigest(data, seed) for seed in seeds[:parts]]
    return scores.index(max(scores))


def replicas(cell_name: str, relays: Iterable[Relay], count: int = REPLICAS) -> tuple[Relay, ...]:
    """The `count` relays that serve a cell, the first choice first; the order of `relays` doesn't matter."""

    key = cell_name.encode()

    def score(relay: Relay) -> tuple[int, str]:
        return xxh3_64_intdigest(key, xxh3_64_intdigest(relay.name.encode())), relay.name

    return tuple(sorted(relays, key=score, reverse=True)[:count])


def addresses(plan: Plan, cell: Cell, planner_name: str = "") -> str:
    """What a planner of a cell is given as its discovery: "host:port,host:port", the relay to try first first.

    Which replica is first follows from the planner's name, so that a cell's planners spread over both.
    """
    found = replicas(cell.name, plan.relays)
    first = xxh3_64_intdigest(planner_name.encode(), ORDER_SEED) % len(found)
    return ",".join(f"{relay.host}:{cell.port}" for relay in found[first:] + found[:first])


class CellIndex:
    """The cells of a valid plan by service and region. It keeps one entry a cell and one a zone."""

    def __init__(self, plan: Plan) -> None:
        self.regions = plan.regions
        self.groups: dict[tuple[str, str | None], Sequence[Cell | None]] = {}  # region None: all regions
        collected: dict[tuple[str, tuple[str, ...]], list[Cell | None]] = {}
        for cell in plan.cells:
            key = cell.service, tuple(sorted(cell.regions))
            group = collected.setdefault(key, [None] * cell.parts)
            group[cell.part] = cell
        for (service, regions), group in collected.items():
            for region in regions or (None,):
                self.groups[service, region] = tuple(group)

    def cell_of(self, instance_name: str, zone: str) -> Cell | None:
        """The cell that holds a server, or None where the plan has none; O(parts)."""
        group = self._group(service_of(instance_name), zone)
        return group[part_of(instance_name, len(group))] if group else None

    def cell_of_planner(self, planner_name: str, service: str, zone: str) -> Cell | None:
        """The cell that a planner of a service belongs to, or None where the plan has none; O(parts)."""
        group = self._group(service, zone)
        return group[planner_part(planner_name, len(group))] if group else None

    def _group(self, service: str, zone: str) -> Sequence[Cell | None]:
        found = self.groups.get((service, None))  # of all regions: also of a zone that the plan doesn't know
        return found or self.groups.get((service, self.regions.get(zone)), ())
