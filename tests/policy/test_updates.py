"""Tests for the selection and order of updates within the limits of the queue and the message cap."""

from dataclasses import replace

import pytest
from policy_harness import (
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    entry,
    server_id,
    slow_channel_harness,
    two_zone_harness,
)

from stackwheel import interface
from stackwheel.interface import Availability
from stackwheel.policy import slow_start
from stackwheel.policy.demand import DemandKey
from stackwheel.policy.tables import table_shares
from stackwheel.policy.updates import Urgency


def test_no_weights_are_sent_if_they_have_not_changed() -> None:
    harness = two_zone_harness()
    harness.run_slots(30)
    assert actions_of_type(harness.run_slot(), interface.SetWeight) == []


@pytest.mark.parametrize("availability", [Availability.DRAINING, Availability.REMOVED])
def test_a_draining_or_removed_server_is_removed_from_all_tables_at_once(availability: Availability) -> None:
    harness = two_zone_harness()
    harness.run_slots(3)
    harness.update_endpoints(entry(0, 0, availability))
    for lines in harness.tables.values():
        assert server_id(0) not in lines
        assert lines


def test_a_draining_server_with_most_of_a_tables_weight_is_removed_completely() -> None:
    """Scaling the remaining shares must not apply to the share of the server that is removed."""
    harness = PolicyHarness(
        servers=[entry(0, 0), *(entry(n, 1) for n in range(1, 8))], proxies=((0, 0),), cross_zone_cost=0.3
    )
    harness.run_slots(8, attempts=2, demand=5)
    assert harness.shares(0)[server_id(0)] > 0.7
    harness.update_endpoints(entry(0, 0, Availability.DRAINING))
    assert server_id(0) not in harness.shares(0)
    assert harness.shares(0)


def test_tables_of_a_zone_use_other_zones_after_its_servers_were_removed() -> None:
    harness = two_zone_harness()
    harness.run_slots(3, attempts=5, demand=20)
    harness.update_endpoints(*(entry(n, 0, Availability.REMOVED) for n in (0, 2, 4)))
    assert set(harness.shares(0)) == {server_id(1), server_id(3), server_id(5)}


def test_the_weight_of_a_warming_server_is_updated_when_other_servers_drain() -> None:
    """The relative weight of a warming server increases when other lines are removed."""
    harness = two_zone_harness(12, cross_zone_cost=0.0)
    harness.run_slots(5, demand=110, utilization=dict.fromkeys(range(12), 0.6))
    harness.update_endpoints(entry(0, 0, started_at=harness.now))
    harness.update_endpoints(*(entry(n, n % 2, Availability.DRAINING) for n in range(1, 9)))
    limit = (
        slow_start.WARMING_LOAD_SHARE
        * SETTINGS.overload_multiple
        * 0.2
        * harness.planner.pool.views[server_id(0)].capacity
    )
    load = sum(
        harness.shares(p, c).get(server_id(0), 0.0) * harness.planner.demand.rates_by_class(harness.now, p)[c]
        for p in (0, 1)
        for c in (0, 1)
    )
    assert 0 < load < 1.25 * limit


def test_the_message_cap_is_not_exceeded_with_urgent_changes() -> None:
    harness = two_zone_harness(12, message_cap=12)
    sent_at: list[float] = []
    for second in range(40):
        utilization = {n: 0.3 + 0.6 * ((n + second) % 2) for n in range(12)}
        for event in (None, entry(second % 12, 0, started_at=harness.now)):
            actions = (
                harness.update_endpoints(event)
                if event
                else harness.run_slot(
                    utilization=utilization, latencies={n: 100.0 * (1 + (n + second) % 4) for n in range(12)}
                )
            )
            lines = [a for a in actions if isinstance(a, interface.SetWeight) and a.table == harness.assignments[0][0]]
            sent_at += [harness.now] if lines else []
    for at in sent_at:
        assert sum(1 for other in sent_at if at - 10000.0 < other <= at) <= 12


def test_a_draining_server_is_removed_within_two_slots_near_the_message_cap() -> None:
    harness = two_zone_harness(12, message_cap=12)
    for second in range(12):
        harness.update_endpoints(entry(second % 6, 0, started_at=harness.now))
        harness.run_slot(latencies={n: 100.0 * (1 + (n + second) % 4) for n in range(12)})
    harness.update_endpoints(entry(7, 1, Availability.DRAINING))
    for _ in range(2):
        harness.run_slot()
    assert all(server_id(7) not in lines for lines in harness.tables.values())


def test_a_removal_deferred_by_the_message_cap_is_sent_within_the_drain_grace_without_other_events() -> None:
    """The timers of the policy are the only events."""
    harness = two_zone_harness(12, message_cap=12, drain_grace=2000.0)
    for second in range(7):  # use up the share of the cap for routine changes
        harness.update_endpoints(entry(second % 6, 0, started_at=harness.now))
        harness.run_slot(latencies={n: 100.0 * (1 + (n + second) % 4) for n in range(12)})
    timers: list[tuple[float, int]] = []

    def send(event: interface.Event, at: float) -> None:
        new_timers = [a for a in harness.send(event, wait_ms=at - harness.now) if isinstance(a, interface.SetTimer)]
        timers.extend((harness.now + timer.delay, timer.token) for timer in new_timers)
        timers.sort()

    slot_timer = [a for a in harness.actions if isinstance(a, interface.SetTimer)][-1]
    timers.append((harness.now + slot_timer.delay, slot_timer.token))
    drained_at = harness.now + 400.0
    send(interface.EndpointUpdate(interface.UpdateKind.DELTA, 3, (entry(7, 1, Availability.DRAINING),)), drained_at)
    assert any(server_id(7) in lines for lines in harness.tables.values())  # deferred by the message cap
    while any(server_id(7) in lines for lines in harness.tables.values()):
        at, token = timers.pop(0)
        assert at < drained_at + harness.settings.drain_grace
        send(interface.TimerFired(token), at)


def test_the_weight_of_a_warming_server_is_updated_when_other_servers_are_ejected() -> None:
    """The relative weight of a warming server increases when the weights of ejected servers are reduced."""
    harness = PolicyHarness(servers=[entry(n, 0 if n < 4 else 1) for n in range(12)])
    harness.run_slots(8, attempts=5, demand=20)
    harness.update_endpoints(entry(0, 0, started_at=harness.now))
    harness.run_slot(
        attempts=5, demand=20, failures=dict.fromkeys((1, 2, 3), 5), latencies=dict.fromkeys((1, 2, 3), 1.0)
    )
    assert sum(1 for v in harness.planner.pool.views.values() if v.is_ejected(harness.now)) == 3
    allocated_rates = harness.planner.allocator.allocate(sorted(harness.planner.groups.by_zone), harness.now)
    target = table_shares(allocated_rates[DemandKey(0, 0)], harness.planner.pool, harness.now)[server_id(0)]
    assert 0 < harness.shares(0)[server_id(0)] < 1.3 * target


def test_new_servers_are_added_before_routine_changes_are_sent() -> None:
    """The small shares of new servers must not be delayed by larger routine changes."""
    harness = slow_channel_harness()
    old = [replace(harness.entries[server_id(n)], availability=Availability.REMOVED) for n in range(24)]
    new = [entry(n, started_at=harness.now + 10.0) for n in range(60, 84)]
    harness.entries = {s: e for s, e in harness.entries.items() if s not in {o.server for o in old}}
    harness.update_endpoints(*new)
    harness.send(interface.EndpointUpdate(interface.UpdateKind.DELTA, 3, tuple(old)), wait_ms=10.0)
    for second in range(8):
        reports = [
            interface.LoadReport(0, e.server, 20, 0, 60.0 + 60.0 * (n * 7 + second) % 5, 1000.0, (2.0,))
            for n, e in enumerate(harness.entries.values())
            if e.started_at == 0.0
        ]
        harness.send(
            *harness.acknowledgements(),
            *reports,
            *(interface.DemandReport(p, c, 2, 0, 1000.0) for p in harness.zone_by_proxy for c in (0, 1)),
            wait_ms=1000.0,
        )
    new_lines = [sum(e.server in harness.shares(p) for e in new) for p in harness.zone_by_proxy]
    assert sum(new_lines) / len(new_lines) > 12


def test_removed_servers_are_removed_from_all_tables_before_new_servers_are_added() -> None:
    harness = slow_channel_harness(proxies=400)
    removed = {server_id(n) for n in range(24)}
    harness.actions.clear()
    harness.update_endpoints(
        *(entry(n, started_at=harness.now + 10.0) for n in range(60, 84)),
        *(replace(harness.entries[s], availability=Availability.REMOVED) for s in removed),
    )
    tables = {t.number for group in harness.planner.groups.all_groups() if group.users for t in group.tables}
    tables_with_new_lines = {
        set_weight.table
        for set_weight in actions_of_type(harness.actions, interface.SetWeight)
        if set_weight.weight > 0
    }
    tables_without_removed = {t for t in tables if not removed & harness.tables[t].keys()}
    assert tables - tables_without_removed
    assert not tables_with_new_lines - tables_without_removed


def test_the_reserve_of_the_message_cap_is_used_only_for_removed_and_warming_servers() -> None:
    """If ejections used the reserve, removals could not be sent in time."""
    servers = [entry(n, 0) for n in range(6)]
    harness = PolicyHarness(
        servers=servers, proxies=((0, 0),), message_cap=10, message_window=10000.0, cross_zone_cost=0.0
    )
    harness.run_slots(3)
    harness.planner.channel.message_times[0] = [harness.now] * 7  # above the share for routine changes
    action_count = len(harness.actions)
    harness.run_slots(3, failures={5: 20})
    assert harness.planner.pool.views[server_id(5)].is_ejected(harness.now)
    assert not any(isinstance(action, interface.SetWeight) for action in harness.actions[action_count:])
    harness.update_endpoints(entry(4, availability=Availability.REMOVED))
    harness.run_slot(failures={5: 20})
    assert server_id(4) not in harness.shares(0)


def test_the_reserve_of_the_message_cap_is_spread_over_its_window() -> None:
    """If the reserve were used up at once, the next removal would have to wait for the end of the window."""
    servers = [entry(n, 0) for n in range(30)]
    harness = PolicyHarness(
        servers=servers, proxies=((0, 0),), message_cap=12, message_window=10000.0, cross_zone_cost=0.0
    )
    harness.run_slots(3)
    for _ in range(12):  # the proxy reconnects repeatedly
        harness.send(interface.ProxyLeft(0), interface.ProxyJoined(0, 0, 40.0, False), wait_ms=300.0)
    for number in range(6):
        harness.update_endpoints(entry(number, availability=Availability.REMOVED))
        removed_at = harness.now
        while 0 not in harness.assignments or server_id(number) in harness.shares(0):
            harness.run_slot()
            assert harness.now - removed_at < 3500.0
    assert len([at for at in harness.planner.channel.message_times[0] if at > harness.now - 10000.0]) <= 12


def test_new_lines_of_an_empty_table_are_urgent() -> None:
    """If only removals were sent, proxies would have no server."""
    harness = PolicyHarness(servers=[entry(n, 0) for n in range(6)], proxies=((0, 0),))
    harness.run_slots(3)
    table = harness.planner.groups.all_groups()[0].tables[0]
    assert table.sent
    table.sent = {}
    assert {change.urgency for change in harness.planner.updates.table_changes(0, table, harness.now)} == {
        Urgency.EJECTED_OR_EMPTY
    }
