"""What a hollow planner holds of the list: the planner's own roster, its entries shared within the process."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability, EndpointEntry, Server, UpdateKind
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds, server_id


class SharedEntries:
    """What all hollow planners of a process share: zones, kinds, ids and equal entries.

    It grows with the distinct entries the process was ever told, one for each change; `sweep` drops the old ones.
    """

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.ids = ServerIds()
        self.entries: dict[EndpointEntry, EndpointEntry] = {}
        self.addresses: dict[str, str] = {}

    def entry(self, entry: EndpointEntry) -> EndpointEntry:
        """The one object for all entries equal to this one."""
        return self.entries.setdefault(entry, entry)

    def address(self, address: str) -> str:
        """The one object for all addresses equal to this one."""
        return self.addresses.setdefault(address, address)

    def sweep(self, holdings: Iterable[HollowEndpointCache]) -> None:
        """Forget entries and addresses that nobody holds."""
        actual = list(holdings)
        self.entries = {entry: entry for holding in actual for entry in holding.entries.values()}
        self.addresses = {address: address for holding in actual for address in holding.addresses.values()}


class HollowEndpointCache(EndpointCache):
    """A planner's roster whose entries are shared; ids stay known, as others of the process hold them."""

    def __init__(self, shared: SharedEntries) -> None:
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

    def apply_list(self, endpoint_list: EndpointList, now: float) -> list[EndpointEntry]:
        """Take a listing in; what it changed here. A server that a whole list leaves out is told as gone."""
        former = self.entries_that_may_change(endpoint_list)
        update = self.apply(endpoint_list, now)
        for server in self.excess_removed():
            self.forget(server)
        if update.kind is not UpdateKind.FULL:
            return [entry for entry in update.entries if former.get(entry.server) != entry]
        changed = [entry for server, entry in self.entries.items() if former.get(server) != entry]
        return changed + [departed_entry(entry) for server, entry in former.items() if server not in self.entries]

    def entries_that_may_change(self, endpoint_list: EndpointList) -> dict[Server, EndpointEntry]:
        """The present entries that a listing may change; the roster changes its own in place."""
        if endpoint_list.complete:
            return dict(self.entries)
        named = [server_id(one.name) for one in endpoint_list.instances]
        return {server: self.entries[server] for server in named if server in self.entries}

    def listed(self) -> dict[str, ListedEntry]:
        """All that is held, by the servers' names."""
        return {
            self.server_ids.names[server]: ListedEntry(entry, self.addresses.get(server, ""))
            for server, entry in self.entries.items()
        }


def departed_entry(entry: EndpointEntry) -> EndpointEntry:
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


def compare(actual: Mapping[str, ListedEntry], listed: Mapping[str, ListedEntry]) -> Difference:
    """Entry by entry, every field of each."""
    return Difference(
        tuple(name for name in listed if name not in actual),
        tuple(name for name in actual if name not in listed),
        tuple(name for name, one in listed.items() if name in actual and actual[name] != one),
    )


def digest_of(actual: Mapping[str, ListedEntry]) -> str:
    """A digest of all entries in the order of their names; only beside the comparison, never in its place."""
    found = hashlib.blake2b(digest_size=16)
    for name in sorted(actual):
        found.update(repr((name, actual[name])).encode())
    return found.hexdigest()
