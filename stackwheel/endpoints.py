"""Endpoint lists from the discovery service, and the comparison of entries of an older generation with the known state.

A generation is the number that the discovery service gives to a state of its list. It grows with each change, but may
start again after a restart of the discovery service.

The module contains only value types and pure functions. It is shared by the packages that store endpoint lists
(`state`, `relay`), parse them (`wire`) and generate them (`scale`, `trials`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from stackwheel.interface import Availability

MAX_LIST_AGE_MS = 6000.0
"""Maximum time for which a list can be in transit, as defined by the protocol."""

MIN_REMOVED_SERVER_LIMIT = 64
"""Maximum number of remembered removed servers for short lists; for longer lists the maximum grows with the list."""

REMOVED_SERVER_LIMIT_PER_LISTED = 2
"""Maximum number of remembered removed servers, as a multiple of the number of listed servers."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One server in an endpoint list of the discovery service.

    Attributes:
        name: name of the server, which stays the same when its process restarts.
        address: host and port for connections from this planner.
        zone: name of the server's zone.
        kind: name of the server's machine kind.
        cell: number of the server's cell within the zone.
        availability: ready, draining or removed.
        weight: relative capacity according to the discovery service.
        started_at: start time of the server's process, Unix ms; 0 if it started long ago.
    """

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    availability: Availability
    weight: float
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A response of the discovery service: the complete list, or the changes since an earlier generation.

    Attributes:
        generation: generation of the endpoint list after this response.
        complete: whether the response lists every server; a server that is missing from it has been removed.
        instances: the entries, in the order of the response.
        unreadable: names of entries that were skipped because they are malformed; "" for an entry without a name.
        generations_restarted: whether the discovery service has restarted its numbering or has been replaced, so that
            the generation cannot be compared with earlier ones.
    """

    generation: int
    complete: bool
    instances: tuple[Instance, ...]
    unreadable: frozenset[str] = frozenset()
    generations_restarted: bool = False


def merge(base: EndpointList, changes: EndpointList) -> EndpointList:
    """Return a complete list to which later changes have been applied."""
    by_name = {instance.name: instance for instance in (*base.instances, *changes.instances)}
    return EndpointList(changes.generation, True, tuple(by_name.values()), base.unreadable | changes.unreadable)


def latest_by_name(instances: Iterable[Instance]) -> tuple[Instance, ...]:
    """Return one entry per server: that of its latest process, and the last of them if the process has several."""
    latest: dict[str, Instance] = {}
    for instance in instances:
        if instance.name not in latest or instance.started_at >= latest[instance.name].started_at:
            latest[instance.name] = instance
    return tuple(latest.values())


class KnownProcess(NamedTuple):
    """The latest known process of a server; its availability is `REMOVED` once the server has left the list."""

    availability: Availability
    started_at: float


class EntryFreshness(Enum):
    """How an entry of an older generation relates to the latest known process of its server."""

    NEW = auto()
    """The entry has new information: a later process, or the draining or removal of the known process."""

    REVIVED = auto()
    """The entry is outdated: it lists a server that has since started to drain or has been removed."""

    KNOWN = auto()
    """The entry has no new information: its state is known already or belongs to an earlier process."""


def entry_freshness(instance: Instance, known: KnownProcess | None) -> EntryFreshness:
    """Compare an entry of an older generation with the latest known process of its server, if any."""
    if known is None or instance.started_at > known.started_at:
        return EntryFreshness.NEW
    if known.availability is Availability.REMOVED:
        return EntryFreshness.KNOWN if instance.availability is Availability.REMOVED else EntryFreshness.REVIVED
    if instance.availability is Availability.READY:
        return EntryFreshness.REVIVED if known.availability is Availability.DRAINING else EntryFreshness.KNOWN
    return EntryFreshness.NEW if instance.started_at == known.started_at else EntryFreshness.KNOWN


@dataclass(slots=True)
class StaleSnapshot:
    """A deferred complete list of an older generation that contradicts the known draining and removal of servers.

    Later changes are merged into it. If no newer list arrives within `MAX_LIST_AGE_MS`, the discovery service must have
    restarted its generations, and the snapshot is accepted.

    Attributes:
        first_received_at: time at which the first such list was received, ms.
        generation: generation of the list, or of the last changes merged into it.
        instances: entries by server name; their number is limited by the size of the list and of the changes that
            arrive within `MAX_LIST_AGE_MS`.
        unreadable: names of malformed entries, as in `EndpointList`.
    """

    first_received_at: float
    generation: int
    instances: dict[str, Instance]
    unreadable: set[str]

    @classmethod
    def from_list(cls, endpoint_list: EndpointList, first_received_at: float) -> StaleSnapshot:
        """Create a snapshot from a complete list."""
        by_name = {instance.name: instance for instance in endpoint_list.instances}
        return cls(first_received_at, endpoint_list.generation, by_name, set(endpoint_list.unreadable))

    def advance(self, changes: EndpointList) -> None:
        """Merge later changes into the snapshot."""
        self.generation = changes.generation
        self.instances.update((instance.name, instance) for instance in changes.instances)
        self.unreadable |= changes.unreadable

    def endpoint_list(self) -> EndpointList:
        """Return the snapshot as a complete list with restarted generations."""
        return EndpointList(
            self.generation,
            True,
            tuple(self.instances.values()),
            frozenset(self.unreadable),
            generations_restarted=True,
        )
