"""The policy's interface: settings, events and actions in the field's words.

Types only. `balance.py` decides on these; an adapter (such as `drill`) translates them to and from a
protocol. Times are milliseconds on the planner's clock; rates are per second.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NewType, TypeAlias

Server = NewType("Server", bytes)  # an opaque id: compare it, sort it, give it back unchanged


class Availability(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListScope(IntEnum):
    CACHED = 0  # the whole list as last held, perhaps old
    CHANGES = 1
    WHOLE = 2
    FAILED = 3  # a call failed or the subscription broke; the old list stands


class Retry(IntEnum):
    NEVER = 0
    ONCE_IF_UNTRIED = 1  # only after proof that the first try never ran
    ONCE = 2
    TWICE = 3


class Probed(IntEnum):
    """How a probe ended; other figures that an adapter may give count as an error."""

    ERROR = 0
    OK = 1
    TURNED_AWAY = 2  # by a server that is full, draining or probed too often at once
    NO_ANSWER = 3  # in time
    UNREACHABLE = 4
    RESET = 5


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str = ""
    aim: float = 1000.0
    deadline: float = 3000.0
    worth: float = 1.0
    effect: str = "once"  # repeatable, by_key or once
    group: str = "all"  # which servers drop a repeat: all, zone or cell
    key_window: float = 0.0
    open_zones: tuple[int, ...] = ()  # empty: every zone
    open_kinds: tuple[int, ...] = ()  # empty: every kind
    zone_bound: bool = False  # only servers in the proxy's own zone


@dataclass(frozen=True, slots=True)
class Settings:
    planner: int = 0
    planners: int = 1
    home_zone: int = 0
    zones: int = 1
    classes: tuple[RequestClass, ...] = ()
    load_columns: tuple[str, ...] = ()
    weights_listed: bool = False
    list_on_request: bool = False
    ask_within: float = 10000.0
    peers_allowed: bool = False
    probes_allowed: bool = False
    cross_zone_price: float = 0.0
    proxies: int = 1
    cycle: float = 1000.0
    overhead: float = 0.0  # lines each message costs besides its own
    channel_rate: float = 1000.0
    backlog: float = 1000.0  # lines that may wait in the channel; 0: no such limit
    message_cap: int = 0  # messages to one proxy within message_window; 0: no such limit
    message_window: float = 10000.0
    unserved_max: float = 5000.0
    transit: float = 300.0
    admission: str = "off"  # share, rate or off
    pick: str = "weighted"  # weighted, round or two
    usual_retry: Retry = Retry.ONCE_IF_UNTRIED
    try_factor: float = 1.0
    strikes: int = 0  # failures in a row after which a proxy avoids a server for a while; 0: never
    slices: int = 0  # 0: tables are bound to proxies; else a table per slice
    exclusive: bool = False
    drain_grace: float = 2000.0
    only_draining_binds: bool = False
    cold_share: float = 0.2
    cold_time: float = 10000.0
    fall_multiple: float = 2.0
    overload_for: float = 2000.0


@dataclass(frozen=True, slots=True)
class ServerEntry:
    server: Server
    zone: int
    kind: int
    cell: int
    availability: Availability
    size: float
    started: float  # 0: long ago


@dataclass(frozen=True, slots=True)
class ServerList:
    scope: ListScope
    version: int
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    server: Server
    outcome: int  # of Probed
    elapsed: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    proxy: int
    zone: int
    usual_rate: float
    fresh: bool  # it holds only its standing tables


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    proxy: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    proxy: int
    mark: int
    elapsed: float


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What the joined proxies of one zone met at a server."""

    zone: int
    server: Server
    tries: int
    failures: int
    mean_time: float  # of the good answers
    window: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Requests of a class that came to a proxy."""

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class SliceDemand:
    table: int
    request_class: int
    requests: int
    unanswered: int
    window: float


@dataclass(frozen=True, slots=True)
class SliceGranted:
    table: int
    granted: bool


@dataclass(frozen=True, slots=True)
class SliceLine:
    table: int
    server: Server
    weight: float


Event: TypeAlias = (
    ServerList
    | TimerFired
    | ProbeResult
    | PeerMessage
    | ProxyJoined
    | ProxyLeft
    | Acknowledged
    | ServerReport
    | DemandReport
    | SliceDemand
    | SliceGranted
    | SliceLine
)


@dataclass(frozen=True, slots=True)
class SetWeight:
    table: int
    server: Server
    weight: float  # 0 removes the line


@dataclass(frozen=True, slots=True)
class AssignTable:
    """Put a joined proxy on a table, whole, for some classes."""

    proxy: int
    table: int
    classes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ClearTable:
    table: int


@dataclass(frozen=True, slots=True)
class Withdraw:
    server: Server
    out: bool


Level: TypeAlias = tuple[float, Retry]  # how much is let in, and when it is tried again


@dataclass(frozen=True, slots=True)
class SetAdmission:
    table: int
    classes: tuple[int, ...]
    level: float
    retry: Retry


@dataclass(frozen=True, slots=True)
class Mark:
    mark: int
    everyone: bool


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: Server


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class TellPeers:
    payload: bytes
    peer: int | None = None  # None: all


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action: TypeAlias = (
    SetWeight
    | AssignTable
    | ClearTable
    | Withdraw
    | SetAdmission
    | Mark
    | SetTimer
    | Probe
    | Subscribe
    | FetchList
    | TellPeers
    | Log
)
