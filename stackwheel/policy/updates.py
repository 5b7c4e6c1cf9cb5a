"""Updates: which lines of the tables are sent now; withdrawals first, then what a table lacks, then the largest."""

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
"""Of a weight: a smaller change is not sent."""

OVERWEIGHT_MULTIPLE = 1.2
"""Times its target: a warming or ejected server's line over this must not wait."""

NEW_LINE_UNSENT_SHARE = 0.1
"""Of a table unsent: over this its new lines go before other changes."""

EMPTY_TABLE_UNSENT_SHARE = 0.8
"""Of a table unsent: over this it can hardly serve, and its new lines must not wait."""

RETRY_INTERVALS = 0.1
"""Report intervals after which deferred changes are retried."""

MIN_SPACING_GRACE_SHARE = 0.1
"""Of the drain grace: what comes sooner after a message to a group waits for the next one."""


class Urgency(IntEnum):
    """How long a line may wait; sorts the most urgent first."""

    REMOVED = 0
    """Its server is draining or removed: it leaves all tables before anything else is sent."""
    WARMING = 1
    """Its server is warming up and has too much: it must not be overloaded."""
    EJECTED_OR_EMPTY = 2
    """Its server is ejected and has too much, or its table can hardly serve."""
    NEW_LINE = 3
    """Its table lacks a part that was never sent."""
    ROUTINE = 4
    """An ordinary adjustment of weights."""


class WeightChange(NamedTuple):
    """A changed line of a table; sorts by urgency, then the largest change first."""

    urgency: Urgency
    negated_size: float
    table_index: int
    """Of its table in the group."""
    server: ServerId
    weight: float


class UpdateScheduler:
    """Decides what each group of proxies is sent, within the queue, the pace and the message cap.

    Attributes:
        has_urgent_change: whether the operators' rules require a change to be sent at once; the next call of
            `send_changes` resets it, even if the change could not be sent.
        has_deferred_changes: whether the last call of `send_changes` omitted changes that have to be retried before
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
        """Have the tables moved and changes sent in this call of the planner, or as soon as the queue is short."""
        self.has_urgent_change = True

    def should_send(self, now: float) -> bool:
        """Whether changes should be sent before the next slot, and the queue is short enough."""
        wanted = self.has_urgent_change or (self.has_deferred_changes and now >= self.retry_at)
        return wanted and self.channel.free_lines(CHANGE_QUEUE_SHARE) > 0

    def send_changes(self, proxies_wait: bool, now: float) -> None:
        """Send what is due: lines of removed servers leave all tables before anything else.

        A timer is set only after deferred removals; other deferred changes are retried in the next call of the planner
        that an event causes after `retry_at`.

        Args:
            proxies_wait: some proxies have no tables yet, so that only what the rules require may use the channel.
            now: ms.
        """
        self.has_urgent_change = False
        self.has_deferred_changes = False
        self.retry_at = now + self.retry_ms
        admitted = self.shedding.admitted_shares(now)
        groups = sorted(self.groups.all_groups(), key=lambda group: group.last_sent_at)
        ready = {view.entry.server for view in self.pool.ready()}
        for group in [group for group in groups if group.users and self.has_withdrawals(group, ready)]:
            self.send_group(group, admitted, True, now)
        removals_deferred = self.has_deferred_changes  # or, of the same groups, changes of warming servers or levels
        if removals_deferred:
            self.actions.append(SetTimer(self.retry_ms, DEFERRED_CHANGES_TIMER))
        only_urgent = removals_deferred or proxies_wait
        for group in groups:
            self.send_group(group, admitted, only_urgent, now)

    def has_withdrawals(self, group: TableGroup, ready: set[ServerId]) -> bool:
        """Whether the group's proxies have lines of servers that are not ready."""
        return any(server not in ready for table in group.tables for server in table.sent)

    def send_group(self, group: TableGroup, admitted: list[float], only_urgent: bool, now: float) -> None:
        """Send a group in one message what must not wait, then the largest changes, as many as fit.

        Routine changes that do not fit are not deferred: they wait for the next slot, which computes them anew.

        Args:
            group: whose tables, and to whose proxies.
            admitted: the share of each class that is admitted.
            only_urgent: send only changes for removed and warming servers; all others, and levels, are left to a later
                call without being deferred (but levels are if the group can get no message at all).
            now: ms.
        """
        changes = self.group_changes(group, only_urgent, now)
        levels = [self.shedding.levels(table, admitted) for table in group.tables]
        level_lines = count_level_lines(group, levels)
        free_lines = self.free_lines_for_each(group) - level_lines
        may_send = free_lines > 0 and self.may_send_to_group(group, changes, now)
        max_paced_lines = 0.0 if only_urgent else self.lines_within_pace(group, has_new_lines(changes))
        max_changes = int(clamp(max(count_urgent(changes), max_paced_lines), 0, max(0, free_lines)))
        chosen = changes[:max_changes] if may_send else []
        self.record_deferred(changes, chosen, levels_wait=level_lines > 0 and not may_send)
        sends_levels = level_lines > 0 and may_send and not only_urgent
        if chosen or sends_levels:
            self.write_group(group, chosen, levels, now)
            if max_paced_lines:
                message_lines = self.channel.overhead_lines + len(chosen)
                self.channel.change_allowance -= max(1, len(group.users)) * message_lines

    def record_deferred(
        self, changes: Sequence[WeightChange], chosen: Sequence[WeightChange], levels_wait: bool
    ) -> None:
        """Note whether something of a group has to be tried again before the next slot.

        Urgent changes and levels count if they were left out, new lines of a table that lacks a part in any case.
        Routine changes are not deferred: they wait for the next slot.
        """
        urgent_wait = count_urgent(chosen) < count_urgent(changes)
        self.has_deferred_changes |= has_new_lines(changes) or levels_wait or urgent_wait

    def free_lines_for_each(self, group: TableGroup) -> float:
        """Lines that a message to each proxy of a group may have before the queue is too long.

        This bounds urgent changes too; those that do not fit are deferred, routine ones wait for the next slot.
        """
        free = self.channel.free_lines(MAX_QUEUE_SHARE)
        return free / max(1, len(group.users)) - self.channel.overhead_lines

    def lines_within_pace(self, group: TableGroup, is_lacking: bool) -> float:
        """Lines for each proxy of a group that the pace of changes allows; none once it is spent.

        What a table lacks may go beyond the pace while the queue is short: no other change would use it. Urgent changes
        are not bounded by this; routine ones over it are not deferred, but wait for the next slot.
        """
        channel = self.channel
        if channel.change_allowance <= 0 and not (is_lacking and channel.free_lines(CHANGE_QUEUE_SHARE / 2) > 0):
            return 0.0
        overhead = channel.overhead_lines
        return max(overhead, channel.max_change_allowance / max(1, len(group.users)) - overhead)

    def may_send_to_group(self, group: TableGroup, changes: Sequence[WeightChange], now: float) -> bool:
        """Whether the queue is short, and each proxy of a group may get one more message.

        Proxies already written to in this call of the planner are skipped: each gets one message a call, and what is
        added goes into that. For removed and warming servers there is a reserve of the message cap, for one message
        every `ChannelBudget.reserve_spacing_ms`.

        The spacing rule: between slots, where messages are capped, a group that was written to in an earlier call less
        than `MIN_SPACING_GRACE_SHARE` of the drain grace ago has to wait, so that changes gather in one message.
        """
        settings = self.settings
        channel = self.channel
        since_last = now - group.last_sent_at
        between_slots = self.slot.started_at < now
        if settings.message_cap and between_slots and 0 < since_last < MIN_SPACING_GRACE_SHARE * settings.drain_grace:
            return False
        uses_reserve = changes and changes[0].urgency <= Urgency.WARMING and since_last >= channel.reserve_spacing_ms()
        share = 1.0 if uses_reserve else CHANGE_MESSAGE_SHARE
        return channel.free_lines(CHANGE_QUEUE_SHARE) > 0 and all(
            channel.may_send_message(user, share) for user in group.users if user not in channel.pending_lines
        )

    def group_changes(self, group: TableGroup, only_urgent: bool, now: float) -> list[WeightChange]:
        """The changes of all tables of a group, in the order in which they should be sent."""
        changes = [
            change
            for table_index, table in enumerate(group.tables)
            for change in self.table_changes(table_index, table, now)
            if not only_urgent or change.urgency <= Urgency.WARMING
        ]
        changes.sort()
        return changes

    def table_changes(self, table_index: int, table: Table, now: float) -> list[WeightChange]:
        """Lines of a table that moved by over a tenth, came or went."""
        scale = table.weight_scale()
        shares = table.shares
        sent = table.sent
        lacking = sum(share for server, share in shares.items() if server not in sent)
        changes = []
        for server in dict.fromkeys([*shares, *sent]):
            new = scale * shares.get(server, 0.0)
            old = sent.get(server, 0.0)
            size = abs(new - old)
            if size > MIN_CHANGE_SHARE * max(new, old) or (old > 0) != (new > 0):
                urgency = self.change_urgency(server, old, new, now) if old != 0 else new_line_urgency(lacking)
                changes.append(WeightChange(urgency, -size, table_index, server, new))
        return changes

    def change_urgency(self, server: ServerId, old: float, new: float, now: float) -> Urgency:
        """How long the change of a line that proxies have been sent may wait."""
        if old <= OVERWEIGHT_MULTIPLE * new:
            return Urgency.ROUTINE
        view = self.pool.views.get(server)
        if view is None or view.entry.availability is not Availability.READY:
            return Urgency.REMOVED
        if not self.pool.is_warm(view, now):
            return Urgency.WARMING
        return Urgency.EJECTED_OR_EMPTY if view.is_ejected(now) else Urgency.ROUTINE

    def write_group(
        self, group: TableGroup, chosen: Sequence[WeightChange], levels: list[dict[int, AdmissionLevel]], now: float
    ) -> None:
        """Send chosen changes of a group's tables, and all of their levels that differ."""
        users = list(group.users)
        for table_index, table in enumerate(group.tables):
            weights = {change.server: change.weight for change in chosen if change.table_index == table_index}
            self.write_table(table, users, weights, levels[table_index])
        if chosen:
            group.last_sent_at = now

    def write_unused_groups(self, groups: Sequence[TableGroup], now: float) -> None:
        """Write all lines and levels of groups that no proxy uses yet; this puts nothing into the channel."""
        admitted = self.shedding.admitted_shares(now)
        for group in groups:
            for table in group.tables:
                self.write_table(table, [], table.shares, self.shedding.levels(table, admitted))

    def write_table(self, table: Table, users: list[int], weights: Rates, levels: dict[int, AdmissionLevel]) -> None:
        """Set lines and levels of one table, and charge them to its users."""
        actions: list[Action] = [SetWeight(table.number, server, weight) for server, weight in weights.items()]
        table.sent = {server: weight for server, weight in {**table.sent, **weights}.items() if weight > 0}
        for request_class, level in levels.items():
            if level_differs(level, table.levels.get(request_class)):
                table.levels[request_class] = level
                actions.append(SetAdmission(table.number, (request_class,), level.admitted, level.retry))
        if actions:
            self.actions += actions
            self.channel.add_lines(users, len(actions))


def new_line_urgency(lacking: float) -> Urgency:
    """How long a line that its table lacks may wait, by the share that the table lacks in all."""
    if lacking > EMPTY_TABLE_UNSENT_SHARE:
        return Urgency.EJECTED_OR_EMPTY
    return Urgency.NEW_LINE if lacking > NEW_LINE_UNSENT_SHARE else Urgency.ROUTINE


def count_urgent(changes: Sequence[WeightChange]) -> int:
    """How many changes must not wait for the pace; neither new lines nor routine changes count."""
    return sum(change.urgency < Urgency.NEW_LINE for change in changes)


def has_new_lines(changes: Sequence[WeightChange]) -> bool:
    """Whether some table lacks a part that was never sent."""
    return any(change.urgency == Urgency.NEW_LINE for change in changes)


def count_level_lines(group: TableGroup, levels: list[dict[int, AdmissionLevel]]) -> int:
    """How many levels of a group's tables differ enough to be sent."""
    return sum(
        level_differs(level, table.levels.get(request_class))
        for table, wanted in zip(group.tables, levels, strict=True)
        for request_class, level in wanted.items()
    )
