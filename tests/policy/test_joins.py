"""Tests for the assignment of tables to proxies that join."""

import math

from policy_harness import PolicyHarness, entry, two_zone_harness

from stackwheel import interface
from stackwheel.policy import timers


def test_joining_proxies_get_complete_tables_at_once() -> None:
    harness = two_zone_harness()
    assert set(harness.assignments) == {0, 1}
    assert set(harness.assignments[0]) == {0, 1}
    for proxy in (0, 1):
        assert math.isclose(sum(harness.shares(proxy).values()), 1.0)
        assert len(harness.shares(proxy)) >= 3


def test_proxies_that_join_while_the_queue_is_long_get_tables_later() -> None:
    harness = PolicyHarness(
        servers=[entry(n) for n in range(10)], proxies=[(n, 0) for n in range(40)], queue_limit=500.0
    )
    assert 0 < len(harness.assignments) < 40
    for _ in range(20):
        harness.send(interface.TimerFired(timers.SLOT_TIMER + harness.planner.slot.number), wait_ms=1250.0)
    assert len(harness.assignments) == 40


def test_a_proxy_that_has_left_can_join_again_in_another_zone() -> None:
    harness = two_zone_harness()
    harness.send(interface.ProxyLeft(0), wait_ms=10.0)
    harness.run_slots(2)
    assert 0 not in harness.assignments
    harness.send(interface.ProxyJoined(0, 1, 30.0, False), wait_ms=10.0)
    assert harness.assignments[0] == harness.assignments[1]


def test_the_message_cap_of_a_proxy_covers_all_of_its_streams() -> None:
    """A proxy that reconnects must not be sent more messages than the cap allows."""
    harness = PolicyHarness(
        servers=[entry(n, 0) for n in range(4)], proxies=((0, 0),), message_cap=4, message_window=10000.0
    )
    sent_at = []
    for _ in range(20):
        actions = harness.send(interface.ProxyLeft(0), interface.ProxyJoined(0, 0, 40.0, False), wait_ms=400.0)
        sent_at += [harness.now] * any(isinstance(action, interface.AssignTable) for action in actions)
    assert (
        len([at for at in sent_at if at > harness.now - 8000.0]) == 2
    )  # after the first two, messages from the reserve are spaced
    harness.send(wait_ms=10000.0)
    assert 0 in harness.assignments
