"""What only shows in a full fleet: many planners, hundreds of servers, reports that come late."""

from __future__ import annotations

from dataclasses import replace

from policy_harness import SETTINGS, PolicyHarness, only

from stackwheel import interface as face
from stackwheel.policy import gossip
from stackwheel.policy.table_groups import COMPLETE, MIN_HEALTHY_LINES
from stackwheel.policy.tables import Table
from stackwheel.policy.timers import SLOT_TIMER

READY, GONE = face.Availability.READY, face.Availability.REMOVED


def many(number: int) -> face.Server:
    return face.Server(bytes([10, 0, number // 256, number % 256, 1, 1]))


def server(number: int, zone: int = 0, started: float = 0.0) -> face.EndpointEntry:
    return face.EndpointEntry(many(number), zone, 0, 0, READY, 1.0, started)


def reports(
    harness: PolicyHarness, tries: int = 20, cold: frozenset[int] = frozenset(), span: float = 1000.0
) -> list[face.Event]:
    return [
        face.LoadReport(0, e.server, tries, 0, 100.0, span, (2.0,))
        for n, e in enumerate(harness.entries.values())
        if n not in cold
    ]


def test_a_fleet_of_a_thousand_servers_has_no_empty_table() -> None:
    """The least share of a line was the even share of 200 servers: of 1,024 every line was under it."""
    harness = PolicyHarness(servers=[server(n) for n in range(1024)], proxies=((0, 0), (1, 0)), zones=1)
    harness.send(*reports(harness), wait=1000.0)
    for proxy in (0, 1):
        lines = harness.table(proxy)
        assert 100 <= len(lines) <= 300  # thin lines: a draw keeps their part
        assert max(lines.values()) < 0.02


def test_what_spills_into_other_zones_is_not_lost_in_thin_lines() -> None:
    """A zone short of servers kept all its traffic: what each of 150 others was to get was under the least share."""
    harness = PolicyHarness(
        servers=[server(n, int(n >= 50)) for n in range(200)], proxies=((0, 0),), cross_zone_cost=0.12
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
    away = {many(n) for n in range(50, 200)}
    assert sum(share for s, share in harness.table(0).items() if s in away) > 0.05


def test_planners_that_hear_nobody_keep_a_cold_server_under_its_limit_together() -> None:
    planners, started = 230, 100_000.0
    settings = replace(
        SETTINGS, planner_count=planners, load_columns=("outstanding",), overload_multiple=4.0, slow_start_min_share=0.2
    )
    harness = PolicyHarness(
        settings, servers=[server(n, started=started if n == 0 else 0.0) for n in range(8)], proxies=((0, 0),)
    )
    for _ in range(4):
        harness.send(*reports(harness, cold=frozenset({0})), face.DemandReport(0, 0, 4, 0, 1000.0), wait=500.0)
    view = harness.planner.pool.views[many(0)]
    sent = sum(rates.get(many(0), 0.0) for rates in harness.planner.groups.placement.values())
    assert planners * sent < settings.overload_multiple * view.capacity * harness.planner.pool.available_share(
        view, harness.now
    )


def test_peers_are_told_only_what_they_can_read() -> None:
    for planners, told in ((5, 7), (230, 0)):
        harness = PolicyHarness(servers=[server(n) for n in range(200)], gossip_enabled=True, planner_count=planners)
        harness.actions.clear()
        harness.send(*reports(harness), wait=1000.0)
        assert len(only(harness.actions, face.SendGossip)) == told


def test_calls_for_the_list_that_fail_come_further_and_further_apart() -> None:
    harness = PolicyHarness(servers=[server(0)], endpoint_list_on_request=True, list_poll_deadline=10_000.0)
    waits = []
    for _ in range(9):
        (timer,) = only(harness.send(face.EndpointUpdate(face.UpdateKind.FAILED, 1)), face.SetTimer)
        assert isinstance(timer, face.SetTimer)
        waits.append(timer.delay)
    assert waits[0] <= 1500.0 and max(waits) <= 4000.0 and waits[-1] > 2000.0  # and never beyond the time allowed
    harness.send(face.EndpointUpdate(face.UpdateKind.DELTA, 2))
    (timer,) = only(harness.send(face.EndpointUpdate(face.UpdateKind.FAILED, 2)), face.SetTimer)
    assert isinstance(timer, face.SetTimer) and timer.delay <= 1500.0


def test_probes_tell_a_jam_and_its_end_while_reports_are_old() -> None:
    """Shedding began and ended ten seconds late: each report covered what had been since the last."""
    harness = PolicyHarness(
        servers=[server(n) for n in range(8)],
        proxies=((0, 0),),
        load_columns=("outstanding",),
        health_checks_enabled=True,
        zones=1,
    )
    spent: list[int] = []

    def second(waiting: float, span: float = 12_000.0) -> None:
        probes = only(
            harness.send(
                *reports(harness, int(span / 50.0), span=span),
                face.DemandReport(0, 0, 100, 0, 1000.0),
                face.DemandReport(0, 1, 60, 0, 1000.0),
                wait=1000.0,
            ),
            face.StartHealthCheck,
        )
        spent.append(len(probes))
        harness.send(
            *(
                face.HealthCheckResult(p.server, 1, 5.0, (waiting,))
                for p in probes
                if isinstance(p, face.StartHealthCheck)
            )
        )

    for _ in range(12):
        second(2.0)
    assert harness.planner.shedding.shed_share == 0.0
    for _ in range(4):
        second(60.0)
    assert harness.planner.shedding.shed_share > 0.0
    for _ in range(12):
        second(1.0)
    assert harness.planner.shedding.shed_share == 0.0 and spent[-1] > 0
    for _ in range(60):
        second(1.0, 1000.0)
    assert spent[-1] == 0  # reports that are fresh tell as much, and cost nothing


def test_a_short_table_never_runs_dry() -> None:
    harness = PolicyHarness(
        servers=[server(n) for n in range(48)], proxies=(), zones=1, channel_rate=300.0, queue_limit=6000.0
    )
    harness.zones = dict.fromkeys(range(200), 0)
    harness.send(*(face.ProxyJoined(p, 0, 2.0, False) for p in harness.zones), wait=10.0)
    used = {t for held in harness.bound.values() for t in held.values()}
    mine = list(harness.tables[min(used)])
    assert len(mine) < 24
    gone = [replace(harness.entries[s], availability=GONE) for s in mine[1:]]
    harness.send(face.EndpointUpdate(face.UpdateKind.DELTA, 3, tuple(gone)), wait=10.0)
    for _ in range(20):
        harness.send(*harness.arrived(), *reports(harness), wait=1000.0)
    held = harness.tables[min(used)]
    assert (
        len(held) >= MIN_HEALTHY_LINES
        and held.keys() <= {e.server for e in harness.entries.values()}
        and not set(mine[1:]) & held.keys()
    )


def test_no_share_is_negative_where_what_jumps_takes_all() -> None:
    """Thin lines drawn at the least share can sum to more than one; a negative weight makes proxies reset streams."""
    harness = PolicyHarness(servers=[server(n, started=100_000.0 * (n > 1)) for n in range(4)], proxies=((0, 0),))
    table = Table(9, 0, (0,), shares={many(0): 0.5, many(1): 0.5}, sent={many(0): 0.5, many(1): 0.5})
    table.step_towards({many(0): 0.3, many(2): 0.9, many(3): 0.9}, harness.planner.pool.ready_servers(harness.now))
    assert min(table.shares.values()) >= 0.0


def crowd(proxies: int = 200, servers: int = 48) -> PolicyHarness:
    """A planner whose channel cannot carry a table for each class to all."""
    settings = replace(SETTINGS, zones=1, channel_rate=3000.0, queue_limit=9000.0, proxy_count=proxies)
    harness = PolicyHarness(settings, servers=[server(n) for n in range(servers)], proxies=())
    harness.zones = dict.fromkeys(range(proxies), 0)
    harness.send(*(face.ProxyJoined(p, 0, 2.0, False) for p in harness.zones), wait=10.0)
    for _ in range(30):
        harness.send(
            *harness.arrived(),
            *reports(harness),
            *(face.DemandReport(p, c, 2, 0, 1000.0) for p in harness.zones for c in (0, 1)),
            wait=1000.0,
        )
    return harness


def test_where_the_channel_is_tight_classes_share_a_table_and_proxies_take_turns() -> None:
    """One line in all tables took a third of a second of the channel, most of it heads of messages."""
    harness = crowd()
    assert all(held[0] == held[1] for held in harness.bound.values())
    users = [len(group.users) for group in harness.planner.groups.all()]
    assert sum(users) == 200 and max(users) <= harness.planner.outbox.max_group_size + 1
    small = PolicyHarness(servers=[server(n) for n in range(8)], proxies=((0, 0),))
    assert small.bound[0][0] != small.bound[0][1]  # the design's own: a table a class


def test_servers_that_came_are_in_the_tables_before_weights_are_evened_out() -> None:
    """Six in ten were replaced and none of the new ones got a line for 17 s: their shares were the smallest moves."""
    harness = crowd()
    old = [replace(harness.entries[many(n)], availability=GONE) for n in range(24)]
    new = [server(n, started=harness.now + 10.0) for n in range(60, 84)]
    harness.entries = {s: e for s, e in harness.entries.items() if s not in {o.server for o in old}}
    harness.listed(*new)
    harness.send(face.EndpointUpdate(face.UpdateKind.DELTA, 3, tuple(old)), wait=10.0)
    for second in range(8):
        answers = [
            face.LoadReport(0, e.server, 20, 0, 60.0 + 60.0 * (n * 7 + second) % 5, 1000.0, (2.0,))
            for n, e in enumerate(harness.entries.values())
            if e.started_at == 0.0
        ]
        harness.send(
            *harness.arrived(),
            *answers,
            *(face.DemandReport(p, c, 2, 0, 1000.0) for p in harness.zones for c in (0, 1)),
            wait=1000.0,
        )
    held = [sum(e.server in harness.table(p) for e in new) for p in harness.zones]
    assert sum(held) / len(held) > 12


def test_what_went_leaves_all_tables_before_others_get_what_came() -> None:
    harness = crowd(proxies=400)
    went = {many(n) for n in range(24)}
    harness.actions.clear()
    harness.listed(
        *(server(n, started=harness.now + 10.0) for n in range(60, 84)),
        *(replace(harness.entries[s], availability=GONE) for s in went),
    )
    tables = {t.number for group in harness.planner.groups.all() if group.users for t in group.tables}
    came = {o.table for o in only(harness.actions, face.SetWeight) if o.weight > 0}  # type: ignore[attr-defined]
    rid = {t for t in tables if not went & harness.tables[t].keys()}
    assert tables - rid and not came - rid


def test_probes_that_full_servers_turn_away_tell_a_jam() -> None:
    """Only servers with room answered probes, so in a jam of two thirds of them nothing was shed for ten seconds."""
    harness = PolicyHarness(
        servers=[server(n) for n in range(9)],
        proxies=((0, 0),),
        load_columns=("outstanding",),
        health_checks_enabled=True,
        zones=1,
    )
    for _ in range(20):
        probes = only(
            harness.send(
                *reports(harness, 120, span=12_000.0),
                face.DemandReport(0, 0, 100, 0, 1000.0),
                face.DemandReport(0, 1, 60, 0, 1000.0),
                wait=1000.0,
            ),
            face.StartHealthCheck,
        )
        harness.send(
            *(
                face.HealthCheckResult(
                    p.server,
                    face.HealthCheckOutcome.OK if p.server[3] < 3 else face.HealthCheckOutcome.REJECTED,
                    5.0,  # type: ignore[attr-defined]
                    (1.0,) if p.server[3] < 3 else (),
                )
                for p in probes
            )
        )  # type: ignore[attr-defined]
    assert harness.planner.shedding.shed_share > 0.0


def test_a_full_server_that_then_breaks_a_probe_has_still_no_load_to_reckon_with() -> None:
    harness = PolicyHarness(servers=[server(n) for n in range(4)], load_columns=("outstanding",))
    harness.send(
        face.HealthCheckResult(many(0), face.HealthCheckOutcome.REJECTED, 5.0),
        face.HealthCheckResult(many(0), face.HealthCheckOutcome.RESET, 5.0),
    )
    bare = [face.LoadReport(0, many(n), 20, 0, 100.0, 1000.0) for n in range(4)]
    assert only(harness.send(*bare, wait=1000.0), face.SetTimer)  # the slot ran to its end


def test_a_planner_without_proxies_tells_the_others_that_it_sends_nothing() -> None:
    """Two planners that had restarted said nothing, and two fifths of what cold servers could take lay idle."""
    harness = PolicyHarness(servers=[server(n) for n in range(4)], proxies=(), gossip_enabled=True, planner_count=5)
    harness.actions.clear()
    (timer,) = only(
        harness.send(face.TimerFired(SLOT_TIMER + harness.planner.slot.number), wait=1250.0), face.SendGossip
    )
    assert gossip.decode(timer.payload).proxies == 0  # type: ignore[attr-defined, index]


def test_what_cold_servers_may_take_is_shared_by_the_proxies_that_planners_have() -> None:
    """Two of five planners were down; the rest, with all proxies, left their two fifths unused."""
    harness = PolicyHarness(
        replace(SETTINGS, planner_count=5, proxy_count=8),
        servers=[server(n) for n in range(4)],
        proxies=((0, 0), (1, 0)),
    )
    for others, part in ((6, 1.0), (2, 0.5), (0, 0.25)):
        harness.send(face.GossipReceived(1, gossip.encode(others, {many(0): 0.0})[0]), wait=10.0)
        harness.send(*reports(harness), wait=1000.0)
        assert abs(harness.planner.allocator.our_share - part) < 0.01


def test_tables_of_both_kinds_stand_side_by_side_when_the_fleet_grows() -> None:
    """The zone's first table was a class's own, its second shared: the next slot failed on their number (austin-later big-1)."""
    harness = PolicyHarness(
        replace(SETTINGS, zones=1, channel_rate=900.0, queue_limit=4000.0, proxy_count=60),
        servers=[server(0)],
        proxies=(),
    )
    harness.zones = dict.fromkeys(range(60), 0)
    harness.send(*(face.ProxyJoined(p, 0, 2.0, False) for p in range(30)), wait=10.0)
    harness.listed(*(server(n) for n in range(1, 40)))
    harness.send(*(face.ProxyJoined(p, 0, 2.0, False) for p in range(30, 60)), wait=10.0)
    for _ in range(40):
        harness.send(*reports(harness), wait=1000.0)
    assert {len(group.tables) for group in harness.planner.groups.by_zone[0][COMPLETE]} == {1, 2}
    assert all(held for held in harness.bound.values())
