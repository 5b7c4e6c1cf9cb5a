"""Tests for the request rates of peer planners, from gossip and from load figures."""

import pytest
from policy_harness import server_id, two_zone_harness

from stackwheel import interface
from stackwheel.policy import gossip, peer_planners


def test_gossiped_rates_reduce_the_share_of_a_server_until_they_expire() -> None:
    harness = two_zone_harness(planner_count=2, planner_index=0, cross_zone_cost=0.0)
    payload = gossip.encode(1, {server_id(0): 50.0})[0]  # the peer sends 50 requests per second to server 0
    for _ in range(12):
        harness.send(interface.GossipReceived(1, payload))
        harness.run_slot(utilization={n: 0.9 if n == 0 else 0.4 for n in range(6)})
    assert harness.shares(0)[server_id(0)] < 0.8 * harness.shares(0)[server_id(2)]
    view = harness.planner.pool.views[server_id(0)]
    assert harness.planner.peers.peer_rate(view, harness.now) == 50.0
    harness.now += 1000.0 * peer_planners.PEER_STATE_INTERVALS + 1
    harness.send()
    assert harness.planner.peers.peer_rate(view, harness.now) != 50.0


def test_the_rate_of_peers_is_estimated_from_outstanding_requests_without_gossip() -> None:
    harness = two_zone_harness(planner_count=2, load_columns=("outstanding",))
    in_flight = dict.fromkeys(range(6), 4.0)  # 40 requests per second at a latency of 100 ms
    harness.run_slots(10, attempts=5, mean_latency=100.0, utilization=in_flight)
    view = harness.planner.pool.views[server_id(0)]
    assert harness.planner.peers.peer_rate(view, harness.now) == pytest.approx(40.0 - view.attempt_rate, rel=0.1)


def test_rates_from_several_datagrams_are_combined_and_expire_together() -> None:
    harness = two_zone_harness(planner_count=2, gossip_enabled=True)
    for number in (0, 1):
        harness.send(interface.GossipReceived(1, gossip.encode(1, {server_id(number): 30.0})[0]), wait_ms=5.0)
    views = [harness.planner.pool.views[server_id(number)] for number in (0, 1)]
    assert [harness.planner.peers.peer_rate(view, harness.now) for view in views] == [30.0, 30.0]
    harness.send(wait_ms=peer_planners.PEER_STATE_INTERVALS * harness.settings.report_interval + 1.0)
    assert [harness.planner.peers.peer_rate(view, harness.now) for view in views] == [0.0, 0.0]
