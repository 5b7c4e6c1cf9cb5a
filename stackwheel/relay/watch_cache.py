"""The core of a relay: the discovery service's list in, lines for the watchers of each cell out.

`WatchCache` is a state machine over values. Each method takes an event and the time (ms, of one clock that never
goes back) and returns what is to be done; it does no I/O. Generations are the discovery service's.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

from stackwheel.endpoints import (
    MAX_LIST_AGE_MS,
    EndpointList,
    EntryFreshness,
    Instance,
    KnownProcess,
    StaleSnapshot,
    entry_freshness,
    latest_by_name,
)
from stackwheel.interface import Availability
from stackwheel.relay.cell_view import NO_GENERATION, CellView
from stackwheel.relay.encoding import encode_line
from stackwheel.relay.messages import (
    Action,
    Answer,
    Delta,
    EndWatches,
    SendDelta,
    SendSnapshot,
    SnapshotRequired,
    UnavailableError,
)
from stackwheel.relay.upstream_liveness import UpstreamLiveness

Locate = Callable[[str, str], str | None]  # name and zone of a server: the cell of the plan that it belongs to

MAX_UNREADABLE_NAMES = 64  # of entries that can't be read; beyond it any server may be one of them
PLAN_PROPAGATION_MS = 60_000.0  # all relays have read a new plan by then, see docs/relay.md

# Bodies of 503 responses: part of what is on the wire.
CELL_SERVED_ELSEWHERE = "the cell is served elsewhere"
NO_LIST_YET = "no list yet"
UPSTREAM_LOST = "the registry is lost"
BEHIND_CALLER = "behind what the caller knows"


@dataclass(slots=True)
class PendingRestart:
    """A complete list of an older generation: a restart of the generations, if nothing newer follows.

    Attributes:
        snapshot: the list, with the changes that followed it.
        confirmation_time: ms without anything newer after which the generations count as restarted.
    """

    snapshot: StaleSnapshot
    confirmation_time: float


@dataclass(frozen=True, slots=True)
class GenerationGap:
    """Generations between two, both excluded, whose changes this relay does not know.

    A complete list came in their place, which names no server that came and went in between.
    """

    begin: int
    end: int

    def __contains__(self, generation: int) -> bool:
        return self.begin < generation < self.end


NO_GAP = GenerationGap(0, 0)


class CellEntry(NamedTuple):
    """An encoded entry, and the cell whose watchers it is for."""

    cell: str
    encoded: bytes


class WatchCache:
    """All servers that the discovery service lists, and a view for each cell that this relay serves.

    Attributes:
        locate: the cell of a server by the present plan.
        heartbeat_interval: ms between two heartbeats of a watch.
        upstream: whether the discovery service is heard from.
        generation: of the list; None: no list yet.
        instances: the listed servers of all cells by name, so that a new plan needs no new list.
        cell_by_server: the cell of each listed server that is in a served one.
        views: the view of each served cell.
        unreadable: names of unknown servers that the list may contain; "" stands for any.
        pending_restart: an older complete list that is not accepted yet.
        retired_generation: the highest generation of a numbering that the discovery service has given up.
        gap: the last generation gap.
        resume_floor: the end of the gap before it: no watch is resumed from below.
        plan_propagated_at: ms; until then the other replica may have served by another plan.
    """

    def __init__(
        self, locate: Locate, cells: Iterable[str], upstream_timeout: float, heartbeat_interval: float
    ) -> None:
        self.locate = locate
        self.heartbeat_interval = heartbeat_interval
        self.upstream = UpstreamLiveness(upstream_timeout)
        self.generation: int | None = None
        self.instances: dict[str, Instance] = {}
        self.cell_by_server: dict[str, str] = {}
        self.views = {cell: CellView(0) for cell in cells}
        self.unreadable: tuple[str, ...] = ()
        self.pending_restart: PendingRestart | None = None
        self.retired_generation = NO_GENERATION
        self.gap = NO_GAP
        self.resume_floor = 0
        self.plan_propagated_at = 0.0

    # Events

    def apply(self, endpoint_list: EndpointList, now: float) -> tuple[Action, ...]:
        """The discovery service has sent a complete list or changes. It counts as heard from."""
        self.upstream.mark_alive(now)
        endpoint_list = replace(endpoint_list, instances=latest_by_name(endpoint_list.instances))
        if self.generation is None:
            return self._apply_first(endpoint_list)
        if endpoint_list.generations_restarted:
            return self._restart_generations(endpoint_list)
        if endpoint_list.generation < self.generation:
            return self._apply_older(endpoint_list, now)
        self.pending_restart = None
        return self._apply_newer(endpoint_list, self.generation)

    def mark_upstream_alive(self, now: float) -> None:
        """The discovery service has sent a heartbeat: the list is still the present one."""
        self.upstream.mark_alive(now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Time has passed; to be called several times a heartbeat interval."""
        if self.upstream.detect_loss(now):
            for view in self.views.values():
                view.newer_generations.clear()
            return (EndWatches(tuple(self.views), "upstream lost"),)
        pending = self.pending_restart
        if pending is None or not self.upstream.is_alive(now):
            return ()
        if now < pending.snapshot.first_received_at + pending.confirmation_time:
            return ()
        return self._restart_generations(pending.snapshot.endpoint_list())

    def apply_plan(self, locate: Locate, cells: Iterable[str], now: float) -> tuple[Action, ...]:
        """Serve by another plan: the cells that this relay serves now, and the cell of each server."""
        cells = tuple(cells)
        ended = tuple(cell for cell in self.views if cell not in cells)
        # a view that starts here knows no removals: no watch from elsewhere may be resumed from before
        log_start = (self.generation or 0) + 1
        self.views = {cell: self.views.get(cell) or CellView(log_start) for cell in cells}
        self.locate = locate
        self.plan_propagated_at = now + PLAN_PROPAGATION_MS
        self.cell_by_server = {name: cell for name, cell in self.cell_by_server.items() if cell in self.views}
        moved = [
            instance
            for instance in self.instances.values()
            if self._served_cell(instance) != self.cell_by_server.get(instance.name)
        ]
        actions = self._record_changes(moved, generation_already_sent=True)
        return (EndWatches(ended, "cell served elsewhere"), *actions) if ended else actions

    # Queries

    def is_current(self, now: float) -> bool:
        """Whether the list may be served as the present one."""
        return self.generation is not None and self.upstream.is_alive(now)

    def answer(self, cell: str, since: int | None, now: float) -> Answer:
        """Answer a call for a cell's list, or for what changed after a generation that the caller knows.

        Raises:
            UnavailableError: this relay can't answer now.
        """
        view = self.views.get(cell)
        if view is None:
            raise UnavailableError(CELL_SERVED_ELSEWHERE)
        if self.generation is None:
            raise UnavailableError(NO_LIST_YET)
        if not self.is_current(now):
            raise UnavailableError(UPSTREAM_LOST)
        if since is None:
            return SnapshotRequired()
        if since > self.generation:
            if view.may_catch_up(since, now):
                raise UnavailableError(BEHIND_CALLER)
            return SnapshotRequired()
        if now < self.plan_propagated_at or self._is_unknown(since) or not view.can_resume(since):
            return SnapshotRequired()
        return Delta(view.delta(since, self.generation))

    def snapshot(self, cell: str) -> bytes | None:
        """The line with a cell's complete list as it is now; None if the cell is not served here."""
        view = self.views.get(cell)
        return None if view is None else view.snapshot(self.generation or 0, self.unreadable)

    def _is_unknown(self, generation: int) -> bool:
        return generation < self.resume_floor or generation in self.gap

    # Lists

    def _apply_first(self, endpoint_list: EndpointList) -> tuple[Action, ...]:
        """The first list: the discovery client asked for it without a generation, so it is complete in any form."""
        self._replace_all(endpoint_list, _not_removed(endpoint_list))
        return ()

    def _restart_generations(self, endpoint_list: EndpointList) -> tuple[Action, ...]:
        """The generations can't be compared with those known: all watchers get a snapshot."""
        self.pending_restart = None
        self.retired_generation = max(self.retired_generation, self.generation or 0)
        names = {instance.name for instance in endpoint_list.instances}
        kept = [
            instance
            for name, instance in self.instances.items()
            if name not in names and may_be_unreadable(name, endpoint_list.unreadable)
        ]
        self._replace_all(endpoint_list, kept + _not_removed(endpoint_list))
        return tuple(SendSnapshot(cell) for cell in self.views)

    def _replace_all(self, endpoint_list: EndpointList, listed: Iterable[Instance]) -> None:
        self.generation = endpoint_list.generation
        self.instances = {instance.name: instance for instance in listed}
        self.unreadable = ()
        self.resume_floor = 0
        self.gap = NO_GAP
        self._remember_unreadable(endpoint_list)
        self.cell_by_server = {}
        instances_by_cell: dict[str, list[Instance]] = {cell: [] for cell in self.views}
        for instance in self.instances.values():
            cell = self._served_cell(instance)
            if cell is not None:
                self.cell_by_server[instance.name] = cell
                instances_by_cell[cell].append(instance)
        for cell, view in self.views.items():
            view.reset(instances_by_cell[cell], self.generation, self.retired_generation)

    def _apply_newer(self, endpoint_list: EndpointList, former_generation: int) -> tuple[Action, ...]:
        self.generation = endpoint_list.generation
        changed = [instance for instance in endpoint_list.instances if self.instances.get(instance.name) != instance]
        if endpoint_list.complete:
            changed += self._missing_in(endpoint_list)
            self.unreadable = ()
            if self.generation > former_generation + 1:
                self.resume_floor = self.gap.end
                self.gap = GenerationGap(former_generation, self.generation)
        actions = self._record_changes(changed, generation_already_sent=self.generation == former_generation)
        self._remember_unreadable(endpoint_list)
        return actions

    def _missing_in(self, endpoint_list: EndpointList) -> list[Instance]:
        """The listed servers that a complete list lacks, as removed."""
        names = {instance.name for instance in endpoint_list.instances}
        return [
            replace(instance, availability=Availability.REMOVED)
            for name, instance in self.instances.items()
            if name not in names and not may_be_unreadable(name, endpoint_list.unreadable)
        ]

    def _apply_older(self, endpoint_list: EndpointList, now: float) -> tuple[Action, ...]:
        """Apply at once what a list of an older generation says that is new, and keep it if it is complete.

        A complete list may come from a discovery service that has restarted its generations: it is accepted once
        nothing newer follows. Two watches may cross within a heartbeat interval; a list that revives removed or
        draining processes has to wait for the longest time that any list can be old.
        """
        pending = self.pending_restart
        if endpoint_list.complete:
            first_received_at = now if pending is None else pending.snapshot.first_received_at
            snapshot = StaleSnapshot.from_list(endpoint_list, first_received_at)
            revives = self._revives_any(endpoint_list)
            self.pending_restart = PendingRestart(snapshot, MAX_LIST_AGE_MS if revives else self.heartbeat_interval)
        elif pending is not None:
            pending.snapshot.advance(endpoint_list)
        new_entries = [instance for instance in endpoint_list.instances if self._is_new(instance)]
        return self._record_changes(new_entries, generation_already_sent=True)

    def _is_new(self, instance: Instance) -> bool:
        """Whether an entry of an older generation changes what is known; one that repeats it does not."""
        known = self._known_process(instance)
        if entry_freshness(instance, known) is not EntryFreshness.NEW:
            return False
        return known != KnownProcess(instance.availability, instance.started_at)

    def _revives_any(self, endpoint_list: EndpointList) -> bool:
        """Whether a list shows a process as ready that drains, or as listed that is removed."""
        return any(
            entry_freshness(instance, self._known_process(instance)) is EntryFreshness.REVIVED
            for instance in endpoint_list.instances
        )

    def _known_process(self, instance: Instance) -> KnownProcess | None:
        """The latest process known under the name of an entry, listed or removed."""
        listed = self.instances.get(instance.name)
        if listed is not None:
            return KnownProcess(listed.availability, listed.started_at)
        cell = self._served_cell(instance)
        removal = None if cell is None else self.views[cell].removed.get(instance.name)
        return None if removal is None else KnownProcess(Availability.REMOVED, removal.instance.started_at)

    # Changes

    def _record_changes(self, changed: Iterable[Instance], generation_already_sent: bool) -> tuple[Action, ...]:
        """Record changes in the cells that they concern; one delta for each of these."""
        entries_by_cell: dict[str, list[bytes]] = {}
        for instance in changed:
            for entry in self._record_change(instance, generation_already_sent):
                entries_by_cell.setdefault(entry.cell, []).append(entry.encoded)
        generation = self.generation or 0
        return tuple(
            SendDelta(cell, encode_line(generation, False, entries)) for cell, entries in entries_by_cell.items()
        )

    def _record_change(self, instance: Instance, generation_already_sent: bool) -> list[CellEntry]:
        """Record a change; an entry for each cell that it concerns."""
        generation = self.generation or 0
        name = instance.name
        is_listed = instance.availability is not Availability.REMOVED
        former_cell = self.cell_by_server.pop(name, None)
        cell = self._served_cell(instance)
        if is_listed:
            self.instances[name] = instance
        else:
            self.instances.pop(name, None)
        entries: list[CellEntry] = []
        if former_cell is not None and former_cell != cell:
            removal = self.views[former_cell].record_removal(name, generation, generation_already_sent)
            if removal is not None:
                entries.append(CellEntry(former_cell, removal))
        if cell is not None and (is_listed or self._removal_concerns(cell, former_cell, instance)):
            if is_listed:
                self.cell_by_server[name] = cell
            entries.append(CellEntry(cell, self.views[cell].record(instance, generation, generation_already_sent)))
        return entries

    def _removal_concerns(self, cell: str, former_cell: str | None, instance: Instance) -> bool:
        """Whether the watchers of a cell are sent a removal: of its servers, or the first time of one not known."""
        if former_cell is not None:
            return former_cell == cell
        last_removal = self.views[cell].removed.get(instance.name)
        return last_removal is None or last_removal.instance != instance

    def _served_cell(self, instance: Instance) -> str | None:
        cell = self.locate(instance.name, instance.zone)
        return cell if cell in self.views else None

    def _remember_unreadable(self, endpoint_list: EndpointList) -> None:
        """Keep the names of entries that could not be read and are of no known server."""
        names = {*self.unreadable, *endpoint_list.unreadable}
        if not names:
            return
        names -= {instance.name for instance in endpoint_list.instances} | self.instances.keys()
        self.unreadable = tuple(sorted(names)) if len(names) <= MAX_UNREADABLE_NAMES else ("",)


def may_be_unreadable(name: str, unreadable: frozenset[str]) -> bool:
    """Whether an entry that could not be read may be this server's."""
    return name in unreadable or "" in unreadable


def _not_removed(endpoint_list: EndpointList) -> list[Instance]:
    return [instance for instance in endpoint_list.instances if instance.availability is not Availability.REMOVED]
