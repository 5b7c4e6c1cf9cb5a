"""Tests for the allocation of demand by capacity, latency and cross-zone cost."""

from dataclasses import replace

import pytest
from policy_harness import READ, WRITE, PolicyHarness, entry, server_id, two_zone_harness


def test_shares_follow_endpoint_weights_before_the_first_report() -> None:
    harness = PolicyHarness(servers=[entry(0, weight=1.0), entry(1, weight=3.0)], proxies=((0, 0),))
    assert harness.shares(0)[server_id(1)] == pytest.approx(3 * harness.shares(0)[server_id(0)], rel=0.2)


def test_the_proxys_zone_is_preferred_until_its_servers_are_saturated() -> None:
    unloaded = two_zone_harness()
    unloaded.run_slots(8, attempts=5, demand=20, utilization=dict.fromkeys(range(6), 0.3))
    home = sum(share for server, share in unloaded.shares(0).items() if server[3] % 2 == 0)
    assert home > 0.75
    saturated = two_zone_harness(proxies=((0, 0),))
    saturated.run_slots(12, attempts=25, demand=150, utilization={n: 0.95 if n % 2 == 0 else 0.3 for n in range(6)})
    assert sum(share for server, share in saturated.shares(0).items() if server[3] % 2 == 0) < home - 0.1


def test_both_zones_get_similar_shares_without_cross_zone_cost() -> None:
    harness = two_zone_harness(cross_zone_cost=0.0)
    harness.run_slots(5)
    home = sum(share for server, share in harness.shares(0).items() if server[3] % 2 == 0)
    assert 0.4 < home < 0.6


def test_slow_servers_get_smaller_shares() -> None:
    harness = two_zone_harness(load_columns=(), cross_zone_cost=0.0)
    harness.run_slots(12, latencies={0: 400.0})
    assert harness.shares(0)[server_id(0)] < 0.7 * harness.shares(0)[server_id(2)]


def test_classes_use_only_servers_in_allowed_zones_and_of_allowed_kinds() -> None:
    zone_limited = replace(READ, allowed_zones=(1,))
    kind_limited = replace(WRITE, allowed_kinds=(1,))
    harness = PolicyHarness(
        servers=[entry(n, n % 2, kind=n // 3) for n in range(6)], classes=(zone_limited, kind_limited)
    )
    harness.run_slots(4)
    assert {s[3] % 2 for s in harness.shares(0, 0)} == {1}
    assert {s[3] // 3 for s in harness.shares(0, 1)} == {1}


def test_a_zone_local_class_uses_only_servers_in_the_proxys_zone() -> None:
    harness = two_zone_harness(classes=(replace(READ, zone_local=True), WRITE))
    harness.run_slots(4)
    assert {s[3] % 2 for s in harness.shares(0, 0)} == {0}
    assert {s[3] % 2 for s in harness.shares(1, 0)} == {1}
