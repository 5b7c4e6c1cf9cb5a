"""What planners have been notified of through relays, as the network shows it, and whether they hold it."""

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
CACHED_WITHIN_S = 1.0  # from being notified until a planner has applied it: several of its batches
DOCUMENT_START = b'{"generation"'
MAX_STREAM_STATES = 256  # before those of closed connections are forgotten
ENTRY_WEIGHT = 1.0  # of every server


class LifecycleStep(NamedTuple):
    """How far a server has come: when its process started (Unix ms), and its place in a process's life."""

    started_at: float
    order: int


class UnnotifiedChange(NamedTuple):
    """A change that planners may not have been notified of: when it was written (s), and what it says."""

    written_at: float
    records: tuple[ServerRecord, ...]


class CachedEntry(Protocol):
    """What a relay keeps of a server, as far as it is compared."""

    @property
    def name(self) -> str:
        """The server's name."""

    @property
    def availability(self) -> Availability:
        """Whether it is ready, draining or removed."""

    @property
    def started_at(self) -> float:
        """When its process started, Unix ms."""


def step_of(record: ServerRecord) -> LifecycleStep:
    """How far a listed server has come."""
    return LifecycleStep(record.started_at, LIFECYCLE_ORDER[record.availability])


def find_deviation(listed: ListedEndpoint, present: ServerRecord, entry: EndpointEntry | None) -> str | None:
    """In what a planner's entry differs from what it was notified of and the registry still says, if it does."""
    if entry is None:
        return "was told and is not held"
    if entry.started_at != present.started_at:
        return "was told as another process than is held"
    draining = listed.availability is present.availability is Availability.DRAINING
    if draining and entry.availability is not Availability.DRAINING:
        return "was told to drain and is held as ready"
    return None


class StreamState:
    """What has been received on one connection from a relay to a planner."""

    def __init__(self) -> None:
        self.partial_line = b""
        self.generation = -1
        self.known: dict[str, LifecycleStep] = {}

    def take_documents(self, data: bytes) -> list[dict[str, Any]]:
        """Decode the lists that have come in full."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        return [json.loads(line) for line in lines if line.startswith(DOCUMENT_START)]


class RelayChecks:
    """Feeds the checker with what relays sent planners, and reports what relays may not send.

    Attributes:
        unnotified: By planner: changes that it may not have been notified of.
        deviations: By planner and incarnation: by server, since when the planner's list deviates (s).
        history: By server: all that the registry has said of it.
        last_notified: By planner and server: the last position in the history that it was notified of.
    """

    def __init__(
        self, context: SimulationContext, discovery: Discovery, planners: Sequence[PlannerHost], cell: str
    ) -> None:
        self.context = context
        self.discovery = discovery
        self.planners = planners
        self.cell = cell
        self.stream_states: dict[Transport, StreamState] = {}
        self.unnotified: dict[int, deque[UnnotifiedChange]] = {}
        self.deviations: dict[tuple[int, int], dict[str, float]] = {}
        self.history: dict[str, list[ServerRecord]] = {}
        self.last_notified: dict[int, dict[str, int]] = {}
        self.add_to_history(tuple(discovery.records.values()))

    def report(self, detail: str, planner: int | None, server: str | None = None) -> None:
        """Report that a planner does not hold its part of the registry's list."""
        self.context.checker.report_violation(self.context.now_ms(), Rule.PART, detail, planner, None, server)

    # What counts as notified, whether it came or not.

    def planner_started(self, planner: int) -> None:
        """A planner begins with the list as it is now."""
        self.last_notified[planner] = {name: len(records) - 1 for name, records in self.history.items()}
        self.unnotified[planner] = deque()

    def add_to_history(self, records: Sequence[ServerRecord]) -> None:
        """Add to the history."""
        for record in records:
            self.history.setdefault(record.name, []).append(record)

    def position_of(self, name: str, step: LifecycleStep) -> int:
        """The last position at which the registry has said this of a server; -1 if it never has."""
        records = self.history.get(name, [])
        matching = (position for position in reversed(range(len(records))) if step_of(records[position]) == step)
        return next(matching, -1)

    def records_changed(self, records: Sequence[ServerRecord]) -> None:
        """The registry has written a change."""
        self.add_to_history(records)
        readable = tuple(record for record in records if record.name not in self.discovery.unreadable)
        for changes in self.unnotified.values():
            changes.append(UnnotifiedChange(self.context.loop.now, readable))

    def discard_unnotified(self, names: Sequence[str]) -> None:
        """Entries of servers can't be read from here on: nothing of them counts until they are sent again."""
        for planner, changes in self.unnotified.items():
            self.unnotified[planner] = deque(
                UnnotifiedChange(
                    change.written_at, tuple(record for record in change.records if record.name not in names)
                )
                for change in changes
            )

    def assume_notified(self, planner: int, open_since: float | None) -> None:
        """Count changes as notified after a while, where a path has been open long enough.

        That is for as long as a planner may take until it polls, and the time until what was written counts.
        """
        changes = self.unnotified.get(planner)
        if not changes or open_since is None or planner not in self.context.checker.planners:
            return
        now = self.context.loop.now
        allowance = NOTIFICATION_DEADLINE_MS / 1000.0
        settled_at = open_since + (self.context.shape.list_poll_deadline + NOTIFICATION_DEADLINE_MS) / 1000.0
        while changes and now >= max(changes[0].written_at + allowance, settled_at):
            for record in changes.popleft().records:
                self.notify(planner, record)

    def notify(self, planner: int, record: ServerRecord) -> None:
        """A planner is notified of a statement of the registry; an older one than it has obliges it to nothing."""
        positions = self.last_notified.setdefault(planner, {})
        records = self.history[record.name]
        position = next(at for at in reversed(range(len(records))) if records[at] is record)
        if planner in self.context.checker.planners and position > positions.get(record.name, -1):
            positions[record.name] = position
            self.context.checker.endpoint_notified(planner, self.context.now_ms(), record.name, listed_endpoint(record))

    # What was received.

    def bytes_received(self, planner: int, end: Transport, data: bytes) -> None:
        """A planner has taken bytes of a relay's answer."""
        if len(self.stream_states) > MAX_STREAM_STATES:
            self.stream_states = {
                transport: state for transport, state in self.stream_states.items() if not transport.lost
            }
        state = self.stream_states.setdefault(end, StreamState())
        for document in state.take_documents(data):
            self.read_document(planner, state, document)

    def read_document(self, planner: int, state: StreamState, document: dict[str, Any]) -> None:
        """Check a list or a change that a relay sent, and note what it notifies the planner of."""
        generation = document["generation"]
        complete = document["reset"]
        if not complete and generation < state.generation:
            self.report(f"told changes of {generation} after {state.generation}", planner)
        state.generation = generation
        named = self.read_entries(planner, state, document["instances"])
        view = self.context.checker.planners.get(planner)
        if complete and "" not in named and view is not None:
            for name in [name for name in view.listed if name not in named]:
                self.notify_removed(planner, name)

    def read_entries(self, planner: int, state: StreamState, entries: Sequence[dict[str, Any]]) -> dict[str, None]:
        """Check the entries of a list or a change; return the servers named, "" for one that can't be read."""
        named: dict[str, None] = {}
        for entry in entries:
            name = entry.get("instanceId", "")
            if name and name in named:
                self.report(f"{name} stands twice in list {state.generation}", planner, name)
            named[name] = None
            if "lifecycle" in entry:
                self.read_entry(planner, state, entry)
        return named

    def read_entry(self, planner: int, state: StreamState, entry: dict[str, Any]) -> None:
        """Check one entry of a list, and note what it notifies the planner of."""
        name = entry["instanceId"]
        if service_of(name) != self.cell:
            self.report(f"told of {name} of another cell", planner, name)
            return
        order = LIFECYCLE_ORDER[AVAILABILITY_BY_LIFECYCLE[entry["lifecycle"]]]
        step = LifecycleStep(float(entry["startedAtMs"]), order)
        former = state.known.get(name, step)
        if step < former and self.position_of(name, step) < self.position_of(name, former):
            self.report(f"{name} goes back from {tuple(former)} to {tuple(step)}", planner, name)
        state.known[name] = step
        position = self.position_of(name, step)
        if position >= 0:
            self.notify(planner, self.history[name][position])

    def notify_removed(self, planner: int, name: str) -> None:
        """A complete list lacks a server."""
        removals = [record for record in self.history.get(name, []) if record.availability is Availability.REMOVED]
        if removals:
            self.notify(planner, removals[-1])

    # What planners hold.

    def check_planner(self, planner: PlannerHost) -> None:
        """What a planner was notified of, and the registry still says, it holds: nothing is lost or taken back."""
        key = planner.number, planner.incarnation
        now = self.context.loop.now
        if not planner.running or planner.machine.stalled or planner.number not in self.context.checker.planners:
            self.deviations.pop(key, None)
            return
        before = self.deviations.get(key, {})
        present: dict[str, float] = {}
        for name, reason in self.find_deviations(planner).items():
            since = before.get(name, now)
            present[name] = since
            if now - since >= CACHED_WITHIN_S:
                self.report(f"{name} {reason} for {now - since:.1f} s", planner.number, name)
        self.deviations[key] = present

    def find_deviations(self, planner: PlannerHost) -> dict[str, str]:
        """By server, what is wrong with it in a planner's list."""
        assert planner.service is not None
        endpoints = planner.service.endpoints
        registry = self.discovery.records
        cached = {endpoints.server_ids.name(server) or "": entry for server, entry in endpoints.entries.items()}
        notified = self.context.checker.planners[planner.number].listed
        deviations: dict[str, str] = {}
        for name, listed in notified.items():
            present = registry.get(name)
            if present is None or present.warm_at * 1000.0 != listed.warm_at:
                continue  # the planner has not been notified of what the registry says of it now
            reason = find_deviation(listed, present, cached.get(name))
            if reason is not None:
                deviations[name] = reason
        for name in cached:
            if name not in notified and name not in registry:
                deviations[name] = "was told to have left and is held"
        return deviations

    def compare_planners(self, cell_records: Mapping[str, ServerRecord]) -> None:
        """Compare each planner's list with its part of the registry's, entry by entry."""
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
        """Compare a relay's list with all of the registry's."""
        cached: dict[str, object] = {entry.name: (entry.availability, entry.started_at) for entry in entries}
        expected: dict[str, object] = {
            record.name: (record.availability, record.started_at) for record in self.discovery.records.values()
        }
        self.compare(relay, None, cached, expected)

    def compare(
        self, holder: str, planner: int | None, cached: Mapping[str, object], expected: Mapping[str, object]
    ) -> None:
        """Report each server that is held otherwise than the registry lists it."""
        differing = (name for name in {*cached, *expected} if cached.get(name) != expected.get(name))
        for name in sorted(differing):
            detail = f"{holder} holds {cached.get(name)}, the registry {expected.get(name)}"
            self.report(detail, planner, name if planner is not None else None)

    @staticmethod
    def endpoints_of(planner: PlannerHost) -> dict[str, object]:
        """By server, what a planner holds of it."""
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
