"""The list of servers as this planner last had it."""

from __future__ import annotations

from dataclasses import replace
from itertools import islice

from loguru import logger

from stackwheel import interface as face
from stackwheel.endpoints import (
    MAX_LIST_AGE,
    MIN_REMOVED_KEPT,
    REMOVED_KEPT_RATIO,
    EndpointList,
    EntryFreshness,
    Instance,
    KnownProcess,
    StaleSnapshot,
    entry_freshness,
    latest_by_name,
)
from stackwheel.interface import Availability, EndpointEntry, Server, UpdateKind
from stackwheel.state.server_ids import ServerIds, server_id


class EndpointCache:
    def __init__(
        self, zones: tuple[str, ...], kinds: tuple[str, ...], ids: ServerIds, removal_is_advisory: bool = False
    ) -> None:
        self.zones, self.kinds, self.server_ids = zones, kinds, ids
        self.removal_is_advisory = removal_is_advisory  # then the policy goes on with what has left
        self.generation = 0
        self.entries: dict[Server, EndpointEntry] = {}
        self.addresses: dict[Server, str] = {}  # where this planner reaches them
        self.removed: dict[Server, float] = {}  # when each had started, the first to go first; each may return
        self.renewed: dict[Server, None] = {}  # the present ones that had an earlier process under the same id
        self.stale_snapshot: StaleSnapshot | None = None
        self.unresolved = False  # changes passed a doubted list: if it had begun anew, who left by it is not known

    def apply(self, listing: EndpointList, now: float = 0.0) -> face.EndpointUpdate:
        """Take a listing in; the event that tells the policy of it. Changes cost by what they name, not by the list."""
        listing = replace(listing, instances=latest_by_name(listing.instances))
        late_drains = self.late_drains(listing) if self.removal_is_advisory else []
        listing = self.newer(listing, now)
        entries = [entry for instance in listing.instances if (entry := self.entry(instance)) is not None]
        here = {e.server: e for e in entries if e.availability is not Availability.REMOVED}
        gone = {e.server: e.started_at for e in entries if e.availability is Availability.REMOVED}
        self.renewed |= dict.fromkeys(s for s, e in here.items() if e.started_at > self.last_start(s, e.started_at))
        if listing.complete:
            kept = self.unread(listing, {e.server for e in entries})
            gone |= {s: e.started_at for s, e in self.entries.items() if s not in here and s not in kept}
            entries += kept.values()
            self.entries = {**kept, **here}
        else:
            self.entries |= here
        for server, started in gone.items():
            self.entries.pop(server, None)
            self.removed[server] = started
            self.addresses.pop(server, None)
            self.renewed.pop(server, None)
        for server in here:
            self.removed.pop(server, None)
        self.generation = listing.generation
        scope = UpdateKind.FULL if listing.complete else UpdateKind.DELTA
        return face.EndpointUpdate(scope, listing.generation, (*entries, *late_drains))

    def late_drains(self, listing: EndpointList) -> list[EndpointEntry]:
        """Drains that an older generation tells of processes that have left: they bind, where departures do not.

        They are for the policy alone, which may still send there; what has left is not listed again.
        """
        if listing.generations_restarted or listing.complete or listing.generation >= self.generation:
            return []
        drains = [one for one in listing.instances if one.availability is Availability.DRAINING]
        found = [self.entry(one) for one in drains if self.removed.get(server_id(one.name)) == one.started_at]
        entries = [entry for entry in found if entry is not None]
        for entry in entries:
            self.addresses.pop(entry.server, None)
        return entries

    def unread(self, listing: EndpointList, read: set[Server]) -> dict[Server, EndpointEntry]:
        """Known servers that a whole list may name in an entry which could not be read: that is no departure."""
        named = {server_id(name) for name in listing.unreadable}
        named |= {server_id(one.name) for one in listing.instances}  # an unknown zone, say
        return {s: e for s, e in self.entries.items() if s not in read and ("" in listing.unreadable or s in named)}

    def newer(self, listing: EndpointList, now: float) -> EndpointList:
        """Of an older generation than is known, what still counts.

        Of changes that is what is `EntryFreshness.NEW`: anything else would bring back what has left since. A whole
        list that revives a process which left or drains is an older state, as a fetch that a watch has overtaken
        tells it: it counts like changes. Where no newer word comes while a list can be that old, discovery
        has begun anew, and what it says holds.
        """
        if listing.generations_restarted or listing.generation >= self.generation:
            self.unresolved = not listing.complete and (self.unresolved or self.stale_snapshot is not None)
            self.stale_snapshot = None
            return listing
        words = [(one, self.freshness(one)) for one in listing.instances]
        if self.stale_snapshot is not None and not listing.complete:
            self.stale_snapshot.advance(listing)
        elif listing.complete and all(word is not EntryFreshness.REVIVED for _, word in words):
            self.stale_snapshot = None
            return listing
        elif listing.complete:
            logger.warning(
                "list {} revives what left by list {}: it is believed only if nothing newer comes for {:g} s",
                listing.generation,
                self.generation,
                MAX_LIST_AGE / 1000.0,
            )
            self.stale_snapshot = StaleSnapshot.from_list(
                listing, now if self.stale_snapshot is None else self.stale_snapshot.first_received_at
            )
        return EndpointList(self.generation, False, tuple(one for one, word in words if word is EntryFreshness.NEW))

    def settled(self, now: float) -> EndpointList | None:
        """A whole list that was held for an older state, once nothing newer can be on its way."""
        if self.stale_snapshot is None or now < self.stale_snapshot.first_received_at + MAX_LIST_AGE:
            return None
        return self.stale_snapshot.endpoint_list()

    def lacks_whole(self) -> bool:
        """Whether a whole list has to be asked for; true once for each time that there is need."""
        unresolved, self.unresolved = self.unresolved, False
        return unresolved

    def last_start(self, server: Server, default: float) -> float:
        """When the process last known under that id had started, whether it is here or gone."""
        known = self.entries.get(server)
        return known.started_at if known is not None else self.removed.get(server, default)

    def freshness(self, instance: Instance) -> EntryFreshness:
        """What an older generation's entry still tells beside what is known."""
        return entry_freshness(instance, self.known_process(server_id(instance.name)))

    def known_process(self, server: Server) -> KnownProcess | None:
        """The latest process known under that id, listed or removed."""
        if (entry := self.entries.get(server)) is not None:
            return KnownProcess(entry.availability, entry.started_at)
        if (started_at := self.removed.get(server)) is not None:
            return KnownProcess(Availability.REMOVED, started_at)
        return None

    def past(self, server: Server, began: float) -> bool:
        """Whether what was met since then may be of a former process under that id."""
        entry = self.entries.get(server)
        return entry is not None and server in self.renewed and began < entry.started_at

    def entry(self, instance: Instance) -> EndpointEntry | None:
        if instance.zone not in self.zones:
            logger.warning("discovery lists {} in unknown zone {}; left out", instance.name, instance.zone[:40])
            return None
        server = self.server_ids.learn(instance.name)
        if server is None:
            return None
        self.addresses[server] = instance.address
        kind = self.kinds.index(instance.kind) if instance.kind in self.kinds else len(self.kinds)
        return EndpointEntry(
            server,
            self.zones.index(instance.zone),
            kind,
            instance.cell,
            instance.availability,
            instance.weight,
            instance.started_at,
        )

    def outdated(self) -> list[Server]:
        """The gone servers beyond the bound, which are forgotten once nothing names them."""
        most = max(MIN_REMOVED_KEPT, REMOVED_KEPT_RATIO * len(self.entries))
        return list(islice(self.removed, max(0, len(self.removed) - most)))

    def forget(self, server: Server) -> None:
        self.removed.pop(server, None)
        self.server_ids.forget(server)

    def cached(self) -> face.EndpointUpdate:
        """The present list, for a policy that starts from it."""
        return face.EndpointUpdate(UpdateKind.CACHED, self.generation, tuple(self.entries.values()))

    def failed(self) -> face.EndpointUpdate:
        return face.EndpointUpdate(UpdateKind.FAILED, self.generation)
