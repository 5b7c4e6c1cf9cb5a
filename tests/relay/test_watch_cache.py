"""The relay's watch cache, event by event: what each cell is sent, and what a caller gets."""

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
    """Whether a call is answered with 503."""
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


def test_a_cell_is_sent_its_own_entries_and_changes_alone() -> None:
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
    """A complete list in place of changes names no server that came and went; the other replica may have sent it."""
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


def test_removals_beyond_the_bound_are_forgotten_and_sent_by_a_snapshot() -> None:
    cache = watch_cache_of()
    names = [f"a-{number}" for number in range(MIN_REMOVED_SERVER_LIMIT + 2)]
    cache.apply(snapshot_list(1, *map(instance, names)), 0.0)
    for generation, name in enumerate(names, 2):
        cache.apply(delta_list(generation, instance(name, REMOVED)), 1.0)
    assert len(cache.views["a"].removed) == MIN_REMOVED_SERVER_LIMIT
    assert cache.answer("a", 2, 2.0) == SnapshotRequired()  # the removals of generations 2 and 3 are forgotten
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
    assert resumed_delta(cache, "a", 5, 3.0).generation == 7  # not the old generation
    for since in range(5, 8):
        cache.answer("a", since, 3.0)
    assert len(cache.views["a"].deltas) <= MAX_CACHED_DELTAS


# Removals


def test_a_server_missing_in_a_newer_complete_list_is_removed() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1"), instance("a-2"), instance("b-1")), 0.0)
    assert deltas_by_cell(cache.apply(snapshot_list(9, instance("a-2")), 1.0)) == {
        "a": {"a-1": REMOVED},
        "b": {"b-1": REMOVED},
    }
    assert availability_by_name(cell_list(cache)) == {"a-2": READY}
    assert cell_list(cache, "b").instances == ()
    assert availability_by_name(resumed_delta(cache, "a", 5, 1.0)) == {"a-1": REMOVED}


def test_a_server_that_moves_to_another_cell_is_removed_from_the_old_one() -> None:
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


def test_a_removal_under_another_zone_is_sent_to_the_former_cell() -> None:
    cache = watch_cache_of("a.east", "a.west", locate=by_service_and_zone)
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    assert deltas_by_cell(cache.apply(delta_list(6, instance("a-1", REMOVED, "west")), 1.0)) == {
        "a.east": {"a-1": REMOVED}
    }


def test_of_repeated_entries_the_later_process_counts_and_of_one_process_the_last_entry() -> None:
    cache = watch_cache_of()
    doubled = (
        instance("a-1", started=9.0),
        instance("a-1", REMOVED, started=3.0),
        instance("a-2"),
        instance("a-2", DRAINING),
    )
    assert {one.name: one for one in latest_by_name(doubled)} == {one.name: one for one in (doubled[0], doubled[3])}
    cache.apply(snapshot_list(5, *doubled), 0.0)
    assert availability_by_name(cell_list(cache)) == {"a-1": READY, "a-2": DRAINING}
    assert deltas_by_cell(cache.apply(delta_list(6, *doubled), 1.0)) == {}


# Entries that can't be read


@pytest.mark.parametrize("name", ["a-1", ""])
def test_an_unreadable_entry_is_no_removal(name: str) -> None:
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
def test_a_relay_that_never_read_an_entry_sends_no_removal_either(name: str) -> None:
    """It began with a list whose entry it could not read; a planner knows the server from before."""
    planner = PlannerView()
    before = watch_cache_of()
    after = watch_cache_of()
    before.apply(snapshot_list(5, instance("a-1"), instance("a-2")), 0.0)
    assert planner.open_watch(before, "a", 0.0)
    after.apply(snapshot_list(6, instance("a-2"), unreadable=frozenset({name})), 0.0)
    assert planner.open_watch(after, "a", 0.0)
    assert planner.since == 6
    assert planner.listed_servers() == {"a-1": READY, "a-2": READY}
    after.apply(delta_list(7, instance("a-1", REMOVED)), 1.0)
    assert planner.open_watch(after, "a", 1.0)
    assert planner.listed_servers() == {"a-2": READY}
    after.apply(snapshot_list(8, instance("a-2")), 2.0)  # it has been read again: what is missing now is removed
    assert cell_list(after).unreadable == frozenset()


def test_unreadable_names_are_bounded_and_beyond_any_server_may_be_one() -> None:
    cache = watch_cache_of()
    cache.apply(
        snapshot_list(5, instance("a-1"), unreadable=frozenset(f"a-x{n}" for n in range(MAX_UNREADABLE_NAMES))), 0.0
    )
    assert len(cell_list(cache).unreadable) == MAX_UNREADABLE_NAMES
    cache.apply(delta_list(6, instance("a-x0"), unreadable=frozenset({"a-y"})), 1.0)
    assert len(cell_list(cache).unreadable) == MAX_UNREADABLE_NAMES  # one was read, one came
    cache.apply(delta_list(7, unreadable=frozenset({"a-z"})), 2.0)
    assert cell_list(cache).unreadable == frozenset({""})


# Replicas of a cell


def test_a_caller_that_is_ahead_is_rejected_until_this_relay_has_caught_up() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    assert is_unavailable(cache, "a", 6, 1.0)
    cache.apply(delta_list(6, instance("a-1", DRAINING)), 2.0)
    assert resumed_delta(cache, "a", 6, 3.0) == delta_list(6)


def test_a_relay_that_stays_behind_a_live_upstream_sends_a_snapshot() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    for now in range(0, int(MAX_LIST_AGE_MS), 1000):
        cache.mark_upstream_alive(now)
        assert is_unavailable(cache, "a", 900, now)
    cache.mark_upstream_alive(MAX_LIST_AGE_MS)
    assert cache.answer("a", 900, MAX_LIST_AGE_MS) == SnapshotRequired()
    assert is_unavailable(cache, "a", 901, MAX_LIST_AGE_MS)  # each generation has its own clock


def test_time_without_the_upstream_does_not_count_for_being_behind() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    assert is_unavailable(cache, "a", 900, 0.0)
    cache.tick(timing.WATCH_SILENCE_TIMEOUT_MS)
    cache.mark_upstream_alive(MAX_LIST_AGE_MS)
    assert is_unavailable(cache, "a", 900, MAX_LIST_AGE_MS)
    cache.mark_upstream_alive(2 * MAX_LIST_AGE_MS)
    assert cache.answer("a", 900, 2 * MAX_LIST_AGE_MS) == SnapshotRequired()


def test_remembered_newer_generations_are_bounded() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5), 0.0)
    for since in range(6, 6 + 2 * MAX_NEWER_GENERATIONS):
        assert is_unavailable(cache, "a", since, 0.0)
    assert len(cache.views["a"].newer_generations) == MAX_NEWER_GENERATIONS


# Restarted generations


def test_restarted_generations_are_passed_on_by_snapshots() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(50, instance("a-1"), instance("b-1")), 0.0)
    assert snapshot_cells(cache.apply(snapshot_list(3, instance("a-2"), generations_restarted=True), 1.0)) == {"a", "b"}
    assert cell_list(cache) == snapshot_list(3, instance("a-2"))
    assert deltas_by_cell(cache.apply(delta_list(4, instance("a-3")), 2.0)) == {"a": {"a-3": READY}}


def test_no_watch_is_resumed_after_a_generation_of_a_retired_numbering() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1"), instance("a-2")), 0.0)
    cache.apply(snapshot_list(3, instance("a-2"), generations_restarted=True), 1.0)
    for generation in range(4, 9):
        cache.apply(delta_list(generation, instance("a-2", weight=float(generation))), 2.0)
    assert cache.answer("a", 5, 3.0) == SnapshotRequired()  # in the retired numbering a-1 was listed at 5
    assert resumed_delta(cache, "a", 6, 3.0).generation == 8


def test_an_older_complete_list_is_accepted_after_a_heartbeat_interval_without_a_newer_one() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(50, instance("a-1"), instance("a-2")), 0.0)
    assert cache.apply(snapshot_list(3, instance("a-2")), 1.0) == ()
    assert cache.tick(timing.HEARTBEAT_INTERVAL_MS) == ()
    assert availability_by_name(cell_list(cache)) == {"a-1": READY, "a-2": READY}
    assert snapshot_cells(cache.tick(timing.HEARTBEAT_INTERVAL_MS + 1.0)) == {"a", "b"}
    assert cell_list(cache) == snapshot_list(3, instance("a-2"))


def test_an_older_complete_list_followed_by_a_newer_one_reverts_nothing() -> None:
    """Two watches cross: the one that is renewed was answered before the other sent more."""
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
    assert deltas_by_cell(cache.apply(delta_list(4, instance("a-2", DRAINING)), 1.0)) == {
        "a": {"a-2": DRAINING}
    }  # at once
    cache.mark_upstream_alive(MAX_LIST_AGE_MS - 1.0)
    assert cache.tick(MAX_LIST_AGE_MS - 1.0) == ()
    assert availability_by_name(cell_list(cache))["a-1"] is DRAINING
    assert snapshot_cells(cache.tick(MAX_LIST_AGE_MS)) == {"a", "b"}
    assert cell_list(cache).generation == 4
    assert availability_by_name(cell_list(cache)) == {"a-1": READY, "a-2": DRAINING}


def test_a_new_entry_of_an_older_generation_reaches_watches_resumed_after_the_present_one() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(50, instance("a-1"), instance("a-2", started=5.0), instance("a-3")), 0.0)
    cache.apply(delta_list(51, instance("a-3", REMOVED)), 0.0)
    older = delta_list(49, instance("a-1", DRAINING), instance("a-2", started=4.0), instance("a-3"))
    assert deltas_by_cell(cache.apply(older, 1.0)) == {"a": {"a-1": DRAINING}}
    assert availability_by_name(resumed_delta(cache, "a", 51, 2.0)) == {"a-1": DRAINING}
    assert availability_by_name(cell_list(cache)) == {"a-1": DRAINING, "a-2": READY}


# Upstream liveness


def test_no_call_is_answered_before_the_first_list() -> None:
    cache = watch_cache_of()
    cache.mark_upstream_alive(0.0)
    assert is_unavailable(cache, "a", None, 1.0)
    assert not cache.is_current(1.0)


def test_a_relay_that_lost_its_upstream_is_unavailable_until_it_is_back() -> None:
    cache = watch_cache_of()
    cache.apply(snapshot_list(5, instance("a-1")), 0.0)
    cache.mark_upstream_alive(1000.0)
    assert cache.tick(999.0 + timing.WATCH_SILENCE_TIMEOUT_MS) == ()
    assert cache.is_current(999.0 + timing.WATCH_SILENCE_TIMEOUT_MS)
    lost = 1000.0 + timing.WATCH_SILENCE_TIMEOUT_MS
    assert is_unavailable(cache, "a", 5, lost)
    assert is_unavailable(cache, "a", None, lost)
    (ended,) = cache.tick(lost)
    assert isinstance(ended, EndWatches)
    assert set(ended.cells) == {"a", "b"}
    assert cache.tick(lost + 1.0) == ()
    assert not cache.is_current(lost + 1.0)
    cache.apply(delta_list(6, instance("a-2")), lost + 9000.0)
    assert resumed_delta(cache, "a", 5, lost + 9000.0) == delta_list(6, instance("a-2"))  # it has kept its entries


# Plans


def test_a_new_plan_ends_watches_of_removed_cells_and_fills_added_ones() -> None:
    cache = watch_cache_of("a", "b")
    cache.apply(snapshot_list(5, instance("a-1"), instance("b-1"), instance("c-1")), 0.0)
    ended, *others = cache.apply_plan(by_service, ["b", "c"], 1.0)
    assert deltas_by_cell(tuple(others)) == {"c": {"c-1": READY}}  # to no watcher: none is open yet
    assert ended == EndWatches(("a",), ended.reason)  # type: ignore[union-attr]
    assert is_unavailable(cache, "a", 5, 2.0)
    assert cell_list(cache, "c") == snapshot_list(5, instance("c-1"))
    assert cell_list(cache, "b") == snapshot_list(5, instance("b-1"))
    assert deltas_by_cell(cache.apply(delta_list(6, instance("c-1", REMOVED), instance("a-1", REMOVED)), 3.0)) == {
        "c": {"c-1": REMOVED}
    }


def test_a_cell_that_a_new_plan_shrinks_sends_its_removals() -> None:
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
