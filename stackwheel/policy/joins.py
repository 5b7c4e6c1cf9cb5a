"""Assignment of tables to proxies that join: short tables while many join at once, otherwise complete tables."""

from __future__ import annotations

import math

from stackwheel.interface import Action, AssignTable, Settings
from stackwheel.policy.channel import CHANGE_MESSAGE_SHARE, CHANGE_QUEUE_SHARE, MAX_QUEUE_SHARE, ChannelBudget
from stackwheel.policy.proxies import ProxyView
from stackwheel.policy.table_groups import COMPLETE_TABLE_SIZE, MIN_HEALTHY_LINES, TableGroups
from stackwheel.policy.tables import TableGroup
from stackwheel.policy.updates import UpdateScheduler

FIRST_TABLE_GRACE_SHARE = 0.4
"""Share of the drain grace within which joining proxies should get their first tables.

Until then they may use standing tables with removed servers.
"""

REPLACEMENT_QUEUE_SHARE = 0.05
"""Share of the queue limit up to which complete tables replace short ones."""

JOIN_HEADROOM_SHARE = 0.05
"""Share of the queue limit that has to be free below `CHANGE_QUEUE_SHARE` before tables are assigned."""

JOIN_START_QUEUE_SHARE = CHANGE_QUEUE_SHARE - JOIN_HEADROOM_SHARE
"""Share of the queue limit below which assignment starts; it stops at `CHANGE_QUEUE_SHARE`.

The difference lets one call assign tables to many proxies, which takes less time than many calls. Overdue assignments
do not require it.
"""


class JoinScheduler:
    """Assigns tables to proxies, those with the highest demand first.

    Attributes:
        first_table_ms: time within which a joining proxy should get its first tables.
        waiting: numbers of the proxies without tables from this planner, in the order in which they joined.
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
        """Return whether a proxy has waited for tables so long that assignment takes precedence over changes.

        This is the case if the channel cannot transmit even the overhead of one message before the deadline, which is
        `FIRST_TABLE_GRACE_SHARE` of the drain grace after the proxy joined.
        """
        return bool(self.waiting) and self.lines_before_deadline(1, now) < 0

    def assign_tables(self, now: float) -> None:
        """Assign tables to waiting proxies; if there are none, replace short tables by complete ones."""
        if not self.waiting:
            if not self.updates.has_deferred_changes:
                self.replace_short_tables(now)
            return
        start_share = CHANGE_QUEUE_SHARE if self.are_overdue(now) else JOIN_START_QUEUE_SHARE
        if self.channel.free_lines(start_share) < 0:
            return
        ready = [(-sum(self.proxies[number].demand), number) for number in self.waiting if self.may_get_message(number)]
        self.create_first_groups({self.proxies[number].zone for _, number in ready}, now)
        lines = self.lines_before_deadline(len(ready), now)
        for _, number in sorted(ready):
            if not self.assign(number, self.select_group(self.proxies[number], lines, now), CHANGE_QUEUE_SHARE):
                return

    def may_get_message(self, number: int) -> bool:
        """Return whether the message cap allows a message with tables; its reserve is used with a minimum spacing."""
        return self.channel.may_send_message(number, CHANGE_MESSAGE_SHARE) or self.channel.may_send_message(
            number, 1.0, self.channel.reserve_spacing_ms()
        )

    def lines_before_deadline(self, count: int, now: float) -> float:
        """Return the number of lines that each proxy can be sent before the deadline for first tables.

        The deadline is that of the proxy that has waited longest. The message overhead is subtracted; a negative number
        means that even an empty message would be late.

        Args:
            count: number of proxies.
            now: current time, ms.
        """
        waited_ms = now - min(self.proxies[number].joined_at for number in self.waiting)
        remaining_ms = max(0.0, self.first_table_ms - waited_ms)
        return remaining_ms / 1000.0 * self.settings.channel_rate / max(1, count) - self.channel.overhead_lines

    def select_group(self, proxy: ProxyView, lines: float, now: float) -> TableGroup:
        """Return the group whose tables a proxy is assigned, and create it if necessary.

        Args:
            proxy: the proxy.
            lines: maximum number of lines; if complete tables are longer, the largest size of short tables is used.
            now: current time, ms.
        """
        groups = self.groups.by_zone[proxy.zone]
        complete = min(groups[COMPLETE_TABLE_SIZE], key=lambda group: len(group.users))
        if lines >= complete.lines():
            if len(complete.users) < self.channel.max_group_size:
                return complete
            return self.create_groups(proxy.zone, COMPLETE_TABLE_SIZE, 1, now)[0]
        size = short_table_size(lines, len(self.settings.classes))
        if size not in groups:
            longest = max(len(table.shares) for table in complete.tables)
            self.create_groups(proxy.zone, size, max(1, round(longest / size)), now)
        return min(groups[size], key=lambda group: sum(group.users.values()))

    def create_groups(self, zone: int, size: int, count: int, now: float) -> list[TableGroup]:
        """Create groups of a zone and set the content of their tables."""
        groups = self.groups.create(zone, size, count, now)
        self.updates.write_unused_groups(groups, now)
        return groups

    def assign(self, number: int, group: TableGroup, share: float) -> bool:
        """Assign the tables of a group to a proxy, and return whether the queue has enough capacity for them.

        Args:
            number: number of the proxy.
            group: the group.
            share: share of the queue limit up to which tables may be assigned.
        """
        lines = group.lines()
        if self.channel.free_lines(share) < 0 or self.channel.free_lines(MAX_QUEUE_SHARE) - lines < 0:
            return False
        proxy = self.proxies[number]
        self.actions += [AssignTable(number, table.number, table.classes) for table in group.tables]
        self.channel.pending_lines[number] = lines  # replaces pending changes of its previous tables
        proxy.group.users.pop(number, None)
        proxy.group = group
        group.users[number] = sum(proxy.demand)
        self.waiting.pop(number, None)
        return True

    def replace_short_tables(self, now: float) -> None:
        """Assign complete tables to proxies with short tables, while the queue is nearly empty."""
        if self.channel.free_lines(REPLACEMENT_QUEUE_SHARE) < 0:
            return
        short = [
            (-sum(proxy.demand), number)
            for number, proxy in self.proxies.items()
            if proxy.group not in self.groups.by_zone[proxy.zone][COMPLETE_TABLE_SIZE]
            and self.channel.may_send_message(number, CHANGE_MESSAGE_SHARE)
        ]
        for _, number in sorted(short):
            if not self.assign(number, self.select_group(self.proxies[number], math.inf, now), REPLACEMENT_QUEUE_SHARE):
                return

    def create_first_groups(self, zones: set[int], now: float) -> None:
        """Create the first tables of zones without tables, with one allocation for all these zones."""
        new_zones = zones - self.groups.by_zone.keys()
        if not new_zones:
            return
        self.groups.by_zone.update({zone: {} for zone in new_zones})
        self.groups.update_all_shares(now)
        for zone in sorted(new_zones):
            self.create_groups(zone, COMPLETE_TABLE_SIZE, 1, now)


def short_table_size(lines: float, class_count: int) -> int:
    """Return the maximum number of servers in a short table, which is a power of four.

    Args:
        lines: number of lines that a proxy can be sent, including admission levels.
        class_count: number of request classes.
    """
    server_lines = max(MIN_HEALTHY_LINES, int(lines) - 1 - class_count)
    power_of_four = (server_lines.bit_length() - 1) >> 1
    return int(4**power_of_four)
