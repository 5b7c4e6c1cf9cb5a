"""Tests for gossip datagrams between planners."""

import pytest
from policy_harness import PolicyHarness, actions_of_type, entry, load_reports, server_id

from stackwheel import interface
from stackwheel.policy import gossip


def test_gossip_contains_all_servers_in_datagrams_of_limited_size() -> None:
    """Servers that are missing from gossip would appear to receive no traffic from this planner."""
    harness = PolicyHarness(servers=[entry(n) for n in range(60)], planner_count=2, gossip_enabled=True)
    harness.run_slots(2)
    payloads = [a.payload for a in actions_of_type(harness.run_slot(), interface.SendGossip)]
    assert all(len(payload) <= 256 for payload in payloads)
    rates = {server: rate for payload in payloads for server, rate in gossip.decode(payload).rates.items()}
    assert rates == {
        server_id(n): pytest.approx(harness.planner.pool.views[server_id(n)].attempt_rate, abs=0.1) for n in range(60)
    }
    with pytest.raises(gossip.MalformedGossipError):
        gossip.decode(b"garbage")


def test_no_gossip_is_sent_if_it_exceeds_the_limit_of_datagrams_per_interval() -> None:
    for planners, datagrams in ((5, 7), (230, 0)):
        harness = PolicyHarness(servers=[entry(n) for n in range(200)], gossip_enabled=True, planner_count=planners)
        harness.actions.clear()
        harness.send(*load_reports(harness), wait_ms=1000.0)
        assert len(actions_of_type(harness.actions, interface.SendGossip)) == datagrams


def test_a_planner_without_proxies_sends_gossip_with_zero_proxies() -> None:
    """Without it, peers would reserve a part of the limits of warming servers for a planner that needs none."""
    harness = PolicyHarness(servers=[entry(n) for n in range(4)], proxies=(), gossip_enabled=True, planner_count=5)
    harness.actions.clear()
    (action,) = actions_of_type(
        harness.send(interface.TimerFired((1 << 32) + harness.planner.slot.number), wait_ms=1250.0),
        interface.SendGossip,
    )
    assert gossip.decode(action.payload).proxies == 0
