"""The planner's clock."""

from __future__ import annotations

import time

import pytest

from stackwheel.state.clock import Clock


def test_the_clock_returns_unix_time_and_ignores_steps_of_the_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    assert abs(clock.now() - time.time() * 1000.0) < 1000.0
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert 0 <= clock.now() - before < 60_000.0
