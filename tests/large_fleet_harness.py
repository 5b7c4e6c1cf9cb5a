"""A large made-up fleet behind a channel with a rate, whose proxies acknowledge what has arrived."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from policy_harness import SETTINGS, PolicyHarness, entry, server_id

from stackwheel import interface as face

SERVERS = 120
PROXIES = 175  # of 350 proxies on two planners
ZONES = 3
LARGE = replace(
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
    """A message on its way."""

    proxy: int
    nonce: int
    lines_ahead: float
    """That have to leave the queue before all of it has left."""
    sent_at: float


class LargeFleet(PolicyHarness):
    """A planner whose messages leave a queue at a rate.

    Attributes:
        rate: lines a second that leave.
        queue: lines that wait.
        longest: that have ever waited.
        messages: when messages were sent, by proxy.
    """

    def __init__(self) -> None:
        self.rate = LARGE.channel_rate
        self.queue = 0.0
        self.longest = 0.0
        self.in_transit: list[InTransit] = []
        self.messages: dict[int, list[float]] = {}
        servers = [entry(n, n % ZONES) for n in range(SERVERS)]
        super().__init__(LARGE, servers, [(p, p % ZONES) for p in range(PROXIES)])

    def send(self, *events: face.Event, wait: float = 0.0) -> list[face.Action]:
        """Let time pass for the channel too: what has left it is acknowledged."""
        leaving = min(self.queue, wait / 1000.0 * self.rate)
        self.queue -= leaving
        moved = [message._replace(lines_ahead=message.lines_ahead - leaving) for message in self.in_transit]
        acknowledged = [
            face.Acknowledged(message.proxy, message.nonce, self.now + wait - message.sent_at)
            for message in moved
            if message.lines_ahead <= 0
        ]
        self.in_transit = [message for message in moved if message.lines_ahead > 0]
        actions = super().send(*acknowledged, *events, wait=wait)
        self.charge(actions)
        return actions

    def charge(self, actions: list[face.Action]) -> None:
        """Put into the queue what the actions cost by the protocol's page."""
        lines: dict[int, int] = {}
        joining = {a.proxy for a in actions if isinstance(a, face.AssignTable)}
        nonces = [a.nonce for a in actions if isinstance(a, face.AttachNonce)]
        for action in actions:
            match action:
                case face.AssignTable(proxy, table, _):
                    lines[proxy] = lines.get(proxy, 0) + 2 + len(self.tables.get(table, {}))
                case face.SetWeight(table, _, _) | face.SetAdmission(table, _, _, _):
                    for proxy, tables in self.bindings.items():
                        if table in tables.values() and proxy not in joining:
                            lines[proxy] = lines.get(proxy, 0) + 1
        for proxy, count in lines.items():
            self.queue += count + LARGE.message_overhead + len(nonces)
            self.messages.setdefault(proxy, []).append(self.now)
            self.in_transit += [InTransit(proxy, nonce, self.queue, self.now) for nonce in nonces]
        self.longest = max(self.longest, self.queue)

    def second(self, demand: int = 3, attempts: int = 8, **how: object) -> None:
        """One report interval in steps, so that acknowledgements come as they would."""
        for _ in range(9):
            self.send(wait=100.0)
        self.now -= 900.0  # slot() waits a complete interval by itself
        self.slot(attempts=attempts, demand=demand, zones=range(ZONES), **how)  # type: ignore[arg-type]

    def max_messages(self) -> int:
        """The most that were sent to one proxy within the window of the message cap."""
        window = LARGE.message_window
        return max(
            sum(1 for at in times if start <= at < start + window)
            for times in self.messages.values()
            for start in times
        )

    def joined(self, intervals: int = 14) -> LargeFleet:
        """The fleet some time later, with all proxies bound."""
        for _ in range(intervals):
            self.second()
        assert len(self.bindings) == PROXIES
        return self


def lines_of(fleet: LargeFleet, servers: range) -> int:
    """Lines that still point at some of the servers, in tables that some proxy uses."""
    used = {table for tables in fleet.bindings.values() for table in tables.values()}
    return sum(server_id(n) in fleet.tables[table] for table in used for n in servers)
