"""The datagrams between planners."""

import pytest
from policy_harness import PolicyHarness, actions_of, entry, load_reports, server_id

from stackwheel import interface as face
from stackwheel.policy import gossip


def test_datagrams_fit_and_name_every_server() -> None:
    """At full size 32 servers of 100 were gossiped, and the others were taken for unused."""
    harness = PolicyHarness(servers=[entry(n) for n in range(60)], planner_count=2, gossip_enabled=True)
    harness.slots(2)
    payloads = [a.payload for a in actions_of(harness.slot(), face.SendGossip)]
    assert all(len(payload) <= 256 for payload in payloads)
    rates = {server: rate for payload in payloads for server, rate in gossip.decode(payload).rates.items()}
    assert rates == {
        server_id(n): pytest.approx(harness.planner.pool.views[server_id(n)].attempt_rate, abs=0.1) for n in range(60)
    }
    with pytest.raises(gossip.MalformedGossipError):
        gossip.decode(b"garbage")


def test_no_more_is_gossiped_than_peers_can_read() -> None:
    for planners, datagrams in ((5, 7), (230, 0)):
        harness = PolicyHarness(servers=[entry(n) for n in range(200)], gossip_enabled=True, planner_count=planners)
        harness.actions.clear()
        harness.send(*load_reports(harness), wait=1000.0)
        assert len(actions_of(harness.actions, face.SendGossip)) == datagrams


def test_a_planner_without_proxies_gossips_that_it_sends_nothing() -> None:
    """Two planners that had restarted sent no gossip, and two fifths of what warming servers could take lay idle."""
    harness = PolicyHarness(servers=[entry(n) for n in range(4)], proxies=(), gossip_enabled=True, planner_count=5)
    harness.actions.clear()
    (announcement,) = actions_of(
        harness.send(face.TimerFired((1 << 32) + harness.planner.slot.number), wait=1250.0), face.SendGossip
    )
    assert gossip.decode(announcement.payload).proxies == 0
