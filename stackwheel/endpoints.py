"""Endpoint lists as discovery sends them, and how an entry of an older list compares with what is known.

Values and pure functions only. Whoever keeps a list (`state`, `relay`), reads one (`wire`) or makes one (`scale`,
`trials`) shares these types and rules.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from stackwheel.interface import Availability

MAX_LIST_AGE_MS = 6000.0
"""ms after which the protocol counts what discovery has sent as delivered; no list in transit is older."""

MIN_REMOVED_SERVER_LIMIT = 64
"""Removed servers that are remembered whatever the size of the list."""

REMOVED_SERVER_LIMIT_PER_LISTED = 2
"""Removed servers remembered for each listed one, as the policy remembers them."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One server as discovery lists it.

    Attributes:
        name: the server's name, the same for each of its processes.
        address: host and port, where this planner reaches it.
        zone: name of its zone.
        kind: name of its kind of machine.
        cell: number of its cell in its zone.
        availability: ready, draining or removed.
        weight: relative capacity that discovery states.
        started_at: when its process started, Unix ms; 0: long ago.
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
    """An answer of discovery: the complete list, or what has changed.

    Attributes:
        generation: number of the state that the answer leads to.
        complete: whether it names every server; one that is missing has been removed.
        instances: the entries, in the order of the answer.
        unreadable: names of entries that were left out because they can't be read; "" for one without a name.
        generations_restarted: whether the generation can't be compared with those known: discovery has moved or
            started its numbering again.
    """

    generation: int
    complete: bool
    instances: tuple[Instance, ...]
    unreadable: frozenset[str] = frozenset()
    generations_restarted: bool = False


def merge(base: EndpointList, changes: EndpointList) -> EndpointList:
    """Bring a complete list forward by what has changed since."""
    by_name = {instance.name: instance for instance in (*base.instances, *changes.instances)}
    return EndpointList(changes.generation, True, tuple(by_name.values()), base.unreadable | changes.unreadable)


def latest_by_name(instances: Iterable[Instance]) -> tuple[Instance, ...]:
    """Keep one entry a server: that of the latest process, and of one process the last entry."""
    latest: dict[str, Instance] = {}
    for instance in instances:
        if instance.name not in latest or instance.started_at >= latest[instance.name].started_at:
            latest[instance.name] = instance
    return tuple(latest.values())


class KnownProcess(NamedTuple):
    """The latest process known under a server's name; its availability is `REMOVED` once it has left the list."""

    availability: Availability
    started_at: float


class EntryFreshness(Enum):
    """What an entry of an older generation says beside the latest process known under its name."""

    NEW = auto()
    """It is of a process that is not known yet, or the known process drains or has left."""

    REVIVED = auto()
    """It shows a process as before that has started to drain, or has left, since."""

    KNOWN = auto()
    """It says what is known already, or is of a process that a later one has replaced."""


def entry_freshness(instance: Instance, known: KnownProcess | None) -> EntryFreshness:
    """Compare an entry of an older generation with the latest process known under its name, if any."""
    if known is None or instance.started_at > known.started_at:
        return EntryFreshness.NEW
    if known.availability is Availability.REMOVED:
        return EntryFreshness.KNOWN if instance.availability is Availability.REMOVED else EntryFreshness.REVIVED
    if instance.availability is Availability.READY:
        return EntryFreshness.REVIVED if known.availability is Availability.DRAINING else EntryFreshness.KNOWN
    return EntryFreshness.NEW if instance.started_at == known.started_at else EntryFreshness.KNOWN


@dataclass(slots=True)
class StaleSnapshot:
    """A complete list of an older generation that shows removed servers again, brought forward by later changes.

    It is accepted only if nothing newer arrives: then discovery has started its generations again.

    Attributes:
        first_received_at: ms, when the first such list arrived.
        generation: the generation of the list, or of the last change that was merged into it.
        instances: its entries by name; bounded by the list and the names in the changes of `MAX_LIST_AGE_MS`.
        unreadable: names of entries that can't be read, as in `EndpointList`.
    """

    first_received_at: float
    generation: int
    instances: dict[str, Instance]
    unreadable: set[str]

    @classmethod
    def from_list(cls, endpoint_list: EndpointList, first_received_at: float) -> StaleSnapshot:
        """Defer a complete list."""
        by_name = {instance.name: instance for instance in endpoint_list.instances}
        return cls(first_received_at, endpoint_list.generation, by_name, set(endpoint_list.unreadable))

    def advance(self, changes: EndpointList) -> None:
        """Merge what has changed since."""
        self.generation = changes.generation
        self.instances.update((instance.name, instance) for instance in changes.instances)
        self.unreadable |= changes.unreadable

    def endpoint_list(self) -> EndpointList:
        """The complete list to apply, as one whose generations have started again."""
        return EndpointList(
            self.generation,
            True,
            tuple(self.instances.values()),
            frozenset(self.unreadable),
            generations_restarted=True,
        )
