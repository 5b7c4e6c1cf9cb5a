"""The relay's core, event by event: what each cell is told, and what a caller gets."""

from __future__ import annotations

import pytest
from lists import (
    DRAINING,
    GONE,
    READY,
    Follower,
    by_service,
    by_service_and_zone,
    cache,
    changes,
    part,
    resumed,
    server,
    states,
    told,
    whole,
    wholes,
)

from stackwheel.endpoints import MAX_LIST_AGE, latest_by_name
from stackwheel.relay import cache as core
from stackwheel.relay.encoding import encode_instance, encode_line
from stackwheel.relay.messages import EndWatches, Resumed, Unavailable, WholeDue
from stackwheel.relay.part import AHEAD_MOST, ANSWERS_MOST, DEPARTED_LEAST
from stackwheel.wire import timing
from stackwheel.wire.discovery_client import parse_listing


def test_what_is_written_is_read_as_the_same_entry() -> None:
    listed = (
        server("a-1", DRAINING, started=1_700_000_000_123.0, weight=0.25),
        server('a-ü"\\-2', GONE, "west", 0.5, address="[::1]:80"),
    )
    found = parse_listing(encode_line(7, False, map(encode_instance, listed)))
    assert found == changes(7, *listed)


def test_a_cell_is_told_its_part_and_its_changes_alone() -> None:
    held = cache()
    assert held.take(whole(5, server("a-1"), server("b-1"), server("c-1")), 0.0) == ()
    assert part(held) == whole(5, server("a-1"))
    assert part(held, "b") == whole(5, server("b-1"))
    assert told(held.take(changes(6, server("a-2"), server("c-2")), 1.0)) == {"a": {"a-2": READY}}
    assert told(held.take(changes(7, server("c-3")), 2.0)) == {}
    assert part(held).generation == 7
    assert held.whole("c") is None
    assert isinstance(held.ask("c", None, 2.0), Unavailable)


def test_who_goes_on_gets_the_last_word_of_each_change_after_it() -> None:
    held = cache()
    held.take(whole(5, server("a-1"), server("a-2")), 0.0)
    held.take(changes(6, server("a-1", DRAINING)), 1.0)
    held.take(changes(7, server("a-1", GONE), server("a-3")), 2.0)
    held.take(changes(8, server("a-3", DRAINING)), 3.0)
    assert resumed(held, "a", 5, 4.0) == changes(8, server("a-1", GONE), server("a-3", DRAINING))
    assert resumed(held, "a", 7, 4.0) == changes(8, server("a-3", DRAINING))
    assert resumed(held, "a", 8, 4.0) == changes(8)


def test_a_whole_list_in_place_of_changes_names_no_server_that_came_and_went() -> None:
    """The twin has told of it, to a caller that goes on here."""
    held = cache()
    held.take(whole(5, server("a-1")), 0.0)
    held.take(whole(9, server("a-1", DRAINING)), 1.0)
    assert held.ask("a", 7, 2.0) == WholeDue()
    assert states(resumed(held, "a", 5, 2.0)) == {"a-1": DRAINING}
    assert resumed(held, "a", 9, 2.0) == changes(9)
    held.take(whole(12, server("a-1", DRAINING)), 3.0)
    assert held.ask("a", 7, 4.0) == held.ask("a", 11, 4.0) == held.ask("a", 5, 4.0) == WholeDue()
    assert resumed(held, "a", 9, 4.0) == changes(12)


@pytest.mark.parametrize("since", [None, 0, 4])
def test_who_knows_nothing_or_too_little_gets_the_whole_part(since: int | None) -> None:
    held = cache()
    held.take(whole(5, server("a-1")), 0.0)
    assert held.ask("a", since, 1.0) == WholeDue()


def test_departures_beyond_the_bound_are_forgotten_and_told_by_the_whole_part() -> None:
    held = cache()
    names = [f"a-{number}" for number in range(DEPARTED_LEAST + 2)]
    held.take(whole(1, *map(server, names)), 0.0)
    for generation, name in enumerate(names, 2):
        held.take(changes(generation, server(name, GONE)), 1.0)
    assert len(held.parts["a"].departed) == DEPARTED_LEAST
    assert held.ask("a", 2, 2.0) == WholeDue()  # the departures told as 2 and 3 are forgotten
    assert len(resumed(held, "a", 3, 2.0).instances) == DEPARTED_LEAST


def test_each_answer_is_encoded_once_for_all() -> None:
    held = cache()
    held.take(whole(5, server("a-1")), 0.0)
    held.take(changes(6, server("a-1", DRAINING)), 0.0)
    first, second = held.ask("a", 5, 1.0), held.ask("a", 5, 1.0)
    assert isinstance(first, Resumed)
    assert isinstance(second, Resumed)
    assert first.line is second.line
    held.take(changes(7, server("b-1")), 2.0)
    assert resumed(held, "a", 5, 3.0).generation == 7  # not the old generation
    for since in range(5, 8):
        held.ask("a", since, 3.0)
    assert len(held.parts["a"].answers) <= ANSWERS_MOST


# Departures


def test_what_a_newer_whole_list_lacks_has_departed() -> None:
    held = cache()
    held.take(whole(5, server("a-1"), server("a-2"), server("b-1")), 0.0)
    assert told(held.take(whole(9, server("a-2")), 1.0)) == {"a": {"a-1": GONE}, "b": {"b-1": GONE}}
    assert states(part(held)) == {"a-2": READY}
    assert part(held, "b").instances == ()
    assert states(resumed(held, "a", 5, 1.0)) == {"a-1": GONE}


def test_a_server_that_moves_to_another_cell_departs_from_the_old_one() -> None:
    held = cache("a.east", "a.west", locate=by_service_and_zone)
    held.take(whole(5, server("a-1")), 0.0)
    assert told(held.take(changes(6, server("a-1", zone="west")), 1.0)) == {
        "a.east": {"a-1": GONE},
        "a.west": {"a-1": READY},
    }
    assert told(held.take(changes(7, server("a-1", GONE, "west")), 2.0)) == {"a.west": {"a-1": GONE}}
    assert states(resumed(held, "a.east", 5, 2.0)) == {"a-1": GONE}


def test_a_server_that_departs_under_another_zone_departs_where_it_was() -> None:
    held = cache("a.east", "a.west", locate=by_service_and_zone)
    held.take(whole(5, server("a-1")), 0.0)
    assert told(held.take(changes(6, server("a-1", GONE, "west")), 1.0)) == {"a.east": {"a-1": GONE}}


def test_of_doubled_entries_the_later_process_counts_and_of_one_process_the_last_word() -> None:
    held = cache()
    doubled = (server("a-1", started=9.0), server("a-1", GONE, started=3.0), server("a-2"), server("a-2", DRAINING))
    assert {one.name: one for one in latest_by_name(doubled)} == {one.name: one for one in (doubled[0], doubled[3])}
    held.take(whole(5, *doubled), 0.0)
    assert states(part(held)) == {"a-1": READY, "a-2": DRAINING}
    assert told(held.take(changes(6, *doubled), 1.0)) == {}


# Entries that can't be read


@pytest.mark.parametrize("name", ["a-1", ""])
def test_an_unreadable_entry_is_no_departure(name: str) -> None:
    held = cache()
    held.take(whole(5, server("a-1"), server("a-2")), 0.0)
    assert "a-1" not in told(held.take(whole(6, server("a-2"), unreadable=frozenset({name})), 1.0)).get("a", {})
    assert states(part(held)) == {"a-1": READY, "a-2": READY}
    anew = held.take(whole(2, server("a-2"), unreadable=frozenset({name}), generations_restarted=True), 2.0)
    assert wholes(anew) == {"a", "b"}
    assert states(part(held)) == {"a-1": READY, "a-2": READY}


@pytest.mark.parametrize("name", ["a-1", ""])
def test_a_relay_that_never_read_an_entry_says_no_departure_either(name: str) -> None:
    """It began with a list whose entry it could not read; a planner knows the server from before."""
    follower, before, after = Follower(), cache(), cache()
    before.take(whole(5, server("a-1"), server("a-2")), 0.0)
    assert follower.call(before, "a", 0.0)
    after.take(whole(6, server("a-2"), unreadable=frozenset({name})), 0.0)
    assert follower.call(after, "a", 0.0)
    assert follower.since == 6
    assert follower.holds() == {"a-1": READY, "a-2": READY}
    after.take(changes(7, server("a-1", GONE)), 1.0)
    assert follower.call(after, "a", 1.0)
    assert follower.holds() == {"a-2": READY}
    after.take(whole(8, server("a-2")), 2.0)  # it has been read again: what is missing now has departed
    assert part(after).unreadable == frozenset()


def test_unreadable_names_are_bounded_and_then_any_server_may_be_one() -> None:
    held = cache()
    held.take(whole(5, server("a-1"), unreadable=frozenset(f"a-x{n}" for n in range(core.UNREADABLE_MOST))), 0.0)
    assert len(part(held).unreadable) == core.UNREADABLE_MOST
    held.take(changes(6, server("a-x0"), unreadable=frozenset({"a-y"})), 1.0)
    assert len(part(held).unreadable) == core.UNREADABLE_MOST  # one was read, one came
    held.take(changes(7, unreadable=frozenset({"a-z"})), 2.0)
    assert part(held).unreadable == frozenset({""})


# Relays among each other


def test_a_caller_that_knows_more_is_refused_until_this_relay_has_caught_up() -> None:
    held = cache()
    held.take(whole(5, server("a-1")), 0.0)
    assert isinstance(held.ask("a", 6, 1.0), Unavailable)
    held.take(changes(6, server("a-1", DRAINING)), 2.0)
    assert resumed(held, "a", 6, 3.0) == changes(6)


def test_a_relay_that_stays_behind_while_it_hears_the_registry_tells_the_whole_part() -> None:
    held = cache()
    held.take(whole(5, server("a-1")), 0.0)
    for now in range(0, int(MAX_LIST_AGE), 1000):
        held.heard(now)
        assert isinstance(held.ask("a", 900, now), Unavailable)
    held.heard(MAX_LIST_AGE)
    assert held.ask("a", 900, MAX_LIST_AGE) == WholeDue()
    assert isinstance(held.ask("a", 901, MAX_LIST_AGE), Unavailable)  # each generation has a clock of its own


def test_time_without_the_registry_does_not_count_for_being_behind() -> None:
    held = cache()
    held.take(whole(5, server("a-1")), 0.0)
    held.ask("a", 900, 0.0)
    held.tick(timing.WATCH_SILENCE_TIMEOUT_MS)
    held.heard(MAX_LIST_AGE)
    assert isinstance(held.ask("a", 900, MAX_LIST_AGE), Unavailable)
    held.heard(2 * MAX_LIST_AGE)
    assert held.ask("a", 900, 2 * MAX_LIST_AGE) == WholeDue()


def test_generations_ahead_are_bounded() -> None:
    held = cache()
    held.take(whole(5), 0.0)
    for since in range(6, 6 + 2 * AHEAD_MOST):
        held.ask("a", since, 0.0)
    assert len(held.parts["a"].ahead) == AHEAD_MOST


# A registry that begins anew


def test_a_registry_that_begins_anew_is_passed_on_as_such() -> None:
    held = cache()
    held.take(whole(50, server("a-1"), server("b-1")), 0.0)
    assert wholes(held.take(whole(3, server("a-2"), generations_restarted=True), 1.0)) == {"a", "b"}
    assert part(held) == whole(3, server("a-2"))
    assert told(held.take(changes(4, server("a-3")), 2.0)) == {"a": {"a-3": READY}}


def test_a_generation_of_the_former_numbering_is_never_gone_on_after() -> None:
    held = cache()
    held.take(whole(5, server("a-1"), server("a-2")), 0.0)
    held.take(whole(3, server("a-2"), generations_restarted=True), 1.0)
    for generation in range(4, 9):
        held.take(changes(generation, server("a-2", weight=float(generation))), 2.0)
    assert held.ask("a", 5, 3.0) == WholeDue()  # in the former numbers a-1 was listed at 5
    assert resumed(held, "a", 6, 3.0).generation == 8


def test_an_older_whole_list_holds_once_nothing_newer_has_come_for_a_beat() -> None:
    held = cache()
    held.take(whole(50, server("a-1"), server("a-2")), 0.0)
    assert held.take(whole(3, server("a-2")), 1.0) == ()
    assert held.tick(timing.HEARTBEAT_INTERVAL_MS) == ()
    assert states(part(held)) == {"a-1": READY, "a-2": READY}
    assert wholes(held.tick(timing.HEARTBEAT_INTERVAL_MS + 1.0)) == {"a", "b"}
    assert part(held) == whole(3, server("a-2"))


def test_an_older_whole_list_that_a_newer_word_follows_takes_nothing_back() -> None:
    """Two watches cross: the one that is renewed was answered before the other told more."""
    held = cache()
    held.take(whole(5, server("a-1")), 0.0)
    held.take(changes(6, server("a-2")), 1.0)
    held.take(whole(5, server("a-1")), 2.0)
    assert told(held.take(changes(6, server("a-2")), 3.0)) == {}
    held.heard(timing.HEARTBEAT_INTERVAL_MS + 3.0)
    assert held.tick(timing.HEARTBEAT_INTERVAL_MS + 3.0) == ()
    assert part(held) == whole(6, server("a-1"), server("a-2"))


def test_an_older_list_that_revives_waits_as_long_as_a_list_can_be_old_and_what_follows_it_counts() -> None:
    held = cache()
    held.take(whole(50, server("a-1"), server("a-2")), 0.0)
    held.take(changes(51, server("a-1", DRAINING)), 0.0)
    held.take(whole(3, server("a-1"), server("a-2")), 0.0)
    assert told(held.take(changes(4, server("a-2", DRAINING)), 1.0)) == {"a": {"a-2": DRAINING}}  # at once
    held.heard(MAX_LIST_AGE - 1.0)
    assert held.tick(MAX_LIST_AGE - 1.0) == ()
    assert states(part(held))["a-1"] is DRAINING
    assert wholes(held.tick(MAX_LIST_AGE)) == {"a", "b"}
    assert part(held).generation == 4
    assert states(part(held)) == {"a-1": READY, "a-2": DRAINING}


def test_an_older_word_counts_where_it_tells_something_and_reaches_who_knows_that_generation() -> None:
    held = cache()
    held.take(whole(50, server("a-1"), server("a-2", started=5.0), server("a-3")), 0.0)
    held.take(changes(51, server("a-3", GONE)), 0.0)
    older = changes(49, server("a-1", DRAINING), server("a-2", started=4.0), server("a-3"))
    assert told(held.take(older, 1.0)) == {"a": {"a-1": DRAINING}}
    assert states(resumed(held, "a", 51, 2.0)) == {"a-1": DRAINING}
    assert states(part(held)) == {"a-1": DRAINING, "a-2": READY}


# Vouching


def test_nothing_is_answered_before_the_first_list() -> None:
    held = cache()
    held.heard(0.0)
    assert isinstance(held.ask("a", None, 1.0), Unavailable)
    assert not held.vouches(1.0)


def test_a_relay_that_has_lost_the_registry_vouches_for_nothing_until_it_is_back() -> None:
    held = cache()
    held.take(whole(5, server("a-1")), 0.0)
    held.heard(1000.0)
    assert held.tick(999.0 + timing.WATCH_SILENCE_TIMEOUT_MS) == ()
    assert held.vouches(999.0 + timing.WATCH_SILENCE_TIMEOUT_MS)
    lost = 1000.0 + timing.WATCH_SILENCE_TIMEOUT_MS
    assert isinstance(held.ask("a", 5, lost), Unavailable)
    assert isinstance(held.ask("a", None, lost), Unavailable)
    (ended,) = held.tick(lost)
    assert isinstance(ended, EndWatches)
    assert set(ended.cells) == {"a", "b"}
    assert held.tick(lost + 1.0) == ()
    assert not held.vouches(lost + 1.0)
    held.take(changes(6, server("a-2")), lost + 9000.0)
    assert resumed(held, "a", 5, lost + 9000.0) == changes(6, server("a-2"))  # it has kept its entries


# Plans


def test_a_cell_that_moves_away_ends_its_watches_and_one_that_comes_has_its_part() -> None:
    held = cache("a", "b")
    held.take(whole(5, server("a-1"), server("b-1"), server("c-1")), 0.0)
    ended, *others = held.replan(by_service, ["b", "c"], 1.0)
    assert told(tuple(others)) == {"c": {"c-1": READY}}  # to nobody: nobody watches it yet
    assert ended == EndWatches(("a",), ended.reason)  # type: ignore[union-attr]
    assert isinstance(held.ask("a", 5, 2.0), Unavailable)
    assert part(held, "c") == whole(5, server("c-1"))
    assert part(held, "b") == whole(5, server("b-1"))
    assert told(held.take(changes(6, server("c-1", GONE), server("a-1", GONE)), 3.0)) == {"c": {"c-1": GONE}}


def test_a_cell_that_a_new_plan_shrinks_tells_its_departures() -> None:
    held = cache("a", "a.west")
    held.take(whole(5, server("a-1"), server("a-2", zone="west")), 0.0)

    def split(name: str, zone: str) -> str:
        return "a.west" if zone == "west" else by_service(name, zone)

    assert told(held.replan(split, ["a", "a.west"], 1.0)) == {"a": {"a-2": GONE}, "a.west": {"a-2": READY}}
    assert held.ask("a", 5, 2.0) == WholeDue()  # the twin may not have read the plan yet
    held.heard(1.0 + core.PLAN_SETTLES)
    assert states(resumed(held, "a", 5, 1.0 + core.PLAN_SETTLES)) == {"a-2": GONE}
