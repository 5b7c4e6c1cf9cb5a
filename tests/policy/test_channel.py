"""The planner's account of its channel, against a channel that is slower than stated: no queue over its limit."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import pytest
from policy_harness import PolicyHarness, actions_of, entry, server_id

from stackwheel import interface as face
from stackwheel.interface import Availability

PROXIES = 48
SERVERS = 60


class Message(NamedTuple):
    nonce: int
    proxy: int
    lines: float


class Channel:
    """First in, first out: so many lines a second leave, and each message is acknowledged as it does."""

    def __init__(self, harness: PolicyHarness, rate: float, stalled_ms: float = 0.0) -> None:
        self.harness = harness
        self.rate = rate
        self.stalled_ms = stalled_ms  # of each 3 s, in which nothing leaves
        self.queue: deque[Message] = deque()
        self.longest = 0.0

    @property
    def waiting(self) -> float:
        return sum(message.lines for message in self.queue)

    def take(self, actions: Iterable[face.Action]) -> None:
        """Queue messages of the size that the planner charges for; the harness shows which proxies get one."""
        nonces = [action.nonce for action in actions if isinstance(action, face.AttachNonce)]
        if not nonces:
            return
        lines = self.harness.planner.channel.pending_lines
        overhead = self.harness.settings.message_overhead + 1.0
        self.queue.extend(Message(nonces[0], proxy, count + overhead) for proxy, count in lines.items())
        self.longest = max(self.longest, self.waiting)

    def leave(self, span: float) -> list[face.Event]:
        """What is acknowledged after `span` ms; a message is only once all of it has left."""
        stalled = self.stalled_ms and self.harness.now % 3000.0 < self.stalled_ms
        budget = 0.0 if stalled else self.rate * span / 1000.0
        acknowledged: list[face.Event] = []
        while self.queue and budget > 0:
            message = self.queue.popleft()
            sent = min(budget, message.lines)
            budget -= sent
            if sent < message.lines:
                self.queue.appendleft(message._replace(lines=message.lines - sent))
            else:
                acknowledged.append(face.Acknowledged(message.proxy, message.nonce, 10.0))
        return acknowledged


def busy_fleet() -> PolicyHarness:
    servers = [entry(number, number % 2) for number in range(SERVERS)]
    return PolicyHarness(servers=servers, proxies=[(n, n % 2) for n in range(PROXIES)])


def release(channel: Channel, turns: int) -> None:
    """A server drains and another is added with each quarter of a second, while reports and demand go on."""
    harness = channel.harness
    for turn in range(turns):
        drained = turn % SERVERS
        added = SERVERS + turn
        harness.now += 250.0
        events: list[face.Event] = channel.leave(250.0)
        events.append(
            face.EndpointUpdate(
                face.UpdateKind.DELTA,
                2 + turn,
                (entry(drained, drained % 2, Availability.DRAINING), entry(added, added % 2, started=harness.now)),
            )
        )
        if turn % 4 == 3:
            events += [
                face.LoadReport(zone, server_id(n), 20, 0, 100.0, 1000.0, (0.5,))
                for n in range(SERVERS)
                for zone in (0, 1)
            ]
            events += [face.DemandReport(p, c, 10, 0, 1000.0) for p in range(PROXIES) for c in (0, 1)]
        channel.take(harness.send(*events))


@pytest.mark.parametrize(
    ("rate_share", "stalled_ms"), [(1.0, 0.0), (0.2, 0.0), (0.08, 0.0), (0.02, 0.0), (0.3, 1700.0), (0.1, 2500.0)]
)
def test_the_queue_limit_is_never_exceeded_however_slow_the_channel_is(rate_share: float, stalled_ms: float) -> None:
    """At 0.08 of its stated rate 5,358 lines waited where 5,300 may: the queue was taken to drain by a fifth of the
    rate whatever acknowledgements said."""
    harness = busy_fleet()
    channel = Channel(harness, rate_share * harness.settings.channel_rate, stalled_ms)
    channel.take(harness.actions)
    release(channel, 120)
    assert channel.longest <= harness.settings.queue_limit
    assert channel.longest > 0.1 * harness.settings.queue_limit  # it was used


def test_proxies_that_left_are_not_waited_for() -> None:
    """Their acknowledgements never come; the queue is then taken to drain slowly, and updates go on."""
    harness = busy_fleet()
    unacknowledged_lines = harness.planner.channel.queued_lines
    harness.send(wait=100.0)
    assert unacknowledged_lines > 0
    assert harness.planner.channel.queued_lines == unacknowledged_lines  # acknowledgements may still come
    harness.send(*(face.ProxyLeft(proxy) for proxy in range(PROXIES)), wait=100.0)
    harness.send(wait=200.0)
    assert harness.planner.channel.queued_lines < unacknowledged_lines


def test_a_proxy_that_joined_again_owes_nothing_on_its_former_stream() -> None:
    """Streams that are replaced take their nonces with them: four planners' proxies waited for each other's."""
    harness = busy_fleet()
    unacknowledged_lines = harness.planner.channel.queued_lines
    again = [
        event
        for proxy in range(PROXIES)
        for event in (face.ProxyLeft(proxy), face.ProxyJoined(proxy, proxy % 2, 40.0, False))
    ]
    # so that nothing new is sent, and all that is unacknowledged is old
    harness.planner.channel.queued_lines = harness.settings.queue_limit
    harness.send(*again, wait=100.0)
    harness.send(wait=200.0)
    assert unacknowledged_lines > 0
    assert harness.planner.channel.queued_lines < harness.settings.queue_limit


def test_removed_servers_leave_all_tables_before_ordinary_changes_are_sent() -> None:
    """Withdrawals that fitted were sent with 2,380 ordinary lines of the first group, and the last group's waited
    behind those for seconds of a slow channel."""
    harness = PolicyHarness(
        servers=[entry(n, 0) for n in range(SERVERS)],
        proxies=[(n, 0) for n in range(200)],
        zone_count=1,
        queue_limit=40_000.0,
    )
    for _ in range(30):
        harness.slot(attempts=8, demand=3, zones=(0,))
    groups = [group for group in harness.planner.groups.all_groups() if group.users]
    assert len(groups) > 2
    for _ in range(6):  # weights want to move, but the queue is long
        harness.planner.channel.queued_lines = harness.settings.queue_limit
        harness.slot(attempts=8, demand=3, zones=(0,), utilization={n: 0.2 + 0.08 * (n % 9) for n in range(SERVERS)})
    lines_and_levels = 4 + harness.planner.channel.overhead_lines
    withdrawal_lines = sum(len(group.users) * lines_and_levels for group in groups)
    harness.planner.channel.queued_lines = 0.25 * harness.settings.queue_limit - withdrawal_lines - 1.0
    harness.planner.channel.unacknowledged.clear()
    harness.update_endpoints(entry(3, 0, Availability.DRAINING))
    assert all(server_id(3) not in table.sent for group in groups for table in group.tables)


def test_a_lost_acknowledgement_stops_nothing() -> None:
    """Its proxy is still joined, but a queue of which nothing is acknowledged is taken to drain slowly."""
    harness = busy_fleet()
    assert harness.planner.channel.queued_lines > 0
    for _ in range(60):
        harness.send(wait=1000.0)
    assert harness.planner.channel.queued_lines == 0
    assert actions_of(harness.update_endpoints(entry(0, 0, Availability.DRAINING)), face.SetWeight)


def test_joins_that_have_waited_their_share_of_the_grace_go_before_changes() -> None:
    """1,079 proxies of lost planners joined during a release. 494 of them waited from 21 to 28 s, as every change of
    those already bound was sent first, and they sent to drained servers until 13.3 s after the drain."""
    grace = 13_000.0
    joined = 270
    servers = [entry(number, 0) for number in range(60)]
    harness = PolicyHarness(
        servers=servers,
        proxies=[(n, 0) for n in range(80)],
        drain_grace=grace,
        channel_rate=825.0,
        zone_count=1,
        queue_limit=7950.0,
        message_cap=12,
        message_overhead=4.0,
    )
    channel = Channel(harness, harness.settings.channel_rate)
    channel.take(harness.actions)

    def step(*events: face.Event) -> None:
        harness.now += 200.0
        acknowledged = channel.leave(200.0)
        channel.take(harness.send(*acknowledged, *events))

    for _ in range(100):
        step()
    newcomers = range(1000, 1000 + joined)
    began = harness.now
    step(*(face.ProxyJoined(proxy, 0, 5.0, False) for proxy in newcomers))
    next_server = 60
    while harness.now < began + grace:
        events: list[face.Event] = []
        if round(harness.now - began) % 800 == 0:  # eight of the servers are replaced, drained ones first
            first = (next_server - 60) % 60
            events.append(
                face.EndpointUpdate(
                    face.UpdateKind.DELTA,
                    next_server,
                    (
                        *(entry(n, 0, Availability.DRAINING) for n in range(first, first + 8)),
                        *(entry(n, 0, started=harness.now) for n in range(next_server, next_server + 8)),
                    ),
                )
            )
            next_server += 8
        step(*events)
    bound = {proxy for proxy in newcomers if harness.planner.proxies[proxy].group.tables}
    in_transit = {proxy for _, proxy, _ in channel.queue}
    assert bound == set(newcomers)
    assert len(in_transit & set(newcomers)) == 0
