"""Tests of the write scheduler: rate limits, bounded concurrency, retries with backoff and superseded content."""

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


def test_newer_content_supersedes_unwritten_content() -> None:
    scheduler = PushScheduler(PushLimits(), 1)
    scheduler.submit("a", b"1", 1, 0.0)
    scheduler.submit("a", b"2", 2, 1.0)
    assert scheduler.start_attempts(2.0) == [WriteAttempt("a", b"2", 2)]
    assert scheduler.superseded == 1


def test_content_submitted_during_an_attempt_is_written_next() -> None:
    scheduler = PushScheduler(PushLimits(), 1)
    scheduler.submit("a", b"1", 1, 0.0)
    (first,) = scheduler.start_attempts(0.0)
    scheduler.submit("a", b"2", 2, 1.0)
    assert scheduler.start_attempts(1.0) == []
    scheduler.finish(first, True, 2.0)
    assert scheduler.start_attempts(2.0) == [WriteAttempt("a", b"2", 2)]


def test_files_per_window_are_limited() -> None:
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


def test_the_backoff_grows_with_failures_and_is_reset_by_a_success() -> None:
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


def test_active_attempts_are_limited_and_the_longest_waiting_target_is_first() -> None:
    scheduler = PushScheduler(PushLimits(), 1, max_active=2)
    for number, name in enumerate("abc"):
        scheduler.submit(name, b"x", 1, float(number))
    first = scheduler.start_attempts(5.0)
    assert [attempt.target for attempt in first] == ["a", "b"]
    assert scheduler.start_attempts(5.0) == []
    scheduler.finish(first[0], True, 6.0)
    assert [attempt.target for attempt in scheduler.start_attempts(6.0)] == ["c"]


def test_a_timed_out_attempt_releases_its_slot_and_its_later_result_is_ignored() -> None:
    scheduler = PushScheduler(PushLimits(), 1, max_active=1)
    scheduler.submit("a", b"x", 1, 0.0)
    (timed_out,) = scheduler.start_attempts(0.0)
    scheduler.submit("b", b"x", 1, 1.0)
    assert scheduler.start_attempts(ATTEMPT_TIMEOUT_MS - 1) == []
    assert [attempt.target for attempt in scheduler.start_attempts(ATTEMPT_TIMEOUT_MS)] == ["b"]
    scheduler.finish(timed_out, True, ATTEMPT_TIMEOUT_MS + 1.0)
    assert scheduler.targets["a"].written_sequence == 0
    assert scheduler.active == 1


def test_older_confirmations_are_ignored_and_a_target_can_be_removed() -> None:
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
def test_the_number_of_active_attempts_is_zero_after_repeated_results(succeeded: bool) -> None:
    scheduler = PushScheduler(PushLimits(), 1)
    for number in range(50):
        now = number * 20_000.0
        scheduler.submit("a", b"x", number + 1, now)
        for attempt in scheduler.start_attempts(now):
            scheduler.finish(attempt, succeeded, now)
            scheduler.finish(attempt, succeeded, now)
        assert scheduler.active == 0
