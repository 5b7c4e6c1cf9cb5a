"""A harness with a large fleet and a simulated channel, which delays updates and their acknowledgements."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from policy_harness import SETTINGS, PolicyHarness, entry, server_id

from stackwheel import interface

SERVERS = 120
PROXIES = 175  # connected to this planner, which is one of two
ZONES = 3
LARGE_FLEET_SETTINGS = replace(
    SETTINGS,
    zone_count=ZONES,
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


class InTransit(NamedTuple):
    """A message in the channel.

    Attributes:
        proxy: number of the recipient.
        nonce: nonce of the message.
        lines_ahead: number of lines that have to leave the queue until the message has been transmitted.
        sent_at: time at which the message was sent, ms.
    """

    proxy: int
    nonce: int
    lines_ahead: float
    sent_at: float


class LargeFleetHarness(PolicyHarness):
    """A policy harness with a channel that transmits messages at a limited rate.

    Attributes:
        lines_per_s: lines per second that the channel transmits.
        queued_lines: number of lines in the queue.
        max_queued_lines: maximum number of lines that were in the queue.
        in_transit: messages in the queue.
        message_times: times at which messages were sent, by proxy, ms.
    """

    def __init__(self) -> None:
        self.lines_per_s = LARGE_FLEET_SETTINGS.channel_rate
        self.queued_lines = 0.0
        self.max_queued_lines = 0.0
        self.in_transit: list[InTransit] = []
        self.message_times: dict[int, list[float]] = {}
        servers = [entry(n, n % ZONES) for n in range(SERVERS)]
        super().__init__(LARGE_FLEET_SETTINGS, servers, [(p, p % ZONES) for p in range(PROXIES)])

    def send(self, *events: interface.Event, wait_ms: float = 0.0) -> list[interface.Action]:
        """Send events after `wait_ms`, with the acknowledgements of messages that the channel has transmitted since."""
        transmitted = min(self.queued_lines, wait_ms / 1000.0 * self.lines_per_s)
        self.queued_lines -= transmitted
        messages = [message._replace(lines_ahead=message.lines_ahead - transmitted) for message in self.in_transit]
        acknowledged = [
            interface.Acknowledged(message.proxy, message.nonce, self.now + wait_ms - message.sent_at)
            for message in messages
            if message.lines_ahead <= 0
        ]
        self.in_transit = [message for message in messages if message.lines_ahead > 0]
        actions = super().send(*acknowledged, *events, wait_ms=wait_ms)
        self.enqueue(actions)
        return actions

    def enqueue(self, actions: list[interface.Action]) -> None:
        """Add the messages that result from actions to the queue, with the sizes that the protocol specifies."""
        lines: dict[int, int] = {}
        joining = {a.proxy for a in actions if isinstance(a, interface.AssignTable)}
        nonces = [a.nonce for a in actions if isinstance(a, interface.AttachNonce)]
        for action in actions:
            match action:
                case interface.AssignTable(proxy, table, _):
                    lines[proxy] = lines.get(proxy, 0) + 2 + len(self.tables.get(table, {}))
                case interface.SetWeight(table, _, _) | interface.SetAdmission(table, _, _, _):
                    for proxy, tables in self.assignments.items():
                        if table in tables.values() and proxy not in joining:
                            lines[proxy] = lines.get(proxy, 0) + 1
        for proxy, count in lines.items():
            self.queued_lines += count + LARGE_FLEET_SETTINGS.message_overhead + len(nonces)
            self.message_times.setdefault(proxy, []).append(self.now)
            self.in_transit += [InTransit(proxy, nonce, self.queued_lines, self.now) for nonce in nonces]
        self.max_queued_lines = max(self.max_queued_lines, self.queued_lines)

    def run_report_interval(self, demand: int = 3, attempts: int = 8, **arguments: object) -> None:
        """Run a report interval in steps, so that acknowledgements arrive without delay."""
        for _ in range(9):
            self.send(wait_ms=100.0)
        self.now -= 900.0  # run_slot() waits for a complete interval
        self.run_slot(attempts=attempts, demand=demand, zones=range(ZONES), **arguments)  # type: ignore[arg-type]

    def max_messages(self) -> int:
        """Return the maximum number of messages that a proxy was sent within the window of the message cap."""
        window = LARGE_FLEET_SETTINGS.message_window
        return max(
            sum(1 for at in times if start <= at < start + window)
            for times in self.message_times.values()
            for start in times
        )

    def run_until_joined(self, intervals: int = 14) -> LargeFleetHarness:
        """Run report intervals, after which all proxies should have tables."""
        for _ in range(intervals):
            self.run_report_interval()
        assert len(self.assignments) == PROXIES
        return self


def count_lines(fleet: LargeFleetHarness, servers: range) -> int:
    """Count the lines of some servers in all tables that are assigned to proxies."""
    assigned = {table for tables in fleet.assignments.values() for table in tables.values()}
    return sum(server_id(n) in fleet.tables[table] for table in assigned for n in servers)
