"""The endpoint cache of a hollow planner: the planner's own, with entries shared within the process."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability, EndpointEntry, ServerId, UpdateKind
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds, server_id

DIGEST_BYTES = 16


class SharedEntries:
    """What all hollow planners of a process share: zones, kinds, ids and equal entries.

    It grows with each change of an entry; `sweep` drops the entries that are no longer used.
    """

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.ids = ServerIds()
        self.entries: dict[EndpointEntry, EndpointEntry] = {}
        self.addresses: dict[str, str] = {}

    def intern_entry(self, entry: EndpointEntry) -> EndpointEntry:
        """The one object for all entries equal to this one."""
        return self.entries.setdefault(entry, entry)

    def intern_address(self, address: str) -> str:
        """The one object for all addresses equal to this one."""
        return self.addresses.setdefault(address, address)

    def remove_unused(self, caches: Iterable[HollowEndpointCache]) -> None:
        """Drop entries and addresses that are in none of the process's caches."""
        used = list(caches)
        self.entries = {entry: entry for cache in used for entry in cache.entries.values()}
        self.addresses = {address: address for cache in used for address in cache.addresses.values()}


class HollowEndpointCache(EndpointCache):
    """A planner's endpoint cache whose entries are shared; ids are never dropped, as other planners use them."""

    def __init__(self, shared: SharedEntries) -> None:
        super().__init__(shared.zones, shared.kinds, shared.ids)
        self.shared = shared

    def entry(self, instance: Instance) -> EndpointEntry | None:
        """The entry of an instance, one object for all planners of the process; None if it is unreadable."""
        entry = super().entry(instance)
        if entry is None:
            return None
        self.addresses[entry.server] = self.shared.intern_address(instance.address)
        return self.shared.intern_entry(entry)

    def forget(self, server: ServerId) -> None:
        """Drop a removed server from this cache; its id may still be used by another planner."""
        self.removed.pop(server, None)

    def apply_list(self, endpoint_list: EndpointList, now: float) -> list[EndpointEntry]:
        """Apply a list.

        Args:
            endpoint_list: a full list or a delta.
            now: ms on the monotonic clock.

        Returns:
            The entries that it changed; a server that a full list leaves out is among them as removed.
        """
        before = self.entries_that_may_change(endpoint_list)
        update = self.apply(endpoint_list, now)
        for server in self.excess_removed():
            self.forget(server)
        if update.kind is not UpdateKind.FULL:
            return [entry for entry in update.entries if before.get(entry.server) != entry]
        changed = [entry for server, entry in self.entries.items() if before.get(server) != entry]
        return changed + [removed_entry(entry) for server, entry in before.items() if server not in self.entries]

    def entries_that_may_change(self, endpoint_list: EndpointList) -> dict[ServerId, EndpointEntry]:
        """A copy of the entries that a list may change: the cache changes them in place."""
        if endpoint_list.complete:
            return dict(self.entries)
        named = [server_id(instance.name) for instance in endpoint_list.instances]
        return {server: self.entries[server] for server in named if server in self.entries}

    def listed_entries(self) -> dict[str, ListedEntry]:
        """All entries, by the servers' names."""
        return {
            self.server_ids.names[server]: ListedEntry(entry, self.addresses.get(server, ""))
            for server, entry in self.entries.items()
        }


def removed_entry(entry: EndpointEntry) -> EndpointEntry:
    """The entry of the same process once it is removed."""
    return replace(entry, availability=Availability.REMOVED)


@dataclass(frozen=True, slots=True)
class ListedEntry:
    """Every field of an entry: what the policy gets, and the address."""

    entry: EndpointEntry
    address: str


@dataclass(frozen=True, slots=True)
class Difference:
    """The names of the servers at which two sets of entries differ."""

    missing: tuple[str, ...] = ()
    extra: tuple[str, ...] = ()
    different: tuple[str, ...] = ()

    def count(self) -> int:
        """Wrong or missing entries."""
        return len(self.missing) + len(self.extra) + len(self.different)

    def example(self) -> str:
        """One of them in words; "" if there is none."""
        for kind, names in (("missing", self.missing), ("left over", self.extra), ("different", self.different)):
            if names:
                return f"{names[0]} is {kind}"
        return ""


def compare(actual: Mapping[str, ListedEntry], expected: Mapping[str, ListedEntry]) -> Difference:
    """Compare every field of every entry."""
    return Difference(
        missing=tuple(name for name in expected if name not in actual),
        extra=tuple(name for name in actual if name not in expected),
        different=tuple(name for name, entry in expected.items() if name in actual and actual[name] != entry),
    )


def entries_digest(entries: Mapping[str, ListedEntry]) -> str:
    """A digest of all entries in the order of their names; it is reported, but does not replace the comparison."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(entries):
        digest.update(repr((name, entries[name])).encode())
    return digest.hexdigest()
