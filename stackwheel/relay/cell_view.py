"""One cell's share of the endpoint list: its entries, and a compacted log of their changes.

The log keeps the last change of each server, not every change: a watcher that resumes after a generation needs to
know the present state, not how it came about. The change of a listed server is its entry. Those of removed servers
are kept up to a bound.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from stackwheel.endpoints import MAX_LIST_AGE_MS, MIN_REMOVED_SERVER_LIMIT, REMOVED_SERVER_LIMIT_PER_LISTED, Instance
from stackwheel.interface import Availability
from stackwheel.relay.encoding import encode_instance, encode_line, encode_unreadable

MAX_NEWER_GENERATIONS = 64  # generations ahead of this relay that are remembered: four a planner of a cell of 16
MAX_CACHED_DELTAS = 16  # encoded deltas, one a generation that is resumed after: one a planner of the cell
NO_GENERATION = -1  # below every generation


@dataclass(frozen=True, slots=True)
class EntryChange:
    """The last change of a server.

    Attributes:
        instance: the entry since then.
        encoded: the entry, encoded.
        generation: the generation that brought the change.
        generation_already_sent: whether the generation had been sent to watchers before: a watcher that has it may
            lack this change.
    """

    instance: Instance
    encoded: bytes
    generation: int
    generation_already_sent: bool


class CellView:
    """Entries and log of one cell. Generations are the discovery service's, times are ms.

    Attributes:
        listed: the change of each listed server, by name.
        removed: the change of each removed server that is remembered, the oldest first.
        log_start: the log has all changes after this generation.
        retired_generation: the highest generation of a numbering that the discovery service has given up.
        newer_generations: generations that callers know and this relay does not, with the time (ms) of the first call.
        encoded_entries: the listed entries, encoded; None after a change.
        deltas: encoded deltas by the generation that they begin after.
        deltas_generation: the generation that `deltas` lead to.
    """

    def __init__(self, generation: int) -> None:
        self.listed: dict[str, EntryChange] = {}
        self.removed: dict[str, EntryChange] = {}
        self.log_start = generation
        self.retired_generation = NO_GENERATION
        self.newer_generations: dict[int, float] = {}
        self.encoded_entries: bytes | None = None
        self.deltas: dict[int, bytes] = {}
        self.deltas_generation = generation

    def record(self, instance: Instance, generation: int, generation_already_sent: bool) -> bytes:
        """Record a change, a removal if the instance is removed; the encoded entry."""
        name = instance.name
        change = EntryChange(instance, encode_instance(instance), generation, generation_already_sent)
        self.listed.pop(name, None)
        self.removed.pop(name, None)
        changes = self.removed if instance.availability is Availability.REMOVED else self.listed
        changes[name] = change
        self._forget_removed()
        self._invalidate_encodings()
        return change.encoded

    def record_removal(self, name: str, generation: int, generation_already_sent: bool) -> bytes | None:
        """Record that a server has left the cell; the encoded entry, None if it was not in it."""
        if name not in self.listed:
            return None
        instance = replace(self.listed[name].instance, availability=Availability.REMOVED)
        return self.record(instance, generation, generation_already_sent)

    def reset(self, instances: Iterable[Instance], generation: int, retired_generation: int = NO_GENERATION) -> None:
        """Replace all entries, with a log that starts here."""
        self.listed = {
            instance.name: EntryChange(instance, encode_instance(instance), generation, False) for instance in instances
        }
        self.removed.clear()
        self.newer_generations.clear()
        self.log_start = generation
        self.retired_generation = retired_generation
        self._invalidate_encodings()

    def can_resume(self, since: int) -> bool:
        """Whether the log has all changes after a generation.

        A generation that may be of a numbering which the discovery service has given up says nothing.
        """
        return since >= self.log_start and since > max(0, self.retired_generation)

    def delta(self, since: int, generation: int) -> bytes:
        """The line with what changed after a generation that can be resumed, up to the present one."""
        if generation != self.deltas_generation:
            self.deltas.clear()
            self.deltas_generation = generation
        line = self.deltas.get(since)
        if line is None:
            line = encode_line(generation, False, self._changed_after(since))
            if len(self.deltas) < MAX_CACHED_DELTAS:
                self.deltas[since] = line
        return line

    def snapshot(self, generation: int, unreadable: Iterable[str]) -> bytes:
        """The line with all entries, and with those that could not be read."""
        if self.encoded_entries is None:
            self.encoded_entries = b",".join(change.encoded for change in self.listed.values())
        entries = [self.encoded_entries] if self.encoded_entries else []
        return encode_line(generation, True, entries + [encode_unreadable(name) for name in unreadable])

    def may_catch_up(self, since: int, now: float) -> bool:
        """Whether a generation ahead of this relay may still reach it: the other replica may be ahead.

        Where it does not arrive while a list can be that old, the discovery service has restarted its generations.
        """
        first_call = self.newer_generations.get(since)
        if first_call is None:
            if len(self.newer_generations) >= MAX_NEWER_GENERATIONS:
                self.newer_generations.pop(next(iter(self.newer_generations)))
            first_call = now
            self.newer_generations[since] = first_call
        return now < first_call + MAX_LIST_AGE_MS

    def _changed_after(self, since: int) -> list[bytes]:
        return [
            change.encoded
            for changes in (self.removed, self.listed)
            for change in changes.values()
            if change.generation > since or (change.generation_already_sent and change.generation == since)
        ]

    def _forget_removed(self) -> None:
        limit = max(MIN_REMOVED_SERVER_LIMIT, REMOVED_SERVER_LIMIT_PER_LISTED * len(self.listed))
        while len(self.removed) > limit:
            name = next(iter(self.removed))
            forgotten = self.removed.pop(name)
            # a watcher that has this generation may lack a change that was recorded after the generation was sent
            complete_after = forgotten.generation + forgotten.generation_already_sent
            self.log_start = max(self.log_start, complete_after)

    def _invalidate_encodings(self) -> None:
        self.encoded_entries = None
        self.deltas.clear()
