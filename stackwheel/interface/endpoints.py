"""Server ids, and the entries and updates of the endpoint list as the policy receives them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NewType

ServerId = NewType("ServerId", bytes)
"""Opaque id of a server; ids can be compared and sorted, but have no other meaning."""


class Availability(IntEnum):
    """Availability of a server in the endpoint list; the values are the codes on the wire."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """What the entries of an endpoint update cover."""

    CACHED = 0
    """The complete list as cached by this planner; it may be out of date."""

    DELTA = 1
    """Only entries that have changed."""

    FULL = 2
    """The complete list; servers that are not in it have been removed."""

    FAILED = 3
    """A fetch of the list failed or the watch ended; the update has no entries, and the known list remains valid."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One server in the endpoint list.

    Attributes:
        server: id of the server, which stays the same when its process restarts.
        zone: index of the server's zone.
        kind: index of the server's machine kind.
        cell: number of the server's cell within the zone.
        availability: ready, draining or removed.
        weight: relative capacity according to the discovery service.
        started_at: start time of the server's process, Unix ms; 0 if it started long ago.
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
    """Event: the endpoint list was received, has changed, or could not be read.

    Attributes:
        kind: what the entries cover.
        generation: generation of the endpoint list.
        entries: the listed or changed servers; empty if the kind is `FAILED`.
    """

    kind: UpdateKind
    generation: int
    entries: tuple[EndpointEntry, ...] = ()
