"""A large fleet: the channel's limits are kept, and what must not wait reaches every proxy in time."""

from large_fleet_harness import LARGE, PROXIES, SERVERS, ZONES, LargeFleet, lines_of
from policy_harness import entry, server_id

from stackwheel import interface as face
from stackwheel.interface import Availability
from stackwheel.policy.table_groups import COMPLETE_TABLE_SIZE


def test_a_mass_join_is_bound_under_the_queue_limit() -> None:
    """Complete tables for all proxies are many times the queue limit: joins wait, and none is forgotten."""
    fleet = LargeFleet().joined()
    assert fleet.longest <= LARGE.queue_limit * 0.85
    assert fleet.max_messages() <= LARGE.message_cap


def test_a_few_lost_servers_leave_every_table_within_the_grace() -> None:
    fleet = LargeFleet().joined()
    lost = range(0, 10 * ZONES, ZONES)
    fleet.update_endpoints(*(entry(n, n % ZONES, Availability.REMOVED) for n in lost))
    for _ in range(int(0.7 * LARGE.drain_grace / 100.0)):  # the rest is the transit of the last message
        fleet.send(wait=100.0)
    assert lines_of(fleet, lost) == 0
    assert fleet.longest <= LARGE.queue_limit


def test_a_lost_zone_leaves_every_table_under_the_queue_limit() -> None:
    fleet = LargeFleet().joined()
    lost = range(0, SERVERS, ZONES)
    fleet.update_endpoints(*(entry(n, n % ZONES, Availability.REMOVED) for n in lost))
    for _ in range(int(2 * LARGE.drain_grace / 100.0)):  # 40 servers at once are five seconds of the channel
        fleet.send(wait=100.0)
    assert lines_of(fleet, lost) == 0
    assert fleet.longest <= LARGE.queue_limit
    assert fleet.max_messages() <= LARGE.message_cap


def test_a_mass_restart_makes_every_line_of_a_warming_server_light_at_once() -> None:
    fleet = LargeFleet().joined()
    struck = range(0, SERVERS, 3)
    before = sum(lines.get(server_id(n), 0.0) for lines in fleet.tables.values() for n in struck)
    fleet.update_endpoints(*(entry(n, n % ZONES, Availability.READY, started=fleet.now) for n in struck))
    for _ in range(15):
        fleet.send(wait=100.0)
    after = sum(lines.get(server_id(n), 0.0) for lines in fleet.tables.values() for n in struck)
    assert after < 0.7 * before
    assert fleet.longest <= LARGE.queue_limit


def test_changes_reach_every_table_within_some_slots_and_keep_the_pace() -> None:
    """A table that costs more than a slot's allowance was never sent; now each group gets its turn."""
    fleet = LargeFleet().joined()
    start = len(fleet.actions)
    before = {proxy: len(times) for proxy, times in fleet.messages.items()}
    slow = dict.fromkeys(range(0, SERVERS, 2), 900.0)
    for _ in range(12):
        fleet.second(latencies=slow)
    touched = {a.table for a in fleet.actions[start:] if isinstance(a, face.SetWeight)}
    assert touched >= set(fleet.tables)
    assert all(len(fleet.messages[proxy]) > count for proxy, count in before.items())
    assert fleet.longest <= LARGE.queue_limit * 0.85


def test_a_slowed_channel_is_kept_for_urgent_changes() -> None:
    """Found on a drawn deploy day: a drained server waited ten seconds behind changes in a slowed channel."""
    fleet = LargeFleet().joined()
    fleet.rate = LARGE.channel_rate / 5
    slow = dict.fromkeys(range(0, SERVERS, 2), 900.0)
    for _ in range(6):
        fleet.second(latencies=slow)
    assert fleet.longest <= LARGE.queue_limit
    fleet.update_endpoints(entry(1, 1, Availability.REMOVED))
    for _ in range(int(3 * LARGE.drain_grace / 100.0)):  # a slowed channel stretches the grace as much
        fleet.send(wait=100.0)
    assert lines_of(fleet, range(1, 2)) == 0


def test_many_joining_proxies_leave_removed_servers_within_the_grace() -> None:
    """Seven in ten planners died while servers drained: complete tables for their proxies would have taken a minute."""
    fleet = LargeFleet().joined()
    newcomers = range(PROXIES, LARGE.proxy_count)
    fleet.update_endpoints(entry(5, 5 % ZONES, Availability.REMOVED))
    fleet.zones.update({p: p % ZONES for p in newcomers})
    fleet.send(*(face.ProxyJoined(p, p % ZONES, 5.0, False) for p in newcomers))
    for _ in range(int(0.8 * LARGE.drain_grace / 100.0)):
        fleet.send(wait=100.0)
    assert set(newcomers) <= fleet.bindings.keys()
    assert lines_of(fleet, range(5, 6)) == 0
    assert all(fleet.tables[t] for t in fleet.bindings[newcomers[0]].values())
    assert fleet.longest <= LARGE.queue_limit
    used = set().union(*(fleet.tables[table].keys() for p in newcomers for table in fleet.bindings[p].values()))
    assert len(used) > 0.9 * SERVERS  # all together they send as complete tables do
    assert len({t for p in newcomers for t in fleet.bindings[p].values()}) < len(newcomers)  # and share what they hold


def test_short_first_tables_grow_once_the_channel_is_quiet() -> None:
    fleet = LargeFleet().joined()
    newcomers = range(PROXIES, 2 * PROXIES)
    fleet.zones.update({p: p % ZONES for p in newcomers})
    fleet.send(*(face.ProxyJoined(p, p % ZONES, 5.0, False) for p in newcomers))
    for _ in range(40):
        fleet.second()
    complete = {
        t.number
        for sizes in fleet.planner.groups.by_zone.values()
        for group in sizes[COMPLETE_TABLE_SIZE]
        for t in group.tables
    }
    assert {t for p in newcomers for t in fleet.bindings[p].values()} <= complete
    assert set(fleet.planner.groups.by_zone[0]) == {COMPLETE_TABLE_SIZE}  # what nobody uses is forgotten
    assert fleet.longest <= LARGE.queue_limit
