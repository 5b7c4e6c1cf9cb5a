"""Weight tables: the desired share of each server, the weights sent to proxies, and the limit on changes of shares.

A complete table contains all servers that may serve its request classes. A short table contains some of them, so that
it takes less time to send. Tables that are assigned to proxies together form a table group.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stackwheel.interface import AdmissionLevel, ServerId
from stackwheel.policy.arithmetic import clamp
from stackwheel.policy.servers import Rates, ReadyServers, ServerPool

MAX_SHARE_STEP = 0.2
"""Maximum change of a share in a slot, relative to the larger of the share and its target."""

MIN_SHARE = 0.005
"""Minimum share of a server in a table, which limits tables to about 200 lines."""

EJECTED_SERVER_SHARE = 0.05
"""Share that an ejected server retains, as a multiple of an even share, so that its recovery can be detected."""


@dataclass(slots=True)
class Table:
    """A weight table that is shared by some proxies.

    Attributes:
        number: number of the table.
        zone: index of the proxies' zone.
        classes: request classes that use the table.
        members: servers of a short table; empty for complete tables.
        shares: desired shares by server, with a sum of about 1.
        sent: weights last sent to the proxies, by server; `weight_scale` is their ratio to the shares.
        levels: admission levels last sent to the proxies, by class.
    """

    number: int
    zone: int
    classes: tuple[int, ...]
    members: list[ServerId] = field(default_factory=list)
    shares: Rates = field(default_factory=dict)
    sent: Rates = field(default_factory=dict)
    levels: dict[int, AdmissionLevel] = field(default_factory=dict)

    def weight_scale(self) -> float:
        """Return the ratio of sent weights to shares, by which shares are multiplied to obtain the weights to send.

        It is computed from the servers that have both a sent weight and a share; without any, it is 1.
        """
        common = [server for server in self.sent if server in self.shares]
        total_weight = sum(self.sent[server] for server in common)
        total_share = sum(self.shares[server] for server in common)
        return total_weight / (total_share or math.inf) or 1.0

    def move_shares_towards(self, target: Rates, ready: ReadyServers) -> None:
        """Move the shares a limited step towards their targets.

        The step limit applies neither to servers that are warming up or ejected nor to tables that were not sent yet.
        The shares of removed servers and the changes of servers without a step limit are divided among the other
        servers in proportion to their shares.

        Args:
            target: target shares by server.
            ready: the servers that the table may contain.
        """
        uncapped = ready.uncapped if self.sent else set(ready.servers)
        remaining_share = sum(share for s, share in self.shares.items() if s in target and s not in uncapped)
        available_share = 1.0 - sum(share for s, share in target.items() if s in uncapped)
        growth = max(0.0, available_share) / max(MIN_SHARE, remaining_share)
        shares = {server: growth * self.shares.get(server, 0.0) for server in ready.servers}
        for server, old in shares.items():
            new = target.get(server, 0.0)
            limit = math.inf if server in uncapped else MAX_SHARE_STEP * max(old, new)
            shares[server] = old + clamp(new - old, -limit, limit)
        self.shares = {s: share for s, share in shares.items() if share >= MIN_SHARE or s in target}


@dataclass(slots=True, eq=False)
class TableGroup:
    """A set of tables that are assigned to proxies together; one message to a proxy contains the changes to all.

    Attributes:
        tables: the tables, for different request classes of one zone.
        last_sent_at: time at which changes were last sent to the proxies, ms.
        users: demand of each proxy that uses the tables, requests per second at the time of the assignment.
    """

    tables: list[Table]
    last_sent_at: float = -math.inf
    users: dict[int, float] = field(default_factory=dict)

    def lines(self) -> int:
        """Return the number of lines of a message that assigns the tables: weights, assignments and levels."""
        return sum(len(table.sent) + 1 + len(table.classes) for table in self.tables)


def table_shares(rates: Rates, pool: ServerPool, now: float) -> Rates:
    """Convert allocated rates to the target shares of a table.

    Ejected servers get a small share. Of the servers with less than `MIN_SHARE`, a random selection is included, the
    healthy ones with a share of `MIN_SHARE`, so that these servers together get about their total share.

    Args:
        rates: allocated requests per second by server.
        pool: the servers in the endpoint list.
        now: current time, ms.
    """
    total = sum(rates.values()) or 1.0
    ejected_share = EJECTED_SERVER_SHARE / max(1, len(rates))
    all_shares: Rates = {}
    included: Rates = {}
    for server, rate in rates.items():
        view = pool.views[server]
        if view.is_ejected(now):
            all_shares[server] = included[server] = ejected_share
            continue
        share = all_shares[server] = rate / total
        if share >= MIN_SHARE * view.inclusion_threshold:
            included[server] = max(share, MIN_SHARE) if pool.is_healthy(view, now) else share
    return included or all_shares
