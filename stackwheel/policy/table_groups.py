"""Which tables there are: groups of proxies of a zone, each with tables of its own, complete or short."""

from __future__ import annotations

import itertools
from random import Random
from typing import Final

from stackwheel.interface import Action, ClearTable, Settings
from stackwheel.policy.allocation import AllocatedRates, Allocator
from stackwheel.policy.capacity import CapacityEstimates
from stackwheel.policy.demand import DemandKey
from stackwheel.policy.proxies import ProxyView
from stackwheel.policy.servers import Rates, ReadyServers, ServerPool
from stackwheel.policy.tables import Table, TableGroup, table_shares

COMPLETE_TABLE_SIZE: Final = 0
"""The size that stands for complete tables; else a size is the lines of a short table.

A complete table has all servers that proxies of the zone may use for its classes, except those whose share is too small
for a line. `UpdatePart.complete` (a message replaces a table) and `EndpointList.complete` (a list names every server)
are other things.
"""

MIN_HEALTHY_LINES = 4
"""Of a short table, as long as there are so many healthy servers."""

MAX_SHORT_TABLE_GROWTH = 2
"""Times their size: short tables may together hold so many lines, as a zone's spread grows."""


class TableGroups:
    """Owns the tables, and moves their shares as demand is placed anew.

    Attributes:
        by_zone: groups by zone and size.
        placement: of the last move, the requests a second wanted at each server.
    """

    def __init__(
        self,
        settings: Settings,
        random: Random,
        actions: list[Action],
        pool: ServerPool,
        proxies: dict[int, ProxyView],
        capacity: CapacityEstimates,
        allocator: Allocator,
    ) -> None:
        self.settings = settings
        self.random = random
        self.actions = actions
        self.pool = pool
        self.proxies = proxies
        self.capacity = capacity
        self.allocator = allocator
        self.by_zone: dict[int, dict[int, list[TableGroup]]] = {}
        self.allocated_rates: AllocatedRates = {}
        classes = range(len(settings.classes))
        bounds = [(wanted.allowed_zones, wanted.allowed_kinds, wanted.zone_local) for wanted in settings.classes]
        self.separate_classes = [(number,) for number in classes]
        self.joint_classes = [
            tuple(number for number in classes if bounds[number] == bound) for bound in dict.fromkeys(bounds)
        ]
        """Classes that may go to the same servers, and so may share a table."""

    def all_groups(self) -> list[TableGroup]:
        """All groups, by zone."""
        return [group for _, sizes in sorted(self.by_zone.items()) for groups in sizes.values() for group in groups]

    def update_all_shares(self, now: float) -> None:
        """Place all demand anew, and move every table a capped step towards that."""
        self.capacity.assume_unknown_capacities(now)
        self.allocated_rates = self.allocator.allocate(sorted(self.by_zone), now)
        ready = self.pool.ready_servers(now)
        for sizes in self.by_zone.values():
            for size, groups in sizes.items():
                self.update_shares(size, groups, ready, now)

    def update_shares(self, size: int, groups: list[TableGroup], ready: ReadyServers, now: float) -> None:
        """Move the tables of groups of one zone and size."""
        if size == COMPLETE_TABLE_SIZE:
            for group in groups:
                for table in group.tables:
                    table.step_towards(self.complete_shares(table, ready, now), ready)
            return
        for tables in zip(*(group.tables for group in groups), strict=True):
            self.update_short_tables(size, tables, ready, now)

    def complete_shares(self, table: Table, ready: ReadyServers, now: float) -> Rates:
        """What a complete table should hold: all servers that its first class may use, or any of its classes does."""
        rates = self.target_rates(table, ready)
        usable = self.allocated_rates[DemandKey(table.zone, table.classes[0])]
        return table_shares({s: rate for s, rate in rates.items() if rate > 0 or s in usable}, self.pool, now)

    def target_rates(self, table: Table, ready: ReadyServers) -> Rates:
        """Requests a second of all classes of a table, by ready server."""
        by_class = [self.allocated_rates[DemandKey(table.zone, number)] for number in table.classes]
        return {server: sum(rates.get(server, 0.0) for rates in by_class) for server in ready.servers}

    def update_short_tables(self, size: int, tables: tuple[Table, ...], ready: ReadyServers, now: float) -> None:
        """Short tables together hold what is most wanted of a zone, and each of them some healthy servers."""
        rates = self.target_rates(tables[0], ready)
        wanted = table_shares({server: rate for server, rate in rates.items() if rate > 0}, self.pool, now)
        distribute_servers(wanted, size, tables)
        for table in tables:
            table.members = [server for server in table.members if server in wanted]
            others = [s for s in wanted if s not in table.members and s not in ready.uncapped]
            lacking = MIN_HEALTHY_LINES - sum(server not in ready.uncapped for server in table.members)
            table.members += self.random.sample(others, min(len(others), max(0, lacking)))
            target = table_shares({server: wanted[server] for server in table.members}, self.pool, now)
            table.step_towards(target, ready)

    def create(self, zone: int, size: int, count: int, now: float) -> list[TableGroup]:
        """Make groups of a zone; short tables have the zone's servers distributed among them."""
        used = {table.number for group in self.all_groups() for table in group.tables}
        free = (number for number in itertools.count() if number not in used)
        joint = size != COMPLETE_TABLE_SIZE or self.is_channel_slow()
        class_sets = self.joint_classes if joint else self.separate_classes
        groups = [TableGroup([Table(next(free), zone, classes) for classes in class_sets]) for _ in range(count)]
        self.by_zone[zone].setdefault(size, []).extend(groups)
        self.update_shares(size, groups, self.pool.ready_servers(now), now)
        return groups

    def is_channel_slow(self) -> bool:
        """Whether the channel can't replace a complete table for each class within the drain grace."""
        settings = self.settings
        expected_proxies = settings.proxy_count / settings.planner_count
        lines = expected_proxies * len(settings.classes) * len(self.pool.ready())
        return 1000.0 * lines > settings.channel_rate * settings.drain_grace

    def remove_unused(self) -> None:
        """Drop short tables of a size that nobody uses, needless complete ones, and zones without proxies."""
        zones = {proxy.zone for proxy in self.proxies.values()}
        before = self.all_groups()
        by_zone = {}
        for zone, sizes in self.by_zone.items():
            kept = {size: self.groups_to_retain(size, groups, zone in zones) for size, groups in sizes.items()}
            by_zone[zone] = {size: groups for size, groups in kept.items() if groups}
        self.by_zone = {zone: sizes for zone, sizes in by_zone.items() if sizes}
        needed = self.all_groups()
        for group in before:
            if group not in needed:
                self.actions += [ClearTable(table.number) for table in group.tables]

    def groups_to_retain(self, size: int, groups: list[TableGroup], zone_has_proxies: bool) -> list[TableGroup]:
        """The groups of a zone and size that stay: a zone with proxies keeps complete tables, used or not."""
        used = [group for group in groups if group.users]
        if used:
            return used if size == COMPLETE_TABLE_SIZE else groups
        return groups[:1] if zone_has_proxies and size == COMPLETE_TABLE_SIZE else []


def distribute_servers(wanted: Rates, size: int, tables: tuple[Table, ...]) -> None:
    """Add servers that no short table holds, the most wanted first, each to the table with the least share so far."""
    missing = wanted.keys() - {server for table in tables for server in table.members}
    free = MAX_SHORT_TABLE_GROWTH * size * len(tables) - sum(len(table.members) for table in tables)
    for server in sorted(missing, key=lambda server: (-wanted[server], server))[: max(0, free)]:
        lightest = min(tables, key=lambda table: sum(wanted.get(member, 0.0) for member in table.members))
        lightest.members.append(server)
