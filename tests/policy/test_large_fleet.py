"""Tests with a large fleet: limits of the channel, and updates that have to reach all proxies in time."""

from large_fleet_harness import LARGE_FLEET_SETTINGS, PROXIES, SERVERS, ZONES, LargeFleetHarness, count_lines
from policy_harness import entry, server_id

from stackwheel import interface
from stackwheel.interface import Availability
from stackwheel.policy.table_groups import COMPLETE_TABLE_SIZE


def test_many_joining_proxies_get_tables_without_exceeding_the_queue_limit() -> None:
    """Complete tables for all proxies together exceed the queue limit many times."""
    fleet = LargeFleetHarness().run_until_joined()
    assert fleet.max_queued_lines <= LARGE_FLEET_SETTINGS.queue_limit * 0.85
    assert fleet.max_messages() <= LARGE_FLEET_SETTINGS.message_cap


def test_a_few_removed_servers_leave_all_tables_within_the_drain_grace() -> None:
    fleet = LargeFleetHarness().run_until_joined()
    removed = range(0, 10 * ZONES, ZONES)
    fleet.update_endpoints(*(entry(n, n % ZONES, Availability.REMOVED) for n in removed))
    for _ in range(
        int(0.7 * LARGE_FLEET_SETTINGS.drain_grace / 100.0)
    ):  # the rest is the transit time of the last message
        fleet.send(wait_ms=100.0)
    assert count_lines(fleet, removed) == 0
    assert fleet.max_queued_lines <= LARGE_FLEET_SETTINGS.queue_limit


def test_all_servers_of_a_zone_leave_all_tables_without_exceeding_the_queue_limit() -> None:
    fleet = LargeFleetHarness().run_until_joined()
    removed = range(0, SERVERS, ZONES)
    fleet.update_endpoints(*(entry(n, n % ZONES, Availability.REMOVED) for n in removed))
    for _ in range(
        int(2 * LARGE_FLEET_SETTINGS.drain_grace / 100.0)
    ):  # the channel needs about five seconds for 40 servers
        fleet.send(wait_ms=100.0)
    assert count_lines(fleet, removed) == 0
    assert fleet.max_queued_lines <= LARGE_FLEET_SETTINGS.queue_limit
    assert fleet.max_messages() <= LARGE_FLEET_SETTINGS.message_cap


def test_the_weights_of_many_restarted_servers_are_reduced_at_once() -> None:
    fleet = LargeFleetHarness().run_until_joined()
    restarted = range(0, SERVERS, 3)
    before = sum(lines.get(server_id(n), 0.0) for lines in fleet.tables.values() for n in restarted)
    fleet.update_endpoints(*(entry(n, n % ZONES, Availability.READY, started_at=fleet.now) for n in restarted))
    for _ in range(15):
        fleet.send(wait_ms=100.0)
    after = sum(lines.get(server_id(n), 0.0) for lines in fleet.tables.values() for n in restarted)
    assert after < 0.7 * before
    assert fleet.max_queued_lines <= LARGE_FLEET_SETTINGS.queue_limit


def test_changes_of_all_tables_are_sent_within_twelve_slots_and_within_the_queue_limit() -> None:
    """A table whose changes exceed the allowance of a slot must be updated as well."""
    fleet = LargeFleetHarness().run_until_joined()
    action_count = len(fleet.actions)
    before = {proxy: len(times) for proxy, times in fleet.message_times.items()}
    high_latencies = dict.fromkeys(range(0, SERVERS, 2), 900.0)
    for _ in range(12):
        fleet.run_report_interval(latencies=high_latencies)
    updated_tables = {a.table for a in fleet.actions[action_count:] if isinstance(a, interface.SetWeight)}
    assert updated_tables >= set(fleet.tables)
    assert all(len(fleet.message_times[proxy]) > count for proxy, count in before.items())
    assert fleet.max_queued_lines <= LARGE_FLEET_SETTINGS.queue_limit * 0.85


def test_a_slow_channel_still_transmits_a_removal_in_time() -> None:
    """Routine changes must not delay the removal of a server on a channel that is slower than configured."""
    fleet = LargeFleetHarness().run_until_joined()
    fleet.lines_per_s = LARGE_FLEET_SETTINGS.channel_rate / 5
    high_latencies = dict.fromkeys(range(0, SERVERS, 2), 900.0)
    for _ in range(6):
        fleet.run_report_interval(latencies=high_latencies)
    assert fleet.max_queued_lines <= LARGE_FLEET_SETTINGS.queue_limit
    fleet.update_endpoints(entry(1, 1, Availability.REMOVED))
    for _ in range(int(3 * LARGE_FLEET_SETTINGS.drain_grace / 100.0)):  # the channel is slower than configured
        fleet.send(wait_ms=100.0)
    assert count_lines(fleet, range(1, 2)) == 0


def test_many_joining_proxies_get_tables_without_removed_servers_within_the_drain_grace() -> None:
    """Complete tables for all proxies of lost planners would take too long to transmit."""
    fleet = LargeFleetHarness().run_until_joined()
    new_proxies = range(PROXIES, LARGE_FLEET_SETTINGS.proxy_count)
    fleet.update_endpoints(entry(5, 5 % ZONES, Availability.REMOVED))
    fleet.zone_by_proxy.update({p: p % ZONES for p in new_proxies})
    fleet.send(*(interface.ProxyJoined(p, p % ZONES, 5.0, False) for p in new_proxies))
    for _ in range(int(0.8 * LARGE_FLEET_SETTINGS.drain_grace / 100.0)):
        fleet.send(wait_ms=100.0)
    assert set(new_proxies) <= fleet.assignments.keys()
    assert count_lines(fleet, range(5, 6)) == 0
    assert all(fleet.tables[t] for t in fleet.assignments[new_proxies[0]].values())
    assert fleet.max_queued_lines <= LARGE_FLEET_SETTINGS.queue_limit
    used_servers = set().union(
        *(fleet.tables[table].keys() for p in new_proxies for table in fleet.assignments[p].values())
    )
    assert len(used_servers) > 0.9 * SERVERS  # together the tables contain nearly all servers
    assert len({t for p in new_proxies for t in fleet.assignments[p].values()}) < len(
        new_proxies
    )  # proxies share tables


def test_complete_tables_replace_short_ones_once_the_queue_is_nearly_empty() -> None:
    fleet = LargeFleetHarness().run_until_joined()
    new_proxies = range(PROXIES, 2 * PROXIES)
    fleet.zone_by_proxy.update({p: p % ZONES for p in new_proxies})
    fleet.send(*(interface.ProxyJoined(p, p % ZONES, 5.0, False) for p in new_proxies))
    for _ in range(40):
        fleet.run_report_interval()
    complete = {
        t.number
        for sizes in fleet.planner.groups.by_zone.values()
        for group in sizes[COMPLETE_TABLE_SIZE]
        for t in group.tables
    }
    assert {t for p in new_proxies for t in fleet.assignments[p].values()} <= complete
    assert set(fleet.planner.groups.by_zone[0]) == {COMPLETE_TABLE_SIZE}  # unused short tables are removed
    assert fleet.max_queued_lines <= LARGE_FLEET_SETTINGS.queue_limit
