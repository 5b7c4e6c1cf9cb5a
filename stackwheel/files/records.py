"""Typed records of the documents in table files; `docs/files.md` describes the format.

`rename` maps attribute names to the field names in the files, which are fixed. Points in time are in Unix ms and
durations in ms.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

FORMAT_VERSION = 1
MAX_TABLES = 64
MAX_LINES = 10_000
MAX_RESERVATIONS = 1_000
MAX_OBSERVATIONS = 100_000

Milliseconds = Annotated[float, Meta(ge=0, le=1e14)]
Count = Annotated[int, Meta(ge=0, le=(1 << 53) - 1)]  # JSON readers with float64 numbers represent these exactly
SequenceNumber = Annotated[int, Meta(ge=1, le=(1 << 53) - 1)]
Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x20\x7f/]+$")]
Quantity = Annotated[float, Meta(ge=0, le=1e12)]
ProxyNumber = Annotated[int, Meta(ge=0, le=65535)]


class Incarnation(Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """Identifies one run of a planner or proxy process; later runs compare greater.

    Attributes:
        epoch: fencing token that the operators assign; 0 if none is assigned, so that the start time decides.
        started: start time of the process, Unix ms.
        salt: random number that distinguishes starts within the same millisecond.
    """

    epoch: Count = 0
    started: Count = 0
    salt: Count = 0


class FileVersion(NamedTuple):
    """Version of a table file; newer files of the same planner compare greater."""

    incarnation: Incarnation
    sequence: int


class TableLevel(Struct, frozen=True, forbid_unknown_fields=True, rename={"admitted": "admit", "retry": "policy"}):
    """The admission level of a request class.

    Attributes:
        admitted: share of requests, or requests per second, that each proxy admits.
        retry: retry mode, with the same values from 0 to 3 as in updates by stream.
    """

    admitted: Quantity
    retry: Annotated[int, Meta(ge=0, le=3)]


class WeightTable(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"request_class": "route", "complete": "whole"},
):
    """The weight table of one request class.

    Attributes:
        request_class: name of the request class.
        lines: weight by server name. In a delta, a weight of 0 removes a line and other weights set it.
        level: admission level. In a delta, None leaves it unchanged unless `complete` is set.
        complete: in a delta, whether `lines` and `level` replace the entire table.
    """

    request_class: Name
    lines: Annotated[dict[Name, Quantity], Meta(max_length=MAX_LINES)] = {}
    level: TableLevel | None = None
    complete: bool = False


class Reservation(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"request_class": "route", "requests": "grant", "expires_at": "until", "created_at": "made"},
):
    """Permits a number of requests beyond the admission level; takes effect at most once at each proxy.

    Attributes:
        id: idempotency key, equal in all files that contain the reservation.
        request_class: name of the request class.
        requests: number of requests.
        expires_at: expiry, Unix ms; the reservation is ignored from then on.
        created_at: creation time, Unix ms; equal in all files that contain the reservation.
    """

    id: Name
    request_class: Name
    requests: Annotated[int, Meta(ge=1, le=1_000_000)]
    expires_at: Milliseconds
    created_at: Milliseconds = 0.0


class TableUpdate(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    tag_field="kind",
    tag="orders",
    rename={
        "created_at": "made",
        "expires_at": "until",
        "base_sequence": "base",
        "ejected": "withdrawn",
        "reservations": "bookings",
    },
):
    """Weight tables that a planner publishes for all proxies of a zone, or for one of them.

    Attributes:
        planner: name of the planner.
        incarnation: incarnation of the planner.
        sequence: sequence number of the update within the incarnation, counted over all targets.
        created_at: creation time, Unix ms.
        expires_at: time from which the update must not be used, Unix ms.
        zone: name of the zone.
        proxy: number of the only proxy that the update is for; None for all proxies of the zone.
        base_sequence: sequence number of the complete update that a delta builds on; None for a complete update.
        tables: one table per request class; in a delta, only the changed ones.
        ejected: all servers that must not be used.
        reservations: all reservations that have not expired.
    """

    planner: Name
    incarnation: Incarnation
    sequence: SequenceNumber
    created_at: Milliseconds
    expires_at: Milliseconds
    zone: Name
    proxy: ProxyNumber | None = None
    base_sequence: Count | None = None
    tables: Annotated[tuple[WeightTable, ...], Meta(max_length=MAX_TABLES)] = ()
    ejected: Annotated[tuple[Name, ...], Meta(max_length=MAX_LINES)] = ()
    reservations: Annotated[tuple[Reservation, ...], Meta(max_length=MAX_RESERVATIONS)] = ()

    @property
    def complete(self) -> bool:
        """Whether this is a complete update instead of a delta."""
        return self.base_sequence is None

    @property
    def version(self) -> FileVersion:
        """The version that orders this update among those of its planner."""
        return FileVersion(self.incarnation, self.sequence)


class ServerObservation(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"attempts": "tries", "mean_latency": "mean"},
):
    """Measurements that a proxy made of a server within the window of a report.

    Attributes:
        server: name of the server.
        attempts: number of attempts that ended within the window.
        failures: number of these attempts that failed.
        mean_latency: mean latency of the successful attempts, ms.
        load: load figures that the server reported, by load column.
    """

    server: Name
    attempts: Count
    failures: Count = 0
    mean_latency: Milliseconds = 0.0
    load: dict[Name, Quantity] = {}


class ClassDemand(Struct, frozen=True, forbid_unknown_fields=True, rename={"request_class": "route"}):
    """Number of requests of a class that a proxy received within the window of a report.

    Attributes:
        request_class: name of the request class.
        requests: number of requests received.
        unanswered: number of requests that were not answered.
    """

    request_class: Name
    requests: Count
    unanswered: Count = 0


class ProxyStatus(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    tag_field="kind",
    tag="answer",
    rename={
        "proxy_incarnation": "life",
        "created_at": "made",
        "planner_incarnation": "incarnation",
        "applied_sequence": "applied",
        "apply_delay": "took",
        "newly_started": "fresh",
        "expected_rate": "rate",
        "window": "over",
        "demand": "came",
        "observations": "met",
    },
):
    """Status that a proxy publishes for its planner: the applied update, demand and server measurements.

    Attributes:
        proxy: number of the proxy.
        zone: name of the proxy's zone.
        proxy_incarnation: incarnation of the proxy.
        sequence: sequence number of the status within the proxy's incarnation.
        created_at: creation time, Unix ms.
        planner: name of the planner whose update is applied; None if no update is applied.
        planner_incarnation: incarnation of the planner in the applied update.
        applied_sequence: sequence number of the applied update; acknowledges all earlier ones of the incarnation.
        apply_delay: time from the creation of the applied update to its use, ms.
        newly_started: whether the proxy has only its standing tables.
        expected_rate: approximate number of requests per second.
        window: period that `demand` and `observations` cover, ms; 0 if there are none.
        demand: demand of each request class.
        observations: measurements of each server.
    """

    proxy: ProxyNumber
    zone: Name
    proxy_incarnation: Incarnation
    sequence: SequenceNumber
    created_at: Milliseconds
    planner: Name | None = None
    planner_incarnation: Incarnation | None = None
    applied_sequence: Count = 0
    apply_delay: Milliseconds = 0.0
    newly_started: bool = True
    expected_rate: Quantity = 0.0
    window: Annotated[float, Meta(ge=0, le=86_400_000)] = 0.0
    demand: Annotated[tuple[ClassDemand, ...], Meta(max_length=MAX_TABLES)] = ()
    observations: Annotated[tuple[ServerObservation, ...], Meta(max_length=MAX_OBSERVATIONS)] = ()


Document = TableUpdate | ProxyStatus
ENCODER = msgspec.json.Encoder(order="deterministic")
DECODER = msgspec.json.Decoder(Document)
