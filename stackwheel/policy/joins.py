"""Joins: which tables a proxy gets, and when; short ones while many join at once, complete ones as soon as they fit."""

from __future__ import annotations

import math

from stackwheel.interface import Action, AssignTable, Settings
from stackwheel.policy.channel import CHANGE_MESSAGE_SHARE, CHANGE_QUEUE_SHARE, MAX_QUEUE_SHARE, ChannelBudget
from stackwheel.policy.proxies import ProxyView
from stackwheel.policy.table_groups import COMPLETE_TABLE_SIZE, MIN_HEALTHY_LINES, TableGroups
from stackwheel.policy.tables import TableGroup
from stackwheel.policy.updates import UpdateScheduler

FIRST_TABLE_GRACE_SHARE = 0.4
"""Of the drain grace: all that wait should have tables by then, as the ones they use may hold removed servers."""

GROWTH_QUEUE_SHARE = 0.05
"""Of the queue limit: complete tables replace short ones only while the queue is shorter."""

JOIN_HEADROOM_SHARE = 0.05
"""Of the queue limit: under `CHANGE_QUEUE_SHARE` so much has to be free before joins start."""

JOIN_START_QUEUE_SHARE = CHANGE_QUEUE_SHARE - JOIN_HEADROOM_SHARE
"""Of the queue limit: joins start under this, and stop at `CHANGE_QUEUE_SHARE`.

Thus many proxies are assigned tables in one call, as each attempt costs time. Overdue joins need no headroom.
"""


class JoinScheduler:
    """Assigns tables to proxies, the busiest first.

    Attributes:
        waiting: proxies that have no tables of ours, in the order in which they joined.
    """

    def __init__(
        self,
        settings: Settings,
        actions: list[Action],
        proxies: dict[int, ProxyView],
        channel: ChannelBudget,
        groups: TableGroups,
        updates: UpdateScheduler,
    ) -> None:
        self.settings = settings
        self.actions = actions
        self.proxies = proxies
        self.channel = channel
        self.groups = groups
        self.updates = updates
        self.first_table_ms = FIRST_TABLE_GRACE_SHARE * settings.drain_grace
        self.waiting: dict[int, None] = {}

    def are_overdue(self, now: float) -> bool:
        """Whether a proxy has waited so long for tables that joins go before changes.

        That is so once the time left to the deadline, `FIRST_TABLE_GRACE_SHARE` of the drain grace after the proxy
        joined, is too short for the channel to carry even the overhead of one message.
        """
        return bool(self.waiting) and self.lines_before_deadline(1, now) < 0

    def assign_tables(self, now: float) -> None:
        """Give proxies that wait their zones' tables; when none waits, complete tables replace short ones."""
        if not self.waiting:
            if not self.updates.has_deferred_changes:
                self.grow_tables(now)
            return
        start_share = CHANGE_QUEUE_SHARE if self.are_overdue(now) else JOIN_START_QUEUE_SHARE
        if self.channel.free_lines(start_share) < 0:
            return
        ready = [(-sum(self.proxies[number].demand), number) for number in self.waiting if self.may_get_message(number)]
        self.create_first_groups({self.proxies[number].zone for _, number in ready}, now)
        lines = self.lines_before_deadline(len(ready), now)
        for _, number in sorted(ready):
            if not self.assign(number, self.group_for(self.proxies[number], lines, now), CHANGE_QUEUE_SHARE):
                return

    def may_get_message(self, number: int) -> bool:
        """Whether a proxy's message cap allows its tables, from the reserve too if that is not used in a row."""
        return self.channel.may_send_message(number, CHANGE_MESSAGE_SHARE) or self.channel.may_send_message(
            number, 1.0, self.channel.reserve_spacing_ms()
        )

    def lines_before_deadline(self, count: int, now: float) -> float:
        """Lines that the channel can carry to each of so many proxies until the deadline for first tables.

        The deadline is that of the proxy that has waited longest. The overhead of each message is taken off: a negative
        number means that not even an empty message would arrive in time.
        """
        waited_ms = now - min(self.proxies[number].joined_at for number in self.waiting)
        left_ms = max(0.0, self.first_table_ms - waited_ms)
        return left_ms / 1000.0 * self.settings.channel_rate / max(1, count) - self.channel.overhead_lines

    def group_for(self, proxy: ProxyView, lines: float, now: float) -> TableGroup:
        """The group whose tables a proxy gets: complete ones if as many lines fit, else the longest short ones."""
        groups = self.groups.by_zone[proxy.zone]
        complete = min(groups[COMPLETE_TABLE_SIZE], key=lambda group: len(group.users))
        if lines >= complete.lines():
            if len(complete.users) < self.channel.max_group_size:
                return complete
            return self.create(proxy.zone, COMPLETE_TABLE_SIZE, 1, now)[0]
        size = short_table_size(lines, len(self.settings.classes))
        if size not in groups:
            longest = max(len(table.shares) for table in complete.tables)
            self.create(proxy.zone, size, max(1, round(longest / size)), now)
        return min(groups[size], key=lambda group: sum(group.users.values()))

    def create(self, zone: int, size: int, count: int, now: float) -> list[TableGroup]:
        """Make groups of a zone and write their tables."""
        groups = self.groups.create(zone, size, count, now)
        self.updates.write_unused_groups(groups, now)
        return groups

    def assign(self, number: int, group: TableGroup, share: float) -> bool:
        """Put a proxy on a group's tables; False if the queue is over a share of its limit, or they don't fit."""
        lines = group.lines()
        if self.channel.free_lines(share) < 0 or self.channel.free_lines(MAX_QUEUE_SHARE) - lines < 0:
            return False
        proxy = self.proxies[number]
        self.actions += [AssignTable(number, table.number, table.classes) for table in group.tables]
        self.channel.pending_lines[number] = lines  # in place of changes that it would have got
        proxy.group.users.pop(number, None)
        proxy.group = group
        group.users[number] = sum(proxy.demand)
        self.waiting.pop(number, None)
        return True

    def grow_tables(self, now: float) -> None:
        """Give proxies with short tables complete ones, while the queue is nearly empty."""
        if self.channel.free_lines(GROWTH_QUEUE_SHARE) < 0:
            return
        short = [
            (-sum(proxy.demand), number)
            for number, proxy in self.proxies.items()
            if proxy.group not in self.groups.by_zone[proxy.zone][COMPLETE_TABLE_SIZE]
            and self.channel.may_send_message(number, CHANGE_MESSAGE_SHARE)
        ]
        for _, number in sorted(short):
            if not self.assign(number, self.group_for(self.proxies[number], math.inf, now), GROWTH_QUEUE_SHARE):
                return

    def create_first_groups(self, zones: set[int], now: float) -> None:
        """Make the first tables of zones that have none, with one placement of demand for all of them."""
        new_zones = zones - self.groups.by_zone.keys()
        if not new_zones:
            return
        self.groups.by_zone.update({zone: {} for zone in new_zones})
        self.groups.update_all_shares(now)
        for zone in sorted(new_zones):
            self.create(zone, COMPLETE_TABLE_SIZE, 1, now)


def short_table_size(lines: float, class_count: int) -> int:
    """The lines of a short table, a power of four, of which a proxy gets at most `lines` with its levels."""
    server_lines = max(MIN_HEALTHY_LINES, int(lines) - 1 - class_count)
    power_of_four = (server_lines.bit_length() - 1) >> 1
    return int(4**power_of_four)
