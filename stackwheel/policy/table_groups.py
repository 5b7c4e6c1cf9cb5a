"""Table groups: sets of complete or short tables that are shared by some proxies of a zone."""

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
"""Key of complete tables in `TableGroups.by_zone`; the other keys are the sizes of short tables, in lines.

A complete table contains all servers that proxies of the zone may use for its classes, except those whose share is too
small for a line. It is unrelated to `UpdatePart.complete` and `EndpointList.complete`.
"""

MIN_HEALTHY_LINES = 4
"""Minimum number of healthy servers in a short table, if there are that many."""

MAX_SHORT_TABLE_GROWTH = 2
"""Maximum number of lines in all short tables of one size in a zone, as a multiple of their total size."""


class TableGroups:
    """Contains the tables, and updates their shares when demand is allocated.

    Attributes:
        by_zone: groups by zone, and by the size of their tables.
        allocated_rates: result of the last allocation.
        separate_classes: classes of each table in a group if every class has its own table.
        joint_classes: classes of each table in a group if classes with the same allowed servers share a table.
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
        constraints = [
            (requirements.allowed_zones, requirements.allowed_kinds, requirements.zone_local)
            for requirements in settings.classes
        ]
        self.separate_classes = [(index,) for index in classes]
        self.joint_classes = [
            tuple(index for index in classes if constraints[index] == constraint)
            for constraint in dict.fromkeys(constraints)
        ]

    def all_groups(self) -> list[TableGroup]:
        """Return all groups in the order of their zones."""
        return [group for _, sizes in sorted(self.by_zone.items()) for groups in sizes.values() for group in groups]

    def update_all_shares(self, now: float) -> None:
        """Allocate all demand, and move the shares of each table a limited step towards the allocation."""
        self.capacity.assume_unknown_capacities(now)
        self.allocated_rates = self.allocator.allocate(sorted(self.by_zone), now)
        ready = self.pool.ready_servers(now)
        for sizes in self.by_zone.values():
            for size, groups in sizes.items():
                self.update_shares(size, groups, ready, now)

    def update_shares(self, size: int, groups: list[TableGroup], ready: ReadyServers, now: float) -> None:
        """Update the shares of all tables of groups with the same zone and size."""
        if size == COMPLETE_TABLE_SIZE:
            for group in groups:
                for table in group.tables:
                    table.move_shares_towards(self.complete_shares(table, ready, now), ready)
            return
        for tables in zip(*(group.tables for group in groups), strict=True):
            self.update_short_tables(size, tables, ready, now)

    def complete_shares(self, table: Table, ready: ReadyServers, now: float) -> Rates:
        """Return the target shares of a complete table.

        They include all servers that the first class of the table may use or to which demand is allocated.
        """
        rates = self.target_rates(table, ready)
        allowed = self.allocated_rates[DemandKey(table.zone, table.classes[0])]
        return table_shares({s: rate for s, rate in rates.items() if rate > 0 or s in allowed}, self.pool, now)

    def target_rates(self, table: Table, ready: ReadyServers) -> Rates:
        """Return the allocated requests per second of all classes of a table, by ready server."""
        by_class = [self.allocated_rates[DemandKey(table.zone, index)] for index in table.classes]
        return {server: sum(rates.get(server, 0.0) for rates in by_class) for server in ready.servers}

    def update_short_tables(self, size: int, tables: tuple[Table, ...], ready: ReadyServers, now: float) -> None:
        """Update the shares of short tables.

        Together they contain the servers with the highest allocated rates of the zone. Each of them contains at least
        `MIN_HEALTHY_LINES` healthy servers, if there are that many.
        """
        rates = self.target_rates(tables[0], ready)
        target_shares = table_shares({server: rate for server, rate in rates.items() if rate > 0}, self.pool, now)
        distribute_servers(target_shares, size, tables)
        for table in tables:
            table.members = [server for server in table.members if server in target_shares]
            others = [s for s in target_shares if s not in table.members and s not in ready.uncapped]
            missing_count = MIN_HEALTHY_LINES - sum(server not in ready.uncapped for server in table.members)
            table.members += self.random.sample(others, min(len(others), max(0, missing_count)))
            target = table_shares({server: target_shares[server] for server in table.members}, self.pool, now)
            table.move_shares_towards(target, ready)

    def create(self, zone: int, size: int, count: int, now: float) -> list[TableGroup]:
        """Create groups of a zone; the servers of the zone are distributed among short tables.

        Args:
            zone: index of the zone.
            size: `COMPLETE_TABLE_SIZE` or the number of lines of a short table.
            count: number of groups.
            now: current time, ms.
        """
        used_numbers = {table.number for group in self.all_groups() for table in group.tables}
        free_numbers = (number for number in itertools.count() if number not in used_numbers)
        is_joint = size != COMPLETE_TABLE_SIZE or self.is_channel_slow()
        class_sets = self.joint_classes if is_joint else self.separate_classes
        groups = [
            TableGroup([Table(next(free_numbers), zone, classes) for classes in class_sets]) for _ in range(count)
        ]
        self.by_zone[zone].setdefault(size, []).extend(groups)
        self.update_shares(size, groups, self.pool.ready_servers(now), now)
        return groups

    def is_channel_slow(self) -> bool:
        """Return whether the channel is too slow to send all proxies one table per class within the drain grace."""
        settings = self.settings
        expected_proxies = settings.proxy_count / settings.planner_count
        lines = expected_proxies * len(settings.classes) * len(self.pool.ready())
        return 1000.0 * lines > settings.channel_rate * settings.drain_grace

    def remove_unused(self) -> None:
        """Remove short tables of unused sizes, unused complete tables, and zones without proxies."""
        zones = {proxy.zone for proxy in self.proxies.values()}
        previous_groups = self.all_groups()
        by_zone = {}
        for zone, sizes in self.by_zone.items():
            retained_sizes = {
                size: self.groups_to_retain(size, groups, zone in zones) for size, groups in sizes.items()
            }
            by_zone[zone] = {size: groups for size, groups in retained_sizes.items() if groups}
        self.by_zone = {zone: sizes for zone, sizes in by_zone.items() if sizes}
        retained_groups = self.all_groups()
        for group in previous_groups:
            if group not in retained_groups:
                self.actions += [ClearTable(table.number) for table in group.tables]

    def groups_to_retain(self, size: int, groups: list[TableGroup], zone_has_proxies: bool) -> list[TableGroup]:
        """Return the groups of a zone and size that are not removed.

        A zone with proxies retains at least one group of complete tables, even if no proxy uses it.
        """
        used_groups = [group for group in groups if group.users]
        if used_groups:
            return used_groups if size == COMPLETE_TABLE_SIZE else groups
        return groups[:1] if zone_has_proxies and size == COMPLETE_TABLE_SIZE else []


def distribute_servers(shares: Rates, size: int, tables: tuple[Table, ...]) -> None:
    """Add missing servers to short tables.

    The servers with the largest shares are added first, each to the table with the lowest total share.

    Args:
        shares: target shares by server.
        size: number of lines of a short table.
        tables: the short tables.
    """
    missing = shares.keys() - {server for table in tables for server in table.members}
    free_lines = MAX_SHORT_TABLE_GROWTH * size * len(tables) - sum(len(table.members) for table in tables)
    for server in sorted(missing, key=lambda server: (-shares[server], server))[: max(0, free_lines)]:
        lowest = min(tables, key=lambda table: sum(shares.get(member, 0.0) for member in table.members))
        lowest.members.append(server)
