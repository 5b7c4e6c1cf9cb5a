"""The endpoint list of one cell and a compacted log of its changes.

The log contains only the last change to the entry of each server, because a watcher that resumes after a generation
needs the current state and not the history. For a listed server, this change is the current entry. For removed
servers, a limited number of removals is remembered.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from stackwheel.endpoints import MAX_LIST_AGE_MS, MIN_REMOVED_SERVER_LIMIT, REMOVED_SERVER_LIMIT_PER_LISTED, Instance
from stackwheel.interface import Availability
from stackwheel.relay.encoding import encode_instance, encode_line, encode_unreadable

MAX_NEWER_GENERATIONS = 64
"""Maximum number of remembered generations that clients already have and this relay has not received yet.

It is four for each planner of a cell of 16.
"""

MAX_CACHED_DELTAS = 16
"""Maximum number of cached encoded deltas, each of which starts after a different generation.

It is one for each planner of a cell of 16.
"""

NO_GENERATION = -1
"""A value below every generation, for an attribute that has no generation."""


@dataclass(frozen=True, slots=True)
class EntryChange:
    """The last change to a server's entry.

    Attributes:
        instance: the entry after the change.
        encoded: the encoded entry.
        generation: the generation of the endpoint list that contains the change.
        generation_already_sent: whether watchers had received this generation before the change was recorded, so that
            they need the change although they already have the generation.
    """

    instance: Instance
    encoded: bytes
    generation: int
    generation_already_sent: bool


class CellView:
    """The entries and the change log of one cell, with the generations that the discovery service assigns.

    Attributes:
        listed: the last change to the entry of each listed server, by server name.
        removed: the removal of each remembered removed server, by server name, oldest first.
        log_start: the generation after which the log contains all changes.
        retired_generation: the highest generation that the discovery service reached before a restart of its
            numbering; `NO_GENERATION` without a restart.
        newer_generations: the generations that clients already have and this relay has not received yet, each with
            the time of the first request that stated it, ms.
        encoded_entries: the cached encoding of all listed entries; None if it is outdated.
        cached_deltas: the cached encoded deltas, by the generation after which they start.
        cached_deltas_generation: the generation at which the cached deltas end.
    """

    def __init__(self, generation: int) -> None:
        self.listed: dict[str, EntryChange] = {}
        self.removed: dict[str, EntryChange] = {}
        self.log_start = generation
        self.retired_generation = NO_GENERATION
        self.newer_generations: dict[int, float] = {}
        self.encoded_entries: bytes | None = None
        self.cached_deltas: dict[int, bytes] = {}
        self.cached_deltas_generation = generation

    def record(self, instance: Instance, generation: int, generation_already_sent: bool) -> bytes:
        """Record a change to a server's entry, which may be its removal, and return the encoded entry."""
        name = instance.name
        change = EntryChange(instance, encode_instance(instance), generation, generation_already_sent)
        self.listed.pop(name, None)
        self.removed.pop(name, None)
        changes = self.removed if instance.availability is Availability.REMOVED else self.listed
        changes[name] = change
        self._evict_removed()
        self._invalidate_encodings()
        return change.encoded

    def record_removal(self, name: str, generation: int, generation_already_sent: bool) -> bytes | None:
        """Record that a server has left the cell and return the encoded entry, or None if the server is not listed."""
        if name not in self.listed:
            return None
        instance = replace(self.listed[name].instance, availability=Availability.REMOVED)
        return self.record(instance, generation, generation_already_sent)

    def reset(self, instances: Iterable[Instance], generation: int, retired_generation: int = NO_GENERATION) -> None:
        """Replace all entries and start the change log at a generation."""
        self.listed = {
            instance.name: EntryChange(instance, encode_instance(instance), generation, False) for instance in instances
        }
        self.removed.clear()
        self.newer_generations.clear()
        self.log_start = generation
        self.retired_generation = retired_generation
        self._invalidate_encodings()

    def can_resume(self, since: int) -> bool:
        """Return whether the log contains all changes after a generation.

        Generations up to `retired_generation` are ambiguous, because they may belong to an earlier numbering.
        """
        return since >= self.log_start and since > max(0, self.retired_generation)

    def delta(self, since: int, generation: int) -> bytes:
        """Return the encoded changes after a resumable generation, up to the current generation."""
        if generation != self.cached_deltas_generation:
            self.cached_deltas.clear()
            self.cached_deltas_generation = generation
        line = self.cached_deltas.get(since)
        if line is None:
            line = encode_line(generation, False, self._changed_after(since))
            if len(self.cached_deltas) < MAX_CACHED_DELTAS:
                self.cached_deltas[since] = line
        return line

    def snapshot(self, generation: int, unreadable: Iterable[str]) -> bytes:
        """Return the encoded complete list, including placeholders for unreadable entries."""
        if self.encoded_entries is None:
            self.encoded_entries = b",".join(change.encoded for change in self.listed.values())
        entries = [self.encoded_entries] if self.encoded_entries else []
        return encode_line(generation, True, entries + [encode_unreadable(name) for name in unreadable])

    def may_catch_up(self, since: int, now: float) -> bool:
        """Return whether this relay may still receive a newer generation, which a client got from another relay.

        If the relay does not receive the generation within the maximum age of a list, the discovery service has
        restarted its generations.
        """
        first_requested_at = self.newer_generations.get(since)
        if first_requested_at is None:
            if len(self.newer_generations) >= MAX_NEWER_GENERATIONS:
                self.newer_generations.pop(next(iter(self.newer_generations)))
            first_requested_at = now
            self.newer_generations[since] = first_requested_at
        return now < first_requested_at + MAX_LIST_AGE_MS

    def _changed_after(self, since: int) -> list[bytes]:
        return [
            change.encoded
            for changes in (self.removed, self.listed)
            for change in changes.values()
            if change.generation > since or (change.generation_already_sent and change.generation == since)
        ]

    def _evict_removed(self) -> None:
        limit = max(MIN_REMOVED_SERVER_LIMIT, REMOVED_SERVER_LIMIT_PER_LISTED * len(self.listed))
        while len(self.removed) > limit:
            name = next(iter(self.removed))
            evicted = self.removed.pop(name)
            # A watcher that has this generation may not have received a change that was recorded after the
            # generation was sent.
            complete_after = evicted.generation + evicted.generation_already_sent
            self.log_start = max(self.log_start, complete_after)

    def _invalidate_encodings(self) -> None:
        self.encoded_entries = None
        self.cached_deltas.clear()
