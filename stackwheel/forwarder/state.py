"""What a proxy keeps: tables, admission levels and ejected servers; and the choice of a server that follows."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from stackwheel.forwarder.updates import MAX_VALUE_SHOWN, ConfigUpdate, ConfigUpdatePart, InvalidUpdateError
from stackwheel.interface import AdmissionLevel, AdmissionMode, LoadBalancingPolicy, Retry


@dataclass(slots=True)
class ClassTable:
    """The table and admission level of one request class.

    Attributes:
        lines: weights above 0 by server.
        level: the admission level, if any.
        available: servers of the lines that are not ejected, in order.
        cumulative_weights: for each of these, the sum of the weights up to it.
        round_robin_credit: what weighted round robin owes each of these.
    """

    lines: dict[str, float] = field(default_factory=dict)
    level: AdmissionLevel | None = None
    available: list[str] = field(default_factory=list)
    cumulative_weights: list[float] = field(default_factory=list)
    round_robin_credit: dict[str, float] = field(default_factory=dict)


class ForwarderState:
    """The tables of one proxy. It applies an update as a whole, or raises and applies nothing of it.

    Attributes:
        class_tables: a table for each request class.
        known_servers: all that discovery has ever listed; an update may name no other.
        ejected: servers to avoid, whatever the tables say; they stay so when the stream changes.
    """

    def __init__(self, classes: Iterable[str], known_servers: Collection[str]) -> None:
        """Start without tables; `known_servers` may grow while this state is in use."""
        self.class_tables: dict[str, ClassTable] = {name: ClassTable() for name in classes}
        self.known_servers = known_servers
        self.ejected: dict[str, None] = {}

    def install_standing_table(self, servers: Iterable[str]) -> None:
        """Set the standing table that a new proxy starts with: equal weights, for every class."""
        lines = dict.fromkeys(servers, 1.0)
        for table in self.class_tables.values():
            table.lines = dict(lines)
            self.update_available_servers(table)

    def apply(self, update: ConfigUpdate) -> None:
        """Apply an update.

        Raises:
            InvalidUpdateError: it names an unknown class or server; nothing of it has been applied.
        """
        for part in update.parts:
            self._check(part)
        for part in update.parts:
            self._apply_part(part)
        for table in self.class_tables.values():
            self.update_available_servers(table)

    def update_available_servers(self, table: ClassTable) -> None:
        """Compute what follows from the lines of a table and the ejected servers."""
        table.available = [server for server in table.lines if server not in self.ejected]
        table.cumulative_weights = []
        total = 0.0
        for server in table.available:
            total += table.lines[server]
            table.cumulative_weights.append(total)

    def has_no_servers(self, request_class: str) -> bool:
        """Whether no server is available for a class."""
        return not self.class_tables[request_class].available

    def traffic_shares(self, request_class: str, avoided: Collection[str] = ()) -> dict[str, float]:
        """The share of a class's requests that each server gets by weight, while some servers are avoided."""
        table = self.class_tables[request_class]
        servers = [server for server in table.available if server not in avoided] or table.available
        total = sum(table.lines[server] for server in servers)
        return {server: table.lines[server] / total for server in servers}

    def admits(self, request_class: str, mode: AdmissionMode, rng: random.Random, rate: float) -> bool:
        """Whether a request is admitted; `rate`: requests per second of the class at this proxy."""
        level = self.class_tables[request_class].level
        if level is None or mode == "off":
            return True
        share = admitted_share(level, mode, rate)
        return share >= 1.0 or rng.random() < share

    def retry_mode(self, request_class: str, default: Retry) -> Retry:
        """When a failed attempt of a class may be retried."""
        level = self.class_tables[request_class].level
        return default if level is None else level.retry

    def _check(self, part: ConfigUpdatePart) -> None:
        for name in part.classes:
            if name not in self.class_tables:
                raise InvalidUpdateError("routes", f"unknown class {name[:MAX_VALUE_SHOWN]!r}")
        for name in (*(name for name, _ in part.lines), *part.eject, *part.restore):
            if name not in self.known_servers:
                raise InvalidUpdateError("endpoints", f"server {name[:MAX_VALUE_SHOWN]!r} was never listed")

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
    """The share of requests that a level admits while `rate` requests per second arrive; may be over 1."""
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
        policy: how to choose among its servers.
        rng: source of random numbers.
        in_flight: this proxy's requests in flight by server.
        avoided: servers that failed too often in a row; used only if no other is left.
        attempted: servers that the request was sent to before; never used again.

    Returns:
        The server; None if none is left.
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
        return next_in_round(table, excluded)
    if policy == "two":
        return less_loaded_of_two(table, rng, in_flight, excluded)
    return draw(table, rng, excluded)


def draw(table: ClassTable, rng: random.Random, excluded: Collection[str]) -> str | None:
    """Draw a server at random by weight."""
    if not excluded:
        return _draw_any(table, rng)
    servers = [server for server in table.available if server not in excluded]
    if not servers:
        return None
    place = rng.random() * sum(table.lines[server] for server in servers)
    for server in servers:
        place -= table.lines[server]
        if place < 0:
            return server
    return servers[-1]


def _draw_any(table: ClassTable, rng: random.Random) -> str | None:
    if not table.available:
        return None
    sums = table.cumulative_weights
    place = bisect(sums, rng.random() * sums[-1])
    return table.available[min(place, len(table.available) - 1)]


def less_loaded_of_two(
    table: ClassTable, rng: random.Random, in_flight: Mapping[str, int], excluded: Collection[str]
) -> str | None:
    """Draw two servers by weight and take the one with fewer requests of this proxy in flight."""
    first = draw(table, rng, excluded)
    if first is None:
        return None
    second = draw(table, rng, [*excluded, first])
    if second is not None and in_flight.get(second, 0) < in_flight.get(first, 0):
        return second
    return first


def next_in_round(table: ClassTable, excluded: Collection[str]) -> str | None:
    """The next server of a smooth weighted round robin: each gains its weight, the one owed most pays for all."""
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
