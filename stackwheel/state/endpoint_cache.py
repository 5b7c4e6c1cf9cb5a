"""The endpoints as this planner knows them: discovery's lists in, updates for the policy out."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import islice

from loguru import logger

from stackwheel.endpoints import (
    MAX_LIST_AGE_MS,
    MIN_REMOVED_SERVER_LIMIT,
    REMOVED_SERVER_LIMIT_PER_LISTED,
    EndpointList,
    EntryFreshness,
    Instance,
    KnownProcess,
    StaleSnapshot,
    entry_freshness,
    latest_by_name,
)
from stackwheel.interface import Availability, EndpointEntry, EndpointUpdate, ServerId, UpdateKind
from stackwheel.state.server_ids import ServerIds, server_id

MAX_ZONE_LOGGED = 40
"""Characters of an unknown zone's name that are logged."""


class EndpointCache:
    """The endpoint list as known now, with what has left it lately; owned by the planner actor.

    Attributes:
        zones: zone names by number.
        kinds: names of kinds by number; an unknown kind gets the number after the last.
        server_ids: names by id, of all that is listed or remembered here.
        removal_is_advisory: whether the policy may go on using what has left the list.
        generation: that of the list as known.
        entries: the listed servers; bounded by what discovery lists.
        addresses: where this planner reaches them; one for each of `entries`.
        removed: when the process of each removed server had started, the oldest removal first. The owner forgets
            those of `excess_removed` that nothing names any more; each of them may return.
        restarted: those of `entries` that had an earlier process under the same id.
        stale_snapshot: a complete list that is deferred, if any; for `MAX_LIST_AGE_MS` at most.
        refetch_needed: whether a deferred list was overtaken by changes: if discovery had started its generations
            again, the servers that left by that list are not known.
    """

    def __init__(
        self, zones: tuple[str, ...], kinds: tuple[str, ...], ids: ServerIds, removal_is_advisory: bool = False
    ) -> None:
        self.zones = zones
        self.kinds = kinds
        self.server_ids = ids
        self.removal_is_advisory = removal_is_advisory
        self.generation = 0
        self.entries: dict[ServerId, EndpointEntry] = {}
        self.addresses: dict[ServerId, str] = {}
        self.removed: dict[ServerId, float] = {}
        self.restarted: dict[ServerId, None] = {}
        self.stale_snapshot: StaleSnapshot | None = None
        self.refetch_needed = False

    # Lists in

    def apply(self, endpoint_list: EndpointList, now: float = 0.0) -> EndpointUpdate:
        """Apply a list that discovery has sent; the cost of changes grows with what they name, not with the list.

        Args:
            endpoint_list: the list.
            now: ms on the planner's clock.

        Returns:
            The event that notifies the policy.
        """
        received = replace(endpoint_list, instances=latest_by_name(endpoint_list.instances))
        late_drains = self._late_drains(received) if self.removal_is_advisory else []
        accepted = self.discard_stale(received, now)
        entries = [entry for instance in accepted.instances if (entry := self.entry(instance)) is not None]
        listed = {entry.server: entry for entry in entries if entry.availability is not Availability.REMOVED}
        removed = {entry.server: entry.started_at for entry in entries if entry.availability is Availability.REMOVED}
        self._note_restarts(listed.values())
        if accepted.complete:
            retained = self._unreadable_entries(accepted, {entry.server for entry in entries})
            still_listed = {**retained, **listed}
            removed |= self._unlisted(still_listed)
            entries += retained.values()
            self.entries = still_listed
        else:
            self.entries |= listed
        self._record_removals(removed)
        for server in listed:
            self.removed.pop(server, None)
        self.generation = accepted.generation
        kind = UpdateKind.FULL if accepted.complete else UpdateKind.DELTA
        return EndpointUpdate(kind, accepted.generation, (*entries, *late_drains))

    def discard_stale(self, received: EndpointList, now: float) -> EndpointList:
        """Reduce a list of an older generation than is known to what still counts.

        Of changes that is what is `EntryFreshness.NEW`: anything else would bring back what has left since. A
        complete list with entries that are `REVIVED` is an older state, as a fetch that a watch has overtaken
        gives it: it counts like changes, and is deferred. Where nothing newer arrives while a list can be that
        old, discovery has started its generations again and the list holds, see `confirmed_snapshot`.
        """
        if received.generations_restarted or received.generation >= self.generation:
            self._drop_deferred(received)
            return received
        compared = [(instance, self._freshness(instance)) for instance in received.instances]
        if not received.complete:
            if self.stale_snapshot is not None:
                self.stale_snapshot.advance(received)
        elif any(freshness is EntryFreshness.REVIVED for _, freshness in compared):
            self._defer(received, now)
        else:
            self.stale_snapshot = None
            return received
        fresh = tuple(instance for instance, freshness in compared if freshness is EntryFreshness.NEW)
        return EndpointList(self.generation, False, fresh)

    def confirmed_snapshot(self, now: float) -> EndpointList | None:
        """The complete list that was deferred, once nothing newer can be in transit; it is to be applied."""
        if self.stale_snapshot is None or now < self.stale_snapshot.first_received_at + MAX_LIST_AGE_MS:
            return None
        return self.stale_snapshot.endpoint_list()

    def take_refetch_needed(self) -> bool:
        """Whether the complete list has to be fetched; true once each time that it has."""
        needed = self.refetch_needed
        self.refetch_needed = False
        return needed

    def entry(self, instance: Instance) -> EndpointEntry | None:
        """Translate an instance for the policy and note its address; None if it has to be left out."""
        if instance.zone not in self.zones:
            logger.warning(
                "endpoint left out: server={} reason=unknown zone {}", instance.name, instance.zone[:MAX_ZONE_LOGGED]
            )
            return None
        server = self.server_ids.register(instance.name)
        if server is None:
            return None
        self.addresses[server] = instance.address
        return EndpointEntry(
            server=server,
            zone=self.zones.index(instance.zone),
            kind=self.kinds.index(instance.kind) if instance.kind in self.kinds else len(self.kinds),
            cell=instance.cell,
            availability=instance.availability,
            weight=instance.weight,
            started_at=instance.started_at,
        )

    # Questions

    def cached_update(self) -> EndpointUpdate:
        """The event that notifies a policy that starts of the list as known."""
        return EndpointUpdate(UpdateKind.CACHED, self.generation, tuple(self.entries.values()))

    def failed_update(self) -> EndpointUpdate:
        """The event that notifies the policy that a call for the list has failed."""
        return EndpointUpdate(UpdateKind.FAILED, self.generation)

    def predates_current_process(self, server: ServerId, since: float) -> bool:
        """Whether what was measured at a server from `since` (ms) on may be of an earlier process under its id."""
        entry = self.entries.get(server)
        return entry is not None and server in self.restarted and since < entry.started_at

    def excess_removed(self) -> list[ServerId]:
        """The removed servers beyond the bound, to be forgotten once nothing names them."""
        bound = max(MIN_REMOVED_SERVER_LIMIT, REMOVED_SERVER_LIMIT_PER_LISTED * len(self.entries))
        return list(islice(self.removed, max(0, len(self.removed) - bound)))

    def forget(self, server: ServerId) -> None:
        """Forget a removed server and its name."""
        self.removed.pop(server, None)
        self.server_ids.forget(server)

    # Steps

    def _known_process(self, server: ServerId) -> KnownProcess | None:
        """The latest process known under an id, listed or removed."""
        entry = self.entries.get(server)
        if entry is not None:
            return KnownProcess(entry.availability, entry.started_at)
        started_at = self.removed.get(server)
        return None if started_at is None else KnownProcess(Availability.REMOVED, started_at)

    def _freshness(self, instance: Instance) -> EntryFreshness:
        return entry_freshness(instance, self._known_process(server_id(instance.name)))

    def _late_drains(self, received: EndpointList) -> list[EndpointEntry]:
        """Drains of processes that have left since, from changes of an older generation.

        Drains bind where removals do not. These are for the policy alone, which may still send there; what has
        left is not listed again.
        """
        if received.generations_restarted or received.complete or received.generation >= self.generation:
            return []
        draining = [one for one in received.instances if one.availability is Availability.DRAINING]
        departed = [one for one in draining if self.removed.get(server_id(one.name)) == one.started_at]
        entries = [entry for instance in departed if (entry := self.entry(instance)) is not None]
        for entry in entries:
            self.addresses.pop(entry.server, None)
        return entries

    def _drop_deferred(self, received: EndpointList) -> None:
        """Drop the deferred list, which one that is not older supersedes; after changes a complete one is needed."""
        overtaken = self.refetch_needed or self.stale_snapshot is not None
        self.refetch_needed = not received.complete and overtaken
        self.stale_snapshot = None

    def _defer(self, received: EndpointList, now: float) -> None:
        logger.warning(
            "endpoint list deferred: generation={} duration_s={:g} reason=it lists servers that drain or have left "
            "by generation {}",
            received.generation,
            MAX_LIST_AGE_MS / 1000.0,
            self.generation,
        )
        first_received_at = now if self.stale_snapshot is None else self.stale_snapshot.first_received_at
        self.stale_snapshot = StaleSnapshot.from_list(received, first_received_at)

    def _unreadable_entries(self, complete: EndpointList, read: set[ServerId]) -> dict[ServerId, EndpointEntry]:
        """Known servers that a complete list may name in an entry that can't be used: they have not left."""
        named = {server_id(name) for name in complete.unreadable}
        named |= {server_id(instance.name) for instance in complete.instances}  # of an unknown zone, say
        any_server = "" in complete.unreadable
        return {
            server: entry
            for server, entry in self.entries.items()
            if server not in read and (any_server or server in named)
        }

    def _unlisted(self, listed: dict[ServerId, EndpointEntry]) -> dict[ServerId, float]:
        """The known servers that are not among these, and when their processes had started."""
        return {server: entry.started_at for server, entry in self.entries.items() if server not in listed}

    def _note_restarts(self, listed: Iterable[EndpointEntry]) -> None:
        for entry in listed:
            known = self._known_process(entry.server)
            if known is not None and entry.started_at > known.started_at:
                self.restarted[entry.server] = None

    def _record_removals(self, removed: dict[ServerId, float]) -> None:
        for server, started_at in removed.items():
            self.entries.pop(server, None)
            self.removed[server] = started_at
            self.addresses.pop(server, None)
            self.restarted.pop(server, None)
