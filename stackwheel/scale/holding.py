"""What a hollow planner holds of the list: the planner's own roster, its entries shared within the process."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability, EndpointEntry, Server, UpdateKind
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds, server_id


class Shared:
    """What all hollow planners of a process share: zones, kinds, ids and equal entries.

    It grows with the distinct entries the process was ever told, one for each change; `sweep` drops the old ones.
    """

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones, self.kinds, self.ids = zones, kinds, ServerIds()
        self.entries: dict[EndpointEntry, EndpointEntry] = {}
        self.addresses: dict[str, str] = {}

    def entry(self, entry: EndpointEntry) -> EndpointEntry:
        """The one object for all entries equal to this one."""
        return self.entries.setdefault(entry, entry)

    def address(self, address: str) -> str:
        """The one object for all addresses equal to this one."""
        return self.addresses.setdefault(address, address)

    def sweep(self, holdings: Iterable[Holding]) -> None:
        """Forget entries and addresses that nobody holds."""
        held = list(holdings)
        self.entries = {entry: entry for holding in held for entry in holding.entries.values()}
        self.addresses = {address: address for holding in held for address in holding.addresses.values()}


class Holding(EndpointCache):
    """A planner's roster whose entries are shared; ids stay known, as others of the process hold them."""

    def __init__(self, shared: Shared) -> None:
        super().__init__(shared.zones, shared.kinds, shared.ids)
        self.shared = shared

    def entry(self, instance: Instance) -> EndpointEntry | None:
        """As the roster reads it, but one object for all who hold the same."""
        read = super().entry(instance)
        if read is None:
            return None
        self.addresses[read.server] = self.shared.address(instance.address)
        return self.shared.entry(read)

    def forget(self, server: Server) -> None:
        """Drop a server that has gone here; its id may be another planner's."""
        self.removed.pop(server, None)

    def take(self, listing: EndpointList, now: float) -> list[EndpointEntry]:
        """Take a listing in; what it changed here. A server that a whole list leaves out is told as gone."""
        former = self.concerned(listing)
        told = self.apply(listing, now)
        for server in self.outdated():
            self.forget(server)
        if told.kind is not UpdateKind.FULL:
            return [entry for entry in told.entries if former.get(entry.server) != entry]
        changed = [entry for server, entry in self.entries.items() if former.get(server) != entry]
        return changed + [gone(entry) for server, entry in former.items() if server not in self.entries]

    def concerned(self, listing: EndpointList) -> dict[Server, EndpointEntry]:
        """The present entries that a listing may change; the roster changes its own in place."""
        if listing.complete:
            return dict(self.entries)
        named = [server_id(one.name) for one in listing.instances]
        return {server: self.entries[server] for server in named if server in self.entries}

    def listed(self) -> dict[str, ListedEntry]:
        """All that is held, by the servers' names."""
        return {
            self.server_ids.names[server]: ListedEntry(entry, self.addresses.get(server, ""))
            for server, entry in self.entries.items()
        }


def gone(entry: EndpointEntry) -> EndpointEntry:
    """The same process, as having left."""
    return replace(entry, availability=Availability.REMOVED)


@dataclass(frozen=True, slots=True)
class ListedEntry:
    """Every field of an entry, as held: with the address beside what the policy is told."""

    entry: EndpointEntry
    address: str


@dataclass(frozen=True, slots=True)
class Difference:
    """Where what is held is not what is listed: names missing, left over, or with another entry."""

    missing: tuple[str, ...] = ()
    extra: tuple[str, ...] = ()
    different: tuple[str, ...] = ()

    def count(self) -> int:
        """Wrong or missing entries."""
        return len(self.missing) + len(self.extra) + len(self.different)

    def example(self) -> str:
        """One of them in words; nothing where all is right."""
        for kind, names in (("missing", self.missing), ("left over", self.extra), ("different", self.different)):
            if names:
                return f"{names[0]} is {kind}"
        return ""


def compare(held: Mapping[str, ListedEntry], listed: Mapping[str, ListedEntry]) -> Difference:
    """Entry by entry, every field of each."""
    return Difference(
        tuple(name for name in listed if name not in held),
        tuple(name for name in held if name not in listed),
        tuple(name for name, one in listed.items() if name in held and held[name] != one),
    )


def digest_of(held: Mapping[str, ListedEntry]) -> str:
    """A digest of all entries in the order of their names; only beside the comparison, never in its place."""
    found = hashlib.blake2b(digest_size=16)
    for name in sorted(held):
        found.update(repr((name, held[name])).encode())
    return found.hexdigest()
