"""When files are written: paced, bounded, retried with backoff, the newest in place of what has not been written."""

from __future__ import annotations

import pytest

from stackwheel.files.push_scheduler import (
    ATTEMPT_TIMEOUT_MS,
    INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
    PushLimits,
    PushScheduler,
    WriteAttempt,
)


def test_newer_content_supersedes_what_has_not_been_written() -> None:
    scheduler = PushScheduler(PushLimits(), 1)
    scheduler.submit("a", b"1", 1, 0.0)
    scheduler.submit("a", b"2", 2, 1.0)
    assert scheduler.start_attempts(2.0) == [WriteAttempt("a", b"2", 2)]
    assert scheduler.superseded == 1


def test_content_that_comes_during_an_attempt_is_written_next() -> None:
    scheduler = PushScheduler(PushLimits(), 1)
    scheduler.submit("a", b"1", 1, 0.0)
    (first,) = scheduler.start_attempts(0.0)
    scheduler.submit("a", b"2", 2, 1.0)
    assert scheduler.start_attempts(1.0) == []
    scheduler.finish(first, True, 2.0)
    assert scheduler.start_attempts(2.0) == [WriteAttempt("a", b"2", 2)]


def test_the_cap_holds_for_files_as_for_messages() -> None:
    scheduler = PushScheduler(PushLimits(max_files=3, window=10_000.0, min_interval=100.0), 1)
    written_at: list[float] = []
    for step in range(400):
        now = step * 100.0
        scheduler.submit("a", b"x", step + 1, now)
        for attempt in scheduler.start_attempts(now):
            written_at.append(now)
            scheduler.finish(attempt, True, now)
    assert len(written_at) == 12
    assert all(later - earlier >= 10_000.0 for earlier, later in zip(written_at, written_at[3:], strict=False))


def test_the_backoff_grows_with_failures_and_ends_with_a_success() -> None:
    scheduler = PushScheduler(PushLimits(), 1)
    scheduler.submit("a", b"1", 1, 0.0)
    now = 0.0
    waits: list[float] = []
    for _ in range(30):
        (attempt,) = scheduler.start_attempts(now)
        scheduler.finish(attempt, False, now)
        next_event_at = scheduler.next_event_at()
        assert next_event_at is not None
        waits.append(next_event_at - now)
        now = next_event_at
    assert all(0 <= wait <= min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**n) for n, wait in enumerate(waits))
    assert max(waits[10:]) > 20 * INITIAL_BACKOFF_MS
    assert len(set(waits)) == 30
    (attempt,) = scheduler.start_attempts(now)
    scheduler.finish(attempt, True, now)
    assert scheduler.targets["a"].failures == 0
    assert scheduler.next_event_at() is None


def test_active_attempts_are_bounded_and_the_longest_waiting_target_goes_first() -> None:
    scheduler = PushScheduler(PushLimits(), 1, max_active=2)
    for number, name in enumerate("abc"):
        scheduler.submit(name, b"x", 1, float(number))
    first = scheduler.start_attempts(5.0)
    assert [attempt.target for attempt in first] == ["a", "b"]
    assert scheduler.start_attempts(5.0) == []
    scheduler.finish(first[0], True, 6.0)
    assert [attempt.target for attempt in scheduler.start_attempts(6.0)] == ["c"]


def test_an_attempt_that_times_out_gives_its_slot_back_and_ends_without_effect() -> None:
    scheduler = PushScheduler(PushLimits(), 1, max_active=1)
    scheduler.submit("a", b"x", 1, 0.0)
    (hung,) = scheduler.start_attempts(0.0)
    scheduler.submit("b", b"x", 1, 1.0)
    assert scheduler.start_attempts(ATTEMPT_TIMEOUT_MS - 1) == []
    assert [attempt.target for attempt in scheduler.start_attempts(ATTEMPT_TIMEOUT_MS)] == ["b"]
    scheduler.finish(hung, True, ATTEMPT_TIMEOUT_MS + 1.0)
    assert scheduler.targets["a"].written_sequence == 0
    assert scheduler.active == 1


def test_confirmed_sequences_only_rise_and_a_target_can_be_forgotten() -> None:
    scheduler = PushScheduler(PushLimits(), 1)
    scheduler.submit("a", b"x", 7, 0.0)
    (attempt,) = scheduler.start_attempts(0.0)
    assert [scheduler.confirm("a", sequence) for sequence in (5, 4, 7)] == [True, False, True]
    scheduler.forget("a")
    scheduler.finish(attempt, True, 2.0)
    assert scheduler.active == 0
    assert scheduler.start_attempts(3.0) == []
    assert not scheduler.confirm("a", 9)


@pytest.mark.parametrize("succeeded", [True, False])
def test_active_attempts_are_counted_right_however_they_end(succeeded: bool) -> None:
    scheduler = PushScheduler(PushLimits(), 1)
    for number in range(50):
        now = number * 20_000.0
        scheduler.submit("a", b"x", number + 1, now)
        for attempt in scheduler.start_attempts(now):
            scheduler.finish(attempt, succeeded, now)
            scheduler.finish(attempt, succeeded, now)
        assert scheduler.active == 0
