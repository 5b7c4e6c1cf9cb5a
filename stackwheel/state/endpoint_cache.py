"""The planner's cache of the endpoint list, which converts lists of discovery to updates for the policy."""

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

MAX_LOGGED_ZONE_CHARACTERS = 40
"""Length to which the name of an unknown zone is truncated in the log."""


class EndpointCache:
    """The cached endpoint list and the recently removed servers; owned by the planner actor.

    Attributes:
        zones: zone names by index.
        kinds: names of machine kinds by index; unknown kinds get the index after the last one.
        server_ids: names by id of all listed and remembered servers.
        removal_is_advisory: whether the policy may continue to use removed servers.
        generation: generation of the cached list.
        entries: the listed servers; their number is limited by the lists of discovery.
        addresses: addresses of the listed servers for connections from this planner; one for each of `entries`.
        removed: start times of the processes of removed servers, oldest removal first. The owner forgets the servers
            returned by `excess_removed` once nothing references them. A removed server may be listed again.
        restarted: ids of the listed servers that had an earlier process under the same id.
        stale_snapshot: a deferred complete list, if any; deferred for at most `MAX_LIST_AGE_MS`.
        refetch_needed: whether the complete list has to be fetched because changes superseded a deferred list. If
            discovery had restarted its generations, servers missing from that list may still be cached.
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

    # Received lists

    def apply(self, endpoint_list: EndpointList, now: float = 0.0) -> EndpointUpdate:
        """Apply a list of discovery; the cost of applying changes is proportional to the number of changed entries.

        Args:
            endpoint_list: the complete list or changes.
            now: time on the planner's clock, ms.

        Returns:
            The event that notifies the policy.
        """
        received = replace(endpoint_list, instances=latest_by_name(endpoint_list.instances))
        late_draining_entries = self._late_draining_entries(received) if self.removal_is_advisory else []
        accepted = self.discard_stale(received, now)
        entries = [entry for instance in accepted.instances if (entry := self.entry(instance)) is not None]
        listed = {entry.server: entry for entry in entries if entry.availability is not Availability.REMOVED}
        removed = {entry.server: entry.started_at for entry in entries if entry.availability is Availability.REMOVED}
        self._record_restarts(listed.values())
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
        return EndpointUpdate(kind, accepted.generation, (*entries, *late_draining_entries))

    def discard_stale(self, received: EndpointList, now: float) -> EndpointList:
        """Remove the entries that are out of date from a list whose generation is older than the cached one.

        Of changes, only entries that are `EntryFreshness.NEW` remain, because others would revert later changes. A
        complete list with `REVIVED` entries may be the response to a fetch that was overtaken by a watch. It is
        treated like changes, and deferred. If nothing newer arrives within the maximum age of a list in transit,
        discovery has restarted its generations and the deferred list is valid, see `confirmed_snapshot`.
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
        new_instances = tuple(instance for instance, freshness in compared if freshness is EntryFreshness.NEW)
        return EndpointList(self.generation, False, new_instances)

    def confirmed_snapshot(self, now: float) -> EndpointList | None:
        """Return the deferred complete list if it is due to be applied because nothing newer can be in transit."""
        if self.stale_snapshot is None or now < self.stale_snapshot.first_received_at + MAX_LIST_AGE_MS:
            return None
        return self.stale_snapshot.endpoint_list()

    def take_refetch_needed(self) -> bool:
        """Return whether the complete list has to be fetched, and reset that state."""
        needed = self.refetch_needed
        self.refetch_needed = False
        return needed

    def entry(self, instance: Instance) -> EndpointEntry | None:
        """Convert an instance for the policy and store its address; None if its zone is unknown or its id collides."""
        if instance.zone not in self.zones:
            logger.warning(
                "endpoint ignored: server={} reason=unknown zone {}",
                instance.name,
                instance.zone[:MAX_LOGGED_ZONE_CHARACTERS],
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

    # Queries

    def cached_update(self) -> EndpointUpdate:
        """Return the event that notifies a newly started policy of the cached list."""
        return EndpointUpdate(UpdateKind.CACHED, self.generation, tuple(self.entries.values()))

    def failed_update(self) -> EndpointUpdate:
        """Return the event that notifies the policy of a failed call for the list."""
        return EndpointUpdate(UpdateKind.FAILED, self.generation)

    def predates_current_process(self, server: ServerId, since: float) -> bool:
        """Return whether a measurement of a server that began at `since` (ms) may include an earlier process."""
        entry = self.entries.get(server)
        return entry is not None and server in self.restarted and since < entry.started_at

    def excess_removed(self) -> list[ServerId]:
        """Return the removed servers in excess of the limit, which may be forgotten once nothing references them."""
        limit = max(MIN_REMOVED_SERVER_LIMIT, REMOVED_SERVER_LIMIT_PER_LISTED * len(self.entries))
        return list(islice(self.removed, max(0, len(self.removed) - limit)))

    def forget(self, server: ServerId) -> None:
        """Forget a removed server and its name."""
        self.removed.pop(server, None)
        self.server_ids.forget(server)

    # Internals

    def _known_process(self, server: ServerId) -> KnownProcess | None:
        """Return the latest known process of a server, which is listed or removed; None if the server is unknown."""
        entry = self.entries.get(server)
        if entry is not None:
            return KnownProcess(entry.availability, entry.started_at)
        started_at = self.removed.get(server)
        return None if started_at is None else KnownProcess(Availability.REMOVED, started_at)

    def _freshness(self, instance: Instance) -> EntryFreshness:
        return entry_freshness(instance, self._known_process(server_id(instance.name)))

    def _late_draining_entries(self, received: EndpointList) -> list[EndpointEntry]:
        """Return draining entries of removed processes, from changes of an older generation.

        If removal is advisory, the policy may still use these servers and has to be notified that they are draining.
        The entries are not added to the cached list.
        """
        if received.generations_restarted or received.complete or received.generation >= self.generation:
            return []
        draining = [candidate for candidate in received.instances if candidate.availability is Availability.DRAINING]
        removed_instances = [
            candidate for candidate in draining if self.removed.get(server_id(candidate.name)) == candidate.started_at
        ]
        entries = [entry for instance in removed_instances if (entry := self.entry(instance)) is not None]
        for entry in entries:
            self.addresses.pop(entry.server, None)
        return entries

    def _drop_deferred(self, received: EndpointList) -> None:
        """Drop the deferred list, which a later list supersedes.

        If the later list contains only changes, the complete list has to be fetched.
        """
        was_deferred = self.refetch_needed or self.stale_snapshot is not None
        self.refetch_needed = not received.complete and was_deferred
        self.stale_snapshot = None

    def _defer(self, received: EndpointList, now: float) -> None:
        logger.warning(
            "endpoint list deferred: generation={} duration_s={:g} reason=it contradicts the draining "
            "or removal of servers in generation {}",
            received.generation,
            MAX_LIST_AGE_MS / 1000.0,
            self.generation,
        )
        first_received_at = now if self.stale_snapshot is None else self.stale_snapshot.first_received_at
        self.stale_snapshot = StaleSnapshot.from_list(received, first_received_at)

    def _unreadable_entries(self, complete: EndpointList, read: set[ServerId]) -> dict[ServerId, EndpointEntry]:
        """Return the cached entries of servers that a complete list contains only as unusable entries.

        These servers have not been removed. An unreadable entry without a name may be that of any server.
        """
        unusable = {server_id(name) for name in complete.unreadable}
        unusable |= {server_id(instance.name) for instance in complete.instances}  # includes those of unknown zones
        may_be_any_server = "" in complete.unreadable
        return {
            server: entry
            for server, entry in self.entries.items()
            if server not in read and (may_be_any_server or server in unusable)
        }

    def _unlisted(self, listed: dict[ServerId, EndpointEntry]) -> dict[ServerId, float]:
        """Return the start times of the processes of cached servers that are no longer listed."""
        return {server: entry.started_at for server, entry in self.entries.items() if server not in listed}

    def _record_restarts(self, listed: Iterable[EndpointEntry]) -> None:
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
