"""Allocation: demand spread over servers by capacity, latency and cost."""

from dataclasses import replace

import pytest
from policy_harness import READ, WRITE, PolicyHarness, alternating_fleet, entry, server_id


def test_before_any_report_endpoint_weights_decide() -> None:
    harness = PolicyHarness(servers=[entry(0, weight=1.0), entry(1, weight=3.0)], proxies=((0, 0),))
    assert harness.shares(0)[server_id(1)] == pytest.approx(3 * harness.shares(0)[server_id(0)], rel=0.2)


def test_the_proxys_zone_is_preferred_by_cost_and_spills_when_saturated() -> None:
    unloaded = alternating_fleet()
    unloaded.slots(8, attempts=5, demand=20, utilization=dict.fromkeys(range(6), 0.3))
    home = sum(share for server, share in unloaded.shares(0).items() if server[3] % 2 == 0)
    assert home > 0.75
    saturated = alternating_fleet(proxies=((0, 0),))
    saturated.slots(12, attempts=25, demand=150, utilization={n: 0.95 if n % 2 == 0 else 0.3 for n in range(6)})
    assert sum(share for server, share in saturated.shares(0).items() if server[3] % 2 == 0) < home - 0.1


def test_without_cross_zone_cost_zones_hardly_matter() -> None:
    harness = alternating_fleet(cross_zone_cost=0.0)
    harness.slots(5)
    home = sum(share for server, share in harness.shares(0).items() if server[3] % 2 == 0)
    assert 0.4 < home < 0.6


def test_slow_servers_get_less() -> None:
    harness = alternating_fleet(load_columns=(), cross_zone_cost=0.0)
    harness.slots(12, latencies={0: 400.0})
    assert harness.shares(0)[server_id(0)] < 0.7 * harness.shares(0)[server_id(2)]


def test_classes_go_only_to_allowed_zones_and_kinds() -> None:
    limited = replace(READ, allowed_zones=(1,))
    kinds = replace(WRITE, allowed_kinds=(1,))
    harness = PolicyHarness(servers=[entry(n, n % 2, kind=n // 3) for n in range(6)], classes=(limited, kinds))
    harness.slots(4)
    assert {s[3] % 2 for s in harness.shares(0, 0)} == {1}
    assert {s[3] // 3 for s in harness.shares(0, 1)} == {1}


def test_a_zone_local_class_stays_in_the_proxys_zone() -> None:
    harness = alternating_fleet(classes=(replace(READ, zone_local=True), WRITE))
    harness.slots(4)
    assert {s[3] % 2 for s in harness.shares(0, 0)} == {0}
    assert {s[3] % 2 for s in harness.shares(1, 0)} == {1}
