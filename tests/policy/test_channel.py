"""Tests of the queue estimate against simulated channels that are slower than the configured rate."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import pytest
from policy_harness import PolicyHarness, actions_of_type, entry, server_id

from stackwheel import interface
from stackwheel.interface import Availability

PROXIES = 48
SERVERS = 60


class Message(NamedTuple):
    nonce: int
    proxy: int
    lines: float


class Channel:
    """A channel that transmits messages in order at a limited rate, and acknowledges each transmitted message.

    Attributes:
        rate: lines per second that the channel transmits.
        stalled_ms: duration at the start of each period of 3 s in which the channel transmits nothing.
        max_queued_lines: maximum number of lines that were in the queue.
    """

    def __init__(self, harness: PolicyHarness, rate: float, stalled_ms: float = 0.0) -> None:
        self.harness = harness
        self.rate = rate
        self.stalled_ms = stalled_ms
        self.queue: deque[Message] = deque()
        self.max_queued_lines = 0.0

    @property
    def total_lines(self) -> float:
        return sum(message.lines for message in self.queue)

    def enqueue(self, actions: Iterable[interface.Action]) -> None:
        """Add the messages that result from actions, with the sizes that the planner assumes."""
        nonces = [action.nonce for action in actions if isinstance(action, interface.AttachNonce)]
        if not nonces:
            return
        lines = self.harness.planner.channel.pending_lines
        overhead = self.harness.settings.message_overhead + 1.0
        self.queue.extend(Message(nonces[0], proxy, count + overhead) for proxy, count in lines.items())
        self.max_queued_lines = max(self.max_queued_lines, self.total_lines)

    def transmit(self, duration_ms: float) -> list[interface.Event]:
        """Transmit messages for some time, and return the acknowledgements of those that are complete."""
        is_stalled = self.stalled_ms and self.harness.now % 3000.0 < self.stalled_ms
        remaining_lines = 0.0 if is_stalled else self.rate * duration_ms / 1000.0
        acknowledged: list[interface.Event] = []
        while self.queue and remaining_lines > 0:
            message = self.queue.popleft()
            sent = min(remaining_lines, message.lines)
            remaining_lines -= sent
            if sent < message.lines:
                self.queue.appendleft(message._replace(lines=message.lines - sent))
            else:
                acknowledged.append(interface.Acknowledged(message.proxy, message.nonce, 10.0))
        return acknowledged


def harness_with_many_proxies() -> PolicyHarness:
    servers = [entry(number, number % 2) for number in range(SERVERS)]
    return PolicyHarness(servers=servers, proxies=[(n, n % 2) for n in range(PROXIES)])


def replace_servers(channel: Channel, steps: int) -> None:
    """Replace one server in each step of 250 ms, while reports continue."""
    harness = channel.harness
    for index in range(steps):
        drained = index % SERVERS
        added = SERVERS + index
        harness.now += 250.0
        events: list[interface.Event] = channel.transmit(250.0)
        events.append(
            interface.EndpointUpdate(
                interface.UpdateKind.DELTA,
                2 + index,
                (entry(drained, drained % 2, Availability.DRAINING), entry(added, added % 2, started_at=harness.now)),
            )
        )
        if index % 4 == 3:
            events += [
                interface.LoadReport(zone, server_id(n), 20, 0, 100.0, 1000.0, (0.5,))
                for n in range(SERVERS)
                for zone in (0, 1)
            ]
            events += [interface.DemandReport(p, c, 10, 0, 1000.0) for p in range(PROXIES) for c in (0, 1)]
        channel.enqueue(harness.send(*events))


@pytest.mark.parametrize(
    ("rate_share", "stalled_ms"), [(1.0, 0.0), (0.2, 0.0), (0.08, 0.0), (0.02, 0.0), (0.3, 1700.0), (0.1, 2500.0)]
)
def test_the_queue_limit_is_not_exceeded_however_slow_the_channel_is(rate_share: float, stalled_ms: float) -> None:
    """The queue must not be assumed to drain with time while acknowledgements show that it is longer."""
    harness = harness_with_many_proxies()
    channel = Channel(harness, rate_share * harness.settings.channel_rate, stalled_ms)
    channel.enqueue(harness.actions)
    replace_servers(channel, 120)
    assert channel.max_queued_lines <= harness.settings.queue_limit
    assert channel.max_queued_lines > 0.1 * harness.settings.queue_limit  # the channel was used


def test_the_queue_drains_after_proxies_with_unacknowledged_updates_have_left() -> None:
    """Acknowledgements that cannot arrive any more must not block updates."""
    harness = harness_with_many_proxies()
    unacknowledged_lines = harness.planner.channel.queued_lines
    harness.send(wait_ms=100.0)
    assert unacknowledged_lines > 0
    assert harness.planner.channel.queued_lines == unacknowledged_lines  # acknowledgements may still arrive
    harness.send(*(interface.ProxyLeft(proxy) for proxy in range(PROXIES)), wait_ms=100.0)
    harness.send(wait_ms=200.0)
    assert harness.planner.channel.queued_lines < unacknowledged_lines


def test_the_queue_drains_after_proxies_with_unacknowledged_updates_have_reconnected() -> None:
    """An update that was sent on a previous stream is never acknowledged on the new one."""
    harness = harness_with_many_proxies()
    unacknowledged_lines = harness.planner.channel.queued_lines
    rejoin_events = [
        event
        for proxy in range(PROXIES)
        for event in (interface.ProxyLeft(proxy), interface.ProxyJoined(proxy, proxy % 2, 40.0, False))
    ]
    # A full queue prevents new updates, so that all unacknowledged updates are those of the previous streams.
    harness.planner.channel.queued_lines = harness.settings.queue_limit
    harness.send(*rejoin_events, wait_ms=100.0)
    harness.send(wait_ms=200.0)
    assert unacknowledged_lines > 0
    assert harness.planner.channel.queued_lines < harness.settings.queue_limit


def test_draining_servers_are_removed_from_all_tables_before_routine_changes_are_sent() -> None:
    """Routine changes for one group must not delay the removal of a draining server for another group."""
    harness = PolicyHarness(
        servers=[entry(n, 0) for n in range(SERVERS)],
        proxies=[(n, 0) for n in range(200)],
        zone_count=1,
        queue_limit=40_000.0,
    )
    for _ in range(30):
        harness.run_slot(attempts=8, demand=3, zones=(0,))
    groups = [group for group in harness.planner.groups.all_groups() if group.users]
    assert len(groups) > 2
    for _ in range(6):  # weights change, but a full queue prevents updates
        harness.planner.channel.queued_lines = harness.settings.queue_limit
        harness.run_slot(
            attempts=8, demand=3, zones=(0,), utilization={n: 0.2 + 0.08 * (n % 9) for n in range(SERVERS)}
        )
    lines_per_message = 4 + harness.planner.channel.overhead_lines
    removal_lines = sum(len(group.users) * lines_per_message for group in groups)
    harness.planner.channel.queued_lines = 0.25 * harness.settings.queue_limit - removal_lines - 1.0
    harness.planner.channel.unacknowledged.clear()
    harness.update_endpoints(entry(3, 0, Availability.DRAINING))
    assert all(server_id(3) not in table.sent for group in groups for table in group.tables)


def test_updates_continue_after_a_lost_acknowledgement() -> None:
    """Without any acknowledgement, the queue is assumed to drain slowly."""
    harness = harness_with_many_proxies()
    assert harness.planner.channel.queued_lines > 0
    for _ in range(60):
        harness.send(wait_ms=1000.0)
    assert harness.planner.channel.queued_lines == 0
    assert actions_of_type(harness.update_endpoints(entry(0, 0, Availability.DRAINING)), interface.SetWeight)


def test_overdue_joins_take_precedence_over_changes() -> None:
    """Proxies that wait for tables while servers are replaced would otherwise keep sending to drained servers."""
    grace_ms = 13_000.0
    new_proxy_count = 270
    servers = [entry(number, 0) for number in range(60)]
    harness = PolicyHarness(
        servers=servers,
        proxies=[(n, 0) for n in range(80)],
        drain_grace=grace_ms,
        channel_rate=825.0,
        zone_count=1,
        queue_limit=7950.0,
        message_cap=12,
        message_overhead=4.0,
    )
    channel = Channel(harness, harness.settings.channel_rate)
    channel.enqueue(harness.actions)

    def step(*events: interface.Event) -> None:
        harness.now += 200.0
        acknowledged = channel.transmit(200.0)
        channel.enqueue(harness.send(*acknowledged, *events))

    for _ in range(100):
        step()
    new_proxies = range(1000, 1000 + new_proxy_count)
    joined_at = harness.now
    step(*(interface.ProxyJoined(proxy, 0, 5.0, False) for proxy in new_proxies))
    next_server = 60
    while harness.now < joined_at + grace_ms:
        events: list[interface.Event] = []
        if round(harness.now - joined_at) % 800 == 0:  # eight servers are replaced
            first = (next_server - 60) % 60
            events.append(
                interface.EndpointUpdate(
                    interface.UpdateKind.DELTA,
                    next_server,
                    (
                        *(entry(n, 0, Availability.DRAINING) for n in range(first, first + 8)),
                        *(entry(n, 0, started_at=harness.now) for n in range(next_server, next_server + 8)),
                    ),
                )
            )
            next_server += 8
        step(*events)
    assigned = {proxy for proxy in new_proxies if harness.planner.proxies[proxy].group.tables}
    in_transit = {proxy for _, proxy, _ in channel.queue}
    assert assigned == set(new_proxies)
    assert len(in_transit & set(new_proxies)) == 0
