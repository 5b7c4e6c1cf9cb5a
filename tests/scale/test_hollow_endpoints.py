"""Tests of the endpoint cache of hollow planners and of the comparison of its entries with the list."""

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
    entries_digest,
)
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds

ZONES = ("zone-00", "zone-01")
KINDS = ("m1",)


def instance(number: int, state: Availability = Availability.READY, started: float = 0.0, zone: int = 0) -> Instance:
    return Instance(f"svc-0000-{number:08x}", f"10.0.0.{number}:1", ZONES[zone], "m1", 0, state, 1.0, started)


def random_list(random: Random, generation: int) -> EndpointList:
    states = (Availability.READY, Availability.DRAINING, Availability.REMOVED)
    instances = tuple(
        instance(random.randrange(8), random.choice(states), float(random.randrange(4)), random.randrange(2))
        for _ in range(random.randrange(6))
    )
    unreadable = frozenset(random.choices(["", "svc-0000-00000001", "x"], k=random.randrange(2)))
    return EndpointList(generation, random.random() < 0.3, instances, unreadable, random.random() < 0.1)


def test_entries_equal_those_of_the_planners_cache_for_random_lists_in_any_order() -> None:
    for seed in range(300):
        random = Random(seed)
        shared = SharedEntries(ZONES, KINDS)
        hollow_caches = [HollowEndpointCache(shared), HollowEndpointCache(shared)]
        planner_cache = EndpointCache(ZONES, KINDS, ServerIds())
        for step in range(12):
            endpoint_list = random_list(random, random.randrange(10))
            now = 1000.0 * step
            planner_cache.apply(endpoint_list, now)
            for cache in hollow_caches:
                cache.apply_list(endpoint_list, now)
        for cache in hollow_caches:
            assert cache.entries == planner_cache.entries
            assert cache.generation == planner_cache.generation
            assert {s: a for s, a in cache.addresses.items() if s in cache.entries} == {
                s: a for s, a in planner_cache.addresses.items() if s in planner_cache.entries
            }
        first, second = hollow_caches
        assert all(first.entries[server] is second.entries[server] for server in first.entries)


def test_changed_entries_include_servers_that_are_absent_from_a_full_list() -> None:
    cache = HollowEndpointCache(SharedEntries(ZONES, KINDS))
    name = cache.server_ids.name
    assert [name(e.server) for e in cache.apply_list(EndpointList(1, True, (instance(1), instance(2))), 0.0)] == [
        "svc-0000-00000001",
        "svc-0000-00000002",
    ]
    assert cache.apply_list(EndpointList(2, True, (instance(1), instance(2))), 0.0) == []
    (drained,) = cache.apply_list(EndpointList(3, False, (instance(1, Availability.DRAINING),)), 0.0)
    assert drained.availability is Availability.DRAINING
    (removed,) = cache.apply_list(EndpointList(4, True, (instance(1, Availability.DRAINING),)), 0.0)
    assert removed.availability is Availability.REMOVED
    assert name(removed.server) == "svc-0000-00000002"


def test_remove_unused_removes_only_entries_and_addresses_that_no_cache_contains() -> None:
    shared = SharedEntries(ZONES, KINDS)
    cache = HollowEndpointCache(shared)
    cache.apply_list(EndpointList(1, True, (instance(1), instance(2))), 0.0)
    cache.apply_list(EndpointList(2, False, (instance(1, Availability.REMOVED),)), 0.0)
    shared.remove_unused([cache])
    assert list(shared.entries) == list(cache.entries.values())
    assert list(shared.addresses) == ["10.0.0.2:1"]


def entries(*numbers: int, **changed: object) -> list[Entry]:
    return [Entry(f"svc-0000-{n:08x}", f"10.0.0.{n}:1", "zone-00", **changed) for n in numbers]  # type: ignore[arg-type]


def expected(*listed: Entry) -> dict[str, ListedEntry]:
    shared = SharedEntries(ZONES, KINDS)
    return {entry.instance_id: listed_entry(entry, {z: n for n, z in enumerate(ZONES)}, shared) for entry in listed}


def test_cached_entries_are_compared_with_the_list_field_by_field() -> None:
    cache = HollowEndpointCache(SharedEntries(ZONES, KINDS))
    cache.apply_list(EndpointList(1, True, (instance(1), instance(2))), 0.0)
    assert compare(cache.listed_entries(), expected(*entries(1, 2))) == Difference()
    assert entries_digest(cache.listed_entries()) == entries_digest(expected(*entries(1, 2)))
    for field, value in (("lifecycle", "terminating"), ("started_at_ms", 5), ("cell", 1), ("weight", 2.0)):
        wrong = expected(*entries(1), *entries(2, **{field: value}))
        assert compare(cache.listed_entries(), wrong).different == ("svc-0000-00000002",)
        assert entries_digest(cache.listed_entries()) != entries_digest(wrong)
    other_address = expected(*entries(1), Entry("svc-0000-00000002", "10.0.0.9:1", "zone-00"))
    assert compare(cache.listed_entries(), other_address).different == ("svc-0000-00000002",)
    other_zone = expected(*entries(1), Entry("svc-0000-00000002", "10.0.0.2:1", "zone-01"))
    assert compare(cache.listed_entries(), other_zone).different == ("svc-0000-00000002",)


def test_the_difference_names_missing_and_unexpected_entries() -> None:
    difference = compare(expected(*entries(1, 2)), expected(*entries(2, 3)))
    assert difference == Difference(("svc-0000-00000003",), ("svc-0000-00000001",), ())
    assert difference.count() == 2
    assert difference.example() == "svc-0000-00000003 is missing"
