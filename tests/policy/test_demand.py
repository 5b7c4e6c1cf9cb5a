"""Demand: counted from reports, promised by joins."""

import pytest
from policy_harness import PolicyHarness, entry, server_id

from stackwheel import interface as face


def test_proxies_that_report_nothing_have_no_demand() -> None:
    """Each has a request of a class every third second, and reports no others: together 40 a second, not 120."""
    proxies = [(n, n % 2) for n in range(60)]
    harness = PolicyHarness(servers=[entry(n, n % 2) for n in range(6)], proxies=proxies)
    for second in range(30):
        reports: list[face.Event] = [face.LoadReport(0, server_id(n), 8, 0, 90.0, 1000.0, (0.4,)) for n in range(6)]
        usage = [face.DemandReport(p, c, 1, 0, 1000.0) for p, _ in proxies for c in (0, 1) if (p + c + second) % 3 == 0]
        harness.send(*reports, *usage, wait=1000.0)
    assert sum(harness.planner.demand.rates_by_class(harness.now)) == pytest.approx(40.0, rel=0.1)
    assert sum(harness.planner.demand.rates_by_class(harness.now, 0)) == pytest.approx(20.0, rel=0.2)


def test_a_proxy_counts_with_its_promised_rate_until_it_reports_and_takes_its_demand_along() -> None:
    harness = PolicyHarness(servers=[entry(n, 0) for n in range(4)], proxies=((0, 0), (1, 0)), cross_zone_cost=0.0)
    assert sum(harness.planner.demand.rates_by_class(harness.now)) == pytest.approx(80.0)
    for _ in range(12):
        harness.slot(demand=15)
    assert harness.planner.demand.rates_by_class(harness.now, 0) == pytest.approx([30.0, 30.0], rel=0.01)
    harness.send(face.ProxyJoined(2, 0, 40.0, True))
    assert harness.planner.demand.rates_by_class(harness.now, 0) == pytest.approx([50.0, 50.0], rel=0.01)
    harness.send(face.ProxyLeft(2), face.ProxyLeft(1))
    assert harness.planner.demand.rates_by_class(harness.now, 0) == pytest.approx([15.0, 15.0], rel=0.01)
    harness.send(face.ProxyJoined(3, 0, 40.0, True))
    for _ in range(12):
        harness.send(
            *(face.LoadReport(0, server_id(n), 8, 0, 90.0, 1000.0, (0.4,)) for n in range(4)),
            face.DemandReport(0, 0, 15, 0, 1000.0),
            face.DemandReport(0, 1, 15, 0, 1000.0),
            wait=1000.0,
        )
    assert harness.planner.demand.rates_by_class(harness.now, 0) == pytest.approx(
        [15.0, 15.0], rel=0.01
    )  # proxy 3 never reported
