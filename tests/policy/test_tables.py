"""Shares of a table: capped steps, thin lines, uncapped lines."""

from policy_harness import PolicyHarness, alternating_fleet, entry, load_reports, server_id

from stackwheel import interface as face
from stackwheel.policy import tables
from stackwheel.policy.tables import Table


def test_a_weight_moves_by_a_capped_step_each_slot() -> None:
    harness = alternating_fleet(cross_zone_cost=0.0)
    harness.slots(3)
    for _ in range(8):
        before = harness.shares(0)
        harness.slot(utilization={0: 1.0}, latencies={0: 900.0})
        after = harness.shares(0)
        assert after[server_id(0)] >= before[server_id(0)] * (1 - tables.MAX_SHARE_STEP) * 0.85


def test_a_fleet_of_a_thousand_servers_has_no_empty_table() -> None:
    """The least share of a line was the even share of 200 servers: of 1,024 every line was under it."""
    harness = PolicyHarness(servers=[entry(n) for n in range(1024)], proxies=((0, 0), (1, 0)), zone_count=1)
    harness.send(*load_reports(harness), wait=1000.0)
    for proxy in (0, 1):
        lines = harness.shares(proxy)
        assert 100 <= len(lines) <= 300  # thin lines: a draw keeps their part
        assert max(lines.values()) < 0.02


def test_demand_that_spills_into_other_zones_is_not_lost_in_thin_lines() -> None:
    """A zone short of servers kept all its traffic: what each of 150 others was to get was under the least share."""
    harness = PolicyHarness(
        servers=[entry(n, int(n >= 50)) for n in range(200)], proxies=((0, 0),), cross_zone_cost=0.12
    )
    for _ in range(30):
        harness.send(
            *(
                face.LoadReport(0, e.server, 20, 0, 100.0, 1000.0, (1.0,))
                for e in harness.entries.values()
                if e.zone == 0
            ),
            face.DemandReport(0, 0, 900, 0, 1000.0),
            face.DemandReport(0, 1, 700, 0, 1000.0),
            wait=1000.0,
        )
    away = {server_id(n) for n in range(50, 200)}
    assert sum(share for s, share in harness.shares(0).items() if s in away) > 0.05


def test_no_share_is_negative_where_uncapped_lines_take_all() -> None:
    """Thin lines drawn at the least share can sum to more than one; a negative weight makes proxies reset streams."""
    harness = PolicyHarness(servers=[entry(n, started=100_000.0 * (n > 1)) for n in range(4)], proxies=((0, 0),))
    table = Table(
        9, 0, (0,), shares={server_id(0): 0.5, server_id(1): 0.5}, sent={server_id(0): 0.5, server_id(1): 0.5}
    )
    table.step_towards(
        {server_id(0): 0.3, server_id(2): 0.9, server_id(3): 0.9}, harness.planner.pool.ready_servers(harness.now)
    )
    assert min(table.shares.values()) >= 0.0
