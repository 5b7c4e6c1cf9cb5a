"""The model of servers: slow start, queueing, rejections, overload."""

from __future__ import annotations

import random

import pytest

from stackwheel.trials.servers import AttemptProgress, Outcome, Server
from stackwheel.trials.shape import Shape

SHAPE = Shape(
    cores=1,
    slow_start_duration=10_000.0,
    slow_start_min_share=0.2,
    overload_multiple=2.0,
    overload_duration=1_000.0,
)
LATENCY_S = 0.01


@pytest.fixture
def server() -> Server:
    """Return a warm server of speed 1."""
    return Server("s-1", 1, 0, SHAPE)


def serve(server: Server, now: float, work: float = 100.0, timeout: float = 1.0) -> Outcome:
    return server.serve(now, LATENCY_S, work, now + timeout, random.Random(1))


def test_request_takes_its_work_and_twice_the_latency(server: Server) -> None:
    outcome = serve(server, 5.0)
    assert outcome.succeeded
    assert outcome.effect_at == pytest.approx(5.11)
    assert outcome.known_at == pytest.approx(5.12)
    assert server.in_flight(5.1) == 1
    assert server.in_flight(5.2) == 0


def test_requests_queue_and_one_beyond_the_queue_limit_is_rejected(server: Server) -> None:
    outcomes = [serve(server, 0.0, work=600.0) for _ in range(3)]
    assert [outcome.succeeded for outcome in outcomes] == [True, False, False]
    assert outcomes[1].progress is AttemptProgress.UNKNOWN  # executed, but answered after the deadline
    assert outcomes[1].effect_at is not None
    assert outcomes[2].progress is AttemptProgress.NOT_SENT
    assert outcomes[2].effect_at is None


def test_stopped_server_does_not_execute_requests(server: Server) -> None:
    server.stop()
    outcome = serve(server, 0.0)
    assert not outcome.succeeded
    assert outcome.progress is AttemptProgress.NOT_SENT


def test_failing_server_answers_with_an_error(server: Server) -> None:
    server.failing_share = 1.0
    outcome = serve(server, 0.0)
    assert not outcome.succeeded
    assert outcome.progress is AttemptProgress.ANSWERED


def test_started_server_gains_capacity_during_its_slow_start(server: Server) -> None:
    assert server.warmup_progress(0.0) == 1.0
    server.start(100.0)
    assert server.incarnation == 1
    assert server.warmup_progress(100.0) == pytest.approx(0.2)
    assert server.warmup_progress(105.0) == pytest.approx(0.6)
    assert server.warmup_progress(110.0) == pytest.approx(1.0)
    assert server.warm_at() == 110.0
    assert server.capacity(105.0) == pytest.approx(600.0)


def test_server_in_slow_start_is_overloaded_by_too_much_work(server: Server) -> None:
    server.start(100.0)
    for step in range(400):
        serve(server, 100.0 + step * 0.01, work=20.0)
    assert server.overloaded
    assert serve(server, 105.0).progress is AttemptProgress.NOT_SENT


def test_warm_server_is_not_overloaded_by_the_same_work(server: Server) -> None:
    for step in range(400):
        serve(server, 100.0 + step * 0.01, work=20.0)
    assert not server.overloaded
