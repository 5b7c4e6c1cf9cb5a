"""What hollow planners hold: the same as a planner's roster, whatever lists come; and the comparison."""

from __future__ import annotations

from random import Random

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.scale.entries import Entry
from stackwheel.scale.hollow import listed_entry
from stackwheel.scale.hollow_endpoints import (
    Difference,
    HollowEndpointCache,
    ListedEntry,
    SharedEntries,
    compare,
    digest_of,
)
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds

ZONES, KINDS = ("zone-00", "zone-01"), ("m1",)


def instance(number: int, state: Availability = Availability.READY, started: float = 0.0, zone: int = 0) -> Instance:
    return Instance(f"svc-0000-{number:08x}", f"10.0.0.{number}:1", ZONES[zone], "m1", 0, state, 1.0, started)


def listing(random: Random, generation: int) -> EndpointList:
    states = (Availability.READY, Availability.DRAINING, Availability.REMOVED)
    found = tuple(
        instance(random.randrange(8), random.choice(states), float(random.randrange(4)), random.randrange(2))
        for _ in range(random.randrange(6))
    )
    unreadable = frozenset(random.choices(["", "svc-0000-00000001", "x"], k=random.randrange(2)))
    return EndpointList(generation, random.random() < 0.3, found, unreadable, random.random() < 0.1)


def test_holds_what_a_roster_holds_through_lists_in_any_order() -> None:
    for seed in range(300):
        random = Random(seed)
        shared = SharedEntries(ZONES, KINDS)
        holdings, roster = (
            [HollowEndpointCache(shared), HollowEndpointCache(shared)],
            EndpointCache(ZONES, KINDS, ServerIds()),
        )
        for step in range(12):
            told, now = listing(random, random.randrange(10)), 1000.0 * step
            roster.apply(told, now)
            for holding in holdings:
                holding.apply_list(told, now)
        for holding in holdings:
            assert holding.entries == roster.entries
            assert holding.generation == roster.generation
            assert {s: a for s, a in holding.addresses.items() if s in holding.entries} == {
                s: a for s, a in roster.addresses.items() if s in roster.entries
            }
        first, second = holdings
        assert all(first.entries[server] is second.entries[server] for server in first.entries)


def test_tells_what_a_list_changed_and_departures_by_omission() -> None:
    holding = HollowEndpointCache(SharedEntries(ZONES, KINDS))
    name = holding.server_ids.name
    assert [name(e.server) for e in holding.apply_list(EndpointList(1, True, (instance(1), instance(2))), 0.0)] == [
        "svc-0000-00000001",
        "svc-0000-00000002",
    ]
    assert holding.apply_list(EndpointList(2, True, (instance(1), instance(2))), 0.0) == []
    (drained,) = holding.apply_list(EndpointList(3, False, (instance(1, Availability.DRAINING),)), 0.0)
    assert drained.availability is Availability.DRAINING
    (gone,) = holding.apply_list(EndpointList(4, True, (instance(1, Availability.DRAINING),)), 0.0)
    assert gone.availability is Availability.REMOVED
    assert name(gone.server) == "svc-0000-00000002"


def test_a_sweep_forgets_only_what_nobody_holds() -> None:
    shared = SharedEntries(ZONES, KINDS)
    holding = HollowEndpointCache(shared)
    holding.apply_list(EndpointList(1, True, (instance(1), instance(2))), 0.0)
    holding.apply_list(EndpointList(2, False, (instance(1, Availability.REMOVED),)), 0.0)
    shared.sweep([holding])
    assert list(shared.entries) == list(holding.entries.values())
    assert list(shared.addresses) == ["10.0.0.2:1"]


def entries(*numbers: int, **changed: object) -> list[Entry]:
    return [Entry(f"svc-0000-{n:08x}", f"10.0.0.{n}:1", "zone-00", **changed) for n in numbers]  # type: ignore[arg-type]


def listed(*found: Entry) -> dict[str, ListedEntry]:
    shared = SharedEntries(ZONES, KINDS)
    return {entry.instance_id: listed_entry(entry, {z: n for n, z in enumerate(ZONES)}, shared) for entry in found}


def test_what_is_held_is_what_was_listed_field_by_field() -> None:
    holding = HollowEndpointCache(SharedEntries(ZONES, KINDS))
    holding.apply_list(EndpointList(1, True, (instance(1), instance(2))), 0.0)
    assert compare(holding.listed(), listed(*entries(1, 2))) == Difference()
    assert digest_of(holding.listed()) == digest_of(listed(*entries(1, 2)))
    for field, value in (("lifecycle", "terminating"), ("started_at_ms", 5), ("cell", 1), ("weight", 2.0)):
        wrong = listed(*entries(1), *entries(2, **{field: value}))
        assert compare(holding.listed(), wrong).different == ("svc-0000-00000002",)
        assert digest_of(holding.listed()) != digest_of(wrong)
    moved = listed(*entries(1), Entry("svc-0000-00000002", "10.0.0.9:1", "zone-00"))
    assert compare(holding.listed(), moved).different == ("svc-0000-00000002",)
    other_zone = listed(*entries(1), Entry("svc-0000-00000002", "10.0.0.2:1", "zone-01"))
    assert compare(holding.listed(), other_zone).different == ("svc-0000-00000002",)


def test_missing_and_left_over_entries_are_told_by_name() -> None:
    found = compare(listed(*entries(1, 2)), listed(*entries(2, 3)))
    assert found == Difference(("svc-0000-00000003",), ("svc-0000-00000001",), ())
    assert found.count() == 2
    assert found.example() == "svc-0000-00000003 is missing"
