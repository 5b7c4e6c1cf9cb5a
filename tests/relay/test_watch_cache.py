"""Tests of the relay's watch cache: the lines sent to the watchers of each cell and the answers to requests."""

from __future__ import annotations

import pytest
from endpoint_lists import (
    DRAINING,
    READY,
    REMOVED,
    PlannerView,
    availability_by_name,
    by_service,
    by_service_and_zone,
    cell_list,
    delta_list,
    deltas_by_cell,
    instance,
    resumed_delta,
    snapshot_cells,
    snapshot_list,
    watch_cache_of,
)

from stackwheel.endpoints import MAX_LIST_AGE_MS, MIN_REMOVED_SERVER_LIMIT, latest_by_name
from stackwheel.relay.cell_view import MAX_CACHED_DELTAS, MAX_NEWER_GENERATIONS
from stackwheel.relay.encoding import encode_instance, encode_line
from stackwheel.relay.messages import Delta, EndWatches, SnapshotRequired, UnavailableError
from stackwheel.relay.watch_cache import MAX_UNREADABLE_NAMES, PLAN_PROPAGATION_MS, WatchCache
from stackwheel.wire import timing
from stackwheel.wire.discovery_protocol import parse_endpoint_list


def is_unavailable(cache: WatchCache, cell: str, since: int | None, now: float) -> bool:
    """Return whether a request is answered with 503."""
    try:
        cache.answer(cell, since, now)
    except UnavailableError:
        return True
    return False


def test_an_encoded_entry_is_parsed_as_the_same_entry() -> None:
    listed = (
        instance("a-1", DRAINING, started=1_700_000_000_123.0, weight=0.25),
        instance('a-ü"\\-2', REMOVED, "west", 0.5, address="[::1]:80"),
    )
    parsed = parse_endpoint_list(encode_line(7, False, map(encode_instance, listed)))
    assert parsed == delta_list(7, *listed)


def test_a_cell_receives_only_its_own_entries_and_changes() -> None:
    cache = watch_cache_of()
    assert cache.apply(snapshot_list(5, instance("a-1"), instance("b-1"), instance("c-1")), 0.0) == ()
    assert cell_list(cache) == snapshot_list(5, instance("a-1"))
    assert cell_list(cache, "b") == snapshot_list(5, instance("b-1"))
    assert deltas_by_cell(cache.apply(delta_list(6, instance("a-2"), instance("c-2")), 1.0)) == {"a": {"a-2": READY}}
    assert deltas_by_cell(cache.apply(delta_list(7, instance("c-3")), 2.0)) == {}
    assert cell_list(cache).generation == 7
    assert cache.snapshot("c") is None
    assert is_unavailable(cache, "c", None, 2.0)


def test_a_resumed_watch_gets_the_last_change_of_each_server_after_its_generation() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1"), instance("a-2")), 0.0)
    cache.apply(delta_list(6, instance("a-1", DRAINING)), 1.0)
    cache.apply(delta_list(7, instance("a-1", REMOVED), instance("a-3")), 2.0)
    cache.apply(delta_list(8, instance("a-3", DRAINING)), 3.0)
    assert resumed_delta(cache, "a", 5, 4.0) == delta_list(8, instance("a-1", REMOVED), instance("a-3", DRAINING))
    assert resumed_delta(cache, "a", 7, 4.0) == delta_list(8, instance("a-3", DRAINING))
    assert resumed_delta(cache, "a", 8, 4.0) == delta_list(8)


def test_no_watch_is_resumed_within_a_generation_gap() -> None:
    """A complete list lacks servers added and removed within the gap, which the other replica may have sent."""
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    cache.apply(snapshot_list(9, instance("a-1", DRAINING)), 1.0)
    assert cache.answer("a", 7, 2.0) == SnapshotRequired()
    assert availability_by_name(resumed_delta(cache, "a", 5, 2.0)) == {"a-1": DRAINING}
    assert resumed_delta(cache, "a", 9, 2.0) == delta_list(9)
    cache.apply(snapshot_list(12, instance("a-1", DRAINING)), 3.0)
    assert cache.answer("a", 7, 4.0) == cache.answer("a", 11, 4.0) == cache.answer("a", 5, 4.0) == SnapshotRequired()
    assert resumed_delta(cache, "a", 9, 4.0) == delta_list(12)


@pytest.mark.parametrize("since", [None, 0, 4])
def test_a_watch_that_cannot_be_resumed_gets_a_snapshot(since: int | None) -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    assert cache.answer("a", since, 1.0) == SnapshotRequired()


def test_removals_above_the_limit_are_evicted_and_earlier_watches_get_a_snapshot() -> None:
    cache = watch_cache_of()
    names = [f"a-{number}" for number in range(MIN_REMOVED_SERVER_LIMIT + 2)]
    cache.apply(snapshot_list(1, *map(instance, names)), 0.0)
    for generation, name in enumerate(names, 2):
        cache.apply(delta_list(generation, instance(name, REMOVED)), 1.0)
    assert len(cache.views["a"].removed) == MIN_REMOVED_SERVER_LIMIT
    assert cache.answer("a", 2, 2.0) == SnapshotRequired()  # the removals of generations 2 and 3 are evicted
    assert len(resumed_delta(cache, "a", 3, 2.0).instances) == MIN_REMOVED_SERVER_LIMIT


def test_each_delta_is_encoded_once_for_all_watchers() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    cache.apply(delta_list(6, instance("a-1", DRAINING)), 0.0)
    first, second = cache.answer("a", 5, 1.0), cache.answer("a", 5, 1.0)
    assert isinstance(first, Delta)
    assert isinstance(second, Delta)
    assert first.line is second.line
    cache.apply(delta_list(7, instance("b-1")), 2.0)
    assert resumed_delta(cache, "a", 5, 3.0).generation == 7
    for since in range(5, 8):
        cache.answer("a", since, 3.0)
    assert len(cache.views["a"].cached_deltas) <= MAX_CACHED_DELTAS


# Removals


def test_a_server_missing_from_a_newer_complete_list_is_removed() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1"), instance("a-2"), instance("b-1")), 0.0)
    assert deltas_by_cell(cache.apply(snapshot_list(9, instance("a-2")), 1.0)) == {
        "a": {"a-1": REMOVED},
        "b": {"b-1": REMOVED},
    }
    assert availability_by_name(cell_list(cache)) == {"a-2": READY}
    assert cell_list(cache, "b").instances == ()
    assert availability_by_name(resumed_delta(cache, "a", 5, 1.0)) == {"a-1": REMOVED}


def test_a_server_that_moves_to_another_cell_is_removed_from_the_previous_one() -> None:
    cache = watch_cache_of("a.east", "a.west", locate=by_service_and_zone)
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    assert deltas_by_cell(cache.apply(delta_list(6, instance("a-1", zone="west")), 1.0)) == {
        "a.east": {"a-1": REMOVED},
        "a.west": {"a-1": READY},
    }
    assert deltas_by_cell(cache.apply(delta_list(7, instance("a-1", REMOVED, "west")), 2.0)) == {
        "a.west": {"a-1": REMOVED}
    }
    assert availability_by_name(resumed_delta(cache, "a.east", 5, 2.0)) == {"a-1": REMOVED}


def test_a_removal_with_another_zone_is_sent_to_the_cell_that_lists_the_server() -> None:
    cache = watch_cache_of("a.east", "a.west", locate=by_service_and_zone)
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    assert deltas_by_cell(cache.apply(delta_list(6, instance("a-1", REMOVED, "west")), 1.0)) == {
        "a.east": {"a-1": REMOVED}
    }


def test_repeated_entries_resolve_to_the_latest_process_and_its_last_entry() -> None:
    cache = watch_cache_of()
    repeated = (
        instance("a-1", started=9.0),
        instance("a-1", REMOVED, started=3.0),
        instance("a-2"),
        instance("a-2", DRAINING),
    )
    assert {one.name: one for one in latest_by_name(repeated)} == {one.name: one for one in (repeated[0], repeated[3])}
    cache.apply(snapshot_list(5, *repeated), 0.0)
    assert availability_by_name(cell_list(cache)) == {"a-1": READY, "a-2": DRAINING}
    assert deltas_by_cell(cache.apply(delta_list(6, *repeated), 1.0)) == {}


# Unreadable entries


@pytest.mark.parametrize("name", ["a-1", ""])
def test_an_unreadable_entry_is_not_treated_as_a_removal(name: str) -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1"), instance("a-2")), 0.0)
    assert "a-1" not in deltas_by_cell(
        cache.apply(snapshot_list(6, instance("a-2"), unreadable=frozenset({name})), 1.0)
    ).get("a", {})
    assert availability_by_name(cell_list(cache)) == {"a-1": READY, "a-2": READY}
    actions = cache.apply(
        snapshot_list(2, instance("a-2"), unreadable=frozenset({name}), generations_restarted=True), 2.0
    )
    assert snapshot_cells(actions) == {"a", "b"}
    assert availability_by_name(cell_list(cache)) == {"a-1": READY, "a-2": READY}


@pytest.mark.parametrize("name", ["a-1", ""])
def test_a_server_with_an_unreadable_entry_in_the_first_list_is_not_sent_as_removed(name: str) -> None:
    """A planner that knows the server from another relay must not take the unreadable entry for a removal."""
    planner = PlannerView()
    first_cache = watch_cache_of()
    second_cache = watch_cache_of()
    first_cache.apply(snapshot_list(5, instance("a-1"), instance("a-2")), 0.0)
    assert planner.open_watch(first_cache, "a", 0.0)
    second_cache.apply(snapshot_list(6, instance("a-2"), unreadable=frozenset({name})), 0.0)
    assert planner.open_watch(second_cache, "a", 0.0)
    assert planner.since == 6
    assert planner.listed_servers() == {"a-1": READY, "a-2": READY}
    second_cache.apply(delta_list(7, instance("a-1", REMOVED)), 1.0)
    assert planner.open_watch(second_cache, "a", 1.0)
    assert planner.listed_servers() == {"a-2": READY}
    second_cache.apply(snapshot_list(8, instance("a-2")), 2.0)  # a complete list without unreadable entries
    assert cell_list(second_cache).unreadable == frozenset()


def test_above_the_limit_of_unreadable_names_any_server_may_be_unreadable() -> None:
    cache = watch_cache_of()
    cache.apply(
        snapshot_list(5, instance("a-1"), unreadable=frozenset(f"a-x{n}" for n in range(MAX_UNREADABLE_NAMES))), 0.0
    )
    assert len(cell_list(cache).unreadable) == MAX_UNREADABLE_NAMES
    cache.apply(delta_list(6, instance("a-x0"), unreadable=frozenset({"a-y"})), 1.0)
    assert len(cell_list(cache).unreadable) == MAX_UNREADABLE_NAMES  # one name was resolved and one added
    cache.apply(delta_list(7, unreadable=frozenset({"a-z"})), 2.0)
    assert cell_list(cache).unreadable == frozenset({""})


# Replicas of a cell


def test_a_client_with_a_newer_generation_is_rejected_until_the_relay_has_caught_up() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    assert is_unavailable(cache, "a", 6, 1.0)
    cache.apply(delta_list(6, instance("a-1", DRAINING)), 2.0)
    assert resumed_delta(cache, "a", 6, 3.0) == delta_list(6)


def test_a_relay_that_does_not_catch_up_in_time_sends_a_snapshot() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    for now in range(0, int(MAX_LIST_AGE_MS), 1000):
        cache.mark_upstream_alive(now)
        assert is_unavailable(cache, "a", 900, now)
    cache.mark_upstream_alive(MAX_LIST_AGE_MS)
    assert cache.answer("a", 900, MAX_LIST_AGE_MS) == SnapshotRequired()
    assert is_unavailable(cache, "a", 901, MAX_LIST_AGE_MS)  # the time to catch up is counted per generation


def test_the_time_to_catch_up_starts_again_after_a_loss_of_the_upstream() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    assert is_unavailable(cache, "a", 900, 0.0)
    cache.tick(timing.WATCH_SILENCE_TIMEOUT_MS)
    cache.mark_upstream_alive(MAX_LIST_AGE_MS)
    assert is_unavailable(cache, "a", 900, MAX_LIST_AGE_MS)
    cache.mark_upstream_alive(2 * MAX_LIST_AGE_MS)
    assert cache.answer("a", 900, 2 * MAX_LIST_AGE_MS) == SnapshotRequired()


def test_the_number_of_remembered_newer_generations_is_limited() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5), 0.0)
    for since in range(6, 6 + 2 * MAX_NEWER_GENERATIONS):
        assert is_unavailable(cache, "a", since, 0.0)
    assert len(cache.views["a"].newer_generations) == MAX_NEWER_GENERATIONS


# Restarted generations


def test_restarted_generations_are_sent_as_snapshots() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(50, instance("a-1"), instance("b-1")), 0.0)
    assert snapshot_cells(cache.apply(snapshot_list(3, instance("a-2"), generations_restarted=True), 1.0)) == {"a", "b"}
    assert cell_list(cache) == snapshot_list(3, instance("a-2"))
    assert deltas_by_cell(cache.apply(delta_list(4, instance("a-3")), 2.0)) == {"a": {"a-3": READY}}


def test_no_watch_is_resumed_from_a_generation_of_a_retired_numbering() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1"), instance("a-2")), 0.0)
    cache.apply(snapshot_list(3, instance("a-2"), generations_restarted=True), 1.0)
    for generation in range(4, 9):
        cache.apply(delta_list(generation, instance("a-2", weight=float(generation))), 2.0)
    assert cache.answer("a", 5, 3.0) == SnapshotRequired()  # generation 5 of the retired numbering lists a-1
    assert resumed_delta(cache, "a", 6, 3.0).generation == 8


def test_an_older_complete_list_is_accepted_after_one_heartbeat_interval_without_a_newer_list() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(50, instance("a-1"), instance("a-2")), 0.0)
    assert cache.apply(snapshot_list(3, instance("a-2")), 1.0) == ()
    assert cache.tick(timing.HEARTBEAT_INTERVAL_MS) == ()
    assert availability_by_name(cell_list(cache)) == {"a-1": READY, "a-2": READY}
    assert snapshot_cells(cache.tick(timing.HEARTBEAT_INTERVAL_MS + 1.0)) == {"a", "b"}
    assert cell_list(cache) == snapshot_list(3, instance("a-2"))


def test_an_older_complete_list_is_discarded_if_a_newer_list_follows() -> None:
    """A renewed watch may be answered with an older list than the last one that the previous watch received."""
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    cache.apply(delta_list(6, instance("a-2")), 1.0)
    cache.apply(snapshot_list(5, instance("a-1")), 2.0)
    assert deltas_by_cell(cache.apply(delta_list(6, instance("a-2")), 3.0)) == {}
    cache.mark_upstream_alive(timing.HEARTBEAT_INTERVAL_MS + 3.0)
    assert cache.tick(timing.HEARTBEAT_INTERVAL_MS + 3.0) == ()
    assert cell_list(cache) == snapshot_list(6, instance("a-1"), instance("a-2"))


def test_an_older_list_that_revives_a_server_waits_for_the_maximum_list_age() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(50, instance("a-1"), instance("a-2")), 0.0)
    cache.apply(delta_list(51, instance("a-1", DRAINING)), 0.0)
    cache.apply(snapshot_list(3, instance("a-1"), instance("a-2")), 0.0)
    assert deltas_by_cell(cache.apply(delta_list(4, instance("a-2", DRAINING)), 1.0)) == {"a": {"a-2": DRAINING}}
    cache.mark_upstream_alive(MAX_LIST_AGE_MS - 1.0)
    assert cache.tick(MAX_LIST_AGE_MS - 1.0) == ()
    assert availability_by_name(cell_list(cache))["a-1"] is DRAINING
    assert snapshot_cells(cache.tick(MAX_LIST_AGE_MS)) == {"a", "b"}
    assert cell_list(cache).generation == 4
    assert availability_by_name(cell_list(cache)) == {"a-1": READY, "a-2": DRAINING}


def test_a_new_entry_of_an_older_generation_reaches_watches_resumed_from_the_current_one() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(50, instance("a-1"), instance("a-2", started=5.0), instance("a-3")), 0.0)
    cache.apply(delta_list(51, instance("a-3", REMOVED)), 0.0)
    older = delta_list(49, instance("a-1", DRAINING), instance("a-2", started=4.0), instance("a-3"))
    assert deltas_by_cell(cache.apply(older, 1.0)) == {"a": {"a-1": DRAINING}}
    assert availability_by_name(resumed_delta(cache, "a", 51, 2.0)) == {"a-1": DRAINING}
    assert availability_by_name(cell_list(cache)) == {"a-1": DRAINING, "a-2": READY}


# Upstream liveness


def test_requests_before_the_first_list_are_rejected() -> None:
    cache = watch_cache_of()
    cache.mark_upstream_alive(0.0)
    assert is_unavailable(cache, "a", None, 1.0)
    assert not cache.is_current(1.0)


def test_a_relay_that_lost_its_upstream_is_unavailable_until_the_next_list() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    cache.mark_upstream_alive(1000.0)
    assert cache.tick(999.0 + timing.WATCH_SILENCE_TIMEOUT_MS) == ()
    assert cache.is_current(999.0 + timing.WATCH_SILENCE_TIMEOUT_MS)
    lost_at = 1000.0 + timing.WATCH_SILENCE_TIMEOUT_MS
    assert is_unavailable(cache, "a", 5, lost_at)
    assert is_unavailable(cache, "a", None, lost_at)
    (end_watches,) = cache.tick(lost_at)
    assert isinstance(end_watches, EndWatches)
    assert set(end_watches.cells) == {"a", "b"}
    assert cache.tick(lost_at + 1.0) == ()
    assert not cache.is_current(lost_at + 1.0)
    cache.apply(delta_list(6, instance("a-2")), lost_at + 9000.0)
    assert resumed_delta(cache, "a", 5, lost_at + 9000.0) == delta_list(6, instance("a-2"))  # a-1 is still listed


# Plans


def test_a_new_plan_ends_watches_of_removed_cells_and_fills_added_cells() -> None:
    cache = watch_cache_of("a", "b")
    cache.apply(snapshot_list(5, instance("a-1"), instance("b-1"), instance("c-1")), 0.0)
    end_watches, *others = cache.apply_plan(by_service, ["b", "c"], 1.0)
    assert deltas_by_cell(tuple(others)) == {"c": {"c-1": READY}}
    assert end_watches == EndWatches(("a",), end_watches.reason)  # type: ignore[union-attr]
    assert is_unavailable(cache, "a", 5, 2.0)
    assert cell_list(cache, "c") == snapshot_list(5, instance("c-1"))
    assert cell_list(cache, "b") == snapshot_list(5, instance("b-1"))
    assert deltas_by_cell(cache.apply(delta_list(6, instance("c-1", REMOVED), instance("a-1", REMOVED)), 3.0)) == {
        "c": {"c-1": REMOVED}
    }


def test_a_cell_that_loses_servers_to_another_cell_by_a_new_plan_sends_their_removals() -> None:
    cache = watch_cache_of("a", "a.west")
    cache.apply(snapshot_list(5, instance("a-1"), instance("a-2", zone="west")), 0.0)

    def split(name: str, zone: str) -> str:
        return "a.west" if zone == "west" else by_service(name, zone)

    assert deltas_by_cell(cache.apply_plan(split, ["a", "a.west"], 1.0)) == {
        "a": {"a-2": REMOVED},
        "a.west": {"a-2": READY},
    }
    assert cache.answer("a", 5, 2.0) == SnapshotRequired()  # the other replica may not have read the plan yet
    cache.mark_upstream_alive(1.0 + PLAN_PROPAGATION_MS)
    assert availability_by_name(resumed_delta(cache, "a", 5, 1.0 + PLAN_PROPAGATION_MS)) == {"a-2": REMOVED}
