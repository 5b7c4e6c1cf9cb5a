"""What planners count as having been notified of by discovery, whether the bytes came or not."""

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
    """A record as the checker takes it."""
    return ListedEndpoint(record.availability, record.zone, record.kind, record.warm_at * 1000.0, record.started_at)


class Notifications:
    """Feeds the checker with what planners without relays are notified of.

    Attributes:
        reachable_since: By planner: since when it could have been notified, in s.
        notified_generation: By planner: the newest generation that it was notified of.
    """

    def __init__(self, context: SimulationContext, discovery: Discovery, planners: Sequence[PlannerHost]) -> None:
        self.context = context
        self.discovery = discovery
        self.planners = planners
        self.reachable_since: dict[int, float] = {}
        self.notified_generation: dict[int, int] = {}

    def planner_started(self, planner: int) -> None:
        """A planner begins with the list as it is now."""
        self.mark_reachable(planner)
        self.notified_generation[planner] = self.discovery.generation

    def mark_reachable(self, planner: int) -> None:
        """The way to discovery is open from now on."""
        self.reachable_since[planner] = self.context.loop.now

    def generations_restarted(self) -> None:
        """Discovery has restarted its generations: any is newer now."""
        for planner in self.planners:
            self.notified_generation[planner.number] = 0

    def update_received(self, planner: int | None, update: SentUpdate) -> None:
        """A planner has taken what discovery wrote.

        An update of an older generation than known counts only where it is not superseded by what is known.
        """
        checker = self.context.checker
        if planner is None or planner not in checker.planners:
            return
        notified = self.notified_generation.get(planner, 0)
        overtaken = not update.complete and update.generation < notified
        view = checker.planners[planner]
        for record in update.records:
            listed = listed_endpoint(record)
            if not (overtaken and view.is_outdated(record.name, listed)):
                checker.endpoint_notified(planner, self.context.now_ms(), record.name, listed)
        if update.complete:
            self.remove_unnamed(planner, {record.name for record in update.records})
        self.notified_generation[planner] = max(update.generation, notified)

    def remove_unnamed(self, planner: int, named: set[str]) -> None:
        """A complete list does not name some servers that a planner knows: they are removed."""
        checker = self.context.checker
        known = checker.planners[planner].listed
        for name, entry in [item for item in known.items() if item[0] not in named]:
            removed = replace(entry, availability=Availability.REMOVED)
            checker.endpoint_notified(planner, self.context.now_ms(), name, removed)

    def update_sent(self, call: DiscoveryCall, update: SentUpdate) -> None:
        """What was written counts as received after a while, where the path is open, whether it arrived or not."""
        self.context.schedule_after(NOTIFICATION_DEADLINE_MS / 1000.0, self.count_as_received, call, update)

    def count_as_received(self, call: DiscoveryCall, update: SentUpdate) -> None:
        """The time has passed after which an update counts."""
        if call.planner is None or update not in call.pending_updates or call.transport is None:
            return
        if self.can_be_reached(call.planner, update.written_at):
            self.update_received(call.planner, update)

    def can_be_reached(self, planner: int, since: float) -> bool:
        """Whether discovery has been within a planner's reach all the time since (s)."""
        host = self.planners[planner]
        return (
            host.running
            and not host.machine.stalled
            and not self.discovery.fault
            and self.reachable_since.get(planner, 0.0) <= since
            and not self.context.network.is_cut_between(host.machine, self.discovery.machine)
        )

    def expect_polls(self) -> None:
        """The list has changed: planners that neither watch nor poll in time count as notified."""
        delay = self.context.shape.list_poll_deadline / 1000.0 + NOTIFICATION_DEADLINE_MS / 1000.0
        self.context.schedule_after(delay, self.poll_deadline_passed, self.discovery.generation, self.context.loop.now)

    def poll_deadline_passed(self, generation: int, since: float) -> None:
        """Planners that could have polled since a generation came up count as having received the list."""
        for host in self.planners:
            notified = self.notified_generation.get(host.number, 0)
            is_behind = notified < generation <= self.discovery.generation
            if self.can_be_reached(host.number, since) and is_behind:
                records = tuple(self.discovery.records.values())
                update = SentUpdate(0, records, True, self.discovery.generation, since)
                self.update_received(host.number, update)
