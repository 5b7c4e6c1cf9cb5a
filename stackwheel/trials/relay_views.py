"""What planners have been told through relays, as the network shows it, and whether they hold it at the end."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from stackwheel.cells.assignment import service_of
from stackwheel.interface import Availability
from stackwheel.rules.violations import NOTIFICATION_DEADLINE, Rule
from stackwheel.trials.discovery import LIFECYCLES, Record
from stackwheel.trials.network import Transport

if TYPE_CHECKING:
    from stackwheel.trials.planners import PlannerHost
    from stackwheel.trials.relays import RelayHost
    from stackwheel.trials.world import World

STATES = {word: state for state, word in LIFECYCLES.items()}
ORDER = {Availability.READY: 0, Availability.DRAINING: 1, Availability.REMOVED: 2}
HELD_WITHIN = 1.0  # s from being told until a planner holds it: several of its batches
LISTING = b'{"generation"'
Step = tuple[float, int]  # when a process started, and how far it has come
Ways = Mapping[tuple[int, int], tuple[float, int, int]]


def step_of(record: Record) -> Step:
    return record.started, ORDER[record.state]


def ways_open_since(ways: Ways, planner: int) -> float | None:
    """Since when one and the same relay has led from discovery to a planner, in s; None where none does."""
    return min((since for (_, to), (since, _, _) in ways.items() if to == planner), default=None)


class Reading:
    """One connection from a relay to a planner: what has been told on it."""

    def __init__(self) -> None:
        self.half = b""
        self.generation = -1
        self.known: dict[str, Step] = {}

    def lines(self, data: bytes) -> list[dict[str, Any]]:
        """The listings that have come whole."""
        *lines, self.half = (self.half + data).split(b"\n")
        return [json.loads(line) for line in lines if line.startswith(LISTING)]


class RelayViews:
    """Feeds the checker with what relays told planners, and looks at what may not be told at all."""

    def __init__(self, world: World, cell: str) -> None:
        self.world, self.cell = world, cell
        self.readings: dict[Transport, Reading] = {}
        self.pending: dict[int, deque[tuple[float, tuple[Record, ...]]]] = {}  # by planner: written when (s), what
        self.amiss: dict[tuple[int, int], dict[str, float]] = {}  # by planner and life: what it lacks, since when (s)
        self.history: dict[str, list[Record]] = {}  # all that the registry has said of a server
        self.told: dict[int, dict[str, int]] = {}  # by planner and server: the last place in that which it was told
        self.remember(tuple(world.discovery.records.values()))

    def break_part(self, detail: str, planner: int | None, server: str | None = None) -> None:
        self.world.checker.break_rule(self.world.ms(), Rule.PART, detail, planner, None, server)

    # what counts as told, whether it came or not

    def planner_up(self, planner: int) -> None:
        """It begins with the list as it is now."""
        self.told[planner] = {name: len(said) - 1 for name, said in self.history.items()}
        self.pending[planner] = deque()

    def remember(self, records: Sequence[Record]) -> None:
        for record in records:
            self.history.setdefault(record.name, []).append(record)

    def place_of(self, name: str, step: Step) -> int:
        """The last place at which the registry has said this of a server; -1 if it never has."""
        said = self.history.get(name, [])
        return next((place for place in reversed(range(len(said))) if step_of(said[place]) == step), -1)

    def changed(self, records: Sequence[Record]) -> None:
        self.remember(records)
        readable = tuple(one for one in records if one.name not in self.world.discovery.unreadable)
        for waiting in self.pending.values():
            waiting.append((self.world.loop.now, readable))

    def forget(self, names: Sequence[str]) -> None:
        """What was told of servers whose entries can't be read from here on; they are told once more later."""
        for planner, waiting in self.pending.items():
            left = ((at, tuple(one for one in records if one.name not in names)) for at, records in waiting)
            self.pending[planner] = deque(left)

    def pass_time(self, planner: int, open_since: float | None) -> None:
        """A change counts as told 6 s after it was written, where a way has been open for as long as a planner may
        take to ask, and those 6 s."""
        waiting = self.pending.get(planner)
        if not waiting or open_since is None or planner not in self.world.checker.planners:
            return
        now = self.world.loop.now
        settled = open_since + (self.world.shape.ask_within + NOTIFICATION_DEADLINE) / 1000.0
        while waiting and now >= max(waiting[0][0] + NOTIFICATION_DEADLINE / 1000.0, settled):
            for record in waiting.popleft()[1]:
                self.tell(planner, record)

    def tell(self, planner: int, record: Record) -> None:
        """A planner is told what the registry says of a server in the registry's order: what is older than what it
        has been told already obliges it to nothing."""
        places = self.told.setdefault(planner, {})
        place = next(n for n, one in reversed(list(enumerate(self.history[record.name]))) if one is record)
        if planner in self.world.checker.planners and place > places.get(record.name, -1):
            places[record.name] = place
            self.world.checker.endpoint_notified(planner, self.world.ms(), record.name, self.world.listed(record))

    # what came

    def taken(self, planner: int, end: Transport, data: bytes) -> None:
        """A planner has taken bytes of a relay's answer."""
        if len(self.readings) > 256:
            self.readings = {one: reading for one, reading in self.readings.items() if not one.lost}
        reading = self.readings.setdefault(end, Reading())
        for listing in reading.lines(data):
            self.read(planner, reading, listing)

    def read(self, planner: int, reading: Reading, listing: dict[str, Any]) -> None:
        generation, whole = listing["generation"], listing["reset"]
        if not whole and generation < reading.generation:
            self.break_part(f"told changes of {generation} after {reading.generation}", planner)
        reading.generation = generation
        named: dict[str, None] = {}
        for entry in listing["instances"]:
            name = entry.get("instanceId", "")
            if name and name in named:
                self.break_part(f"{name} stands twice in list {generation}", planner, name)
            named[name] = None
            if "lifecycle" in entry:
                self.read_entry(planner, reading, entry)
        if whole and "" not in named and planner in self.world.checker.planners:
            for name in [name for name in self.world.checker.planners[planner].listed if name not in named]:
                self.told_gone(planner, name)

    def read_entry(self, planner: int, reading: Reading, entry: dict[str, Any]) -> None:
        name, state, started = entry["instanceId"], STATES[entry["lifecycle"]], float(entry["startedAtMs"])
        if service_of(name) != self.cell:
            self.break_part(f"told of {name} of another cell", planner, name)
            return
        step = started, ORDER[state]
        former = reading.known.get(name, step)
        if step < former and self.place_of(name, step) < self.place_of(name, former):
            self.break_part(f"{name} goes back from {former} to {step}", planner, name)
        reading.known[name] = step
        self.told_step(planner, name, step)

    def told_gone(self, planner: int, name: str) -> None:
        """A whole list lacks a server."""
        gone = [one for one in self.history.get(name, []) if one.state is Availability.REMOVED]
        if gone:
            self.tell(planner, gone[-1])

    def told_step(self, planner: int, name: str, step: Step) -> None:
        place = self.place_of(name, step)
        if place >= 0:
            self.tell(planner, self.history[name][place])

    # what planners hold

    def look(self, planner: PlannerHost) -> None:
        """What a planner has been told, and the registry still says, it holds: nothing is lost or taken backwards."""
        key, now = (planner.number, planner.lives), self.world.loop.now
        if not planner.running or planner.machine.still or planner.number not in self.world.checker.planners:
            self.amiss.pop(key, None)
            return
        before, found = self.amiss.get(key, {}), {}
        for name, why in self.lacks(planner).items():
            found[name] = before.get(name, now)
            if now - found[name] >= HELD_WITHIN:
                self.break_part(f"{name} {why} for {now - found[name]:.1f} s", planner.number, name)
        self.amiss[key] = found

    def lacks(self, planner: PlannerHost) -> dict[str, str]:
        """By server, what is wrong with it in a planner's list."""
        assert planner.service is not None
        roster, registry = planner.service.endpoints, self.world.discovery.records
        held = {roster.server_ids.name(server) or "": entry for server, entry in roster.entries.items()}
        told = self.world.checker.planners[planner.number].listed
        found: dict[str, str] = {}
        for name, listed in told.items():
            present = registry.get(name)
            if present is None or present.warm_at * 1000.0 != listed.warm_at:
                continue  # what the registry says of it now has not been told yet
            if name not in held:
                found[name] = "was told and is not held"
            elif held[name].started_at != present.started:
                found[name] = "was told as another process than is held"
            elif listed.availability is present.state is Availability.DRAINING is not held[name].availability:
                found[name] = "was told to drain and is held as ready"
        for name in held:
            if name not in told and name not in registry:
                found[name] = "was told to have left and is held"
        return found

    def compare_all(self, part: Mapping[str, Record], relays: Sequence[RelayHost]) -> None:
        """Entry by entry: each planner and each relay against the registry."""
        for planner in self.world.hosts:
            self.compare(part, self.held_by(planner), planner.number, str(planner.machine))
        for relay in relays:
            assert relay.service is not None
            held = {one.name: (one.availability, one.started_at) for one in relay.service.cache.instances.values()}
            everything = {r.name: (r.state, r.started) for r in self.world.discovery.records.values()}
            for name in sorted(name for name in {*held, *everything} if held.get(name) != everything.get(name)):
                self.break_part(
                    f"{relay.machine} holds {held.get(name)}, the registry {everything.get(name)}", None, name
                )

    def held_by(self, planner: PlannerHost) -> dict[str, tuple[object, ...]]:
        if planner.service is None:
            return {}
        roster = planner.service.endpoints
        return {
            roster.server_ids.name(server) or str(server): (
                entry.availability,
                entry.started_at,
                entry.zone,
                entry.kind,
                entry.weight,
                roster.addresses.get(server),
            )
            for server, entry in roster.entries.items()
        }

    def compare(self, part: Mapping[str, Record], held: Mapping[str, object], planner: int, who: str) -> None:
        wanted = {r.name: (r.state, r.started, r.zone, r.kind, 1.0, r.host) for r in part.values()}
        for name in sorted(name for name in {*held, *wanted} if held.get(name) != wanted.get(name)):
            self.break_part(f"{who} holds {held.get(name)}, the registry {wanted.get(name)}", planner, name)
