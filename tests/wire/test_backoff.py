"""Exponential backoff with jitter."""

from __future__ import annotations

from random import Random

from stackwheel.wire.backoff import Backoff


def test_delays_grow_to_the_maximum_and_have_jitter() -> None:
    first_delays = {seed: Backoff(1000.0, 4000.0, Random(seed)).next_delay_ms() for seed in range(230)}
    assert len(set(first_delays.values())) == 230
    backoff = Backoff(1000.0, 4000.0, Random(1))
    delays = [backoff.next_delay_ms() for _ in range(40)]
    assert 500.0 <= delays[0] <= 1500.0
    assert max(delays) <= 4000.0
    assert min(delays[3:]) >= 4000.0
    backoff.reset()
    assert backoff.next_delay_ms() <= 1500.0
