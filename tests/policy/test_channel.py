"""The planner's account of its channel, against a channel that is slower than stated: no queue over its limit."""

from collections import deque
from collections.abc import Iterable

import pytest
from policy_harness import PolicyHarness, entry, name, only

from stackwheel import interface as face
from stackwheel.interface import Availability

PROXIES, SERVERS = 48, 60


class Channel:
    """First in, first out: so many lines a second leave, and each message is acknowledged as it does."""

    def __init__(self, harness: PolicyHarness, rate: float, stands: float = 0.0) -> None:
        self.harness, self.rate = harness, rate
        self.stands = stands  # ms of each 3 s in which nothing leaves
        self.queue: deque[tuple[int, int, float]] = deque()  # mark, proxy, lines
        self.most = 0.0

    @property
    def waiting(self) -> float:
        return sum(lines for _, _, lines in self.queue)

    def take(self, actions: Iterable[face.Action]) -> None:
        """What the planner charges for is what each message holds; the desk shows who gets one."""
        actions = list(actions)
        marks = [action for action in actions if isinstance(action, face.AttachNonce)]
        if not marks:
            return
        lines = self.harness.planner.outbox.pending_lines
        head = self.harness.settings.message_overhead + 1.0
        self.queue.extend((marks[0].nonce, proxy, count + head) for proxy, count in lines.items())
        self.most = max(self.most, self.waiting)

    def leave(self, span: float) -> list[face.Event]:
        """What is acknowledged after `span` ms; a message leaves whole."""
        standing = self.stands and self.harness.now % 3000.0 < self.stands
        left, found = 0.0 if standing else self.rate * span / 1000.0, []
        while self.queue and left > 0:
            mark, proxy, lines = self.queue.popleft()
            gone = min(left, lines)
            left -= gone
            if gone < lines:
                self.queue.appendleft((mark, proxy, lines - gone))
            else:
                found.append(face.Acknowledged(proxy, mark, 10.0))
        return found


def fleet(**changed: object) -> PolicyHarness:
    servers = [entry(number, number % 2) for number in range(SERVERS)]
    return PolicyHarness(servers=servers, proxies=[(n, n % 2) for n in range(PROXIES)], **changed)


def release(channel: Channel, span: int) -> None:
    """A server drains and another comes with each quarter of a second, while reports and demand go on."""
    harness = channel.harness
    for turn in range(span):
        drained, came = turn % SERVERS, SERVERS + turn
        harness.now += 250.0
        events: list[face.Event] = channel.leave(250.0)
        events.append(
            face.EndpointUpdate(
                face.UpdateKind.DELTA,
                2 + turn,
                (entry(drained, drained % 2, Availability.DRAINING), entry(came, came % 2, started=harness.now)),
            )
        )
        if turn % 4 == 3:
            events += [
                face.LoadReport(zone, name(n), 20, 0, 100.0, 1000.0, (0.5,)) for n in range(SERVERS) for zone in (0, 1)
            ]
            events += [face.DemandReport(p, c, 10, 0, 1000.0) for p in range(PROXIES) for c in (0, 1)]
        channel.take(harness.send(*events))


@pytest.mark.parametrize(
    ("part", "stands"), [(1.0, 0.0), (0.2, 0.0), (0.08, 0.0), (0.02, 0.0), (0.3, 1700.0), (0.1, 2500.0)]
)
def test_no_channel_however_slow_is_overfilled(part: float, stands: float) -> None:
    """At 0.08 of its stated rate 5,358 lines waited where 5,300 may: the queue was taken to drain by a fifth of the
    rate whatever acknowledgements said."""
    harness = fleet()
    channel = Channel(harness, part * harness.settings.channel_rate, stands)
    channel.take(harness.actions)
    release(channel, 120)
    assert channel.most <= harness.settings.queue_limit
    assert channel.most > 0.1 * harness.settings.queue_limit  # it was used


def test_who_has_left_is_not_waited_for() -> None:
    """Their acknowledgements never come; the queue is then taken to drain slowly, and orders go on."""
    harness = fleet()
    owed = harness.planner.outbox.queued_lines
    harness.send(wait=100.0)
    assert owed > 0 and harness.planner.outbox.queued_lines == owed  # they may still tell
    harness.send(*(face.ProxyLeft(proxy) for proxy in range(PROXIES)), wait=100.0)
    harness.send(wait=200.0)
    assert harness.planner.outbox.queued_lines < owed


def test_who_has_come_again_owes_nothing_on_its_former_stream() -> None:
    """Streams that are replaced take their marks with them: four planners' proxies waited for each other's."""
    harness = fleet()
    owed = harness.planner.outbox.queued_lines
    again = [
        event
        for proxy in range(PROXIES)
        for event in (face.ProxyLeft(proxy), face.ProxyJoined(proxy, proxy % 2, 40.0, False))
    ]
    harness.planner.outbox.queued_lines = (
        harness.settings.queue_limit
    )  # so that nothing new is sent, and all that is owed is old
    harness.send(*again, wait=100.0)
    harness.send(wait=200.0)
    assert owed > 0 and harness.planner.outbox.queued_lines < harness.settings.queue_limit


def test_what_went_leaves_all_tables_before_ordinary_changes_are_sent() -> None:
    """Withdrawals that fitted went with 2,380 ordinary lines of the first group, and the last group's waited behind
    those for seconds of a slow channel."""
    harness = PolicyHarness(
        servers=[entry(n, 0) for n in range(SERVERS)],
        proxies=[(n, 0) for n in range(200)],
        zones=1,
        queue_limit=40_000.0,
    )
    for _ in range(30):
        harness.slot(tries=8, demand=3, zones=(0,))
    groups = [group for group in harness.planner.groups.all() if group.users]
    assert len(groups) > 2
    for _ in range(6):  # weights want to move, but the queue is long
        harness.planner.outbox.queued_lines = harness.settings.queue_limit
        harness.slot(tries=8, demand=3, zones=(0,), use={n: 0.2 + 0.08 * (n % 9) for n in range(SERVERS)})
    owed = sum(
        len(group.users) * (4 + harness.planner.outbox.overhead_lines) for group in groups
    )  # its lines and levels
    harness.planner.outbox.queued_lines = 0.25 * harness.settings.queue_limit - owed - 1.0
    harness.planner.outbox.unacknowledged.clear()
    harness.listed(entry(3, 0, Availability.DRAINING))
    assert all(name(3) not in table.sent for group in groups for table in group.tables)


def test_one_lost_acknowledgement_stops_nothing() -> None:
    """A spoilt answer is left out: who owes it is joined, but a queue that nobody speaks of drains slowly."""
    harness = fleet()
    assert harness.planner.outbox.queued_lines > 0
    for _ in range(60):
        harness.send(wait=1000.0)
    assert harness.planner.outbox.queued_lines == 0
    assert only(harness.listed(entry(0, 0, Availability.DRAINING)), face.SetWeight)


def test_who_has_waited_for_its_part_of_the_grace_goes_before_changes() -> None:
    """1,079 proxies of lost planners joined during a release. 494 of them waited from 21 to 28 s, as every change of
    those already bound took the room first, and were sent to drained servers until 13.3 s after they were told."""
    grace, joined = 13_000.0, 270
    servers = [entry(number, 0) for number in range(60)]
    harness = PolicyHarness(
        servers=servers,
        proxies=[(n, 0) for n in range(80)],
        drain_grace=grace,
        channel_rate=825.0,
        zones=1,
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
    crowd = range(1000, 1000 + joined)
    began = harness.now
    step(*(face.ProxyJoined(proxy, 0, 5.0, False) for proxy in crowd))
    came = 60
    while harness.now < began + grace:
        events: list[face.Event] = []
        if round(harness.now - began) % 800 == 0:  # eight of the servers are replaced, drained ones first
            first = (came - 60) % 60
            events.append(
                face.EndpointUpdate(
                    face.UpdateKind.DELTA,
                    came,
                    (
                        *(entry(n, 0, Availability.DRAINING) for n in range(first, first + 8)),
                        *(entry(n, 0, started=harness.now) for n in range(came, came + 8)),
                    ),
                )
            )
            came += 8
        step(*events)
    bound = {proxy for proxy in crowd if harness.planner.proxies[proxy].group.tables}
    under_way = {proxy for _, proxy, _ in channel.queue}
    assert bound == set(crowd) and len(under_way & set(crowd)) == 0
