"""Notifications of planners: which changes of the endpoint list a planner counts as informed about."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from stackwheel.interface import Availability
from stackwheel.rules.views import ListedEndpoint
from stackwheel.rules.violations import NOTIFICATION_DEADLINE_MS
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.discovery import Discovery, DiscoveryCall
from stackwheel.trials.discovery_records import SentUpdate, ServerRecord
from stackwheel.trials.planners import PlannerHost


def listed_endpoint(record: ServerRecord) -> ListedEndpoint:
    """Convert a record to the form that the checker uses."""
    return ListedEndpoint(record.availability, record.zone, record.kind, record.warm_at * 1000.0, record.started_at)


class Notifications:
    """Reports to the checker which changes planners are notified of, in trials without relays.

    A planner counts as notified when it has received an update, and also when a deadline has passed during which it
    could have received the update.

    Attributes:
        reachable_since: By planner: time since which the discovery service can reach it, in s.
        notified_generation: By planner: newest generation that it was notified of.
    """

    def __init__(self, context: SimulationContext, discovery: Discovery, planners: Sequence[PlannerHost]) -> None:
        self.context = context
        self.discovery = discovery
        self.planners = planners
        self.reachable_since: dict[int, float] = {}
        self.notified_generation: dict[int, int] = {}

    def planner_started(self, planner: int) -> None:
        """Register that a planner has started with the current endpoint list."""
        self.mark_reachable(planner)
        self.notified_generation[planner] = self.discovery.generation

    def mark_reachable(self, planner: int) -> None:
        """Register that the path between a planner and the discovery service is open from now on."""
        self.reachable_since[planner] = self.context.loop.now

    def generations_restarted(self) -> None:
        """Reset the notified generations after the discovery service has restarted its numbering."""
        for planner in self.planners:
            self.notified_generation[planner.number] = 0

    def update_received(self, planner: int | None, update: SentUpdate) -> None:
        """Report to the checker the changes of an update that a planner has received.

        A change of an older generation is reported only for servers whose known state it does not contradict.
        """
        checker = self.context.checker
        if planner is None or planner not in checker.planners:
            return
        notified = self.notified_generation.get(planner, 0)
        is_superseded = not update.complete and update.generation < notified
        view = checker.planners[planner]
        for record in update.records:
            listed = listed_endpoint(record)
            if not (is_superseded and view.is_outdated(record.name, listed)):
                checker.endpoint_notified(planner, self.context.now_ms(), record.name, listed)
        if update.complete:
            self.remove_unnamed(planner, {record.name for record in update.records})
        self.notified_generation[planner] = max(update.generation, notified)

    def remove_unnamed(self, planner: int, named: set[str]) -> None:
        """Report to the checker the removal of servers that a planner knows but a complete list does not contain."""
        checker = self.context.checker
        known_servers = checker.planners[planner].listed
        for name, entry in [item for item in known_servers.items() if item[0] not in named]:
            removed = replace(entry, availability=Availability.REMOVED)
            checker.endpoint_notified(planner, self.context.now_ms(), name, removed)

    def update_sent(self, call: DiscoveryCall, update: SentUpdate) -> None:
        """Schedule the time from which a written update counts as received."""
        self.context.schedule_after(NOTIFICATION_DEADLINE_MS / 1000.0, self.count_as_received, call, update)

    def count_as_received(self, call: DiscoveryCall, update: SentUpdate) -> None:
        """Report an update to the checker as received if the planner could be reached since it was written."""
        if call.planner is None or update not in call.pending_updates or call.transport is None:
            return
        if self.can_be_reached(call.planner, update.written_at):
            self.update_received(call.planner, update)

    def can_be_reached(self, planner: int, since: float) -> bool:
        """Return whether the discovery service could reach a planner continuously since a time in s."""
        host = self.planners[planner]
        return (
            host.running
            and not host.machine.stalled
            and not self.discovery.fault
            and self.reachable_since.get(planner, 0.0) <= since
            and not self.context.network.is_cut_between(host.machine, self.discovery.machine)
        )

    def expect_polls(self) -> None:
        """Schedule the time from which all reachable planners count as notified of the current list."""
        delay = self.context.shape.list_poll_deadline / 1000.0 + NOTIFICATION_DEADLINE_MS / 1000.0
        self.context.schedule_after(delay, self.apply_poll_deadline, self.discovery.generation, self.context.loop.now)

    def apply_poll_deadline(self, generation: int, since: float) -> None:
        """Report the current list to the checker as received by planners that were reachable since a time in s."""
        for host in self.planners:
            notified = self.notified_generation.get(host.number, 0)
            is_behind = notified < generation <= self.discovery.generation
            if self.can_be_reached(host.number, since) and is_behind:
                records = tuple(self.discovery.records.values())
                update = SentUpdate(0, records, True, self.discovery.generation, since)
                self.update_received(host.number, update)
