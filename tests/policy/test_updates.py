"""Updates: which lines are sent, in which order, within the queue and the message cap."""

from dataclasses import replace

import pytest
from policy_harness import SETTINGS, PolicyHarness, actions_of, alternating_fleet, entry, joined_fleet, server_id

from stackwheel import interface as face
from stackwheel.interface import Availability
from stackwheel.policy import slow_start
from stackwheel.policy.demand import DemandKey
from stackwheel.policy.tables import table_shares
from stackwheel.policy.updates import Urgency


def test_only_lines_that_moved_are_sent() -> None:
    harness = alternating_fleet()
    harness.slots(30)
    assert actions_of(harness.slot(), face.SetWeight) == []


@pytest.mark.parametrize("availability", [Availability.DRAINING, Availability.REMOVED])
def test_a_draining_or_removed_server_leaves_every_table_at_once(availability: Availability) -> None:
    harness = alternating_fleet()
    harness.slots(3)
    harness.update_endpoints(entry(0, 0, availability))
    for lines in harness.tables.values():
        assert server_id(0) not in lines
        assert lines


def test_a_draining_server_with_nearly_all_of_a_table_leaves_it_completely() -> None:
    """Found in an incident: the shares that stayed were scaled up, and with them the one that had to be removed."""
    harness = PolicyHarness(
        servers=[entry(0, 0), *(entry(n, 1) for n in range(1, 8))], proxies=((0, 0),), cross_zone_cost=0.3
    )
    harness.slots(8, attempts=2, demand=5)
    assert harness.shares(0)[server_id(0)] > 0.7
    harness.update_endpoints(entry(0, 0, Availability.DRAINING))
    assert server_id(0) not in harness.shares(0)
    assert harness.shares(0)


def test_when_a_zone_is_removed_its_tables_hold_the_other_zones() -> None:
    harness = alternating_fleet()
    harness.slots(3, attempts=5, demand=20)
    harness.update_endpoints(*(entry(n, 0, Availability.REMOVED) for n in (0, 2, 4)))
    assert set(harness.shares(0)) == {server_id(1), server_id(3), server_id(5)}


def test_lines_of_warming_servers_follow_when_other_lines_leave() -> None:
    """Found on a deploy: three lines drained and a warming server's fraction of the table doubled unsent."""
    harness = alternating_fleet(12, cross_zone_cost=0.0)
    harness.slots(5, demand=110, utilization=dict.fromkeys(range(12), 0.6))
    harness.update_endpoints(entry(0, 0, started=harness.now))
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


def test_messages_stay_under_the_cap_with_urgent_ones_among_them() -> None:
    harness = alternating_fleet(12, message_cap=12)
    written: list[float] = []
    for second in range(40):
        utilization = {n: 0.3 + 0.6 * ((n + second) % 2) for n in range(12)}
        for event in (None, entry(second % 12, 0, started=harness.now)):
            actions = (
                harness.update_endpoints(event)
                if event
                else harness.slot(
                    utilization=utilization, latencies={n: 100.0 * (1 + (n + second) % 4) for n in range(12)}
                )
            )
            lines = [a for a in actions if isinstance(a, face.SetWeight) and a.table == harness.bindings[0][0]]
            written += [harness.now] if lines else []
    for at in written:
        assert sum(1 for other in written if at - 10000.0 < other <= at) <= 12


def test_a_drain_is_sent_within_the_grace_even_near_the_message_cap() -> None:
    harness = alternating_fleet(12, message_cap=12)
    for second in range(12):
        harness.update_endpoints(entry(second % 6, 0, started=harness.now))
        harness.slot(latencies={n: 100.0 * (1 + (n + second) % 4) for n in range(12)})
    harness.update_endpoints(entry(7, 1, Availability.DRAINING))
    for _ in range(2):
        harness.slot()
    assert all(server_id(7) not in lines for lines in harness.tables.values())


def test_a_drain_deferred_by_the_message_cap_is_sent_within_the_grace_without_other_events() -> None:
    """The policy's own timers are all that comes: no report, no acknowledgement, no endpoint list."""
    harness = alternating_fleet(12, message_cap=12, drain_grace=2000.0)
    for second in range(7):  # the changes' share of the cap is used up
        harness.update_endpoints(entry(second % 6, 0, started=harness.now))
        harness.slot(latencies={n: 100.0 * (1 + (n + second) % 4) for n in range(12)})
    timers: list[tuple[float, int]] = []

    def send(event: face.Event, at: float) -> None:
        found = [a for a in harness.send(event, wait=at - harness.now) if isinstance(a, face.SetTimer)]
        timers.extend((harness.now + timer.delay, timer.token) for timer in found)
        timers.sort()

    slot = [a for a in harness.actions if isinstance(a, face.SetTimer)][-1]
    timers.append((harness.now + slot.delay, slot.token))
    drained_at = harness.now + 400.0
    send(face.EndpointUpdate(face.UpdateKind.DELTA, 3, (entry(7, 1, Availability.DRAINING),)), drained_at)
    assert any(server_id(7) in lines for lines in harness.tables.values())  # it waits for the cap
    while any(server_id(7) in lines for lines in harness.tables.values()):
        at, token = timers.pop(0)
        assert at < drained_at + harness.settings.drain_grace
        send(face.TimerFired(token), at)


def test_lines_of_warming_servers_follow_when_others_are_ejected() -> None:
    """Found by a search: most lines of a table fell to a trickle, and a warming one was left with most of it."""
    harness = PolicyHarness(servers=[entry(n, 0 if n < 4 else 1) for n in range(12)])
    harness.slots(8, attempts=5, demand=20)
    harness.update_endpoints(entry(0, 0, started=harness.now))
    harness.slot(attempts=5, demand=20, failures=dict.fromkeys((1, 2, 3), 5), latencies=dict.fromkeys((1, 2, 3), 1.0))
    assert sum(1 for v in harness.planner.pool.views.values() if v.is_ejected(harness.now)) == 3
    placement = harness.planner.allocator.allocate(sorted(harness.planner.groups.by_zone), harness.now)
    goal = table_shares(placement[DemandKey(0, 0)], harness.planner.pool, harness.now)[server_id(0)]
    assert 0 < harness.shares(0)[server_id(0)] < 1.3 * goal


def test_new_servers_are_in_the_tables_before_weights_are_evened_out() -> None:
    """Six in ten were replaced and none of the new ones got a line for 17 s: their shares were the smallest changes."""
    harness = joined_fleet()
    old = [replace(harness.entries[server_id(n)], availability=Availability.REMOVED) for n in range(24)]
    new = [entry(n, started=harness.now + 10.0) for n in range(60, 84)]
    harness.entries = {s: e for s, e in harness.entries.items() if s not in {o.server for o in old}}
    harness.update_endpoints(*new)
    harness.send(face.EndpointUpdate(face.UpdateKind.DELTA, 3, tuple(old)), wait=10.0)
    for second in range(8):
        answers = [
            face.LoadReport(0, e.server, 20, 0, 60.0 + 60.0 * (n * 7 + second) % 5, 1000.0, (2.0,))
            for n, e in enumerate(harness.entries.values())
            if e.started_at == 0.0
        ]
        harness.send(
            *harness.acknowledgements(),
            *answers,
            *(face.DemandReport(p, c, 2, 0, 1000.0) for p in harness.zones for c in (0, 1)),
            wait=1000.0,
        )
    new_lines = [sum(e.server in harness.shares(p) for e in new) for p in harness.zones]
    assert sum(new_lines) / len(new_lines) > 12


def test_removed_servers_leave_all_tables_before_others_get_new_ones() -> None:
    harness = joined_fleet(proxies=400)
    removed = {server_id(n) for n in range(24)}
    harness.actions.clear()
    harness.update_endpoints(
        *(entry(n, started=harness.now + 10.0) for n in range(60, 84)),
        *(replace(harness.entries[s], availability=Availability.REMOVED) for s in removed),
    )
    tables = {t.number for group in harness.planner.groups.all_groups() if group.users for t in group.tables}
    extended = {o.table for o in actions_of(harness.actions, face.SetWeight) if o.weight > 0}
    cleared = {t for t in tables if not removed & harness.tables[t].keys()}
    assert tables - cleared
    assert not extended - cleared


def test_the_reserve_of_the_message_cap_is_for_removed_and_warming_servers() -> None:
    """Ejections spent it on a stalled busy day, and the messages that followed had none left."""
    servers = [entry(n, 0) for n in range(6)]
    harness = PolicyHarness(
        servers=servers, proxies=((0, 0),), message_cap=10, message_window=10000.0, cross_zone_cost=0.0
    )
    harness.slots(3)
    harness.planner.channel.message_times[0] = [harness.now] * 7  # over the share for changes
    start = len(harness.actions)
    harness.slots(3, failures={5: 20})
    assert harness.planner.pool.views[server_id(5)].is_ejected(harness.now)
    assert not any(isinstance(action, face.SetWeight) for action in harness.actions[start:])
    harness.update_endpoints(entry(4, availability=Availability.REMOVED))
    harness.slot(failures={5: 20})
    assert server_id(4) not in harness.shares(0)


def test_the_reserve_of_the_message_cap_is_spread_over_its_window() -> None:
    """Seed 906 of the trials: returns and a deploy used all of it within 5 s, and the next drain waited 4 s."""
    servers = [entry(n, 0) for n in range(30)]
    harness = PolicyHarness(
        servers=servers, proxies=((0, 0),), message_cap=12, message_window=10000.0, cross_zone_cost=0.0
    )
    harness.slots(3)
    for _ in range(12):  # its stream breaks and comes back, again and again
        harness.send(face.ProxyLeft(0), face.ProxyJoined(0, 0, 40.0, False), wait=300.0)
    for number in range(6):
        harness.update_endpoints(entry(number, availability=Availability.REMOVED))
        removed_at = harness.now
        while 0 not in harness.bindings or server_id(number) in harness.shares(0):
            harness.slot()
            assert harness.now - removed_at < 3500.0
    assert len([at for at in harness.planner.channel.message_times[0] if at > harness.now - 10000.0]) <= 12


def test_new_lines_of_an_empty_table_do_not_wait() -> None:
    """Found by a search at size: removals went first, additions did not fit, and proxies had no server."""
    harness = PolicyHarness(servers=[entry(n, 0) for n in range(6)], proxies=((0, 0),))
    harness.slots(3)
    table = harness.planner.groups.all_groups()[0].tables[0]
    assert table.sent
    table.sent = {}
    assert {change.urgency for change in harness.planner.updates.table_changes(0, table, harness.now)} == {
        Urgency.EJECTED_OR_EMPTY
    }
