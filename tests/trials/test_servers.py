"""Servers as models: slow start, queueing, rejections, overload."""

from __future__ import annotations

import random

import pytest

from stackwheel.trials.servers import Outcome, Proof, Server
from stackwheel.trials.shape import Shape

SHAPE = Shape(
    cores=1,
    slow_start_duration=10_000.0,
    slow_start_min_share=0.2,
    overload_multiple=2.0,
    overload_duration=1_000.0,
)
LATENCY = 0.01  # s


@pytest.fixture
def server() -> Server:
    """A warm server of speed 1."""
    return Server("s-1", 1, 0, SHAPE)


def serve(server: Server, now: float, work: float = 100.0, patience: float = 1.0) -> Outcome:
    return server.serve(now, LATENCY, work, now + patience, random.Random(1))


def test_request_takes_its_work_and_two_ways(server: Server) -> None:
    outcome = serve(server, 5.0)
    assert outcome.succeeded
    assert outcome.effect_at == pytest.approx(5.11)
    assert outcome.known_at == pytest.approx(5.12)
    assert server.in_flight(5.1) == 1
    assert server.in_flight(5.2) == 0


def test_requests_queue_and_the_last_is_rejected_unexecuted(server: Server) -> None:
    outcomes = [serve(server, 0.0, work=600.0) for _ in range(3)]
    assert [outcome.succeeded for outcome in outcomes] == [True, False, False]
    assert outcomes[1].proof is Proof.UNKNOWN  # it runs, but its answer comes after the deadline
    assert outcomes[1].effect_at is not None
    assert outcomes[2].proof is Proof.NOT_SENT
    assert outcomes[2].effect_at is None


def test_ended_server_executes_nothing(server: Server) -> None:
    server.stop()
    outcome = serve(server, 0.0)
    assert not outcome.succeeded
    assert outcome.proof is Proof.NOT_SENT


def test_failing_server_answers_with_an_error(server: Server) -> None:
    server.failing_share = 1.0
    outcome = serve(server, 0.0)
    assert not outcome.succeeded
    assert outcome.proof is Proof.ANSWERED


def test_started_server_warms_up(server: Server) -> None:
    assert server.warmup_progress(0.0) == 1.0
    server.start(100.0)
    assert server.incarnation == 1
    assert server.warmup_progress(100.0) == pytest.approx(0.2)
    assert server.warmup_progress(105.0) == pytest.approx(0.6)
    assert server.warmup_progress(110.0) == pytest.approx(1.0)
    assert server.warm_at() == 110.0
    assert server.capacity(105.0) == pytest.approx(600.0)


def test_cold_server_is_pushed_over_by_too_much_work(server: Server) -> None:
    server.start(100.0)
    for step in range(400):
        serve(server, 100.0 + step * 0.01, work=20.0)
    assert server.overloaded
    assert serve(server, 105.0).proof is Proof.NOT_SENT


def test_warm_server_is_not_pushed_over(server: Server) -> None:
    for step in range(400):
        serve(server, 100.0 + step * 0.01, work=20.0)
    assert not server.overloaded
