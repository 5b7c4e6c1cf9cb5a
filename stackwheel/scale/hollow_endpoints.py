"""Endpoint cache of a hollow planner: the planner's own cache with entries shared within the process."""

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
    """Data shared by all hollow planners of a process: zones, machine kinds, server ids, and interned entries.

    Each change of an entry adds an object; `remove_unused` removes those that no cache refers to any more.
    """

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.ids = ServerIds()
        self.entries: dict[EndpointEntry, EndpointEntry] = {}
        self.addresses: dict[str, str] = {}

    def intern_entry(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the shared object that represents all entries equal to this one."""
        return self.entries.setdefault(entry, entry)

    def intern_address(self, address: str) -> str:
        """Return the shared object that represents all addresses equal to this one."""
        return self.addresses.setdefault(address, address)

    def remove_unused(self, caches: Iterable[HollowEndpointCache]) -> None:
        """Remove the entries and addresses that none of the caches contains. `caches`: all caches of the process."""
        all_caches = list(caches)
        self.entries = {entry: entry for cache in all_caches for entry in cache.entries.values()}
        self.addresses = {address: address for cache in all_caches for address in cache.addresses.values()}


class HollowEndpointCache(EndpointCache):
    """A planner's endpoint cache with shared entries and server ids.

    Server ids are never removed, because other planners of the process may use them.
    """

    def __init__(self, shared: SharedEntries) -> None:
        super().__init__(shared.zones, shared.kinds, shared.ids)
        self.shared = shared

    def entry(self, instance: Instance) -> EndpointEntry | None:
        """Return the entry of an instance as an object shared by the process's planners; None if it is unreadable."""
        entry = super().entry(instance)
        if entry is None:
            return None
        self.addresses[entry.server] = self.shared.intern_address(instance.address)
        return self.shared.intern_entry(entry)

    def forget(self, server: ServerId) -> None:
        """Remove a removed server from this cache but keep its id, which another planner may use."""
        self.removed.pop(server, None)

    def apply_list(self, endpoint_list: EndpointList, now: float) -> list[EndpointEntry]:
        """Apply an endpoint list to the cache.

        Args:
            endpoint_list: a full list or a delta.
            now: monotonic time, ms.

        Returns:
            The changed entries. A server that is absent from a full list is included as removed.
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
        """Copy the entries that an endpoint list may change, because the cache is changed in place."""
        if endpoint_list.complete:
            return dict(self.entries)
        listed_servers = [server_id(instance.name) for instance in endpoint_list.instances]
        return {server: self.entries[server] for server in listed_servers if server in self.entries}

    def listed_entries(self) -> dict[str, ListedEntry]:
        """Return all entries by server name."""
        return {
            self.server_ids.names[server]: ListedEntry(entry, self.addresses.get(server, ""))
            for server, entry in self.entries.items()
        }


def removed_entry(entry: EndpointEntry) -> EndpointEntry:
    """Return the entry with the availability set to removed."""
    return replace(entry, availability=Availability.REMOVED)


@dataclass(frozen=True, slots=True)
class ListedEntry:
    """An entry as the policy receives it, together with the server's address."""

    entry: EndpointEntry
    address: str


@dataclass(frozen=True, slots=True)
class Difference:
    """Names of the servers whose entries differ from the expected ones.

    Attributes:
        missing: servers that are expected but not cached.
        extra: servers that are cached but not expected.
        different: servers whose entries differ in at least one field.
    """

    missing: tuple[str, ...] = ()
    extra: tuple[str, ...] = ()
    different: tuple[str, ...] = ()

    def count(self) -> int:
        """Return the number of differing servers."""
        return len(self.missing) + len(self.extra) + len(self.different)

    def example(self) -> str:
        """Describe one of the differences; "" if there is none."""
        for kind, names in (("missing", self.missing), ("not listed", self.extra), ("different", self.different)):
            if names:
                return f"{names[0]} is {kind}"
        return ""


def compare(actual: Mapping[str, ListedEntry], expected: Mapping[str, ListedEntry]) -> Difference:
    """Compare all fields of the actual entries with the expected ones."""
    return Difference(
        missing=tuple(name for name in expected if name not in actual),
        extra=tuple(name for name in actual if name not in expected),
        different=tuple(name for name, entry in expected.items() if name in actual and actual[name] != entry),
    )


def entries_digest(entries: Mapping[str, ListedEntry]) -> str:
    """Return a digest of all entries in the order of their names, for the report."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(entries):
        digest.update(repr((name, entries[name])).encode())
    return digest.hexdigest()
