"""What a forwarder holds: tables, levels, servers ejected; and the choice that follows from it."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdatePart, InvalidUpdate
from stackwheel.interface import Retry


@dataclass(slots=True)
class ClassTable:
    """The table and level of one class."""

    lines: dict[str, float] = field(default_factory=dict)
    level: tuple[float, int] | None = None
    open: list[str] = field(default_factory=list)  # lines that may be picked, in order
    sums: list[float] = field(default_factory=list)  # their weights, added up
    credit: dict[str, float] = field(default_factory=dict)  # of an even round: what each line is owed


class ForwarderState:
    """Applies whole orders; nothing of an order that can't be used is applied.

    Ejected servers stay so when streams change. `listed` holds all that discovery ever listed.
    """

    def __init__(self, routes: Iterable[str], listed: Collection[str]) -> None:
        self.routes: dict[str, ClassTable] = {name: ClassTable() for name in routes}
        self.known_servers = listed
        self.ejected: dict[str, None] = {}

    def install_standing_table(self, servers: Iterable[str]) -> None:
        """The standing table that a fresh forwarder starts with: even weights, for every class."""
        lines = dict.fromkeys(servers, 1.0)
        for held in self.routes.values():
            held.lines = dict(lines)
            self.refresh(held)

    def apply(self, order: ConfigUpdate) -> None:
        for part in order.parts:
            self.check(part)
        for part in order.parts:
            self.apply_part(part)
        for held in self.routes.values():
            self.refresh(held)

    def check(self, part: ConfigUpdatePart) -> None:
        unknown = [name for name in part.routes if name not in self.routes]
        if unknown:
            raise InvalidUpdate(f"unknown class {unknown[0][:40]!r}")
        for name in (*(name for name, _ in part.lines), *part.eject, *part.restore):
            if name not in self.known_servers:
                raise InvalidUpdate(f"server {name[:40]!r} was never listed")

    def apply_part(self, part: ConfigUpdatePart) -> None:
        for name in part.routes or self.routes:
            held = self.routes[name]
            if part.complete:
                held.lines, held.level = {}, None
            held.lines.update(part.lines)
            held.lines = {server: weight for server, weight in held.lines.items() if weight > 0}
            held.level = part.level or held.level
        self.ejected.update(dict.fromkeys(part.eject))
        for server in part.restore:
            self.ejected.pop(server, None)

    def refresh(self, held: ClassTable) -> None:
        held.open = [server for server in held.lines if server not in self.ejected]
        held.sums, total = [], 0.0
        for server in held.open:
            total += held.lines[server]
            held.sums.append(total)

    def has_no_servers(self, route: str) -> bool:
        """Without a line to pick."""
        return not self.routes[route].open

    def shares(self, route: str, avoid: Collection[str] = ()) -> dict[str, float]:
        """Of the class's requests, what goes where by weight."""
        held = self.routes[route]
        lines = [s for s in held.open if s not in avoid] or held.open
        total = sum(held.lines[s] for s in lines)
        return {s: held.lines[s] / total for s in lines}

    def admits(self, route: str, kind: str, chance: random.Random, rate: float) -> bool:
        """Whether a request is let in; `rate`: the class's requests a second here, where levels are rates."""
        level = self.routes[route].level
        if level is None or kind == "off":
            return True
        share = level[0] if kind == "share" else level[0] / rate if rate > 0 else 1.0
        return share >= 1.0 or chance.random() < share

    def retry_mode(self, route: str, usual: Retry) -> Retry:
        level = self.routes[route].level
        return usual if level is None else Retry(level[1])


def draw(held: ClassTable, chance: random.Random, without: Collection[str]) -> str | None:
    """A line by weight, none of those left out."""
    if not without:
        if not held.open:
            return None
        return held.open[min(bisect(held.sums, chance.random() * held.sums[-1]), len(held.open) - 1)]
    lines = [server for server in held.open if server not in without]
    if not lines:
        return None
    place = chance.random() * sum(held.lines[server] for server in lines)
    for server in lines:
        place -= held.lines[server]
        if place < 0:
            return server
    return lines[-1]


def next_in_round(held: ClassTable, without: Collection[str]) -> str | None:
    """An even round by weight: each line gains its weight, the one owed most pays for all."""
    lines = [server for server in held.open if server not in without]
    if not lines:
        return None
    held.credit = {server: held.credit.get(server, 0.0) for server in held.open}
    for server in lines:
        held.credit[server] += held.lines[server]
    chosen = max(lines, key=lambda server: held.credit[server])
    held.credit[chosen] -= sum(held.lines[server] for server in lines)
    return chosen


def choose(
    held: ClassTable,
    pick: str,
    chance: random.Random,
    under_way: Mapping[str, int],
    avoid: Collection[str] = (),
    tried: Collection[str] = (),
) -> str | None:
    """The server for a try: by weight, or of two drawn by weight the one with less of its own work out.

    `avoid`: servers that failed too often in a row, kept off while another is left; `tried`: never again.
    """
    without = [*avoid, *tried]
    if pick == "round":
        return next_in_round(held, without) or next_in_round(held, tried)
    first = draw(held, chance, without)
    if first is None and avoid:
        without = list(tried)
        first = draw(held, chance, without)
    if first is None or pick != "two":
        return first
    second = draw(held, chance, [*without, first])
    return second if second is not None and under_way.get(second, 0) < under_way.get(first, 0) else first
