"""The channel of one planner: updates leave it at the channel's rate and reach each proxy in order."""

from __future__ import annotations

import pytest

from stackwheel.trials.channel import Channel

LINES_PER_S = 100.0


def test_updates_leave_at_the_rate_of_the_channel() -> None:
    channel = Channel()
    assert channel.enqueue(1.0, 0, 50.0, LINES_PER_S, 0.2) == pytest.approx(1.7)
    assert channel.enqueue(1.0, 1, 50.0, LINES_PER_S, 0.2) == pytest.approx(2.2)
    assert channel.queued_lines == 100.0


def test_updates_to_one_proxy_arrive_in_order() -> None:
    channel = Channel()
    first = channel.enqueue(0.0, 0, 10.0, LINES_PER_S, 1.0)
    assert channel.enqueue(0.0, 0, 10.0, LINES_PER_S, 0.1) == first
    assert channel.enqueue(0.0, 1, 10.0, LINES_PER_S, 0.1) < first


def test_lines_that_have_left_the_channel_do_not_count_as_queued() -> None:
    channel = Channel()
    channel.enqueue(0.0, 0, 100.0, LINES_PER_S, 0.1)
    channel.enqueue(0.5, 0, 100.0, LINES_PER_S, 0.1)
    assert channel.queued_lines == 200.0
    channel.enqueue(1.5, 0, 10.0, LINES_PER_S, 0.1)
    assert channel.queued_lines == 110.0
    assert channel.max_queued_lines == 200.0
