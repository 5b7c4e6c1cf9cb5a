"""Tests for the demand that is estimated from reports and announced by joining proxies."""

import pytest
from policy_harness import PolicyHarness, entry, server_id

from stackwheel import interface


def test_seconds_without_a_report_count_as_no_demand() -> None:
    """Each proxy reports one request per class every third second: together 40 requests per second, not 120."""
    proxies = [(n, n % 2) for n in range(60)]
    harness = PolicyHarness(servers=[entry(n, n % 2) for n in range(6)], proxies=proxies)
    for second in range(30):
        reports: list[interface.Event] = [
            interface.LoadReport(0, server_id(n), 8, 0, 90.0, 1000.0, (0.4,)) for n in range(6)
        ]
        demand_reports = [
            interface.DemandReport(p, c, 1, 0, 1000.0) for p, _ in proxies for c in (0, 1) if (p + c + second) % 3 == 0
        ]
        harness.send(*reports, *demand_reports, wait_ms=1000.0)
    assert sum(harness.planner.demand.rates_by_class(harness.now)) == pytest.approx(40.0, rel=0.1)
    assert sum(harness.planner.demand.rates_by_class(harness.now, 0)) == pytest.approx(20.0, rel=0.2)


def test_announced_rates_count_until_the_first_report_and_demand_ends_when_a_proxy_leaves() -> None:
    harness = PolicyHarness(servers=[entry(n, 0) for n in range(4)], proxies=((0, 0), (1, 0)), cross_zone_cost=0.0)
    assert sum(harness.planner.demand.rates_by_class(harness.now)) == pytest.approx(80.0)
    for _ in range(12):
        harness.run_slot(demand=15)
    assert harness.planner.demand.rates_by_class(harness.now, 0) == pytest.approx([30.0, 30.0], rel=0.01)
    harness.send(interface.ProxyJoined(2, 0, 40.0, True))
    assert harness.planner.demand.rates_by_class(harness.now, 0) == pytest.approx([50.0, 50.0], rel=0.01)
    harness.send(interface.ProxyLeft(2), interface.ProxyLeft(1))
    assert harness.planner.demand.rates_by_class(harness.now, 0) == pytest.approx([15.0, 15.0], rel=0.01)
    harness.send(interface.ProxyJoined(3, 0, 40.0, True))
    for _ in range(12):
        harness.send(
            *(interface.LoadReport(0, server_id(n), 8, 0, 90.0, 1000.0, (0.4,)) for n in range(4)),
            interface.DemandReport(0, 0, 15, 0, 1000.0),
            interface.DemandReport(0, 1, 15, 0, 1000.0),
            wait_ms=1000.0,
        )
    assert harness.planner.demand.rates_by_class(harness.now, 0) == pytest.approx(
        [15.0, 15.0], rel=0.01
    )  # the announced rate of proxy 3 has expired
