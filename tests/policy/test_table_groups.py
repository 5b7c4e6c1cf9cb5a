"""Tests for the groups of tables that proxies and request classes share."""

from dataclasses import replace

from policy_harness import SETTINGS, PolicyHarness, entry, load_reports, slow_channel_harness, two_zone_harness

from stackwheel import interface
from stackwheel.interface import Availability
from stackwheel.policy.table_groups import COMPLETE_TABLE_SIZE, MIN_HEALTHY_LINES


def test_proxies_of_a_zone_share_one_table_per_class() -> None:
    harness = two_zone_harness(proxies=((0, 0), (1, 0), (2, 1)))
    assert harness.assignments[0] == harness.assignments[1] != harness.assignments[2]
    assert harness.assignments[0][0] != harness.assignments[0][1]


def test_a_short_table_keeps_a_minimum_of_healthy_servers() -> None:
    harness = PolicyHarness(
        servers=[entry(n) for n in range(48)], proxies=(), zone_count=1, channel_rate=300.0, queue_limit=6000.0
    )
    harness.zone_by_proxy = dict.fromkeys(range(200), 0)
    harness.send(*(interface.ProxyJoined(p, 0, 2.0, False) for p in harness.zone_by_proxy), wait_ms=10.0)
    assigned = {t for tables in harness.assignments.values() for t in tables.values()}
    initial_servers = list(harness.tables[min(assigned)])
    assert len(initial_servers) < 24
    removed = [replace(harness.entries[s], availability=Availability.REMOVED) for s in initial_servers[1:]]
    harness.send(interface.EndpointUpdate(interface.UpdateKind.DELTA, 3, tuple(removed)), wait_ms=10.0)
    for _ in range(20):
        harness.send(*harness.acknowledgements(), *load_reports(harness), wait_ms=1000.0)
    lines = harness.tables[min(assigned)]
    assert len(lines) >= MIN_HEALTHY_LINES
    assert lines.keys() <= {e.server for e in harness.entries.values()}
    assert not set(initial_servers[1:]) & lines.keys()


def test_classes_share_tables_and_groups_are_limited_if_the_channel_is_slow() -> None:
    """One large group with a table per class would use most of the channel for message overhead."""
    harness = slow_channel_harness()
    assert all(tables[0] == tables[1] for tables in harness.assignments.values())
    users = [len(group.users) for group in harness.planner.groups.all_groups()]
    assert sum(users) == 200
    assert max(users) <= harness.planner.channel.max_group_size + 1
    small_fleet = PolicyHarness(servers=[entry(n) for n in range(8)], proxies=((0, 0),))
    assert small_fleet.assignments[0][0] != small_fleet.assignments[0][1]  # one table per class


def test_groups_with_joint_and_separate_tables_coexist_after_the_fleet_has_grown() -> None:
    """A slot must not fail for a zone whose groups have different numbers of tables."""
    harness = PolicyHarness(
        replace(SETTINGS, zone_count=1, channel_rate=900.0, queue_limit=4000.0, proxy_count=60),
        servers=[entry(0)],
        proxies=(),
    )
    harness.zone_by_proxy = dict.fromkeys(range(60), 0)
    harness.send(*(interface.ProxyJoined(p, 0, 2.0, False) for p in range(30)), wait_ms=10.0)
    harness.update_endpoints(*(entry(n) for n in range(1, 40)))
    harness.send(*(interface.ProxyJoined(p, 0, 2.0, False) for p in range(30, 60)), wait_ms=10.0)
    for _ in range(40):
        harness.send(*load_reports(harness), wait_ms=1000.0)
    assert {len(group.tables) for group in harness.planner.groups.by_zone[0][COMPLETE_TABLE_SIZE]} == {1, 2}
    assert all(tables for tables in harness.assignments.values())
