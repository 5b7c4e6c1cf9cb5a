"""State of a proxy (tables, admission levels and ejected servers), and the choice of servers for requests."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from stackwheel.forwarder.updates import MAX_QUOTED_CHARACTERS, ConfigUpdate, ConfigUpdatePart, InvalidUpdateError
from stackwheel.interface import AdmissionLevel, AdmissionMode, LoadBalancingPolicy, Retry


@dataclass(slots=True)
class ClassTable:
    """The table and admission level of one request class.

    Attributes:
        lines: positive weights by server.
        level: admission level, if any.
        available: servers in the table that are not ejected, in the order of the lines.
        cumulative_weights: running totals of the weights of the available servers.
        round_robin_credit: credit of the available servers in smooth weighted round robin.
    """

    lines: dict[str, float] = field(default_factory=dict)
    level: AdmissionLevel | None = None
    available: list[str] = field(default_factory=list)
    cumulative_weights: list[float] = field(default_factory=list)
    round_robin_credit: dict[str, float] = field(default_factory=dict)


class ForwarderState:
    """The tables of one proxy. An update is applied as a whole, or not at all if it is invalid.

    Attributes:
        class_tables: tables by name of the request class.
        known_servers: names of all servers that discovery has ever listed; updates with other servers are invalid.
        ejected: servers that are not used regardless of their weights; ejections outlast the stream.
    """

    def __init__(self, classes: Iterable[str], known_servers: Collection[str]) -> None:
        """Create empty tables; the caller may add to `known_servers` later."""
        self.class_tables: dict[str, ClassTable] = {name: ClassTable() for name in classes}
        self.known_servers = known_servers
        self.ejected: dict[str, None] = {}

    def install_standing_table(self, servers: Iterable[str]) -> None:
        """Set the standing table with which a new proxy starts, which has equal weights, for all classes."""
        lines = dict.fromkeys(servers, 1.0)
        for table in self.class_tables.values():
            table.lines = dict(lines)
            self.update_available_servers(table)

    def apply(self, update: ConfigUpdate) -> None:
        """Apply an update.

        Raises:
            InvalidUpdateError: the update contains an unknown class or server; no part of it has been applied.
        """
        for part in update.parts:
            self._check(part)
        for part in update.parts:
            self._apply_part(part)
        for table in self.class_tables.values():
            self.update_available_servers(table)

    def update_available_servers(self, table: ClassTable) -> None:
        """Recompute the available servers and cumulative weights after lines or ejections have changed."""
        table.available = [server for server in table.lines if server not in self.ejected]
        table.cumulative_weights = []
        total = 0.0
        for server in table.available:
            total += table.lines[server]
            table.cumulative_weights.append(total)

    def has_no_servers(self, request_class: str) -> bool:
        """Return whether no server is available for a class."""
        return not self.class_tables[request_class].available

    def traffic_shares(self, request_class: str, avoided: Collection[str] = ()) -> dict[str, float]:
        """Return the expected share of a class's requests by server.

        Servers in `avoided` receive requests only if no other server is available.
        """
        table = self.class_tables[request_class]
        servers = [server for server in table.available if server not in avoided] or table.available
        total = sum(table.lines[server] for server in servers)
        return {server: table.lines[server] / total for server in servers}

    def admits(self, request_class: str, mode: AdmissionMode, rng: random.Random, rate: float) -> bool:
        """Return whether to admit a request of a class of which `rate` requests per second arrive at this proxy."""
        level = self.class_tables[request_class].level
        if level is None or mode == "off":
            return True
        share = admitted_share(level, mode, rate)
        return share >= 1.0 or rng.random() < share

    def retry_mode(self, request_class: str, default: Retry) -> Retry:
        """Return the retry mode for a class; `default` if the class has no admission level."""
        level = self.class_tables[request_class].level
        return default if level is None else level.retry

    def _check(self, part: ConfigUpdatePart) -> None:
        for name in part.classes:
            if name not in self.class_tables:
                raise InvalidUpdateError("routes", f"unknown class {name[:MAX_QUOTED_CHARACTERS]!r}")
        for name in (*(name for name, _ in part.lines), *part.eject, *part.restore):
            if name not in self.known_servers:
                raise InvalidUpdateError(
                    "endpoints", f"server {name[:MAX_QUOTED_CHARACTERS]!r} was never in the endpoint list"
                )

    def _apply_part(self, part: ConfigUpdatePart) -> None:
        for name in part.classes or self.class_tables:
            table = self.class_tables[name]
            if part.complete:
                table.lines = {}
                table.level = None
            table.lines.update(part.lines)
            table.lines = {server: weight for server, weight in table.lines.items() if weight > 0}
            table.level = part.level or table.level
        self.ejected.update(dict.fromkeys(part.eject))
        for server in part.restore:
            self.ejected.pop(server, None)


def admitted_share(level: AdmissionLevel, mode: AdmissionMode, rate: float) -> float:
    """Return the share of requests that a level admits at `rate` requests per second; it may exceed 1."""
    if mode == "share":
        return level.admitted
    return level.admitted / rate if rate > 0 else 1.0


def choose(
    table: ClassTable,
    policy: LoadBalancingPolicy,
    rng: random.Random,
    in_flight: Mapping[str, int],
    avoided: Collection[str] = (),
    attempted: Collection[str] = (),
) -> str | None:
    """Choose the server for an attempt.

    Args:
        table: the table of the request's class.
        policy: the load balancing policy.
        rng: source of random numbers.
        in_flight: number of this proxy's requests in flight by server.
        avoided: servers with too many consecutive failures, which are chosen only if no other server is available.
        attempted: servers of earlier attempts of the request, which are never chosen.

    Returns:
        The name of the server; None if no server is available.
    """
    chosen = _choose(table, policy, rng, in_flight, [*avoided, *attempted])
    if chosen is None and avoided:
        chosen = _choose(table, policy, rng, in_flight, list(attempted))
    return chosen


def _choose(
    table: ClassTable,
    policy: LoadBalancingPolicy,
    rng: random.Random,
    in_flight: Mapping[str, int],
    excluded: Collection[str],
) -> str | None:
    if policy == "round":
        return next_in_round_robin(table, excluded)
    if policy == "two":
        return less_loaded_of_two(table, rng, in_flight, excluded)
    return draw(table, rng, excluded)


def draw(table: ClassTable, rng: random.Random, excluded: Collection[str]) -> str | None:
    """Choose a server at random with probabilities proportional to the weights; None if all are excluded."""
    if not excluded:
        return _draw_from_all(table, rng)
    servers = [server for server in table.available if server not in excluded]
    if not servers:
        return None
    remaining_weight = rng.random() * sum(table.lines[server] for server in servers)
    for server in servers:
        remaining_weight -= table.lines[server]
        if remaining_weight < 0:
            return server
    return servers[-1]


def _draw_from_all(table: ClassTable, rng: random.Random) -> str | None:
    if not table.available:
        return None
    running_totals = table.cumulative_weights
    index = bisect(running_totals, rng.random() * running_totals[-1])
    return table.available[min(index, len(table.available) - 1)]


def less_loaded_of_two(
    table: ClassTable, rng: random.Random, in_flight: Mapping[str, int], excluded: Collection[str]
) -> str | None:
    """Choose two servers at random by weight, and return the one with fewer requests of this proxy in flight."""
    first = draw(table, rng, excluded)
    if first is None:
        return None
    second = draw(table, rng, [*excluded, first])
    if second is not None and in_flight.get(second, 0) < in_flight.get(first, 0):
        return second
    return first


def next_in_round_robin(table: ClassTable, excluded: Collection[str]) -> str | None:
    """Return the next server in smooth weighted round robin; None if all are excluded.

    Each server gains credit by its weight. The server with the highest credit is chosen and pays the total weight.
    """
    servers = [server for server in table.available if server not in excluded]
    if not servers:
        return None
    credit = {server: table.round_robin_credit.get(server, 0.0) for server in table.available}
    for server in servers:
        credit[server] += table.lines[server]
    chosen = max(servers, key=credit.__getitem__)
    credit[chosen] -= sum(table.lines[server] for server in servers)
    table.round_robin_credit = credit
    return chosen
