"""Joins: which tables proxies get, and when."""

import math

from policy_harness import PolicyHarness, alternating_fleet, entry

from stackwheel import interface as face
from stackwheel.policy import timers


def test_a_join_gets_complete_tables_at_once() -> None:
    harness = alternating_fleet()
    assert set(harness.bindings) == {0, 1}
    assert set(harness.bindings[0]) == {0, 1}
    for proxy in (0, 1):
        assert math.isclose(sum(harness.shares(proxy).values()), 1.0)
        assert len(harness.shares(proxy)) >= 3


def test_joins_wait_while_the_queue_is_long_and_are_bound_later() -> None:
    harness = PolicyHarness(
        servers=[entry(n) for n in range(10)], proxies=[(n, 0) for n in range(40)], queue_limit=500.0
    )
    assert 0 < len(harness.bindings) < 40
    for _ in range(20):
        harness.send(face.TimerFired(timers.SLOT_TIMER + harness.planner.slot.number), wait=1250.0)
    assert len(harness.bindings) == 40


def test_a_proxy_that_left_is_forgotten_and_may_join_again() -> None:
    harness = alternating_fleet()
    harness.send(face.ProxyLeft(0), wait=10.0)
    harness.slots(2)
    assert 0 not in harness.bindings
    harness.send(face.ProxyJoined(0, 1, 30.0, False), wait=10.0)
    assert harness.bindings[0] == harness.bindings[1]


def test_the_message_cap_is_of_a_proxy_whatever_stream_it_has() -> None:
    """Streams that broke and were opened again got a thirteenth message within the window."""
    harness = PolicyHarness(
        servers=[entry(n, 0) for n in range(4)], proxies=((0, 0),), message_cap=4, message_window=10000.0
    )
    sent = []
    for _ in range(20):
        actions = harness.send(face.ProxyLeft(0), face.ProxyJoined(0, 0, 40.0, False), wait=400.0)
        sent += [harness.now] * any(isinstance(action, face.AssignTable) for action in actions)
    assert len([at for at in sent if at > harness.now - 8000.0]) == 2  # two came at the start; the others are spaced
    harness.send(wait=10000.0)
    assert 0 in harness.bindings
