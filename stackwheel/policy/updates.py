"""Scheduling of table updates: removals of servers are sent first, then new lines, then the largest other changes."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from stackwheel.interface import (
    Action,
    AdmissionLevel,
    Availability,
    ServerId,
    SetAdmission,
    SetTimer,
    Settings,
    SetWeight,
)
from stackwheel.policy.arithmetic import clamp
from stackwheel.policy.channel import CHANGE_MESSAGE_SHARE, CHANGE_QUEUE_SHARE, MAX_QUEUE_SHARE, ChannelBudget
from stackwheel.policy.load_shedding import LoadShedding, level_differs
from stackwheel.policy.servers import Rates, ServerPool
from stackwheel.policy.table_groups import TableGroups
from stackwheel.policy.tables import Table, TableGroup
from stackwheel.policy.timers import DEFERRED_CHANGES_TIMER, Slot

MIN_CHANGE_SHARE = 0.1
"""Relative change of a weight up to which the new weight is not sent."""

OVERWEIGHT_MULTIPLE = 1.2
"""Ratio of the weight last sent to the new weight above which the reduction can be urgent."""

NEW_LINE_UNSENT_SHARE = 0.1
"""Total share of a table's new lines above which these lines are sent before routine changes."""

EMPTY_TABLE_UNSENT_SHARE = 0.8
"""Total share of a table's new lines above which the proxies' table counts as empty, so that the lines are urgent."""

RETRY_INTERVALS = 0.1
"""Delay, in report intervals, after which deferred changes are retried."""

MIN_SPACING_GRACE_SHARE = 0.1
"""Minimum time between two messages to a table group within a slot, as a share of the drain grace."""


class Urgency(IntEnum):
    """Urgency of a change; the most urgent changes are sorted first."""

    REMOVED = 0
    """The server is draining or removed; such changes are sent for all tables before any other."""

    WARMING = 1
    """The server is warming up and its weight is so high that it could be overloaded."""

    EJECTED_OR_EMPTY = 2
    """The server is ejected and its weight is too high, or the table is nearly empty."""

    NEW_LINE = 3
    """The line is new, and new lines make up a considerable share of its table."""

    ROUTINE = 4
    """Any other change."""


class WeightChange(NamedTuple):
    """A changed line of a table; changes are sorted by urgency, and the largest of equal urgency first.

    Attributes:
        urgency: urgency of the change.
        negated_size: negated absolute difference between the new weight and the weight last sent.
        table_index: index of the table in its group.
        server: the server of the line.
        weight: the new weight; 0 to remove the line.
    """

    urgency: Urgency
    negated_size: float
    table_index: int
    server: ServerId
    weight: float


class UpdateScheduler:
    """Selects the changes that each group of proxies is sent, within the limits of the channel and the message cap.

    Attributes:
        has_urgent_change: whether the operators' rules require a change to be sent at once; the next call of
            `send` resets it, even if the change could not be sent.
        has_deferred_changes: whether the last call of `send` omitted changes that have to be retried before
            the next slot.
        retry_at: time from which deferred changes may be retried, ms.
        retry_ms: delay of such a retry.
    """

    def __init__(
        self,
        settings: Settings,
        actions: list[Action],
        slot: Slot,
        pool: ServerPool,
        channel: ChannelBudget,
        shedding: LoadShedding,
        groups: TableGroups,
    ) -> None:
        self.settings = settings
        self.actions = actions
        self.slot = slot
        self.pool = pool
        self.channel = channel
        self.shedding = shedding
        self.groups = groups
        self.has_urgent_change = False
        self.has_deferred_changes = False
        self.retry_at = 0.0
        self.retry_ms = RETRY_INTERVALS * settings.report_interval

    def request_urgent_update(self) -> None:
        """Request that tables are updated and sent in the current call of the planner, or once the queue allows it."""
        self.has_urgent_change = True

    def should_send(self, now: float) -> bool:
        """Return whether there are urgent or deferred changes to send now, and the queue is short enough."""
        is_requested = self.has_urgent_change or (self.has_deferred_changes and now >= self.retry_at)
        return is_requested and self.channel.free_lines(CHANGE_QUEUE_SHARE) > 0

    def send(self, has_waiting_proxies: bool, now: float) -> None:
        """Send changes; removed servers are removed from all tables before any other change is sent.

        A timer is started only for deferred removals. Other deferred changes are retried in the first call of the
        planner after `retry_at`.

        Args:
            has_waiting_proxies: whether some proxies have no tables yet; then only changes for removed and warming
                servers are sent.
            now: current time, ms.
        """
        self.has_urgent_change = False
        self.has_deferred_changes = False
        self.retry_at = now + self.retry_ms
        admitted = self.shedding.admitted_shares(now)
        groups = sorted(self.groups.all_groups(), key=lambda group: group.last_sent_at)
        ready = {view.entry.server for view in self.pool.ready()}
        for group in [group for group in groups if group.users and self.has_lines_to_remove(group, ready)]:
            self.send_group(group, admitted, True, now)
        # The flag is also set if only changes for warming servers or admission levels of these groups were deferred.
        has_deferred_removals = self.has_deferred_changes
        if has_deferred_removals:
            self.actions.append(SetTimer(self.retry_ms, DEFERRED_CHANGES_TIMER))
        only_urgent = has_deferred_removals or has_waiting_proxies
        for group in groups:
            self.send_group(group, admitted, only_urgent, now)

    def has_lines_to_remove(self, group: TableGroup, ready: set[ServerId]) -> bool:
        """Return whether the tables last sent to a group's proxies contain lines that have to be removed.

        These are the lines of servers that are no longer ready.
        """
        return any(server not in ready for table in group.tables for server in table.sent)

    def send_group(self, group: TableGroup, admitted: list[float], only_urgent: bool, now: float) -> None:
        """Send the changes to a group's tables in one message: urgent ones first, then the largest ones that fit.

        Routine changes that do not fit are not deferred, because the next slot computes them again.

        Args:
            group: the group.
            admitted: admitted share of each class.
            only_urgent: whether to send only changes for removed and warming servers. Other changes and admission
                levels are then not deferred, except for levels if the group cannot be sent a message at all.
            now: current time, ms.
        """
        changes = self.group_changes(group, only_urgent, now)
        levels = [self.shedding.levels(table, admitted) for table in group.tables]
        level_lines = count_level_lines(group, levels)
        free_lines = self.free_lines_per_proxy(group) - level_lines
        may_send = free_lines > 0 and self.may_send_to_group(group, changes, now)
        max_rate_limited_lines = 0.0 if only_urgent else self.lines_within_rate_limit(group, has_new_lines(changes))
        max_changes = int(clamp(max(count_urgent(changes), max_rate_limited_lines), 0, max(0, free_lines)))
        selected = changes[:max_changes] if may_send else []
        self.record_deferred(changes, selected, has_waiting_levels=level_lines > 0 and not may_send)
        sends_levels = level_lines > 0 and may_send and not only_urgent
        if selected or sends_levels:
            self.write_group(group, selected, levels, now)
            if max_rate_limited_lines:
                message_lines = self.channel.overhead_lines + len(selected)
                self.channel.change_allowance -= max(1, len(group.users)) * message_lines

    def record_deferred(
        self, changes: Sequence[WeightChange], selected: Sequence[WeightChange], has_waiting_levels: bool
    ) -> None:
        """Record whether changes of a group have to be retried before the next slot.

        This is the case for urgent changes and levels that were not selected, and always for new lines. Routine changes
        are not deferred.

        Args:
            changes: all changes of the group.
            selected: the changes that are sent.
            has_waiting_levels: whether admission levels have to be sent but the group cannot be sent a message.
        """
        has_waiting_urgent = count_urgent(selected) < count_urgent(changes)
        self.has_deferred_changes |= has_new_lines(changes) or has_waiting_levels or has_waiting_urgent

    def free_lines_per_proxy(self, group: TableGroup) -> float:
        """Return the number of lines that each proxy of a group can be sent before the queue reaches `MAX_QUEUE_SHARE`.

        This limit also applies to urgent changes.
        """
        free = self.channel.free_lines(MAX_QUEUE_SHARE)
        return free / max(1, len(group.users)) - self.channel.overhead_lines

    def lines_within_rate_limit(self, group: TableGroup, includes_new_lines: bool) -> float:
        """Return the number of lines that each proxy of a group can be sent within the rate limit of routine changes.

        New lines may exceed the rate limit while the queue is short. The limit does not apply to urgent changes.

        Args:
            group: the group.
            includes_new_lines: whether the changes of the group include new lines.
        """
        channel = self.channel
        if channel.change_allowance <= 0 and not (
            includes_new_lines and channel.free_lines(CHANGE_QUEUE_SHARE / 2) > 0
        ):
            return 0.0
        overhead = channel.overhead_lines
        return max(overhead, channel.max_change_allowance / max(1, len(group.users)) - overhead)

    def may_send_to_group(self, group: TableGroup, changes: Sequence[WeightChange], now: float) -> bool:
        """Return whether the queue is short and each proxy of a group may be sent another message.

        Proxies that are sent a message by the current call anyway are not checked, because the changes are added to
        that message. Changes for removed and warming servers may use the reserve of the message cap, once every
        `ChannelBudget.reserve_spacing_ms`.

        If messages are capped, two messages to a group within a slot have to be `MIN_SPACING_GRACE_SHARE` of the drain
        grace apart, so that changes are combined in one message.

        Args:
            group: the group.
            changes: changes of the group, the most urgent first.
            now: current time, ms.
        """
        settings = self.settings
        channel = self.channel
        elapsed_ms = now - group.last_sent_at
        is_between_slots = self.slot.started_at < now
        if (
            settings.message_cap
            and is_between_slots
            and 0 < elapsed_ms < MIN_SPACING_GRACE_SHARE * settings.drain_grace
        ):
            return False
        uses_reserve = changes and changes[0].urgency <= Urgency.WARMING and elapsed_ms >= channel.reserve_spacing_ms()
        share = 1.0 if uses_reserve else CHANGE_MESSAGE_SHARE
        return channel.free_lines(CHANGE_QUEUE_SHARE) > 0 and all(
            channel.may_send_message(user, share) for user in group.users if user not in channel.pending_lines
        )

    def group_changes(self, group: TableGroup, only_urgent: bool, now: float) -> list[WeightChange]:
        """Return the changes to all tables of a group, in the order in which they should be sent."""
        changes = [
            change
            for table_index, table in enumerate(group.tables)
            for change in self.table_changes(table_index, table, now)
            if not only_urgent or change.urgency <= Urgency.WARMING
        ]
        changes.sort()
        return changes

    def table_changes(self, table_index: int, table: Table, now: float) -> list[WeightChange]:
        """Return the lines of a table that are new, to be removed, or have changed by more than `MIN_CHANGE_SHARE`."""
        scale = table.weight_scale()
        shares = table.shares
        sent = table.sent
        unsent_share = sum(share for server, share in shares.items() if server not in sent)
        changes = []
        for server in dict.fromkeys([*shares, *sent]):
            new = scale * shares.get(server, 0.0)
            old = sent.get(server, 0.0)
            size = abs(new - old)
            if size > MIN_CHANGE_SHARE * max(new, old) or (old > 0) != (new > 0):
                urgency = self.change_urgency(server, old, new, now) if old != 0 else new_line_urgency(unsent_share)
                changes.append(WeightChange(urgency, -size, table_index, server, new))
        return changes

    def change_urgency(self, server: ServerId, old: float, new: float, now: float) -> Urgency:
        """Return the urgency of a change to a line that was sent to the proxies.

        Args:
            server: the server of the line.
            old: weight last sent to the proxies.
            new: weight to send.
            now: current time, ms.
        """
        if old <= OVERWEIGHT_MULTIPLE * new:
            return Urgency.ROUTINE
        view = self.pool.views.get(server)
        if view is None or view.entry.availability is not Availability.READY:
            return Urgency.REMOVED
        if not self.pool.is_warm(view, now):
            return Urgency.WARMING
        return Urgency.EJECTED_OR_EMPTY if view.is_ejected(now) else Urgency.ROUTINE

    def write_group(
        self, group: TableGroup, selected: Sequence[WeightChange], levels: list[dict[int, AdmissionLevel]], now: float
    ) -> None:
        """Send the selected changes to a group's tables, and all admission levels that differ from those last sent."""
        users = list(group.users)
        for table_index, table in enumerate(group.tables):
            weights = {change.server: change.weight for change in selected if change.table_index == table_index}
            self.write_table(table, users, weights, levels[table_index])
        if selected:
            group.last_sent_at = now

    def write_unused_groups(self, groups: Sequence[TableGroup], now: float) -> None:
        """Set all weights and admission levels of groups that no proxy uses yet, which sends no messages."""
        admitted = self.shedding.admitted_shares(now)
        for group in groups:
            for table in group.tables:
                self.write_table(table, [], table.shares, self.shedding.levels(table, admitted))

    def write_table(self, table: Table, users: list[int], weights: Rates, levels: dict[int, AdmissionLevel]) -> None:
        """Set weights and admission levels of a table, and add the lines to the messages of its proxies.

        Args:
            table: the table.
            users: numbers of the proxies that use the table.
            weights: new weights by server; 0 removes a line.
            levels: target admission levels by class; only those that differ are sent.
        """
        actions: list[Action] = [SetWeight(table.number, server, weight) for server, weight in weights.items()]
        table.sent = {server: weight for server, weight in {**table.sent, **weights}.items() if weight > 0}
        for request_class, level in levels.items():
            if level_differs(level, table.levels.get(request_class)):
                table.levels[request_class] = level
                actions.append(SetAdmission(table.number, (request_class,), level.admitted, level.retry))
        if actions:
            self.actions += actions
            self.channel.add_lines(users, len(actions))


def new_line_urgency(unsent_share: float) -> Urgency:
    """Return the urgency of sending a new line, which increases with the total share of new lines in its table.

    Args:
        unsent_share: sum of the shares of the servers whose lines have not been sent to the proxies of the table yet.
    """
    if unsent_share > EMPTY_TABLE_UNSENT_SHARE:
        return Urgency.EJECTED_OR_EMPTY
    return Urgency.NEW_LINE if unsent_share > NEW_LINE_UNSENT_SHARE else Urgency.ROUTINE


def count_urgent(changes: Sequence[WeightChange]) -> int:
    """Return the number of urgent changes, which are exempt from the rate limit of routine changes."""
    return sum(change.urgency < Urgency.NEW_LINE for change in changes)


def has_new_lines(changes: Sequence[WeightChange]) -> bool:
    """Return whether the changes include new lines with urgency `NEW_LINE`."""
    return any(change.urgency == Urgency.NEW_LINE for change in changes)


def count_level_lines(group: TableGroup, levels: list[dict[int, AdmissionLevel]]) -> int:
    """Return the number of admission levels of a group that differ enough to be sent."""
    return sum(
        level_differs(level, table.levels.get(request_class))
        for table, table_levels in zip(group.tables, levels, strict=True)
        for request_class, level in table_levels.items()
    )
