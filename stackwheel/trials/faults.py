"""The kinds of fault that a script may contain, as typed records.

Times and spans are seconds of virtual time; shares are between 0 and 1. `tag` and `rename` give the names of kinds and
fields in stored scripts.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from stackwheel.trials.shape import Count, NameList, Share

Seconds = Annotated[float, Meta(ge=0, le=86400)]
KIND_FIELD = "kind"


class BaseFault(Struct, frozen=True, forbid_unknown_fields=True, tag_field=KIND_FIELD, tag=str.lower):
    """Base class of all faults.

    Attributes:
        at: Start of the fault, in s from the start of the trial.
    """

    at: Seconds


class Kill(BaseFault, frozen=True, rename={"restart_after": "back", "resets_connections": "sign"}):
    """Kills planners or relays, which restart without any state.

    Attributes:
        planners: Names of planners and relays.
        restart_after: Seconds from the kill to the restart.
        resets_connections: Whether peers receive a reset; if not, connections stay open and silent, as after a power
            failure.
    """

    planners: NameList
    restart_after: Seconds = 1.0
    resets_connections: bool = True


STORED_STALL_FIELDS = {"machines": "who", "repetitions": "times", "period": "every", "stops_reading": "deaf"}


class Stall(BaseFault, frozen=True, rename=STORED_STALL_FIELDS):
    """Suspends processes for `span`, `repetitions` times, once per `period`.

    Attributes:
        stops_reading: Whether proxies also stop reading from their sockets, so that their receive windows fill up.
    """

    machines: NameList
    span: Seconds
    repetitions: Annotated[int, Meta(ge=1, le=1000)] = 1
    period: Seconds = 2.0
    stops_reading: bool = False


class Cut(BaseFault, frozen=True, rename={"unidirectional": "one_way"}):
    """Blocks all traffic from sources to targets, and from targets to sources unless `unidirectional` is set."""

    source: NameList
    target: NameList
    span: Seconds
    unidirectional: bool = False


class Reset(BaseFault, frozen=True):
    """Resets the streams of proxies, which detect it at once and reconnect."""

    proxies: NameList


class HalfOpen(BaseFault, frozen=True, tag="half_open", rename={"noticed_after": "notice"}):
    """Silences the current streams of proxies for good, without a reset; proxies detect it after `noticed_after`."""

    proxies: NameList
    noticed_after: Seconds = 2.0


class SecondStream(BaseFault, frozen=True, tag="doubled", rename={"delay": "late"}):
    """Lets proxies open a second stream while the bytes of the first one still arrive, `delay` late."""

    proxies: NameList
    delay: Seconds = 1.0


class MidMessage(BaseFault, frozen=True, tag="mid_message"):
    """Lets proxies reset their stream in the middle of the next message that they receive."""

    proxies: NameList


class Restart(BaseFault, frozen=True, rename={"restart_after": "back"}):
    """Restarts proxies, which keep nothing but their standing table."""

    proxies: NameList
    restart_after: Seconds = 0.5


class Crash(BaseFault, frozen=True, tag="die", rename={"restart_after": "back"}):
    """Ends servers without notice; they restart cold under the same name after `restart_after`, or never if it is 0."""

    servers: NameList
    restart_after: Seconds = 8.0


class Drain(BaseFault, frozen=True, rename={"removed_after": "gone", "restart_after": "back"}):
    """Drains servers, removes them after `removed_after`, and restarts them `restart_after` later unless that is 0."""

    servers: NameList
    removed_after: Seconds = 4.0
    restart_after: Seconds = 0.0


class Replace(BaseFault, frozen=True):
    """Drains servers one after the other over `span`, and starts a new, cold server for each."""

    servers: NameList
    span: Seconds = 10.0


class Fail(BaseFault, frozen=True):
    """Lets servers fail a share of their requests at once, without executing them."""

    servers: NameList
    span: Seconds
    share: Share = 0.7


class Slow(BaseFault, frozen=True):
    """Takes a share of the CPU of servers' machines, as another process would."""

    servers: NameList
    span: Seconds
    share: Share = 0.6


class LoseZone(BaseFault, frozen=True, tag="lose_zone", rename={"restart_after": "back"}):
    """Crashes all servers of a zone, which restart cold, and its proxies or planners if the flags are set."""

    zone: Count
    restart_after: Seconds = 6.0
    proxies: bool = False
    planners: bool = False


class DiscoveryFault(BaseFault, frozen=True, tag="discovery", rename={"mode": "how", "delay": "late"}):
    """Lets discovery refuse connections, answer 503, answer nothing, or send changes `delay` late."""

    span: Seconds
    mode: Literal["refuse", "503", "silence", "late"] = "503"
    delay: Seconds = 0.0


class Lag(BaseFault, frozen=True, rename={"machines": "who", "delay": "late"}):
    """Delays the changes that discovery's watches send to some relays; heartbeats are not delayed.

    The upper bound of `delay` is below the protocol's notification deadline of 6 s.
    """

    machines: NameList
    span: Seconds
    delay: Annotated[float, Meta(ge=0, le=5)] = 2.0


class Unreadable(BaseFault, frozen=True):
    """Makes the entries of servers in lists and changes undecodable for `span`; then discovery sends them again.

    Requires a shape with relays.
    """

    servers: NameList
    span: Seconds


class OlderState(BaseFault, frozen=True, tag="older", rename={"restored_after": "after"}):
    """Sends watches an older state with its older generation, then the current state after `restored_after`."""

    restored_after: Seconds = 0.3


class Reload(BaseFault, frozen=True, rename={"close_after": "close"}):
    """Moves discovery to another address; planners receive a new configuration and SIGHUP.

    In a shape with relays, the cell plan assigns other ports to the cells instead, and relays receive SIGHUP too.

    Attributes:
        planners: Planners that reload.
        close_after: Seconds until the connections to the old address are closed; unused with relays.
    """

    planners: NameList = ("planners",)
    close_after: Seconds = 1.5


class RestartGenerations(BaseFault, frozen=True, tag="renumber"):
    """Lets discovery restart its generation numbers."""


class Demand(BaseFault, frozen=True):
    """Multiplies the demand of proxies by a factor."""

    proxies: NameList
    span: Seconds
    factor: Annotated[float, Meta(ge=0, le=100)]


STORED_REPORTS_FIELDS = {"delay": "late", "malformed": "spoilt", "resets_connections": "breaks"}


class Reports(BaseFault, frozen=True, rename=STORED_REPORTS_FIELDS):
    """Delays reports by `delay`, malforms a share of their lines, and may reset the collectors' connections."""

    span: Seconds
    delay: Seconds = 0.0
    malformed: Share = 0.0
    resets_connections: bool = False


class Datagrams(BaseFault, frozen=True, rename={"duplicated": "doubled"}):
    """Loses, duplicates or reorders shares of the datagrams between planners."""

    span: Seconds
    lost: Share = 0.0
    duplicated: Share = 0.0
    reordered: Share = 0.0


STORED_PATH_FIELDS = {"latency_factor": "factor", "fragmented": "pieces", "transit_factor": "transit"}


class PathConditions(BaseFault, frozen=True, tag="way", rename=STORED_PATH_FIELDS):
    """Multiplies latency and the transit time of updates by factors, and fragments a share of writes."""

    span: Seconds
    latency_factor: Annotated[float, Meta(ge=0.01, le=1000)] = 1.0
    fragmented: Share = 0.0
    transit_factor: Annotated[float, Meta(ge=0.01, le=100)] = 1.0


class Pushes(BaseFault, frozen=True, rename={"max_delay": "late", "duplicated": "doubled", "stale": "old"}):
    """Disturbs the pushes of files to proxies.

    Attributes:
        max_delay: Upper bound of the random delay of each file; later files may overtake earlier ones.
        lost: Share of files that are not delivered.
        duplicated: Share of files that are delivered twice.
        torn: Share of files that are written in place, so that readers may see a part.
        stale: Share of files after which an older file is delivered again.
    """

    span: Seconds
    max_delay: Seconds = 0.0
    lost: Share = 0.0
    duplicated: Share = 0.0
    torn: Share = 0.0
    stale: Share = 0.0


class Disks(BaseFault, frozen=True, rename={"machines": "who", "mode": "how", "delay": "slow"}):
    """Makes the disks of planners or proxies full, missing (`gone`), or slow: `delay` per operation."""

    machines: NameList
    span: Seconds
    mode: Literal["full", "gone", "slow"] = "full"
    delay: Seconds = 1.0


class UnidentifiedClients(BaseFault, frozen=True, tag="strangers", rename={"payload": "say"}):
    """Connects clients that are not part of the deployment and send nothing valid to a planner."""

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

MACHINE_NAME_FIELDS = ("planners", "proxies", "servers", "machines", "source", "target")


def fault_kind(fault: Fault) -> str:
    """Return the name of a fault's kind in stored scripts."""
    return str(msgspec.to_builtins(fault)[KIND_FIELD])


def machine_name_fields(fault: Fault) -> dict[str, NameList]:
    """Return the fields of a fault that list machine names; the boolean `proxies` of `LoseZone` is not one of them."""
    values = ((field, getattr(fault, field, None)) for field in MACHINE_NAME_FIELDS)
    return {field: names for field, names in values if isinstance(names, tuple)}


def stored_field_name(fault: Fault, field: str) -> str:
    """Return the name of a fault's field in stored scripts."""
    encoded = {info.name: info.encode_name for info in msgspec.structs.fields(fault)}
    return encoded[field]
