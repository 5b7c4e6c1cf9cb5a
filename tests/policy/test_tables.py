"""Tests for the shares of tables: limited steps, small shares and servers without a step limit."""

from policy_harness import PolicyHarness, entry, load_reports, server_id, two_zone_harness

from stackwheel import interface
from stackwheel.policy import tables
from stackwheel.policy.tables import Table


def test_a_share_changes_by_a_limited_step_in_each_slot() -> None:
    harness = two_zone_harness(cross_zone_cost=0.0)
    harness.run_slots(3)
    for _ in range(8):
        before = harness.shares(0)
        harness.run_slot(utilization={0: 1.0}, latencies={0: 900.0})
        after = harness.shares(0)
        assert after[server_id(0)] >= before[server_id(0)] * (1 - tables.MAX_SHARE_STEP) * 0.85


def test_tables_are_not_empty_with_a_thousand_servers() -> None:
    """With so many servers, the even share is below the minimum share of a line."""
    harness = PolicyHarness(servers=[entry(n) for n in range(1024)], proxies=((0, 0), (1, 0)), zone_count=1)
    harness.send(*load_reports(harness), wait_ms=1000.0)
    for proxy in (0, 1):
        lines = harness.shares(proxy)
        assert 100 <= len(lines) <= 300  # a random selection of servers is included
        assert max(lines.values()) < 0.02


def test_demand_for_servers_in_other_zones_is_not_lost_if_their_shares_are_small() -> None:
    """If shares below the minimum were dropped, all demand would remain in an overloaded zone."""
    harness = PolicyHarness(
        servers=[entry(n, int(n >= 50)) for n in range(200)], proxies=((0, 0),), cross_zone_cost=0.12
    )
    for _ in range(30):
        harness.send(
            *(
                interface.LoadReport(0, e.server, 20, 0, 100.0, 1000.0, (1.0,))
                for e in harness.entries.values()
                if e.zone == 0
            ),
            interface.DemandReport(0, 0, 900, 0, 1000.0),
            interface.DemandReport(0, 1, 700, 0, 1000.0),
            wait_ms=1000.0,
        )
    other_zone = {server_id(n) for n in range(50, 200)}
    assert sum(share for s, share in harness.shares(0).items() if s in other_zone) > 0.05


def test_no_share_is_negative_if_uncapped_shares_exceed_one() -> None:
    """The shares of uncapped servers can exceed 1 in total; proxies close their streams on a negative weight."""
    harness = PolicyHarness(servers=[entry(n, started_at=100_000.0 * (n > 1)) for n in range(4)], proxies=((0, 0),))
    table = Table(
        9, 0, (0,), shares={server_id(0): 0.5, server_id(1): 0.5}, sent={server_id(0): 0.5, server_id(1): 0.5}
    )
    table.move_shares_towards(
        {server_id(0): 0.3, server_id(2): 0.9, server_id(3): 0.9}, harness.planner.pool.ready_servers(harness.now)
    )
    assert min(table.shares.values()) >= 0.0
