"""Deliberate defects of the policy: its decisions, and its limits on what is sent."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import replace

from stackwheel import interface
from stackwheel.interface import Availability, Retry
from stackwheel.policy import load_shedding, table_groups, tables
from stackwheel.policy.channel import ChannelBudget
from stackwheel.policy.endpoints import EndpointTracker
from stackwheel.policy.joins import JoinScheduler
from stackwheel.policy.servers import Rates, ServerPool
from stackwheel.policy.slow_start import SlowStart
from stackwheel.policy.tables import Table
from stackwheel.policy.updates import UpdateScheduler, Urgency, WeightChange
from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.planting import Defect, Patch, returns
from stackwheel.wire.connection_limits import RateLimiter
from stackwheel.wire.transport import SocketTransport

UNLIMITED_SHARE_STEP = 1e9
WARMING_SHARE_FACTOR = 10.0
FIRST_EMPTIED_SLOT = 9  # earlier slots fill the tables
EMPTIED_SLOT_INTERVAL = 3


def draining_taken_as_ready() -> Sequence[Patch]:
    """Treat each endpoint entry as ready."""
    original = EndpointTracker.apply_entry

    def apply_entry(self: EndpointTracker, entry: interface.EndpointEntry) -> bool:
        """Replacement for `EndpointTracker.apply_entry`."""
        return original(self, replace(entry, availability=Availability.READY))

    return [Patch(EndpointTracker, "apply_entry", apply_entry)]


def removed_servers_kept() -> Sequence[Patch]:
    """Keep servers that an endpoint update does not contain, or that it removes."""
    original = EndpointTracker.apply

    def apply(self: EndpointTracker, update: interface.EndpointUpdate) -> bool:
        """Replacement for `EndpointTracker.apply`."""
        listed = tuple(entry for entry in update.entries if entry.availability is not Availability.REMOVED)
        listed_servers = {entry.server for entry in listed}
        missing = tuple(view.entry for server, view in self.pool.views.items() if server not in listed_servers)
        return original(self, replace(update, entries=(*listed, *missing)))

    return [Patch(EndpointTracker, "apply", apply)]


def removals_never_sent() -> Sequence[Patch]:
    """Omit changes to weight 0, and send the others without urgency."""
    original = UpdateScheduler.table_changes

    def table_changes(self: UpdateScheduler, table_index: int, table: Table, now: float) -> list[WeightChange]:
        """Replacement for `UpdateScheduler.table_changes`."""
        changes = original(self, table_index, table, now)
        return [change._replace(urgency=Urgency.NEW_LINE) for change in changes if change.weight > 0]

    return [Patch(UpdateScheduler, "table_changes", table_changes)]


def no_slow_start() -> Sequence[Patch]:
    """Treat a server that has just started as warm, and let any load move to it in one slot."""
    return [Patch(SlowStart, "available_share", returns(1.0)), Patch(tables, "MAX_SHARE_STEP", UNLIMITED_SHARE_STEP)]


def slow_start_share_exceeded() -> Sequence[Patch]:
    """Give warming servers a multiple of their computed share."""
    original = tables.table_shares

    def table_shares(rates: Rates, pool: ServerPool, now: float) -> Rates:
        """Replacement for `tables.table_shares`."""
        warming_up = {server for server in rates if pool.available_share(pool.views[server], now) < 1.0}
        exceeded = {
            server: rate * (WARMING_SHARE_FACTOR if server in warming_up else 1.0) for server, rate in rates.items()
        }
        return original(exceeded, pool, now)

    return [Patch(table_groups, "table_shares", table_shares)]


def retries_without_condition() -> Sequence[Patch]:
    """Let proxies retry after any failure, even if the request was executed."""
    return [Patch(load_shedding, "RETRY_MODE", Retry.TWICE)]


def joined_proxies_ignored() -> Sequence[Patch]:
    """Assign no tables to proxies that have joined."""
    return [Patch(JoinScheduler, "assign_tables", returns(None))]


def one_class_assigned() -> Sequence[Patch]:
    """Assign only the tables of the first request class."""
    original = JoinScheduler.assign_tables

    def assign_tables(self: JoinScheduler, now: float) -> None:
        """Replacement for `JoinScheduler.assign_tables`."""
        original(self, now)
        self.actions[:] = [
            action
            for action in self.actions
            if not (isinstance(action, interface.AssignTable) and action.classes and action.classes[0] > 0)
        ]

    return [Patch(JoinScheduler, "assign_tables", assign_tables)]


def tables_emptied() -> Sequence[Patch]:
    """Set all weights of the tables written in every third slot to 0."""
    original = UpdateScheduler.write_table

    def write_table(
        self: UpdateScheduler,
        table: Table,
        users: list[int],
        weights: Rates,
        levels: dict[int, interface.AdmissionLevel],
    ) -> None:
        """Replacement for `UpdateScheduler.write_table`."""
        slot = self.slot.number
        if slot >= FIRST_EMPTIED_SLOT and slot % EMPTIED_SLOT_INTERVAL == 0:
            weights = dict.fromkeys((*weights, *table.sent), 0.0)
        original(self, table, users, weights, levels)

    return [Patch(UpdateScheduler, "write_table", write_table)]


def queue_unbounded() -> Sequence[Patch]:
    """Let the channel always have free capacity."""
    return [Patch(ChannelBudget, "free_lines", returns(math.inf))]


def message_cap_ignored() -> Sequence[Patch]:
    """Remove the limit on messages to one proxy from the policy and from the connections."""
    return [
        Patch(ChannelBudget, "may_send_message", returns(True)),
        Patch(RateLimiter, "delay", returns(0.0)),
    ]


def message_cap_by_stream() -> Sequence[Patch]:
    """Limit messages per stream instead of per proxy, so that a new stream starts a new count."""

    def limiter(self: SocketTransport, _proxy: int) -> RateLimiter:
        """Replacement for `SocketTransport.limiter`."""
        return RateLimiter(self.settings.message_cap, self.settings.message_window)

    return [
        Patch(SocketTransport, "limiter", limiter),
        Patch(ChannelBudget, "may_send_message", returns(True)),
    ]


POLICY_DEFECTS: tuple[Defect, ...] = (
    Defect(
        "drain-ignored",
        "policy",
        (Rule.DRAINS,),
        draining_taken_as_ready,
        "a draining server counts as ready",
    ),
    Defect(
        "gone-kept",
        "policy",
        (Rule.DRAINS,),
        removed_servers_kept,
        "servers that left the list stay in tables",
    ),
    Defect(
        "removals-late",
        "policy",
        (Rule.DRAINS,),
        removals_never_sent,
        "lines that go are never sent",
    ),
    Defect(
        "cold-as-warm",
        "policy",
        (Rule.COLD,),
        no_slow_start,
        "a started server gets its full share at once",
    ),
    Defect(
        "cold-share-tenfold",
        "policy",
        (Rule.COLD,),
        slow_start_share_exceeded,
        "the cold limit is taken times ten",
    ),
    Defect(
        "repeats-ordered",
        "policy",
        (Rule.ONCE,),
        retries_without_condition,
        "proxies try again after any failure",
    ),
    Defect(
        "never-bound",
        "policy",
        (Rule.SERVED, Rule.DRAINS),
        joined_proxies_ignored,
        "joined proxies get no tables",
    ),
    Defect(
        "one-class-bound",
        "policy",
        (Rule.SERVED, Rule.DRAINS, Rule.AGREES),
        one_class_assigned,
        "only the first class gets its table",
    ),
    Defect(
        "tables-emptied",
        "policy",
        (Rule.SERVED,),
        tables_emptied,
        "tables lose all their lines at times",
    ),
    Defect(
        "queue-unbounded",
        "policy",
        (Rule.QUEUE,),
        queue_unbounded,
        "the channel's limit is not kept",
    ),
    Defect(
        "cap-ignored",
        "policy and wire",
        (Rule.CAP,),
        message_cap_ignored,
        "nobody counts the messages to a proxy",
    ),
    Defect(
        "cap-by-stream",
        "policy and wire",
        (Rule.CAP,),
        message_cap_by_stream,
        "a new stream begins a new count",
    ),
)
