"""Assigns servers and planners to the cells of a service, and cells to relays, by stateless rendezvous hashing.

All hashes are 64-bit XXH3, which is the same on every machine and in every process. In rendezvous hashing, each
candidate gets a score from a hash of the key and the candidate, and the candidate with the highest score is chosen.
An added candidate therefore takes over only the keys for which it has the highest score, and the removal of a
candidate moves only its own keys.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

from stackwheel.cells.plan import MAX_PARTS, REPLICAS, Cell, Plan, Relay

SERVER_SEEDS: Final = tuple(xxh3_64_intdigest(b"server-part-%d" % part) for part in range(MAX_PARTS))
PLANNER_SEEDS: Final = tuple(xxh3_64_intdigest(b"planner-part-%d" % part) for part in range(MAX_PARTS))
ORDER_SEED: Final = xxh3_64_intdigest(b"replica-order")


def service_of(instance_name: str) -> str:
    """Return the service of a server, which is the server's name up to the last `-`.

    If there is no text before the last `-`, or no `-`, it is the whole name.
    """
    service, _, _ = instance_name.rpartition("-")
    return service or instance_name


def part_of(instance_name: str, parts: int) -> int:
    """Return the part of its service that a server belongs to, from 0 to `parts` - 1, in O(parts).

    Raises:
        ValueError: `parts` is not between 1 and MAX_PARTS.
    """
    if parts == 1:
        return 0
    _check_part_count(parts)
    key = _hash_key(instance_name)
    scores = [xxh3_64_intdigest(key, seed) for seed in SERVER_SEEDS[:parts]]
    return scores.index(max(scores))


def assign_planners(planner_names: Iterable[str], parts: int) -> dict[str, int]:
    """Return the part that each planner of a service belongs to; the sizes of the parts differ by one planner at most.

    The planners are assigned in the order of their hashes, each to the part with the highest score among those that
    are not full (rendezvous hashing with bounded loads). In contrast to `part_of`, this requires the names of all
    planners: independent hashing of a few planners would leave some parts without a planner. Duplicate names are
    ignored.

    Raises:
        ValueError: `parts` is not between 1 and MAX_PARTS.
    """
    _check_part_count(parts)
    keys = {name: _hash_key(name) for name in planner_names}
    order = sorted(keys, key=lambda name: (xxh3_64_intdigest(keys[name], ORDER_SEED), name))
    base_count, larger_parts_remaining = divmod(len(order), parts)  # the larger parts get base_count + 1 planners
    planner_counts = [0] * parts
    assigned: dict[str, int] = {}
    for name in order:
        limit = base_count + (larger_parts_remaining > 0)
        available_parts = [part for part in range(parts) if planner_counts[part] < limit]
        part = max(available_parts, key=lambda part: xxh3_64_intdigest(keys[name], PLANNER_SEEDS[part]))
        planner_counts[part] += 1
        larger_parts_remaining -= planner_counts[part] > base_count
        assigned[name] = part
    return assigned


def _check_part_count(parts: int) -> None:
    if not 1 <= parts <= MAX_PARTS:
        raise ValueError(f"part count {parts} is not between 1 and {MAX_PARTS}")


def _hash_key(name: str) -> bytes:
    return name.encode("utf-8", "surrogatepass")  # JSON strings may contain unpaired surrogates


def relays_for_cell(cell_name: str, relays: Iterable[Relay], count: int = REPLICAS) -> tuple[Relay, ...]:
    """Return the `count` relays that serve a cell, by descending score; the order of `relays` has no effect."""
    key = _hash_key(cell_name)

    def score(relay: Relay) -> tuple[int, str]:
        """Return the score of a relay for this cell, with its name to break ties."""
        return xxh3_64_intdigest(key, xxh3_64_intdigest(_hash_key(relay.name))), relay.name

    return tuple(sorted(relays, key=score, reverse=True)[:count])


def discovery_addresses(plan: Plan, cell: Cell, planner_name: str = "") -> str:
    """Return the relay addresses that a planner of a cell uses for discovery, in the format "host:port,host:port".

    The hash of the planner's name determines which relay is tried first, so that the planners of a cell are
    distributed over its relays.
    """
    replicas = relays_for_cell(cell.name, plan.relays)
    first = xxh3_64_intdigest(_hash_key(planner_name), ORDER_SEED) % len(replicas)
    return ",".join(f"{relay.host}:{cell.port}" for relay in replicas[first:] + replicas[:first])


class CellIndex:
    """An index of the cells of a valid plan by service and region.

    Attributes:
        regions: the region of each zone.
        groups: the cells of each service and region, ordered by part; the region is None for cells of all regions.
    """

    def __init__(self, plan: Plan) -> None:
        self.regions = plan.regions
        self.groups: dict[tuple[str, str | None], Sequence[Cell]] = {}
        cells_by_group: defaultdict[tuple[str, str | None], list[Cell]] = defaultdict(list)
        for cell in plan.cells:
            for region in cell.regions or (None,):
                cells_by_group[cell.service, region].append(cell)
        for key, group in cells_by_group.items():
            self.groups[key] = tuple(sorted(group, key=lambda cell: cell.part))

    def cell_of(self, instance_name: str, zone: str) -> Cell | None:
        """Return the cell that a server belongs to, or None if the plan has no cell for it, in O(parts)."""
        group = self._cells_of(service_of(instance_name), zone)
        return group[part_of(instance_name, len(group))] if group else None

    def cells_of_planners(self, planner_names: Iterable[str], service: str, region: str | None) -> dict[str, Cell]:
        """Return the cell that each planner belongs to, by planner name; empty if the plan has no cell for them.

        Args:
            planner_names: names of all planners of the service, or of those in the region if the service is divided
                by region.
            service: name of the service.
            region: name of the region; ignored if the service has cells of all regions.
        """
        group = self.groups.get((service, None)) or self.groups.get((service, region), ())
        if not group:
            return {}
        return {name: group[part] for name, part in assign_planners(planner_names, len(group)).items()}

    def _cells_of(self, service: str, zone: str) -> Sequence[Cell]:
        all_regions = self.groups.get((service, None))  # also covers zones that are not in the plan
        return all_regions or self.groups.get((service, self.regions.get(zone)), ())
