"""Which tables there are, and which proxies and classes share them."""

from dataclasses import replace

from policy_harness import SETTINGS, PolicyHarness, alternating_fleet, entry, joined_fleet, load_reports

from stackwheel import interface as face
from stackwheel.interface import Availability
from stackwheel.policy.table_groups import COMPLETE_TABLE_SIZE, MIN_HEALTHY_LINES


def test_tables_are_shared_by_zone_and_class() -> None:
    harness = alternating_fleet(proxies=((0, 0), (1, 0), (2, 1)))
    assert harness.bindings[0] == harness.bindings[1] != harness.bindings[2]
    assert harness.bindings[0][0] != harness.bindings[0][1]


def test_a_short_table_never_becomes_empty() -> None:
    harness = PolicyHarness(
        servers=[entry(n) for n in range(48)], proxies=(), zone_count=1, channel_rate=300.0, queue_limit=6000.0
    )
    harness.zones = dict.fromkeys(range(200), 0)
    harness.send(*(face.ProxyJoined(p, 0, 2.0, False) for p in harness.zones), wait=10.0)
    used = {t for tables in harness.bindings.values() for t in tables.values()}
    first = list(harness.tables[min(used)])
    assert len(first) < 24
    removed = [replace(harness.entries[s], availability=Availability.REMOVED) for s in first[1:]]
    harness.send(face.EndpointUpdate(face.UpdateKind.DELTA, 3, tuple(removed)), wait=10.0)
    for _ in range(20):
        harness.send(*harness.acknowledgements(), *load_reports(harness), wait=1000.0)
    lines = harness.tables[min(used)]
    assert len(lines) >= MIN_HEALTHY_LINES
    assert lines.keys() <= {e.server for e in harness.entries.values()}
    assert not set(first[1:]) & lines.keys()


def test_where_the_channel_is_tight_classes_share_a_table_and_proxies_form_groups() -> None:
    """One line in all tables took a third of a second of the channel, most of it message overhead."""
    harness = joined_fleet()
    assert all(tables[0] == tables[1] for tables in harness.bindings.values())
    users = [len(group.users) for group in harness.planner.groups.all_groups()]
    assert sum(users) == 200
    assert max(users) <= harness.planner.channel.max_group_size + 1
    small = PolicyHarness(servers=[entry(n) for n in range(8)], proxies=((0, 0),))
    assert small.bindings[0][0] != small.bindings[0][1]  # by the design: a table a class


def test_tables_of_one_class_and_of_several_coexist_when_the_fleet_grows() -> None:
    """The zone's first table was of one class, its second of two: the next slot failed (austin-later big-1)."""
    harness = PolicyHarness(
        replace(SETTINGS, zone_count=1, channel_rate=900.0, queue_limit=4000.0, proxy_count=60),
        servers=[entry(0)],
        proxies=(),
    )
    harness.zones = dict.fromkeys(range(60), 0)
    harness.send(*(face.ProxyJoined(p, 0, 2.0, False) for p in range(30)), wait=10.0)
    harness.update_endpoints(*(entry(n) for n in range(1, 40)))
    harness.send(*(face.ProxyJoined(p, 0, 2.0, False) for p in range(30, 60)), wait=10.0)
    for _ in range(40):
        harness.send(*load_reports(harness), wait=1000.0)
    assert {len(group.tables) for group in harness.planner.groups.by_zone[0][COMPLETE_TABLE_SIZE]} == {1, 2}
    assert all(tables for tables in harness.bindings.values())
