"""Tests for the limits of warming servers and the conditions under which they get no requests."""

from dataclasses import replace

from policy_harness import SETTINGS, PolicyHarness, entry, load_reports, server_id, two_zone_harness

from stackwheel import interface
from stackwheel.policy import gossip


def test_the_share_of_a_restarted_server_is_reduced_at_once() -> None:
    harness = two_zone_harness(cross_zone_cost=0.0)
    harness.run_slots(5, utilization=dict.fromkeys(range(6), 0.6))
    before = harness.shares(0)[server_id(0)]
    harness.update_endpoints(entry(0, 0, started_at=harness.now))
    for proxy in (0, 1):
        assert harness.shares(proxy)[server_id(0)] < 0.4 * before


def test_the_load_of_a_warming_server_stays_below_its_limit_during_overload() -> None:
    harness = two_zone_harness(cross_zone_cost=0.0)
    harness.run_slots(5, attempts=30, demand=90, utilization=dict.fromkeys(range(6), 0.95))
    harness.update_endpoints(entry(0, 0, started_at=harness.now))
    for second in range(10):
        harness.run_slot(attempts=30, demand=200, utilization=dict.fromkeys(range(6), 1.0))
        available_capacity = (0.2 + 0.08 * second) * harness.planner.pool.views[server_id(0)].capacity
        load = sum(200.0 * harness.shares(p, c).get(server_id(0), 0.0) for p in (0, 1) for c in (0, 1))
        assert load < SETTINGS.overload_multiple * available_capacity


def test_a_new_server_is_excluded_during_overload_if_proxies_avoid_failing_servers() -> None:
    """If proxies avoided all other servers, the new one would be overloaded."""
    failing = dict.fromkeys(range(1, 6), 18)
    shares = []
    for failure_limit in (8, 0):
        harness = two_zone_harness(consecutive_failure_limit=failure_limit, cross_zone_cost=0.0)
        harness.run_slots(4, utilization=dict.fromkeys(range(6), 1.0), failures=failing)
        harness.update_endpoints(entry(0, 0, started_at=harness.now))
        harness.run_slots(2, utilization=dict.fromkeys(range(6), 1.0), failures=failing)
        shares.append(harness.shares(0).get(server_id(0), 0.0))
    assert shares[0] == 0.0 < shares[1]


def test_high_latency_excludes_a_new_server_before_failures_are_reported() -> None:
    """If an overload starts between two reports, the new server must not get all traffic."""
    shares = []
    for failure_limit in (8, 0):
        harness = two_zone_harness(consecutive_failure_limit=failure_limit, cross_zone_cost=0.0)
        harness.run_slots(5, utilization=dict.fromkeys(range(6), 0.7))
        harness.run_slots(4, mean_latency=190.0, utilization=dict.fromkeys(range(6), 0.9))
        harness.update_endpoints(entry(0, 0, started_at=harness.now))
        shares.append(harness.shares(0).get(server_id(0), 0.0))
    assert shares[0] == 0.0 < shares[1]


def test_a_planner_that_starts_during_overload_excludes_warming_servers() -> None:
    """High latencies in the first reports must not become the reference for low latency."""
    servers = [entry(n, n % 2) for n in range(1, 6)]
    harness = PolicyHarness(servers=[entry(0, 0, started_at=99000.0), *servers], consecutive_failure_limit=8)
    harness.run_slots(2, mean_latency=400.0, utilization=dict.fromkeys(range(6), 0.9))
    assert server_id(0) not in harness.shares(0)


def test_a_new_planner_excludes_warming_servers_until_load_reports_cover_the_traffic() -> None:
    """Without load reports, the planner cannot detect an overload of the other servers."""
    servers = [entry(n, n % 2) for n in range(1, 6)]
    harness = PolicyHarness(servers=[entry(0, 0, started_at=97000.0), *servers])
    assert server_id(0) not in harness.shares(0)
    harness.send(interface.LoadReport(0, server_id(1), 1, 0, 100.0, 1000.0, (0.5,)), wait_ms=1000.0)
    assert server_id(0) not in harness.shares(0)  # one report covers too little of the traffic
    harness.run_slots(2)
    assert server_id(0) in harness.shares(0)


def test_warming_servers_are_used_if_there_are_no_others() -> None:
    harness = PolicyHarness(
        servers=[entry(n, started_at=99000.0) for n in range(3)], proxies=((0, 0),), consecutive_failure_limit=8
    )
    assert len(harness.shares(0)) == 3


def test_many_planners_without_gossip_together_stay_below_the_limit_of_a_warming_server() -> None:
    planners = 230
    restarted_at = 100_000.0
    settings = replace(
        SETTINGS, planner_count=planners, load_columns=("outstanding",), overload_multiple=4.0, slow_start_min_share=0.2
    )
    harness = PolicyHarness(
        settings, servers=[entry(n, started_at=restarted_at if n == 0 else 0.0) for n in range(8)], proxies=((0, 0),)
    )
    for _ in range(4):
        harness.send(
            *load_reports(harness, excluded_indexes=frozenset({0})),
            interface.DemandReport(0, 0, 4, 0, 1000.0),
            wait_ms=500.0,
        )
    view = harness.planner.pool.views[server_id(0)]
    allocated_rate = sum(rates.get(server_id(0), 0.0) for rates in harness.planner.groups.allocated_rates.values())
    capacity_share = harness.planner.pool.available_share(view, harness.now)
    assert planners * allocated_rate < settings.overload_multiple * view.capacity * capacity_share


def test_the_limit_of_warming_servers_is_divided_by_the_proxies_of_each_planner() -> None:
    """Planners without proxies must not reserve a part of the limit."""
    harness = PolicyHarness(
        replace(SETTINGS, planner_count=5, proxy_count=8),
        servers=[entry(n) for n in range(4)],
        proxies=((0, 0), (1, 0)),
    )
    for peer_proxies, share in ((6, 1.0), (2, 0.5), (0, 0.25)):
        harness.send(interface.GossipReceived(1, gossip.encode(peer_proxies, {server_id(0): 0.0})[0]), wait_ms=10.0)
        harness.send(*load_reports(harness), wait_ms=1000.0)
        assert abs(harness.planner.allocator.own_share - share) < 0.01
