"""Joins: which tables a proxy that joined gets, and when; short ones in a crowd, complete ones as soon as they fit."""

from __future__ import annotations

import math

from stackwheel.interface import Action, AssignTable, Settings
from stackwheel.policy.channel import CHANGE_MESSAGE_SHARE, CHANGE_QUEUE_SHARE, MAX_QUEUE_SHARE, Outbox
from stackwheel.policy.proxies import ProxyView
from stackwheel.policy.table_groups import COMPLETE, MIN_HEALTHY_LINES, TableGroups
from stackwheel.policy.tables import TableGroup
from stackwheel.policy.updates import UpdateScheduler

FIRST_TABLE_GRACE_SHARE = 0.4
"""Of the drain grace: all that wait should have tables by then, as the ones they use may hold removed servers."""

GROWTH_QUEUE_SHARE = 0.05
"""Of the queue limit: complete tables replace short ones only under it, and joins wait until as much is free."""


class Joins:
    """Binds proxies to tables, the busiest first.

    Attributes:
        waiting: proxies that have no tables of ours, in the order in which they joined.
    """

    def __init__(
        self,
        settings: Settings,
        actions: list[Action],
        proxies: dict[int, ProxyView],
        outbox: Outbox,
        groups: TableGroups,
        updates: UpdateScheduler,
    ) -> None:
        self.settings = settings
        self.actions = actions
        self.proxies = proxies
        self.outbox = outbox
        self.groups = groups
        self.updates = updates
        self.first_table_ms = FIRST_TABLE_GRACE_SHARE * settings.drain_grace
        self.waiting: dict[int, None] = {}

    def are_overdue(self, now: float) -> bool:
        """Whether a proxy has waited for its share of the grace, so that joins go before changes."""
        return bool(self.waiting) and self.lines_for_each(1, now) < 0

    def bind_waiting(self, now: float) -> None:
        """Give proxies that wait their zones' tables; when none waits, complete tables replace short ones."""
        share = CHANGE_QUEUE_SHARE
        if not self.are_overdue(now):
            share -= GROWTH_QUEUE_SHARE  # so that many are bound at once, as each attempt costs time
        if not self.waiting:
            if not self.updates.has_deferred:
                self.grow_tables(now)
            return
        if self.outbox.free_lines(share) < 0:
            return
        ready = [(-sum(self.proxies[number].demand), number) for number in self.waiting if self.may_get_message(number)]
        self.lay_tables({self.proxies[number].zone for _, number in ready}, now)
        lines = self.lines_for_each(len(ready), now)
        for _, number in sorted(ready):
            if not self.bind(number, self.group_for(self.proxies[number], lines, now), CHANGE_QUEUE_SHARE):
                return

    def may_get_message(self, number: int) -> bool:
        """Whether a proxy's message cap allows its tables, from the reserve too if that is not used in a row."""
        return self.outbox.may_write(number, CHANGE_MESSAGE_SHARE) or self.outbox.may_write(
            number, 1.0, self.outbox.reserve_spacing_ms()
        )

    def lines_for_each(self, count: int, now: float) -> float:
        """Lines for each of so many proxies if all are to have tables within their share of the drain grace."""
        waited_ms = now - min(self.proxies[number].joined_at for number in self.waiting)
        left_ms = max(0.0, self.first_table_ms - waited_ms)
        return left_ms / 1000.0 * self.settings.channel_rate / max(1, count) - self.outbox.overhead_lines

    def group_for(self, proxy: ProxyView, lines: float, now: float) -> TableGroup:
        """The group whose tables a proxy gets: complete ones if as many lines fit, else the longest short ones."""
        groups = self.groups.by_zone[proxy.zone]
        complete = min(groups[COMPLETE], key=lambda group: len(group.users))
        if lines >= complete.lines():
            if len(complete.users) < self.outbox.max_group_size:
                return complete
            return self.create(proxy.zone, COMPLETE, 1, now)[0]
        size = short_table_size(lines, len(self.settings.classes))
        if size not in groups:
            longest = max(len(table.shares) for table in complete.tables)
            self.create(proxy.zone, size, max(1, round(longest / size)), now)
        return min(groups[size], key=lambda group: sum(group.users.values()))

    def create(self, zone: int, size: int, count: int, now: float) -> list[TableGroup]:
        """Make groups of a zone and order their tables."""
        groups = self.groups.create(zone, size, count, now)
        self.updates.write_unused(groups, now)
        return groups

    def bind(self, number: int, group: TableGroup, share: float) -> bool:
        """Put a proxy on a group's tables; False if the queue is over a share of its limit, or they don't fit."""
        lines = group.lines()
        if self.outbox.free_lines(share) < 0 or self.outbox.free_lines(MAX_QUEUE_SHARE) - lines < 0:
            return False
        proxy = self.proxies[number]
        self.actions += [AssignTable(number, table.number, table.classes) for table in group.tables]
        self.outbox.pending_lines[number] = lines  # in place of changes that it would have got
        proxy.group.users.pop(number, None)
        proxy.group = group
        group.users[number] = sum(proxy.demand)
        self.waiting.pop(number, None)
        return True

    def grow_tables(self, now: float) -> None:
        """Give proxies with short tables complete ones, while the queue is nearly empty."""
        if self.outbox.free_lines(GROWTH_QUEUE_SHARE) < 0:
            return
        short = [
            (-sum(proxy.demand), number)
            for number, proxy in self.proxies.items()
            if proxy.group not in self.groups.by_zone[proxy.zone][COMPLETE]
            and self.outbox.may_write(number, CHANGE_MESSAGE_SHARE)
        ]
        for _, number in sorted(short):
            if not self.bind(number, self.group_for(self.proxies[number], math.inf, now), GROWTH_QUEUE_SHARE):
                return

    def lay_tables(self, zones: set[int], now: float) -> None:
        """Make the first tables of zones that have none, with one placement of demand for all of them."""
        new_zones = zones - self.groups.by_zone.keys()
        if not new_zones:
            return
        self.groups.by_zone.update({zone: {} for zone in new_zones})
        self.groups.move_all(now)
        for zone in sorted(new_zones):
            self.create(zone, COMPLETE, 1, now)


def short_table_size(lines: float, class_count: int) -> int:
    """The lines of a short table, a power of four, of which a proxy gets at most `lines` with its levels."""
    server_lines = max(MIN_HEALTHY_LINES, int(lines) - 1 - class_count)
    power_of_four = (server_lines.bit_length() - 1) >> 1
    return int(4**power_of_four)
