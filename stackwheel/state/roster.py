"""The list of servers as this planner last had it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import islice

from loguru import logger

from stackwheel import interface as face
from stackwheel.interface import Availability, ListScope, Server, ServerEntry
from stackwheel.state.ids import Ids, digest

GONE_LEAST, GONE_SHARE = 64, 2  # gone servers kept: this times the listed, as the policy does
STALE_MOST = 6000.0  # ms: the protocol says that whatever discovery tells counts as told after it; no list is older


@dataclass(frozen=True, slots=True)
class Instance:
    """One server as discovery lists it."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    availability: Availability
    weight: float
    started: float  # Unix ms; 0: long ago


@dataclass(frozen=True, slots=True)
class Listing:
    """An answer of discovery: the whole list, or what has changed."""

    generation: int
    whole: bool
    instances: tuple[Instance, ...]
    unreadable: frozenset[str] = frozenset()  # names of entries that were left out; "" for one without a name
    anew: bool = False  # of a discovery whose generations say nothing of those known: it moved, or began anew


def merge(held: Listing, changes: Listing) -> Listing:
    """A whole list brought forward by what changed since."""
    found = {instance.name: instance for instance in (*held.instances, *changes.instances)}
    return Listing(changes.generation, True, tuple(found.values()), held.unreadable | changes.unreadable)


def latest(instances: Iterable[Instance]) -> tuple[Instance, ...]:
    """One entry a server: of doubled ones the later process counts, of one process the last word."""
    found: dict[str, Instance] = {}
    for instance in instances:
        if instance.name not in found or instance.started >= found[instance.name].started:
            found[instance.name] = instance
    return tuple(found.values())


class Roster:
    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...], ids: Ids) -> None:
        self.zones, self.kinds, self.ids = zones, kinds, ids
        self.generation = 0
        self.entries: dict[Server, ServerEntry] = {}
        self.addresses: dict[Server, str] = {}  # where this planner reaches them
        self.gone: dict[Server, float] = {}  # when each had started, the first to go first; each may return
        self.renewed: dict[Server, None] = {}  # the present ones that had an earlier process under the same id
        self.doubted: tuple[float, Listing] | None = None  # a whole list of older state, since when

    def apply(self, listing: Listing, now: float = 0.0) -> face.ServerList:
        """Take a listing in; the event that tells the policy of it."""
        listing = self.newer(replace(listing, instances=latest(listing.instances)), now)
        entries = [entry for instance in listing.instances if (entry := self.entry(instance)) is not None]
        here = {e.server: e for e in entries if e.availability is not Availability.GONE}
        gone = {e.server: e.started for e in entries if e.availability is Availability.GONE}
        former = {**self.gone, **{s: e.started for s, e in self.entries.items()}}
        self.renewed |= dict.fromkeys(s for s, e in here.items() if e.started > former.get(s, e.started))
        if listing.whole:
            kept = self.unread(listing, {e.server for e in entries})
            gone |= {s: e.started for s, e in self.entries.items() if s not in here and s not in kept}
            entries += kept.values()
            self.entries = {**kept, **here}
        else:
            self.entries = {s: e for s, e in {**self.entries, **here}.items() if s not in gone}
        for server, started in gone.items():
            self.gone[server] = started
            self.addresses.pop(server, None)
            self.renewed.pop(server, None)
        for server in self.entries:
            self.gone.pop(server, None)
        self.generation = listing.generation
        scope = ListScope.WHOLE if listing.whole else ListScope.CHANGES
        return face.ServerList(scope, listing.generation, tuple(entries))

    def unread(self, listing: Listing, read: set[Server]) -> dict[Server, ServerEntry]:
        """Known servers that a whole list may name in an entry which could not be read: that is no departure."""
        named = {digest(name) for name in listing.unreadable}
        named |= {digest(one.name) for one in listing.instances}  # an unknown zone, say
        return {s: e for s, e in self.entries.items() if s not in read and ("" in listing.unreadable or s in named)}

    def newer(self, listing: Listing, now: float) -> Listing:
        """Of an older generation than is known, what still counts.

        Of changes that is what `counts` says: anything else would bring back what has left since. A whole list
        that revives a process which left or drains is an older state, as a fetch that a watch has overtaken
        tells it: it counts like changes. Where no newer word comes while a list can be that old, discovery
        has begun anew, and what it says holds.
        """
        if listing.anew or listing.generation >= self.generation:
            self.doubted = None
            return listing
        if self.doubted is not None and not listing.whole:
            self.doubted = self.doubted[0], merge(self.doubted[1], listing)
        elif listing.whole and not self.revives(listing):
            self.doubted = None
            return listing
        elif listing.whole:
            logger.warning(
                "list {} revives what left by list {}: it is believed only if nothing newer comes for {:g} s",
                listing.generation,
                self.generation,
                STALE_MOST / 1000.0,
            )
            self.doubted = (now if self.doubted is None else self.doubted[0]), listing
        kept = tuple(one for one in listing.instances if self.counts(one))
        return Listing(self.generation, False, kept)

    def settled(self, now: float) -> Listing | None:
        """A whole list that was held for an older state, once nothing newer can be on its way."""
        if self.doubted is None or now < self.doubted[0] + STALE_MOST:
            return None
        return replace(self.doubted[1], anew=True)

    def counts(self, instance: Instance) -> bool:
        """Whether an older generation's word of a server still tells something: of a newer process than the one
        known, of a server not known yet, or that the process known drains or has left."""
        server = digest(instance.name)
        known = self.entries.get(server)
        if known is not None and instance.started == known.started:
            return instance.availability is not Availability.READY
        started = known.started if known is not None else self.gone.get(server)
        return started is None or instance.started > started

    def revives(self, listing: Listing) -> bool:
        """Whether it has a process ready that is known to drain, or present that is known to have left."""
        for one in listing.instances:
            server = digest(one.name)
            known = self.entries.get(server)
            drains = known is not None and known.availability is Availability.DRAINING
            if drains and one.availability is Availability.READY and one.started <= known.started:  # type: ignore[union-attr]
                return True
            if one.availability is not Availability.GONE and one.started <= self.gone.get(server, -1.0):
                return True
        return False

    def past(self, server: Server, began: float) -> bool:
        """Whether what was met since then may be of a former process under that id."""
        entry = self.entries.get(server)
        return entry is not None and server in self.renewed and began < entry.started

    def entry(self, instance: Instance) -> ServerEntry | None:
        if instance.zone not in self.zones:
            logger.warning("discovery lists {} in unknown zone {}; left out", instance.name, instance.zone[:40])
            return None
        server = self.ids.learn(instance.name)
        if server is None:
            return None
        self.addresses[server] = instance.address
        kind = self.kinds.index(instance.kind) if instance.kind in self.kinds else len(self.kinds)
        return ServerEntry(
            server,
            self.zones.index(instance.zone),
            kind,
            instance.cell,
            instance.availability,
            instance.weight,
            instance.started,
        )

    def outdated(self) -> list[Server]:
        """The gone servers beyond the bound, which are forgotten once nothing names them."""
        most = max(GONE_LEAST, GONE_SHARE * len(self.entries))
        return list(islice(self.gone, max(0, len(self.gone) - most)))

    def forget(self, server: Server) -> None:
        self.gone.pop(server, None)
        self.ids.forget(server)

    def cached(self) -> face.ServerList:
        """The present list, for a policy that starts from it."""
        return face.ServerList(ListScope.CACHED, self.generation, tuple(self.entries.values()))

    def failed(self) -> face.ServerList:
        return face.ServerList(ListScope.FAILED, self.generation)
