"""Checks of the endpoint lists that relays send to planners, and of the lists that planners and relays cache.

The checks decode the bytes that planners receive from relays. They notify the rule checker of every change that a
planner has received or should have received, and report violations of `Rule.PART`.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from stackwheel.cells.assignment import service_of
from stackwheel.interface import Availability, EndpointEntry
from stackwheel.rules.views import ListedEndpoint
from stackwheel.rules.violations import NOTIFICATION_DEADLINE_MS, Rule
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.discovery import Discovery
from stackwheel.trials.discovery_records import AVAILABILITY_BY_LIFECYCLE, ServerRecord
from stackwheel.trials.notifications import listed_endpoint
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.transport import Transport

LIFECYCLE_ORDER = {Availability.READY: 0, Availability.DRAINING: 1, Availability.REMOVED: 2}
MAX_DEVIATION_S = 1.0
DOCUMENT_PREFIX = b'{"generation"'
MAX_STREAM_STATES = 256
ENTRY_WEIGHT = 1.0


class LifecycleStep(NamedTuple):
    """Progress of a server through its lifecycle; later steps compare greater.

    Attributes:
        started_at: Start of the server's process, in Unix ms.
        order: Position of its availability in `LIFECYCLE_ORDER`.
    """

    started_at: float
    order: int


class PendingChange(NamedTuple):
    """A change of the registry that a planner may not have been notified of yet.

    Attributes:
        written_at: Time at which the registry wrote the change, in s of virtual time.
        records: The changed records whose entries are decodable.
    """

    written_at: float
    records: tuple[ServerRecord, ...]


class CachedEntry(Protocol):
    """The fields of a relay's cached entry that are compared with the registry."""

    @property
    def name(self) -> str:
        """The server's name."""

    @property
    def availability(self) -> Availability:
        """Whether the server is ready, draining or removed."""

    @property
    def started_at(self) -> float:
        """Start of the server's process, in Unix ms."""


def step_of(record: ServerRecord) -> LifecycleStep:
    """Return the lifecycle step of a record."""
    return LifecycleStep(record.started_at, LIFECYCLE_ORDER[record.availability])


def find_deviation(listed: ListedEndpoint, current: ServerRecord, entry: EndpointEntry | None) -> str | None:
    """Return how a planner's entry deviates from the state that it was notified of and that is still current.

    Args:
        listed: The state that the planner was notified of.
        current: The registry's record.
        entry: The planner's entry, or None if it has none.

    Returns:
        A predicate for a violation's detail, or None if the entry does not deviate.
    """
    if entry is None:
        return "has been missing from the planner's list"
    if entry.started_at != current.started_at:
        return "has been listed as another process"
    draining = listed.availability is current.availability is Availability.DRAINING
    if draining and entry.availability is not Availability.DRAINING:
        return "has been listed as ready instead of draining"
    return None


class StreamState:
    """Progress of one connection from a relay to a planner.

    Attributes:
        partial_line: Received bytes of a line that is not complete yet.
        generation: Generation of the last document; -1 before the first one.
        steps: Last received lifecycle step, by server.
    """

    def __init__(self) -> None:
        self.partial_line = b""
        self.generation = -1
        self.steps: dict[str, LifecycleStep] = {}

    def decode_documents(self, data: bytes) -> list[dict[str, Any]]:
        """Append received bytes and decode the documents that are now complete."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        return [json.loads(line) for line in lines if line.startswith(DOCUMENT_PREFIX)]


class RelayChecks:
    """Notifies the rule checker of changes that relays sent to planners, and records violations for invalid lists.

    Attributes:
        context: The simulation.
        discovery: The registry.
        planners: All planners.
        cell: Name of the planners' cell.
        stream_states: Progress of the connections from relays to planners, by the planner's end.
        pending_changes: Changes that a planner may not have been notified of yet, by planner.
        deviations: Start of the deviation of each deviating server (s), by planner and incarnation.
        history: All records of a server that the registry has written, by server.
        last_notified: Index in the history of the last record that a planner was notified of, by planner and server.
    """

    def __init__(
        self, context: SimulationContext, discovery: Discovery, planners: Sequence[PlannerHost], cell: str
    ) -> None:
        self.context = context
        self.discovery = discovery
        self.planners = planners
        self.cell = cell
        self.stream_states: dict[Transport, StreamState] = {}
        self.pending_changes: dict[int, deque[PendingChange]] = {}
        self.deviations: dict[tuple[int, int], dict[str, float]] = {}
        self.history: dict[str, list[ServerRecord]] = {}
        self.last_notified: dict[int, dict[str, int]] = {}
        self.add_to_history(tuple(discovery.records.values()))

    def report_violation(self, detail: str, planner: int | None, server: str | None = None) -> None:
        """Report a violation of `Rule.PART`."""
        self.context.checker.report_violation(self.context.now_ms(), Rule.PART, detail, planner, None, server)

    # Changes of which planners count as notified

    def planner_started(self, planner: int) -> None:
        """Count a planner that has started as notified of the registry's current list."""
        self.last_notified[planner] = {name: len(records) - 1 for name, records in self.history.items()}
        self.pending_changes[planner] = deque()

    def add_to_history(self, records: Sequence[ServerRecord]) -> None:
        """Append records that the registry has written to the history."""
        for record in records:
            self.history.setdefault(record.name, []).append(record)

    def last_index_of(self, name: str, step: LifecycleStep) -> int:
        """Return the last index in a server's history with this step; -1 if there is none."""
        records = self.history.get(name, [])
        matching = (index for index in reversed(range(len(records))) if step_of(records[index]) == step)
        return next(matching, -1)

    def records_changed(self, records: Sequence[ServerRecord]) -> None:
        """Append a change of the registry to the history and to each planner's pending changes."""
        self.add_to_history(records)
        readable = tuple(record for record in records if record.name not in self.discovery.unreadable)
        for changes in self.pending_changes.values():
            changes.append(PendingChange(self.context.loop.now, readable))

    def discard_pending_changes(self, names: Sequence[str]) -> None:
        """Discard pending changes of servers whose entries have become undecodable; they will be sent again."""
        for planner, changes in self.pending_changes.items():
            self.pending_changes[planner] = deque(
                PendingChange(change.written_at, tuple(record for record in change.records if record.name not in names))
                for change in changes
            )

    def assume_notified(self, planner: int, open_since: float | None) -> None:
        """Count a planner as notified of pending changes whose notification deadline has passed.

        A change is skipped until a path has been open for the poll interval plus the notification deadline.

        Args:
            planner: Number of the planner.
            open_since: Start of the open path from the registry to the planner, in s; None if there is none.
        """
        changes = self.pending_changes.get(planner)
        if not changes or open_since is None or planner not in self.context.checker.planners:
            return
        now = self.context.loop.now
        deadline_s = NOTIFICATION_DEADLINE_MS / 1000.0
        settled_at = open_since + (self.context.shape.list_poll_deadline + NOTIFICATION_DEADLINE_MS) / 1000.0
        while changes and now >= max(changes[0].written_at + deadline_s, settled_at):
            for record in changes.popleft().records:
                self.notify_checker(planner, record)

    def notify_checker(self, planner: int, record: ServerRecord) -> None:
        """Notify the checker that a planner has received a record, unless it has already received a later one."""
        notified_indexes = self.last_notified.setdefault(planner, {})
        records = self.history[record.name]
        index = next(index for index in reversed(range(len(records))) if records[index] is record)
        if planner in self.context.checker.planners and index > notified_indexes.get(record.name, -1):
            notified_indexes[record.name] = index
            self.context.checker.endpoint_notified(planner, self.context.now_ms(), record.name, listed_endpoint(record))

    # Documents that planners received

    def bytes_received(self, planner: int, end: Transport, data: bytes) -> None:
        """Process bytes of a relay's answer that a planner has received."""
        if len(self.stream_states) > MAX_STREAM_STATES:
            self.stream_states = {
                transport: state for transport, state in self.stream_states.items() if not transport.lost
            }
        state = self.stream_states.setdefault(end, StreamState())
        for document in state.decode_documents(data):
            self.read_document(planner, state, document)

    def read_document(self, planner: int, state: StreamState, document: dict[str, Any]) -> None:
        """Check a list or a change that a relay sent, and notify the checker of its records."""
        generation = document["generation"]
        complete = document["reset"]
        if not complete and generation < state.generation:
            self.report_violation(
                f"relay sent a change of generation {generation} after generation {state.generation}", planner
            )
        state.generation = generation
        listed_names = self.read_entries(planner, state, document["instances"])
        view = self.context.checker.planners.get(planner)
        if complete and "" not in listed_names and view is not None:
            for name in [name for name in view.listed if name not in listed_names]:
                self.notify_removed(planner, name)

    def read_entries(self, planner: int, state: StreamState, entries: Sequence[dict[str, Any]]) -> dict[str, None]:
        """Check the entries of a list or a change; return the names of its servers, "" for an undecodable entry."""
        listed_names: dict[str, None] = {}
        for entry in entries:
            name = entry.get("instanceId", "")
            if name and name in listed_names:
                self.report_violation(f"{name} is listed twice in generation {state.generation}", planner, name)
            listed_names[name] = None
            if "lifecycle" in entry:
                self.read_entry(planner, state, entry)
        return listed_names

    def read_entry(self, planner: int, state: StreamState, entry: dict[str, Any]) -> None:
        """Check one decodable entry, and notify the checker of its record."""
        name = entry["instanceId"]
        if service_of(name) != self.cell:
            self.report_violation(f"relay sent {name}, which belongs to another cell", planner, name)
            return
        order = LIFECYCLE_ORDER[AVAILABILITY_BY_LIFECYCLE[entry["lifecycle"]]]
        step = LifecycleStep(float(entry["startedAtMs"]), order)
        previous_step = state.steps.get(name, step)
        if step < previous_step and self.last_index_of(name, step) < self.last_index_of(name, previous_step):
            self.report_violation(
                f"{name} reverted from lifecycle step {tuple(previous_step)} to {tuple(step)}", planner, name
            )
        state.steps[name] = step
        index = self.last_index_of(name, step)
        if index >= 0:
            self.notify_checker(planner, self.history[name][index])

    def notify_removed(self, planner: int, name: str) -> None:
        """Notify the checker of the removal of a server that a complete list does not contain."""
        removals = [record for record in self.history.get(name, []) if record.availability is Availability.REMOVED]
        if removals:
            self.notify_checker(planner, removals[-1])

    # Lists that planners and relays cache

    def check_planner(self, planner: PlannerHost) -> None:
        """Record a violation for each server whose entry in a planner's list has deviated for `MAX_DEVIATION_S`."""
        key = planner.number, planner.incarnation
        now = self.context.loop.now
        if not planner.running or planner.machine.stalled or planner.number not in self.context.checker.planners:
            self.deviations.pop(key, None)
            return
        previous = self.deviations.get(key, {})
        current: dict[str, float] = {}
        for name, reason in self.find_deviations(planner).items():
            since = previous.get(name, now)
            current[name] = since
            if now - since >= MAX_DEVIATION_S:
                self.report_violation(f"{name} {reason} for {now - since:.1f} s", planner.number, name)
        self.deviations[key] = current

    def find_deviations(self, planner: PlannerHost) -> dict[str, str]:
        """Return the deviations of a planner's list, by server, as predicates for a violation's detail."""
        assert planner.service is not None
        endpoints = planner.service.endpoints
        registry = self.discovery.records
        cached = {endpoints.server_ids.name(server) or "": entry for server, entry in endpoints.entries.items()}
        notified = self.context.checker.planners[planner.number].listed
        deviations: dict[str, str] = {}
        for name, listed in notified.items():
            current = registry.get(name)
            if current is None or current.warm_at * 1000.0 != listed.warm_at:
                continue  # The planner has not been notified of the current record.
            reason = find_deviation(listed, current, cached.get(name))
            if reason is not None:
                deviations[name] = reason
        for name in cached:
            if name not in notified and name not in registry:
                deviations[name] = "has been listed after its removal"
        return deviations

    def compare_planners(self, cell_records: Mapping[str, ServerRecord]) -> None:
        """Record violations for all differences between each planner's list and the registry's records of its cell."""
        expected: dict[str, object] = {
            record.name: (
                record.availability,
                record.started_at,
                record.zone,
                record.kind,
                ENTRY_WEIGHT,
                record.address,
            )
            for record in cell_records.values()
        }
        for planner in self.planners:
            self.compare(str(planner.machine), planner.number, self.endpoints_of(planner), expected)

    def compare_relay(self, relay: str, entries: Iterable[CachedEntry]) -> None:
        """Record violations for all differences between a relay's cached list and the registry's records."""
        cached: dict[str, object] = {entry.name: (entry.availability, entry.started_at) for entry in entries}
        expected: dict[str, object] = {
            record.name: (record.availability, record.started_at) for record in self.discovery.records.values()
        }
        self.compare(relay, None, cached, expected)

    def compare(
        self, cache_owner: str, planner: int | None, cached: Mapping[str, object], expected: Mapping[str, object]
    ) -> None:
        """Record a violation for each server whose cached fields differ from the registry's."""
        differing = (name for name in {*cached, *expected} if cached.get(name) != expected.get(name))
        for name in sorted(differing):
            detail = f"{cache_owner} has cached {cached.get(name)}; expected {expected.get(name)} from the registry"
            self.report_violation(detail, planner, name if planner is not None else None)

    @staticmethod
    def endpoints_of(planner: PlannerHost) -> dict[str, object]:
        """Return the fields that a planner has cached, by server."""
        if planner.service is None:
            return {}
        endpoints = planner.service.endpoints
        return {
            endpoints.server_ids.name(server) or str(server): (
                entry.availability,
                entry.started_at,
                entry.zone,
                entry.kind,
                entry.weight,
                endpoints.addresses.get(server),
            )
            for server, entry in endpoints.entries.items()
        }
