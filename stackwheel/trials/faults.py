"""The kinds of fault that a script may hold, as typed records.

Times are seconds of virtual time, shares run from 0 to 1. Stored scripts name kinds and fields by short words
of their own, given here as `tag` and `rename`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from stackwheel.trials.shape import Count, NameList, Share

Time = Annotated[float, Meta(ge=0, le=86400)]
KIND_FIELD = "kind"


class BaseFault(Struct, frozen=True, forbid_unknown_fields=True, tag_field=KIND_FIELD, tag=str.lower):
    """Something that happens at a time."""

    at: Time


class Kill(BaseFault, frozen=True, rename={"restart_after": "back", "resets_connections": "sign"}):
    """Planners or relays are killed and start again from nothing.

    Without `resets_connections` their machines vanish: connections stay open and silent.
    """

    planners: NameList
    restart_after: Time = 1.0
    resets_connections: bool = True


STORED_STALL_FIELDS = {"machines": "who", "repetitions": "times", "period": "every", "stops_reading": "deaf"}


class Stall(BaseFault, frozen=True, rename=STORED_STALL_FIELDS):
    """Processes stand still for `span`, `repetitions` times, once a `period`."""

    machines: NameList
    span: Time
    repetitions: Annotated[int, Meta(ge=1, le=1000)] = 1
    period: Time = 2.0
    stops_reading: bool = False  # proxies do not even read what arrives


class Cut(BaseFault, frozen=True, rename={"unidirectional": "one_way"}):
    """Nothing passes from sources to targets; nor back, unless it is `unidirectional`."""

    source: NameList
    target: NameList
    span: Time
    unidirectional: bool = False


class Reset(BaseFault, frozen=True):
    """The streams of proxies break; they notice at once and dial again."""

    proxies: NameList


class HalfOpen(BaseFault, frozen=True, tag="half_open", rename={"noticed_after": "notice"}):
    """The present streams of proxies go silent for good, without a sign; the proxies notice after a while."""

    proxies: NameList
    noticed_after: Time = 2.0


class SecondStream(BaseFault, frozen=True, tag="doubled", rename={"delay": "late"}):
    """Proxies open a second stream while the bytes of the first are still on their way, for `delay`."""

    proxies: NameList
    delay: Time = 1.0


class MidMessage(BaseFault, frozen=True, tag="mid_message"):
    """Proxies reset their stream in the middle of the next message of several parts, or of any."""

    proxies: NameList


class Restart(BaseFault, frozen=True, rename={"restart_after": "back"}):
    """Proxies start again, with only their standing table."""

    proxies: NameList
    restart_after: Time = 0.5


class Crash(BaseFault, frozen=True, tag="die", rename={"restart_after": "back"}):
    """Servers end without notice; they start cold under the same name, or never where `restart_after` is 0."""

    servers: NameList
    restart_after: Time = 8.0


class Drain(BaseFault, frozen=True, rename={"removed_after": "gone", "restart_after": "back"}):
    """Servers drain, are removed after a while, and start again `restart_after` later unless that is 0."""

    servers: NameList
    removed_after: Time = 4.0
    restart_after: Time = 0.0


class Replace(BaseFault, frozen=True):
    """Servers drain one after the other over `span`; a new one, cold, takes the place of each."""

    servers: NameList
    span: Time = 10.0


class Fail(BaseFault, frozen=True):
    """Servers quickly fail a share of their requests."""

    servers: NameList
    span: Time
    share: Share = 0.7


class Slow(BaseFault, frozen=True):
    """Something else takes a share of servers' machines."""

    servers: NameList
    span: Time
    share: Share = 0.6


class LoseZone(BaseFault, frozen=True, tag="lose_zone", rename={"restart_after": "back"}):
    """All servers of a zone crash and start cold; with them its proxies or planners, if the flags are set."""

    zone: Count
    restart_after: Time = 6.0
    proxies: bool = False
    planners: bool = False


class DiscoveryFault(BaseFault, frozen=True, tag="discovery", rename={"mode": "how", "delay": "late"}):
    """Discovery refuses connections, answers 503, answers nothing, or sends changes late by `delay`."""

    span: Time
    mode: Literal["refuse", "503", "silence", "late"] = "503"
    delay: Time = 0.0


class Lag(BaseFault, frozen=True, rename={"machines": "who", "delay": "late"}):
    """Discovery's watches send changes to some relays later than to others; their empty lines come in time."""

    machines: NameList
    span: Time
    delay: Annotated[float, Meta(ge=0, le=5)] = 2.0  # within the protocol's 6 s


class Unreadable(BaseFault, frozen=True):
    """Entries of servers can't be read for a while, in lists and changes; then they are sent again.

    Only for a shape with relays.
    """

    servers: NameList
    span: Time


class OlderState(BaseFault, frozen=True, tag="older", rename={"restored_after": "after"}):
    """Watches are sent an older state again, in its older generation, then the present one."""

    restored_after: Time = 0.3


class Reload(BaseFault, frozen=True, rename={"close_after": "close"}):
    """Discovery moves to another address; planners get a new configuration and SIGHUP.

    With relays their plan gives the cell another port, and they get SIGHUP as well.
    """

    planners: NameList = ("planners",)
    close_after: Time = 1.5  # until the old address ends what is still open there; with relays it stays open


class RestartGenerations(BaseFault, frozen=True, tag="renumber"):
    """Discovery restarts its generations."""


class Demand(BaseFault, frozen=True):
    """Demand of some proxies changes by a factor."""

    proxies: NameList
    span: Time
    factor: Annotated[float, Meta(ge=0, le=100)]


STORED_REPORTS_FIELDS = {"delay": "late", "malformed": "spoilt", "resets_connections": "breaks"}


class Reports(BaseFault, frozen=True, rename=STORED_REPORTS_FIELDS):
    """Reports come late by `delay`, or malformed in a share of lines, or their connections break."""

    span: Time
    delay: Time = 0.0
    malformed: Share = 0.0
    resets_connections: bool = False


class Datagrams(BaseFault, frozen=True, rename={"duplicated": "doubled"}):
    """Datagrams between planners are lost, duplicated or reordered."""

    span: Time
    lost: Share = 0.0
    duplicated: Share = 0.0
    reordered: Share = 0.0


STORED_PATH_FIELDS = {"latency_factor": "factor", "fragmented": "pieces", "transit_factor": "transit"}


class PathConditions(BaseFault, frozen=True, tag="way", rename=STORED_PATH_FIELDS):
    """Latency grows by a factor; a share of writes arrives in pieces; updates take longer to arrive."""

    span: Time
    latency_factor: Annotated[float, Meta(ge=0.01, le=1000)] = 1.0
    fragmented: Share = 0.0
    transit_factor: Annotated[float, Meta(ge=0.01, le=100)] = 1.0


class Pushes(BaseFault, frozen=True, rename={"max_delay": "late", "duplicated": "doubled", "stale": "old"}):
    """Files come up to `max_delay` later, so that they overtake each other.

    They are also lost, pushed twice, copied in place, and an old file is pushed again beside some.
    """

    span: Time
    max_delay: Time = 0.0
    lost: Share = 0.0
    duplicated: Share = 0.0
    torn: Share = 0.0
    stale: Share = 0.0


class Disks(BaseFault, frozen=True, rename={"machines": "who", "mode": "how", "delay": "slow"}):
    """Disks of planners or proxies are full, missing (`gone`), or take `delay` for each operation."""

    machines: NameList
    span: Time
    mode: Literal["full", "gone", "slow"] = "full"
    delay: Time = 1.0


class UnidentifiedClients(BaseFault, frozen=True, tag="strangers", rename={"payload": "say"}):
    """Clients that belong to nobody connect and send what is of no use."""

    count: Annotated[int, Meta(ge=1, le=5000)]
    planner: str = "planner-0"
    payload: Literal["nothing", "half", "http", "noise", "ping", "false_join"] = "nothing"


Fault = (
    Kill
    | Stall
    | Cut
    | Reset
    | HalfOpen
    | SecondStream
    | MidMessage
    | Restart
    | Crash
    | Drain
    | Replace
    | Fail
    | Slow
    | LoseZone
    | DiscoveryFault
    | Lag
    | Unreadable
    | OlderState
    | Reload
    | RestartGenerations
    | Demand
    | Reports
    | Datagrams
    | PathConditions
    | UnidentifiedClients
    | Pushes
    | Disks
)

NAME_FIELDS = ("planners", "proxies", "servers", "machines", "source", "target")  # that may name machines


def fault_kind(fault: Fault) -> str:
    """The name of a fault's kind, as scripts store it."""
    return str(msgspec.to_builtins(fault)[KIND_FIELD])


def name_fields(fault: Fault) -> dict[str, NameList]:
    """The fields of a fault that name machines; `proxies` of a lost zone is a flag and no such field."""
    values = ((field, getattr(fault, field, None)) for field in NAME_FIELDS)
    return {field: names for field, names in values if isinstance(names, tuple)}


def stored_name(fault: Fault, field: str) -> str:
    """The name under which scripts store a field of a fault."""
    encoded = {info.name: info.encode_name for info in msgspec.structs.fields(fault)}
    return encoded[field]
