"""When files go: paced, bounded, repeated with a growing wait, the newest in place of what has not gone."""

from __future__ import annotations

import pytest

from stackwheel.files.push import FIRST_WAIT, MOST_WAIT, STUCK, Attempt, Pace, Pusher


def test_the_newest_content_takes_the_place_of_what_has_not_gone() -> None:
    pusher = Pusher(Pace(), 1)
    pusher.offer("a", b"1", 1, 0.0)
    pusher.offer("a", b"2", 2, 1.0)
    assert pusher.attempts(2.0) == [Attempt("a", b"2", 2)] and pusher.dropped == 1


def test_content_that_comes_during_an_attempt_goes_next() -> None:
    pusher = Pusher(Pace(), 1)
    pusher.offer("a", b"1", 1, 0.0)
    (first,) = pusher.attempts(0.0)
    pusher.offer("a", b"2", 2, 1.0)
    assert pusher.attempts(1.0) == []
    pusher.ended(first, True, 2.0)
    assert pusher.attempts(2.0) == [Attempt("a", b"2", 2)]


def test_the_cap_holds_for_files_as_for_messages() -> None:
    pusher, gone = Pusher(Pace(cap=3, span=10_000.0, least=100.0), 1), []
    for step in range(400):
        now = step * 100.0
        pusher.offer("a", b"x", step + 1, now)
        for attempt in pusher.attempts(now):
            gone.append(now)
            pusher.ended(attempt, True, now)
    assert len(gone) == 12 and all(b - a >= 10_000.0 for a, b in zip(gone, gone[3:], strict=False))


def test_failures_wait_longer_and_longer_and_a_success_ends_that() -> None:
    pusher = Pusher(Pace(), 1)
    pusher.offer("a", b"1", 1, 0.0)
    now, waits = 0.0, []
    for _ in range(30):
        (attempt,) = pusher.attempts(now)
        pusher.ended(attempt, False, now)
        due = pusher.next_at(now)
        assert due is not None
        waits.append(due - now)
        now = due
    assert all(0 <= wait <= min(MOST_WAIT, FIRST_WAIT * 2**n) for n, wait in enumerate(waits))
    assert max(waits[10:]) > 20 * FIRST_WAIT and len(set(waits)) == 30
    (attempt,) = pusher.attempts(now)
    pusher.ended(attempt, True, now)
    assert pusher.targets["a"].failures == 0 and pusher.next_at(now) is None


def test_no_more_is_under_way_than_allowed_and_who_waits_longest_goes_first() -> None:
    pusher = Pusher(Pace(), 1, under_way_most=2)
    for place, name in enumerate("abc"):
        pusher.offer(name, b"x", 1, float(place))
    first = pusher.attempts(5.0)
    assert [attempt.target for attempt in first] == ["a", "b"] and pusher.attempts(5.0) == []
    pusher.ended(first[0], True, 6.0)
    assert [attempt.target for attempt in pusher.attempts(6.0)] == ["c"]


def test_an_attempt_that_hangs_gives_its_slot_back_and_ends_without_effect() -> None:
    pusher = Pusher(Pace(), 1, under_way_most=1)
    pusher.offer("a", b"x", 1, 0.0)
    (hung,) = pusher.attempts(0.0)
    pusher.offer("b", b"x", 1, 1.0)
    assert pusher.attempts(STUCK - 1) == []
    assert [attempt.target for attempt in pusher.attempts(STUCK)] == ["b"]
    pusher.ended(hung, True, STUCK + 1.0)
    assert pusher.targets["a"].sent == 0 and pusher.under_way == 1


def test_what_readers_confirm_only_rises_and_a_target_can_be_forgotten() -> None:
    pusher = Pusher(Pace(), 1)
    pusher.offer("a", b"x", 7, 0.0)
    (attempt,) = pusher.attempts(0.0)
    assert [pusher.confirm("a", number, 1.0) for number in (5, 4, 7)] == [True, False, True]
    pusher.forget("a")
    pusher.ended(attempt, True, 2.0)
    assert pusher.under_way == 0 and pusher.attempts(3.0) == []
    assert not pusher.confirm("a", 9, 3.0)


@pytest.mark.parametrize("ok", [True, False])
def test_under_way_is_counted_right_whatever_ends_an_attempt(ok: bool) -> None:
    pusher = Pusher(Pace(), 1)
    for round_ in range(50):
        pusher.offer("a", b"x", round_ + 1, round_ * 20_000.0)
        for attempt in pusher.attempts(round_ * 20_000.0):
            pusher.ended(attempt, ok, round_ * 20_000.0)
            pusher.ended(attempt, ok, round_ * 20_000.0)
        assert pusher.under_way == 0
