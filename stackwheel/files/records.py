"""The documents of table files as typed records; `docs/files.md` is the format.

Fields have the names that the code uses; `rename` maps them to the names in the files, which never change. Points in
time are Unix ms, durations ms.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

VERSION = 1  # of the format
MAX_TABLES = 64  # of a document: request classes
MAX_LINES = 10_000  # of a weight table, and ejected servers of a document
MAX_RESERVATIONS = 1_000  # of a document
MAX_OBSERVATIONS = 100_000  # of a document: servers that one proxy reports on

UnixMs = Annotated[float, Meta(ge=0, le=1e14)]
Count = Annotated[int, Meta(ge=0, le=(1 << 53) - 1)]  # exact in any JSON reader
SequenceNumber = Annotated[int, Meta(ge=1, le=(1 << 53) - 1)]
Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x20\x7f/]+$")]
Quantity = Annotated[float, Meta(ge=0, le=1e12)]
ProxyNumber = Annotated[int, Meta(ge=0, le=65535)]


class Incarnation(Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """One run of a planner or proxy process under its name; of two, the greater one is the later.

    Attributes:
        epoch: a fencing token that the operators hand out, where there is one; without it the clock decides.
        started: when the process started.
        salt: a random number that tells apart starts within one millisecond.
    """

    epoch: Count = 0
    started: Count = 0
    salt: Count = 0


class FileVersion(NamedTuple):
    """Orders the files of one planner: a greater version is newer."""

    incarnation: Incarnation
    sequence: int


class TableLevel(Struct, frozen=True, forbid_unknown_fields=True, rename={"admitted": "admit", "retry": "policy"}):
    """The admission level of a request class.

    Attributes:
        admitted: share of requests, or requests per second and proxy, that a proxy admits.
        retry: the retry mode, 0 to 3 as in updates by stream.
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
        request_class: name of the class.
        lines: weight by server. In a delta, weight 0 removes a line and the others are set.
        level: admission level; None in a delta where it is unchanged.
        complete: in a delta: `lines` replace the table instead of changing it.
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
    """Leave to send a number of requests beyond the admission level. It takes effect at most once at each proxy.

    Attributes:
        id: idempotency key, the same in every file that carries the reservation.
        request_class: name of the class.
        requests: how many requests.
        expires_at: it is void from then on.
        created_at: when it was first made, however often it is sent.
    """

    id: Name
    request_class: Name
    requests: Annotated[int, Meta(ge=1, le=1_000_000)]
    expires_at: UnixMs
    created_at: UnixMs = 0.0


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
    """What a planner publishes for the proxies of a zone, or for one of them.

    Attributes:
        planner: name of the planner.
        incarnation: of the planner.
        sequence: number of the file within the incarnation, whatever its target.
        created_at: when it was made.
        expires_at: it may be used until then.
        zone: the zone whose proxies it is for.
        proxy: the only proxy that it is for, or None.
        base_sequence: of a delta: the number of the complete update that it builds on.
        tables: one for each class; in a delta, only those that changed.
        ejected: all servers that must not be used.
        reservations: all that have not expired.
    """

    planner: Name
    incarnation: Incarnation
    sequence: SequenceNumber
    created_at: UnixMs
    expires_at: UnixMs
    zone: Name
    proxy: ProxyNumber | None = None
    base_sequence: Count | None = None
    tables: Annotated[tuple[WeightTable, ...], Meta(max_length=MAX_TABLES)] = ()
    ejected: Annotated[tuple[Name, ...], Meta(max_length=MAX_LINES)] = ()
    reservations: Annotated[tuple[Reservation, ...], Meta(max_length=MAX_RESERVATIONS)] = ()

    @property
    def complete(self) -> bool:
        """Whether it stands alone, without a base."""
        return self.base_sequence is None

    @property
    def version(self) -> FileVersion:
        """Its place among the files of its planner."""
        return FileVersion(self.incarnation, self.sequence)


class ServerObservation(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"attempts": "tries", "mean_latency": "mean"},
):
    """What a proxy measured at a server within a report's window.

    Attributes:
        server: its name.
        attempts: that ended within the window.
        failures: how many of these failed.
        mean_latency: ms, of the successful ones.
        load: the server's own figures by load column.
    """

    server: Name
    attempts: Count
    failures: Count = 0
    mean_latency: UnixMs = 0.0
    load: dict[Name, Quantity] = {}


class ClassDemand(Struct, frozen=True, forbid_unknown_fields=True, rename={"request_class": "route"}):
    """Requests of a class that reached a proxy within a report's window."""

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
    """What a proxy publishes for its planner: the update that it has applied, and its reports.

    Attributes:
        proxy: number of the proxy.
        zone: its zone.
        proxy_incarnation: of the proxy.
        sequence: number of the status within that incarnation.
        created_at: when it was made.
        planner: whose update is applied, or None.
        planner_incarnation: of that update.
        applied_sequence: of that update; it acknowledges all earlier ones of the incarnation.
        apply_delay: ms from the making of that update to its use.
        newly_started: the proxy holds only its standing tables.
        expected_rate: requests a second, roughly.
        window: ms that the reports cover; 0 where there are none.
        demand: by request class.
        observations: by server.
    """

    proxy: ProxyNumber
    zone: Name
    proxy_incarnation: Incarnation
    sequence: SequenceNumber
    created_at: UnixMs
    planner: Name | None = None
    planner_incarnation: Incarnation | None = None
    applied_sequence: Count = 0
    apply_delay: UnixMs = 0.0
    newly_started: bool = True
    expected_rate: Quantity = 0.0
    window: Annotated[float, Meta(ge=0, le=86_400_000)] = 0.0  # at most a day
    demand: Annotated[tuple[ClassDemand, ...], Meta(max_length=MAX_TABLES)] = ()
    observations: Annotated[tuple[ServerObservation, ...], Meta(max_length=MAX_OBSERVATIONS)] = ()


Document = TableUpdate | ProxyStatus
ENCODER = msgspec.json.Encoder(order="deterministic")
DECODER = msgspec.json.Decoder(Document)
