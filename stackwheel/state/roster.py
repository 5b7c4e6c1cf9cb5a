"""The list of servers as this planner last had it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum, auto
from itertools import islice

from loguru import logger

from stackwheel import interface as face
from stackwheel.interface import Availability, EndpointEntry, Server, UpdateKind
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


class Word(Enum):
    """What an older generation's entry says beside the process known under its name."""

    NEWS = auto()  # a process not known yet, or that the one known drains or has left
    REVIVAL = auto()  # of a process that drains or has left since, that it is there as before
    NOTHING = auto()  # what is known already, or of a process that a later one has followed


@dataclass(slots=True)
class Doubt:
    """A whole list of older state that revives something, brought forward by the changes since."""

    since: float  # ms: when the first such list came
    generation: int
    instances: dict[str, Instance]
    unreadable: set[str]

    @classmethod
    def of(cls, listing: Listing, since: float) -> Doubt:
        return cls(since, listing.generation, {one.name: one for one in listing.instances}, set(listing.unreadable))

    def advance(self, changes: Listing) -> None:
        self.generation = changes.generation
        self.instances.update((one.name, one) for one in changes.instances)
        self.unreadable |= changes.unreadable

    def listing(self) -> Listing:
        return Listing(self.generation, True, tuple(self.instances.values()), frozenset(self.unreadable), anew=True)


class Roster:
    def __init__(
        self, zones: tuple[str, ...], kinds: tuple[str, ...], ids: Ids, only_draining_binds: bool = False
    ) -> None:
        self.zones, self.kinds, self.ids = zones, kinds, ids
        self.only_draining_binds = only_draining_binds  # then the policy goes on with what has left
        self.generation = 0
        self.entries: dict[Server, EndpointEntry] = {}
        self.addresses: dict[Server, str] = {}  # where this planner reaches them
        self.gone: dict[Server, float] = {}  # when each had started, the first to go first; each may return
        self.renewed: dict[Server, None] = {}  # the present ones that had an earlier process under the same id
        self.doubt: Doubt | None = None
        self.unresolved = False  # changes passed a doubted list: if it had begun anew, who left by it is not known

    def apply(self, listing: Listing, now: float = 0.0) -> face.EndpointUpdate:
        """Take a listing in; the event that tells the policy of it. Changes cost by what they name, not by the list."""
        listing = replace(listing, instances=latest(listing.instances))
        late_drains = self.late_drains(listing) if self.only_draining_binds else []
        listing = self.newer(listing, now)
        entries = [entry for instance in listing.instances if (entry := self.entry(instance)) is not None]
        here = {e.server: e for e in entries if e.availability is not Availability.REMOVED}
        gone = {e.server: e.started_at for e in entries if e.availability is Availability.REMOVED}
        self.renewed |= dict.fromkeys(s for s, e in here.items() if e.started_at > self.last_start(s, e.started_at))
        if listing.whole:
            kept = self.unread(listing, {e.server for e in entries})
            gone |= {s: e.started_at for s, e in self.entries.items() if s not in here and s not in kept}
            entries += kept.values()
            self.entries = {**kept, **here}
        else:
            self.entries |= here
        for server, started in gone.items():
            self.entries.pop(server, None)
            self.gone[server] = started
            self.addresses.pop(server, None)
            self.renewed.pop(server, None)
        for server in here:
            self.gone.pop(server, None)
        self.generation = listing.generation
        scope = UpdateKind.FULL if listing.whole else UpdateKind.DELTA
        return face.EndpointUpdate(scope, listing.generation, (*entries, *late_drains))

    def late_drains(self, listing: Listing) -> list[EndpointEntry]:
        """Drains that an older generation tells of processes that have left: they bind, where departures do not.

        They are for the policy alone, which may still send there; what has left is not listed again.
        """
        if listing.anew or listing.whole or listing.generation >= self.generation:
            return []
        drains = [one for one in listing.instances if one.availability is Availability.DRAINING]
        found = [self.entry(one) for one in drains if self.gone.get(digest(one.name)) == one.started]
        entries = [entry for entry in found if entry is not None]
        for entry in entries:
            self.addresses.pop(entry.server, None)
        return entries

    def unread(self, listing: Listing, read: set[Server]) -> dict[Server, EndpointEntry]:
        """Known servers that a whole list may name in an entry which could not be read: that is no departure."""
        named = {digest(name) for name in listing.unreadable}
        named |= {digest(one.name) for one in listing.instances}  # an unknown zone, say
        return {s: e for s, e in self.entries.items() if s not in read and ("" in listing.unreadable or s in named)}

    def newer(self, listing: Listing, now: float) -> Listing:
        """Of an older generation than is known, what still counts.

        Of changes that is what is `Word.NEWS`: anything else would bring back what has left since. A whole list
        that revives a process which left or drains is an older state, as a fetch that a watch has overtaken
        tells it: it counts like changes. Where no newer word comes while a list can be that old, discovery
        has begun anew, and what it says holds.
        """
        if listing.anew or listing.generation >= self.generation:
            self.unresolved = not listing.whole and (self.unresolved or self.doubt is not None)
            self.doubt = None
            return listing
        words = [(one, self.word(one)) for one in listing.instances]
        if self.doubt is not None and not listing.whole:
            self.doubt.advance(listing)
        elif listing.whole and all(word is not Word.REVIVAL for _, word in words):
            self.doubt = None
            return listing
        elif listing.whole:
            logger.warning(
                "list {} revives what left by list {}: it is believed only if nothing newer comes for {:g} s",
                listing.generation,
                self.generation,
                STALE_MOST / 1000.0,
            )
            self.doubt = Doubt.of(listing, now if self.doubt is None else self.doubt.since)
        return Listing(self.generation, False, tuple(one for one, word in words if word is Word.NEWS))

    def settled(self, now: float) -> Listing | None:
        """A whole list that was held for an older state, once nothing newer can be on its way."""
        if self.doubt is None or now < self.doubt.since + STALE_MOST:
            return None
        return self.doubt.listing()

    def lacks_whole(self) -> bool:
        """Whether a whole list has to be asked for; true once for each time that there is need."""
        unresolved, self.unresolved = self.unresolved, False
        return unresolved

    def last_start(self, server: Server, default: float) -> float:
        """When the process last known under that id had started, whether it is here or gone."""
        known = self.entries.get(server)
        return known.started_at if known is not None else self.gone.get(server, default)

    def word(self, instance: Instance) -> Word:
        """What an older generation's entry still tells beside what is known."""
        server = digest(instance.name)
        known = self.entries.get(server)
        if (known is None and server not in self.gone) or instance.started > self.last_start(server, 0.0):
            return Word.NEWS
        if known is None:
            return Word.NOTHING if instance.availability is Availability.REMOVED else Word.REVIVAL
        if instance.availability is Availability.READY:
            return Word.REVIVAL if known.availability is Availability.DRAINING else Word.NOTHING
        return Word.NEWS if instance.started == known.started_at else Word.NOTHING

    def past(self, server: Server, began: float) -> bool:
        """Whether what was met since then may be of a former process under that id."""
        entry = self.entries.get(server)
        return entry is not None and server in self.renewed and began < entry.started_at

    def entry(self, instance: Instance) -> EndpointEntry | None:
        if instance.zone not in self.zones:
            logger.warning("discovery lists {} in unknown zone {}; left out", instance.name, instance.zone[:40])
            return None
        server = self.ids.learn(instance.name)
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
            instance.started,
        )

    def outdated(self) -> list[Server]:
        """The gone servers beyond the bound, which are forgotten once nothing names them."""
        most = max(GONE_LEAST, GONE_SHARE * len(self.entries))
        return list(islice(self.gone, max(0, len(self.gone) - most)))

    def forget(self, server: Server) -> None:
        self.gone.pop(server, None)
        self.ids.forget(server)

    def cached(self) -> face.EndpointUpdate:
        """The present list, for a policy that starts from it."""
        return face.EndpointUpdate(UpdateKind.CACHED, self.generation, tuple(self.entries.values()))

    def failed(self) -> face.EndpointUpdate:
        return face.EndpointUpdate(UpdateKind.FAILED, self.generation)
