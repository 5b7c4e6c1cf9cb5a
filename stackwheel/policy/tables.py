"""Weight tables: the shares wanted, the weights sent, and the capped step from one towards the other."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stackwheel.interface import AdmissionLevel, ServerId
from stackwheel.policy.arithmetic import clamp
from stackwheel.policy.servers import Rates, ReadyServers, ServerPool

MAX_SHARE_STEP = 0.2
"""Of a share or its target, whichever is more: the furthest that it moves in a slot."""

MIN_SHARE = 0.005
"""Of a table: the smallest line; a table has at most about 200."""

EJECTED_SERVER_SHARE = 0.05
"""Of an even share: what an ejected server keeps, so that it can be judged."""


@dataclass(slots=True)
class Table:
    """A weight table that some proxies share: what the slot steers to and what they have been sent."""

    number: int
    zone: int
    classes: tuple[int, ...]
    """The request classes that share it, as they may go to the same servers."""
    members: list[ServerId] = field(default_factory=list)
    """Of a short table: the servers that it may hold."""
    shares: Rates = field(default_factory=dict)
    """Wanted, summing to about 1."""
    sent: Rates = field(default_factory=dict)
    """Weights as the proxies have them, in a scale of their own."""
    levels: dict[int, AdmissionLevel] = field(default_factory=dict)
    """Admission as sent, by class."""

    def weight_scale(self) -> float:
        """The weights sent over the shares wanted, of the lines that stay: new lines are sent in this scale."""
        staying = [server for server in self.sent if server in self.shares]
        sent = sum(self.sent[server] for server in staying)
        wanted = sum(self.shares[server] for server in staying)
        return sent / (wanted or math.inf) or 1.0

    def step_towards(self, target: Rates, ready: ReadyServers) -> None:
        """Move the shares a capped step towards the target.

        Servers that warm up or are ejected take their target at once, as does all of a table that was never sent. What
        lines that leave or are uncapped give up goes to the lines that stay.
        """
        uncapped = ready.uncapped if self.sent else set(ready.servers)
        staying = sum(share for s, share in self.shares.items() if s in target and s not in uncapped)
        given_up = 1.0 - sum(share for s, share in target.items() if s in uncapped)
        growth = max(0.0, given_up) / max(MIN_SHARE, staying)
        shares = {server: growth * self.shares.get(server, 0.0) for server in ready.servers}
        for server, old in shares.items():
            new = target.get(server, 0.0)
            limit = math.inf if server in uncapped else MAX_SHARE_STEP * max(old, new)
            shares[server] = old + clamp(new - old, -limit, limit)
        self.shares = {s: share for s, share in shares.items() if share >= MIN_SHARE or s in target}


@dataclass(slots=True, eq=False)
class TableGroup:
    """The tables that some proxies of a zone use together; each of them gets changes of all in one message."""

    tables: list[Table]
    last_sent_at: float = -math.inf
    """When changes last went to its proxies."""
    users: dict[int, float] = field(default_factory=dict)
    """Its proxies, and the demand a second that each came with."""

    def lines(self) -> int:
        """What a proxy that joins is sent: all lines, the table itself and its classes' levels."""
        return sum(len(table.sent) + 1 + len(table.classes) for table in self.tables)


def table_shares(rates: Rates, pool: ServerPool, now: float) -> Rates:
    """Turn rates into the shares of a table.

    Ejected servers keep a trickle; of shares under the least one a draw keeps as many as carry their part together.
    """
    total = sum(rates.values()) or 1.0
    trickle = EJECTED_SERVER_SHARE / max(1, len(rates))
    all_shares: Rates = {}
    kept: Rates = {}
    for server, rate in rates.items():
        view = pool.views[server]
        if view.is_ejected(now):
            all_shares[server] = kept[server] = trickle
            continue
        share = all_shares[server] = rate / total
        if share >= MIN_SHARE * view.inclusion_threshold:
            kept[server] = max(share, MIN_SHARE) if pool.is_healthy(view, now) else share
    return kept or all_shares
