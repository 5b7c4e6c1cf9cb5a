"""The state machine of a relay: turns the endpoint lists of the discovery service into lines for watchers of cells.

`WatchCache` does no I/O. Its methods take events with the time of a monotonic clock in ms, and return the actions to
perform. A watcher is a client that receives a cell's list and its changes. A generation is the number that the
discovery service assigns to a version of its list, and that a watcher states to resume after it.
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

CellLocator = Callable[[str, str], str | None]
"""Maps the name and zone of a server to its cell in the cell plan; None if the plan has no cell for it."""

MAX_UNREADABLE_NAMES = 64
"""Maximum number of stored names of unreadable entries.

Above it, the relay stores and sends a single unreadable entry without a name, which stands for that of any server.
"""

PLAN_PROPAGATION_MS = 60_000.0
"""Time within which all relays have read a new cell plan, see docs/relay.md."""

# Bodies of 503 responses, which are part of the wire format.
CELL_SERVED_ELSEWHERE = "the cell is served elsewhere"
NO_LIST_YET = "no list yet"
UPSTREAM_LOST = "the registry is lost"
BEHIND_CALLER = "behind what the caller knows"


@dataclass(slots=True)
class PendingRestart:
    """A possible restart of the generations, after a complete list of an older generation was received.

    Attributes:
        snapshot: the list, merged with the changes that followed it.
        confirmation_time: time without a newer list after which the generations count as restarted, ms.
    """

    snapshot: StaleSnapshot
    confirmation_time: float


@dataclass(frozen=True, slots=True)
class GenerationGap:
    """A range of generations, both ends excluded, whose changes this relay has not received.

    It received a complete list instead, which does not contain servers that were added and removed within the range.
    """

    begin: int
    end: int

    def __contains__(self, generation: int) -> bool:
        return self.begin < generation < self.end


NO_GAP = GenerationGap(0, 0)


class CellEntry(NamedTuple):
    """An encoded entry and the cell whose watchers receive it."""

    cell: str
    encoded: bytes


class WatchCache:
    """All servers listed by the discovery service, and a view of each cell that this relay serves.

    Attributes:
        locate: maps the name and zone of a server to its cell in the current cell plan.
        heartbeat_interval: time between two heartbeats of a watch, ms.
        upstream: liveness of the discovery service.
        generation: generation of the list; None before the first list.
        instances: the listed servers of all cells by name, from which the views are filled when the cell plan changes.
        cell_by_server: the cell of each listed server in a served cell, by server name.
        views: the view of each served cell, by cell name.
        unreadable: names of unknown servers that have unreadable entries in the list; "" for an unknown name.
        pending_restart: a possible restart of the generations that is not confirmed yet.
        retired_generation: the highest generation that the discovery service reached before a restart of its
            numbering; `NO_GENERATION` without a restart.
        last_gap: the last gap in the received generations.
        min_resumable_generation: the end of the gap before the last one; watches are not resumed after earlier
            generations.
        plan_propagated_at: time until which other relays may serve cells by the previous plan, ms.
    """

    def __init__(
        self, locate: CellLocator, cells: Iterable[str], upstream_timeout: float, heartbeat_interval: float
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
        self.last_gap = NO_GAP
        self.min_resumable_generation = 0
        self.plan_propagated_at = 0.0

    # Events

    def apply(self, endpoint_list: EndpointList, now: float) -> tuple[Action, ...]:
        """Apply a list or delta received from the discovery service, and mark the discovery service as alive."""
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
        """Process a heartbeat from the discovery service, which confirms that the list is current."""
        self.upstream.mark_alive(now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Process the passage of time; to be called several times per heartbeat interval."""
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

    def apply_plan(self, locate: CellLocator, cells: Iterable[str], now: float) -> tuple[Action, ...]:
        """Replace the cell plan, which determines the cells that this relay serves and the cell of each server."""
        cells = tuple(cells)
        removed_cells = tuple(cell for cell in self.views if cell not in cells)
        # The view of an added cell contains no removals, so it cannot resume watches of this or an earlier generation.
        log_start = (self.generation or 0) + 1
        self.views = {cell: self.views.get(cell) or CellView(log_start) for cell in cells}
        self.locate = locate
        self.plan_propagated_at = now + PLAN_PROPAGATION_MS
        self.cell_by_server = {name: cell for name, cell in self.cell_by_server.items() if cell in self.views}
        reassigned = [
            instance
            for instance in self.instances.values()
            if self._served_cell(instance) != self.cell_by_server.get(instance.name)
        ]
        actions = self._record_changes(reassigned, generation_already_sent=True)
        return (EndWatches(removed_cells, "cell served elsewhere"), *actions) if removed_cells else actions

    # Queries

    def is_current(self, now: float) -> bool:
        """Return whether the list is known to be current and may be served."""
        return self.generation is not None and self.upstream.is_alive(now)

    def answer(self, cell: str, since: int | None, now: float) -> Answer:
        """Answer a request for the list of a cell.

        Args:
            cell: name of the cell.
            since: the generation of the client's list; None if the client has no list.
            now: current time, ms.

        Raises:
            UnavailableError: this relay cannot answer the request at present.
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
        if now < self.plan_propagated_at or self._is_in_gap(since) or not view.can_resume(since):
            return SnapshotRequired()
        return Delta(view.delta(since, self.generation))

    def snapshot(self, cell: str) -> bytes | None:
        """Return the encoded complete list of a cell, or None if this relay does not serve the cell."""
        view = self.views.get(cell)
        return None if view is None else view.snapshot(self.generation or 0, self.unreadable)

    def _is_in_gap(self, generation: int) -> bool:
        return generation < self.min_resumable_generation or generation in self.last_gap

    # Lists

    def _apply_first(self, endpoint_list: EndpointList) -> tuple[Action, ...]:
        """Apply the first list, which is complete even as a delta because it was requested without a generation."""
        self._replace_all(endpoint_list, _not_removed(endpoint_list))
        return ()

    def _restart_generations(self, endpoint_list: EndpointList) -> tuple[Action, ...]:
        """Replace the list and send snapshots to all watchers, because old and new generations are not comparable."""
        self.pending_restart = None
        self.retired_generation = max(self.retired_generation, self.generation or 0)
        names = {instance.name for instance in endpoint_list.instances}
        possibly_unreadable = [
            instance
            for name, instance in self.instances.items()
            if name not in names and may_be_unreadable(name, endpoint_list.unreadable)
        ]
        self._replace_all(endpoint_list, possibly_unreadable + _not_removed(endpoint_list))
        return tuple(SendSnapshot(cell) for cell in self.views)

    def _replace_all(self, endpoint_list: EndpointList, listed_instances: Iterable[Instance]) -> None:
        self.generation = endpoint_list.generation
        self.instances = {instance.name: instance for instance in listed_instances}
        self.unreadable = ()
        self.min_resumable_generation = 0
        self.last_gap = NO_GAP
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

    def _apply_newer(self, endpoint_list: EndpointList, previous_generation: int) -> tuple[Action, ...]:
        self.generation = endpoint_list.generation
        changed = [instance for instance in endpoint_list.instances if self.instances.get(instance.name) != instance]
        if endpoint_list.complete:
            changed += self._removals_by_absence(endpoint_list)
            self.unreadable = ()
            if self.generation > previous_generation + 1:
                self.min_resumable_generation = self.last_gap.end
                self.last_gap = GenerationGap(previous_generation, self.generation)
        actions = self._record_changes(changed, generation_already_sent=self.generation == previous_generation)
        self._remember_unreadable(endpoint_list)
        return actions

    def _removals_by_absence(self, endpoint_list: EndpointList) -> list[Instance]:
        """Return the listed servers that are missing from a complete list, marked as removed."""
        names = {instance.name for instance in endpoint_list.instances}
        return [
            replace(instance, availability=Availability.REMOVED)
            for name, instance in self.instances.items()
            if name not in names and not may_be_unreadable(name, endpoint_list.unreadable)
        ]

    def _apply_older(self, endpoint_list: EndpointList, now: float) -> tuple[Action, ...]:
        """Apply the entries of an older generation that are new, and defer the whole list if it is complete.

        A complete list may come from a discovery service that has restarted its generations, and is accepted if no
        newer list follows within a waiting time. This is one heartbeat interval, within which the lists of two watches
        may arrive out of order, or the maximum age of a list if the list revives draining or removed processes.
        """
        pending = self.pending_restart
        if endpoint_list.complete:
            first_received_at = now if pending is None else pending.snapshot.first_received_at
            snapshot = StaleSnapshot.from_list(endpoint_list, first_received_at)
            revives = self._revives_any(endpoint_list)
            self.pending_restart = PendingRestart(snapshot, MAX_LIST_AGE_MS if revives else self.heartbeat_interval)
        elif pending is not None:
            pending.snapshot.advance(endpoint_list)
        new_instances = [instance for instance in endpoint_list.instances if self._is_new(instance)]
        return self._record_changes(new_instances, generation_already_sent=True)

    def _is_new(self, instance: Instance) -> bool:
        """Return whether an entry of an older generation is newer than the known state of its server."""
        known_process = self._known_process(instance)
        if entry_freshness(instance, known_process) is not EntryFreshness.NEW:
            return False
        return known_process != KnownProcess(instance.availability, instance.started_at)

    def _revives_any(self, endpoint_list: EndpointList) -> bool:
        """Return whether a list contains a draining process as ready, or a removed one as listed."""
        return any(
            entry_freshness(instance, self._known_process(instance)) is EntryFreshness.REVIVED
            for instance in endpoint_list.instances
        )

    def _known_process(self, instance: Instance) -> KnownProcess | None:
        """Return the latest known process of a server, which may have been removed."""
        listed_instance = self.instances.get(instance.name)
        if listed_instance is not None:
            return KnownProcess(listed_instance.availability, listed_instance.started_at)
        cell = self._served_cell(instance)
        last_removal = None if cell is None else self.views[cell].removed.get(instance.name)
        return None if last_removal is None else KnownProcess(Availability.REMOVED, last_removal.instance.started_at)

    # Changes

    def _record_changes(self, changed: Iterable[Instance], generation_already_sent: bool) -> tuple[Action, ...]:
        """Record changes to servers in the views of their cells, and return one delta per affected cell."""
        entries_by_cell: dict[str, list[bytes]] = {}
        for instance in changed:
            for entry in self._record_change(instance, generation_already_sent):
                entries_by_cell.setdefault(entry.cell, []).append(entry.encoded)
        generation = self.generation or 0
        return tuple(
            SendDelta(cell, encode_line(generation, False, entries)) for cell, entries in entries_by_cell.items()
        )

    def _record_change(self, instance: Instance, generation_already_sent: bool) -> list[CellEntry]:
        """Record a change to a server, and return an entry for each affected cell."""
        generation = self.generation or 0
        name = instance.name
        is_listed = instance.availability is not Availability.REMOVED
        previous_cell = self.cell_by_server.pop(name, None)
        cell = self._served_cell(instance)
        if is_listed:
            self.instances[name] = instance
        else:
            self.instances.pop(name, None)
        entries: list[CellEntry] = []
        if previous_cell is not None and previous_cell != cell:
            removal = self.views[previous_cell].record_removal(name, generation, generation_already_sent)
            if removal is not None:
                entries.append(CellEntry(previous_cell, removal))
        if cell is not None and (is_listed or self._must_send_removal(cell, previous_cell, instance)):
            if is_listed:
                self.cell_by_server[name] = cell
            entries.append(CellEntry(cell, self.views[cell].record(instance, generation, generation_already_sent)))
        return entries

    def _must_send_removal(self, cell: str, previous_cell: str | None, instance: Instance) -> bool:
        """Return whether the watchers of a cell need a removal.

        They need the removal if the server was listed in the cell, or if it was listed in no cell and the cell's view
        does not contain the same removal yet.
        """
        if previous_cell is not None:
            return previous_cell == cell
        last_removal = self.views[cell].removed.get(instance.name)
        return last_removal is None or last_removal.instance != instance

    def _served_cell(self, instance: Instance) -> str | None:
        cell = self.locate(instance.name, instance.zone)
        return cell if cell in self.views else None

    def _remember_unreadable(self, endpoint_list: EndpointList) -> None:
        """Remember the names of unreadable entries that do not belong to known servers."""
        names = {*self.unreadable, *endpoint_list.unreadable}
        if not names:
            return
        names -= {instance.name for instance in endpoint_list.instances} | self.instances.keys()
        self.unreadable = tuple(sorted(names)) if len(names) <= MAX_UNREADABLE_NAMES else ("",)


def may_be_unreadable(name: str, unreadable: frozenset[str]) -> bool:
    """Return whether one of the unreadable entries may belong to a server."""
    return name in unreadable or "" in unreadable


def _not_removed(endpoint_list: EndpointList) -> list[Instance]:
    return [instance for instance in endpoint_list.instances if instance.availability is not Availability.REMOVED]
