"""Servers as the policy knows them: their ids, and the entries and updates of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NewType

ServerId = NewType("ServerId", bytes)
"""An opaque id of a server: compare it, sort it, give it back unchanged."""


class Availability(IntEnum):
    """Whether an endpoint list offers a server; the values are those of the wire."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """How much an endpoint update says."""

    CACHED = 0
    """The complete list as this planner last had it; it may be out of date."""

    DELTA = 1
    """Only the entries that have changed."""

    FULL = 2
    """The complete list: a server that is missing has been removed."""

    FAILED = 3
    """A call failed or the watch ended; the list as known stays in force."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One server of the endpoint list.

    Attributes:
        server: its id, the same for each of its processes.
        zone: its zone.
        kind: its kind of machine.
        cell: number of its cell in its zone.
        availability: ready, draining or removed.
        weight: relative capacity that discovery states.
        started_at: when its process started, Unix ms; 0: long ago.
    """

    server: ServerId
    zone: int
    kind: int
    cell: int
    availability: Availability
    weight: float
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Event: the endpoint list is known, has changed, or could not be read.

    Attributes:
        kind: how much the update says.
        generation: generation of the list.
        entries: the servers it names; none if the kind is `FAILED`.
    """

    kind: UpdateKind
    generation: int
    entries: tuple[EndpointEntry, ...] = ()
