"""Which cell a server or planner belongs to, and which relays serve a cell: rendezvous hashing, without state.

Every hash is XXH3 (64 bits) of the xxhash library, which is the same on every machine and in every process. In
rendezvous hashing each candidate gets a score from its own name and the key; the highest wins. So a candidate that
is added takes only keys that it wins, and one that is removed gives away only its own.
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
    """The service of a server: its name up to the last `-`.

    A name without a `-`, or with a single one at its start, is its own service.
    """
    service, _, _ = instance_name.rpartition("-")
    return service or instance_name


def part_of(instance_name: str, parts: int) -> int:
    """The part, from 0 to `parts` - 1, that a server belongs to; O(parts).

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
    """The part of each planner of a service, so that no part has more than one planner more than another.

    Each planner, in the order of its hash, takes the part that it scores highest of those with capacity left
    (rendezvous hashing with bounded loads). It needs all names, unlike `part_of`, because few planners hashed one by
    one leave parts without any: of 6 a part on average, one part in 400. Equal names count once.

    Raises:
        ValueError: `parts` is not between 1 and MAX_PARTS.
    """
    _check_part_count(parts)
    keys = {name: _hash_key(name) for name in planner_names}
    order = sorted(keys, key=lambda name: (xxh3_64_intdigest(keys[name], ORDER_SEED), name))
    base_count, larger_parts_left = divmod(len(order), parts)  # that many parts get one planner more than the base
    planner_counts = [0] * parts
    assigned: dict[str, int] = {}
    for name in order:
        limit = base_count + (larger_parts_left > 0)
        open_parts = [part for part in range(parts) if planner_counts[part] < limit]
        part = max(open_parts, key=lambda part: xxh3_64_intdigest(keys[name], PLANNER_SEEDS[part]))
        planner_counts[part] += 1
        larger_parts_left -= planner_counts[part] > base_count
        assigned[name] = part
    return assigned


def _check_part_count(parts: int) -> None:
    if not 1 <= parts <= MAX_PARTS:
        raise ValueError(f"part count {parts} is not between 1 and {MAX_PARTS}")


def _hash_key(name: str) -> bytes:
    return name.encode("utf-8", "surrogatepass")  # JSON may hold half of a pair; a name is hashed whatever it is


def relays_for_cell(cell_name: str, relays: Iterable[Relay], count: int = REPLICAS) -> tuple[Relay, ...]:
    """The `count` relays that serve a cell, the first choice first; the order of `relays` doesn't matter."""
    key = _hash_key(cell_name)

    def score(relay: Relay) -> tuple[int, str]:
        """The relay's weight for this cell; equal weights are ordered by name."""
        return xxh3_64_intdigest(key, xxh3_64_intdigest(_hash_key(relay.name))), relay.name

    return tuple(sorted(relays, key=score, reverse=True)[:count])


def discovery_addresses(plan: Plan, cell: Cell, planner_name: str = "") -> str:
    """What a planner of a cell is given as its discovery: "host:port,host:port", the relay to try first first.

    Which replica is first follows from the planner's name, so that a cell's planners spread over both.
    """
    replicas = relays_for_cell(cell.name, plan.relays)
    first = xxh3_64_intdigest(_hash_key(planner_name), ORDER_SEED) % len(replicas)
    return ",".join(f"{relay.host}:{cell.port}" for relay in replicas[first:] + replicas[:first])


class CellIndex:
    """The cells of a valid plan by service and region, with one entry a cell and one a zone.

    Attributes:
        regions: the region of each zone.
        groups: the cells of each service and region, in the order of their parts; region None means all regions.
    """

    def __init__(self, plan: Plan) -> None:
        self.regions = plan.regions
        self.groups: dict[tuple[str, str | None], Sequence[Cell]] = {}
        collected: defaultdict[tuple[str, str | None], list[Cell]] = defaultdict(list)
        for cell in plan.cells:
            for region in cell.regions or (None,):
                collected[cell.service, region].append(cell)
        for key, group in collected.items():
            self.groups[key] = tuple(sorted(group, key=lambda cell: cell.part))

    def cell_of(self, instance_name: str, zone: str) -> Cell | None:
        """The cell of a server, or None where the plan has none; O(parts)."""
        group = self._cells_of(service_of(instance_name), zone)
        return group[part_of(instance_name, len(group))] if group else None

    def cells_of_planners(self, planner_names: Iterable[str], service: str, region: str | None) -> dict[str, Cell]:
        """The cell of each planner of a service, or of its planners in a region where the plan cuts it by regions.

        Empty where the plan has no such cell. `region` doesn't matter for a service with cells of all regions.
        """
        group = self.groups.get((service, None)) or self.groups.get((service, region), ())
        if not group:
            return {}
        return {name: group[part] for name, part in assign_planners(planner_names, len(group)).items()}

    def _cells_of(self, service: str, zone: str) -> Sequence[Cell]:
        all_regions = self.groups.get((service, None))  # these also cover a zone that the plan doesn't know
        return all_regions or self.groups.get((service, self.regions.get(zone)), ())
