"""A large made-up fleet: the channel's limits hold, and what must not wait reaches every proxy in time."""

from __future__ import annotations

from dataclasses import replace

import pytest
from policy_harness import SETTINGS, PolicyHarness, entry, name

from stackwheel import interface as face
from stackwheel.policy.table_groups import COMPLETE
from stackwheel.policy.updates import Urgency

GONE, READY = face.Availability.REMOVED, face.Availability.READY
SERVERS, PROXIES, ZONES = 120, 175, 3  # of 350 proxies on two planners
SIZE = replace(
    SETTINGS,
    zones=ZONES,
    planner_count=2,
    proxy_count=2 * PROXIES,
    message_overhead=6.0,
    channel_rate=3000.0,
    queue_limit=7000.0,
    message_cap=20,
    drain_grace=3000.0,
    cross_zone_cost=0.01,
    admission_mode="rate",
)


class Fleet(PolicyHarness):
    """A desk behind a channel that sends at a rate and acknowledges what has arrived."""

    def __init__(self) -> None:
        self.rate, self.queue, self.longest = SIZE.channel_rate, 0.0, 0.0
        self.travelling: list[tuple[int, int, float, float]] = []  # proxy, mark, lines before it is out, ordered
        self.messages: dict[int, list[float]] = {}
        super().__init__(SIZE, [entry(n, n % ZONES) for n in range(SERVERS)], [(p, p % ZONES) for p in range(PROXIES)])

    def send(self, *events: face.Event, wait: float = 0.0) -> list[face.Action]:
        out = min(self.queue, wait / 1000.0 * self.rate)
        self.queue -= out
        self.travelling = [(p, m, lines - out, at) for p, m, lines, at in self.travelling]
        acks = [face.Acknowledged(p, m, self.now + wait - at) for p, m, lines, at in self.travelling if lines <= 0]
        self.travelling = [line for line in self.travelling if line[2] > 0]
        actions = super().send(*acks, *events, wait=wait)
        self.charge(actions)
        return actions

    def charge(self, actions: list[face.Action]) -> None:
        lines: dict[int, int] = {}
        joining = {a.proxy for a in actions if isinstance(a, face.AssignTable)}
        marks = [a.nonce for a in actions if isinstance(a, face.AttachNonce)]
        for action in actions:
            match action:
                case face.AssignTable(proxy, table, _):
                    lines[proxy] = lines.get(proxy, 0) + 2 + len(self.tables.get(table, {}))
                case face.SetWeight(table, _, _) | face.SetAdmission(table, _, _, _):
                    for proxy in [p for p, held in self.bound.items() if table in held.values() and p not in joining]:
                        lines[proxy] = lines.get(proxy, 0) + 1
        for proxy, count in lines.items():
            self.queue += count + SIZE.message_overhead + len(marks)
            self.messages.setdefault(proxy, []).append(self.now)
            self.travelling += [(proxy, mark, self.queue, self.now) for mark in marks]
        self.longest = max(self.longest, self.queue)

    def second(self, demand: int = 3, tries: int = 8, **how: object) -> None:
        """One report cycle in steps, so that acknowledgements come as they would."""
        for _ in range(9):
            self.send(wait=100.0)
        self.now -= 900.0  # slot() waits a whole cycle by itself
        self.slot(tries=tries, demand=demand, zones=range(ZONES), **how)  # type: ignore[arg-type]

    def most_messages(self) -> int:
        """Written to one proxy within the window, at the most."""
        span = SIZE.message_window
        return max(
            sum(1 for at in times if start <= at < start + span) for times in self.messages.values() for start in times
        )

    def joined(self, cycles: int = 14) -> Fleet:
        for _ in range(cycles):
            self.second()
        assert len(self.bound) == PROXIES
        return self


def holders(fleet: Fleet, servers: range) -> int:
    """Lines that still point at some of the servers, in tables that somebody uses."""
    used = {table for held in fleet.bound.values() for table in held.values()}
    return sum(name(n) in fleet.tables[table] for table in used for n in servers)


def test_a_mass_join_is_bound_under_the_backlog() -> None:
    """Whole tables for all proxies are many backlogs: joins wait for the queue, and none is forgotten."""
    fleet = Fleet().joined()
    assert fleet.longest <= SIZE.queue_limit * 0.85
    assert fleet.most_messages() <= SIZE.message_cap


def test_a_few_lost_servers_leave_every_table_within_the_grace() -> None:
    fleet = Fleet().joined()
    lost = range(0, 10 * ZONES, ZONES)
    fleet.listed(*(entry(n, n % ZONES, GONE) for n in lost))
    for _ in range(int(0.7 * SIZE.drain_grace / 100.0)):  # the rest is the way of the last message
        fleet.send(wait=100.0)
    assert holders(fleet, lost) == 0
    assert fleet.longest <= SIZE.queue_limit


def test_a_lost_zone_leaves_every_table_under_the_backlog() -> None:
    fleet = Fleet().joined()
    lost = range(0, SERVERS, ZONES)
    fleet.listed(*(entry(n, n % ZONES, GONE) for n in lost))
    for _ in range(int(2 * SIZE.drain_grace / 100.0)):  # 40 servers at once are five seconds of the channel
        fleet.send(wait=100.0)
    assert holders(fleet, lost) == 0
    assert fleet.longest <= SIZE.queue_limit
    assert fleet.most_messages() <= SIZE.message_cap


def test_a_mass_restart_makes_every_cold_line_light_at_once() -> None:
    fleet = Fleet().joined()
    struck = range(0, SERVERS, 3)
    before = sum(lines.get(name(n), 0.0) for lines in fleet.tables.values() for n in struck)
    fleet.listed(*(entry(n, n % ZONES, READY, started=fleet.now) for n in struck))
    for _ in range(15):
        fleet.send(wait=100.0)
    after = sum(lines.get(name(n), 0.0) for lines in fleet.tables.values() for n in struck)
    assert after < 0.7 * before
    assert fleet.longest <= SIZE.queue_limit


def test_changes_reach_every_table_within_some_slots_and_keep_the_pace() -> None:
    """A table that costs more than a slot's budget was never sent; now each zone gets its turn."""
    fleet = Fleet().joined()
    start, ordered = len(fleet.actions), {proxy: len(times) for proxy, times in fleet.messages.items()}
    slow = dict.fromkeys(range(0, SERVERS, 2), 900.0)
    for _ in range(12):
        fleet.second(slow=slow)
    touched = {a.table for a in fleet.actions[start:] if isinstance(a, face.SetWeight)}
    assert touched >= set(fleet.tables)
    assert all(len(fleet.messages[proxy]) > count for proxy, count in ordered.items())
    assert fleet.longest <= SIZE.queue_limit * 0.85


def test_a_slowed_channel_is_kept_for_what_is_urgent() -> None:
    """Found on a drawn deploy day: a drained server waited ten seconds behind changes in a slowed channel."""
    fleet = Fleet().joined()
    fleet.rate = SIZE.channel_rate / 5
    slow = dict.fromkeys(range(0, SERVERS, 2), 900.0)
    for _ in range(6):
        fleet.second(slow=slow)
    assert fleet.longest <= SIZE.queue_limit
    fleet.listed(entry(1, 1, GONE))
    for _ in range(int(3 * SIZE.drain_grace / 100.0)):  # a slowed channel stretches the grace as much
        fleet.send(wait=100.0)
    assert holders(fleet, range(1, 2)) == 0


def test_a_crowd_of_other_planners_proxies_is_off_what_went_within_the_grace() -> None:
    """Seven in ten planners died while servers drained: whole tables for who came would have taken a minute."""
    fleet = Fleet().joined()
    crowd = range(PROXIES, SIZE.proxy_count)
    fleet.listed(entry(5, 5 % ZONES, GONE))
    fleet.zones.update({p: p % ZONES for p in crowd})
    fleet.send(*(face.ProxyJoined(p, p % ZONES, 5.0, False) for p in crowd))
    for _ in range(int(0.8 * SIZE.drain_grace / 100.0)):
        fleet.send(wait=100.0)
    assert set(crowd) <= fleet.bound.keys()
    assert holders(fleet, range(5, 6)) == 0 and all(fleet.tables[t] for t in fleet.bound[crowd[0]].values())
    assert fleet.longest <= SIZE.queue_limit
    used = set().union(*(fleet.tables[table].keys() for p in crowd for table in fleet.bound[p].values()))
    assert len(used) > 0.9 * SERVERS  # all together they send as whole tables do
    assert len({t for p in crowd for t in fleet.bound[p].values()}) < len(crowd)  # and share what they hold


def test_short_first_tables_grow_once_the_channel_is_quiet() -> None:
    fleet = Fleet().joined()
    crowd = range(PROXIES, 2 * PROXIES)
    fleet.zones.update({p: p % ZONES for p in crowd})
    fleet.send(*(face.ProxyJoined(p, p % ZONES, 5.0, False) for p in crowd))
    for _ in range(40):
        fleet.second()
    whole = {
        t.number for sizes in fleet.planner.groups.by_zone.values() for group in sizes[COMPLETE] for t in group.tables
    }
    assert {t for p in crowd for t in fleet.bound[p].values()} <= whole
    assert set(fleet.planner.groups.by_zone[0]) == {COMPLETE}  # what nobody uses is forgotten
    assert fleet.longest <= SIZE.queue_limit


@pytest.mark.parametrize("window", [400.0, 1000.0, 4000.0])
def test_a_report_holds_for_its_own_window(window: float) -> None:
    """At size the intake cap thins reports out: a server heard every fourth cycle has not lost its traffic."""
    harness = PolicyHarness(servers=[entry(n, 0) for n in range(4)], proxies=((0, 0),))
    tries = int(40 * window / 1000.0)
    harness.send(*(face.LoadReport(0, name(n), tries, 0, 100.0, window, (0.5,)) for n in range(4)), wait=1000.0)
    before = harness.planner.pool.views[name(0)].attempt_rate
    other = face.LoadReport(0, name(3), 40, 0, 100.0, 1000.0, (0.5,))
    harness.send(other, wait=1000.0)
    faded = harness.planner.pool.views[name(0)].attempt_rate < before
    assert faded == (window < 500.0)


def test_errors_beside_quick_answers_are_no_sign_of_load() -> None:
    """Lost answers on most servers made the planner shed two thirds of what could be served."""
    harness = PolicyHarness(servers=[entry(n, n % 2) for n in range(6)])
    harness.slots(5)
    harness.slots(5, bad=dict.fromkeys(range(6), 6))
    assert harness.planner.shedding.shed_share == 0.0
    harness.slots(5, bad=dict.fromkeys(range(6), 6), mean=900.0)
    assert harness.planner.shedding.shed_share > 0.0


def test_the_reserve_of_the_message_cap_is_for_gone_and_cold_servers() -> None:
    """Ejections spent it on a stalled busy day, and the messages that followed had none left."""
    servers = [entry(n, 0) for n in range(6)]
    harness = PolicyHarness(
        servers=servers, proxies=((0, 0),), message_cap=10, message_window=10000.0, cross_zone_cost=0.0
    )
    harness.slots(3)
    harness.planner.outbox.message_times[0] = [harness.now] * 7  # over the share for changes
    start = len(harness.actions)
    harness.slots(3, bad={5: 20})
    assert harness.planner.pool.is_ejected(harness.planner.pool.views[name(5)], harness.now)
    assert not any(isinstance(action, face.SetWeight) for action in harness.actions[start:])
    harness.listed(entry(4, state=GONE))
    harness.slot(bad={5: 20})
    assert name(4) not in harness.table(0)


def test_what_is_left_of_the_message_cap_is_spread_over_its_span() -> None:
    """Seed 906 of the trials: returns and a deploy used all of it within 5 s, and the next drain waited 4 s."""
    servers = [entry(n, 0) for n in range(30)]
    harness = PolicyHarness(
        servers=servers, proxies=((0, 0),), message_cap=12, message_window=10000.0, cross_zone_cost=0.0
    )
    harness.slots(3)
    for _ in range(12):  # its stream breaks and comes back, again and again
        harness.send(face.ProxyLeft(0), face.ProxyJoined(0, 0, 40.0, False), wait=300.0)
    for server in range(6):
        harness.listed(entry(server, state=GONE))
        told = harness.now
        while 0 not in harness.bound or name(server) in harness.table(0):
            harness.slot()
            assert harness.now - told < 3500.0
    assert len([at for at in harness.planner.outbox.message_times[0] if at > harness.now - 10000.0]) <= 12


def test_what_comes_to_a_table_that_ran_dry_does_not_wait() -> None:
    """Found by a hunt at size: what left went out first, what came found no room, and proxies had no server."""
    harness = PolicyHarness(servers=[entry(n, 0) for n in range(6)], proxies=((0, 0),))
    harness.slots(3)
    table = harness.planner.groups.all()[0].tables[0]
    assert table.sent
    table.sent = {}
    assert {change.urgency for change in harness.planner.updates.table_changes(0, table, harness.now)} == {Urgency.SOON}
