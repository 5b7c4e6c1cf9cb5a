"""Scripts of a trial: the shape of a deployment and what happens when, to whom. Typed, readable, JSON.

Times are seconds of virtual time, shares run from 0 to 1. Machines are named `planner-0`, `proxy-3`,
`server-5`, `relay-1`, `discovery`, `collector-1` (of a zone); `zone-1` names all in it, `planners`, `proxies`,
`servers` and `relays` all of a kind.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Time = Annotated[float, Meta(ge=0, le=86400)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0, le=100000)]
Names = tuple[str, ...]
Positive = Annotated[float, Meta(gt=0)]


class ScriptError(ValueError):
    """A script that can't be used; one line that names the place."""


class Class(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: str
    share: Share  # of all requests
    work: Positive  # ms of a core at speed 1
    aim: Positive = 500.0
    deadline: Positive = 1200.0
    worth: Positive = 1.0
    effect: Literal["repeatable", "by_key", "once"] = "repeatable"
    group: Literal["all", "zone", "cell"] = "all"
    key_window: float = 3000.0
    zone_bound: bool = False


class Shape(Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment: who there is, and the settings that differ from case to case."""

    planners: Annotated[int, Meta(ge=1, le=16)] = 2
    zones: Annotated[int, Meta(ge=1, le=16)] = 2
    proxies: Annotated[int, Meta(ge=1, le=5000)] = 8
    servers: Annotated[int, Meta(ge=1, le=2000)] = 8
    classes: Annotated[tuple[Class, ...], Meta(min_length=1, max_length=8)] = (
        Class("read", 0.7, 120.0),
        Class("write", 0.3, 240.0, 1000.0, 3000.0, 5.0, "once"),
    )
    cores: Annotated[int, Meta(ge=1, le=64)] = 1
    use: Annotated[float, Meta(gt=0, le=5)] = 0.5  # of all capacity, by demand
    start_lines: Annotated[int, Meta(ge=1, le=64)] = 6  # of a proxy's standing table
    cycle: Positive = 1000.0
    channel_rate: Positive = 3000.0
    backlog: float = 6000.0
    cap: Count = 0
    overhead: float = 4.0
    transit: Positive = 150.0
    unserved_max: Positive = 7000.0
    drain_grace: Positive = 3000.0
    only_draining_binds: bool = False
    cold: Positive = 12000.0
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.22
    fall_multiple: Positive = 3.0
    overload_for: Positive = 3000.0
    ask_within: Positive = 10000.0
    pick: Literal["two", "weighted", "round"] = "two"
    admission: Literal["share", "rate", "off"] = "share"
    strikes: Count = 0
    usual_retry: Annotated[int, Meta(ge=0, le=3)] = 1
    on_request: bool = True
    peers: bool = True
    probes: bool = True
    reports: bool = True  # whether servers tell how many requests they hold
    files: bool = False  # forwarders are spoken to by files alone
    relays: Annotated[int, Meta(ge=0, le=2)] = 0  # between discovery and planners; 0: planners ask discovery itself
    window: Annotated[int, Meta(ge=1024, le=1 << 20)] = 128 * 1024  # bytes that a connection takes from its writer
    client_retries: Annotated[int, Meta(ge=0, le=5)] = 2
    latency: Positive = 0.5  # ms one way within a zone
    between: Positive = 2.0  # ms one way between zones


class Event(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", tag=str.lower):
    """Something that happens at a time."""

    at: Time


class Kill(Event, frozen=True):
    """Planners or relays are killed, or told to end; they start over after `back`, from nothing."""

    planners: Names
    back: Time = 1.0
    sign: bool = True  # without it their machines vanish: connections stay open and quiet


class Stall(Event, frozen=True):
    """Processes stand still for `span`, `times` times, `every` so often."""

    who: Names
    span: Time
    times: Annotated[int, Meta(ge=1, le=1000)] = 1
    every: Time = 2.0
    deaf: bool = False  # proxies do not even read what arrives


class Cut(Event, frozen=True):
    """Nothing passes from some to others; nor back, unless it is `one_way`."""

    source: Names
    target: Names
    span: Time
    one_way: bool = False


class Reset(Event, frozen=True):
    """The streams of proxies break; they notice at once and dial again."""

    proxies: Names


class HalfOpen(Event, frozen=True, tag="half_open"):
    """The present streams of proxies go quiet for good, without a sign; they notice after `notice`."""

    proxies: Names
    notice: Time = 2.0


class Doubled(Event, frozen=True):
    """Proxies open a second stream while the bytes of the first are still on their way, for `late`."""

    proxies: Names
    late: Time = 1.0


class MidMessage(Event, frozen=True, tag="mid_message"):
    """Proxies reset their stream in the middle of the next message of several parts, or of any."""

    proxies: Names


class Restart(Event, frozen=True):
    """Proxies start over, with only their standing table."""

    proxies: Names
    back: Time = 0.5


class Die(Event, frozen=True):
    """Servers end without a word; they come back cold under the same name, or never where `back` is 0."""

    servers: Names
    back: Time = 8.0


class Drain(Event, frozen=True):
    """Servers are told to drain, are gone after `gone`, and back cold after `back` more unless it is 0."""

    servers: Names
    gone: Time = 4.0
    back: Time = 0.0


class Replace(Event, frozen=True):
    """Servers drain one after the other over `span`; a new one, cold, takes the place of each."""

    servers: Names
    span: Time = 10.0


class Fail(Event, frozen=True):
    """Servers quickly fail a share of their requests."""

    servers: Names
    span: Time
    share: Share = 0.7


class Slow(Event, frozen=True):
    """Something else takes a share of servers' machines."""

    servers: Names
    span: Time
    share: Share = 0.6


class LoseZone(Event, frozen=True, tag="lose_zone"):
    """All servers of a zone are lost and come back cold; with them its proxies or planners, if so said."""

    zone: Count
    back: Time = 6.0
    proxies: bool = False
    planners: bool = False


class Discovery(Event, frozen=True):
    """Discovery is out of order: refuses, answers 503, says nothing, or tells late by `late`."""

    span: Time
    how: Literal["refuse", "503", "silence", "late"] = "503"
    late: Time = 0.0


class Lag(Event, frozen=True):
    """Discovery's watches tell some relays of changes `late` after the others; their empty lines come in time."""

    who: Names
    span: Time
    late: Annotated[float, Meta(ge=0, le=5)] = 2.0  # within the protocol's 6 s


class Unreadable(Event, frozen=True):
    """Entries of servers can't be read for a while, in lists and changes; then they are told once more. With relays
    only."""

    servers: Names
    span: Time


class Older(Event, frozen=True):
    """Watches are told once more of an older state, in its older generation, then of the present one."""

    after: Time = 0.3


class Reload(Event, frozen=True):
    """Discovery moves to another address; planners get a new configuration and SIGHUP. With relays their plan gives
    the cell another port, and they get SIGHUP as well."""

    planners: Names = ("planners",)
    close: Time = 1.5  # until the old address ends what is still open there; with relays it stays open


class Renumber(Event, frozen=True):
    """Discovery counts its generations anew."""


class Demand(Event, frozen=True):
    """Demand of some proxies changes by a factor."""

    proxies: Names
    span: Time
    factor: Annotated[float, Meta(ge=0, le=100)]


class Reports(Event, frozen=True):
    """Reports come late by `late`, or spoilt in a share of lines, or their connections break."""

    span: Time
    late: Time = 0.0
    spoilt: Share = 0.0
    breaks: bool = False


class Datagrams(Event, frozen=True):
    """Datagrams between planners are lost, doubled or reordered."""

    span: Time
    lost: Share = 0.0
    doubled: Share = 0.0
    reordered: Share = 0.0


class Way(Event, frozen=True):
    """Latency grows by a factor; a share of writes arrives in pieces; orders take longer to arrive."""

    span: Time
    factor: Annotated[float, Meta(ge=0.01, le=1000)] = 1.0
    pieces: Share = 0.0
    transit: Annotated[float, Meta(ge=0.01, le=100)] = 1.0


class Pushes(Event, frozen=True):
    """Files come up to `late` later, so that they overtake each other; are lost; come twice; are copied in place; and
    beside some an old one is pushed again."""

    span: Time
    late: Time = 0.0
    lost: Share = 0.0
    doubled: Share = 0.0
    torn: Share = 0.0
    old: Share = 0.0


class Disks(Event, frozen=True):
    """Disks of planners or proxies are full, gone, or take `slow` for each thing."""

    who: Names
    span: Time
    how: Literal["full", "gone", "slow"] = "full"
    slow: Time = 1.0


class Strangers(Event, frozen=True):
    """Clients that belong to nobody connect and say what is of no use."""

    count: Annotated[int, Meta(ge=1, le=5000)]
    planner: str = "planner-0"
    say: Literal["nothing", "half", "http", "noise", "ping", "false_join"] = "nothing"


Fault = (
    Kill
    | Stall
    | Cut
    | Reset
    | HalfOpen
    | Doubled
    | MidMessage
    | Restart
    | Die
    | Drain
    | Replace
    | Fail
    | Slow
    | LoseZone
    | Discovery
    | Lag
    | Unreadable
    | Older
    | Reload
    | Renumber
    | Demand
    | Reports
    | Datagrams
    | Way
    | Strangers
    | Pushes
    | Disks
)


class Script(Struct, frozen=True, forbid_unknown_fields=True):
    """One trial: its seed decides what the script leaves to chance."""

    seed: Annotated[int, Meta(ge=0)] = 0
    span: Annotated[float, Meta(gt=0, le=86400)] = 24.0
    shape: Shape = Shape()
    faults: tuple[Fault, ...] = ()
    note: str = ""


SINGLE = {"planners": "planner", "proxies": "proxy", "servers": "server", "relays": "relay"}


def members(names: Names, shape: Shape, kind: str) -> list[int]:
    """The numbers of the machines of a kind (planner, proxy, server or relay) that names stand for, in order."""
    most = {"planner": shape.planners, "proxy": shape.proxies, "server": shape.servers, "relay": shape.relays}[kind]
    found: dict[int, None] = {}
    for name in names:
        word, _, number = name.partition("-")
        if name in SINGLE:
            found.update(dict.fromkeys(range(most) if SINGLE[name] == kind else ()))
        elif word == "zone" and number.isdecimal():
            found.update(dict.fromkeys(n for n in range(most) if zone_of(kind, n, shape) == int(number)))
        elif word == kind and number.isdecimal() and int(number) < most:
            found[int(number)] = None
    return list(found)


def zone_of(kind: str, number: int, shape: Shape) -> int:
    """Machines are dealt out to zones in turn."""
    return number % shape.zones


def machines(names: Names, shape: Shape) -> list[str]:
    """The machines that names stand for, by their own names."""
    kinds = ("planner", "proxy", "server", "relay")
    found = {f"{kind}-{n}": None for kind in kinds for n in members(names, shape, kind)}
    for name in names:
        word, _, number = name.partition("-")
        if name == "discovery" or word == "collector":
            found[name] = None
        elif word == "zone":
            found[f"collector-{number}"] = None
    return list(found)


def check(script: Script) -> Script:
    """ScriptError where a fault names a machine that the shape does not have, or lies beyond the end."""
    shape = script.shape
    if abs(sum(c.share for c in shape.classes) - 1.0) > 0.01:
        raise ScriptError("shape.classes: shares do not add up to 1")
    if len({c.name for c in shape.classes}) < len(shape.classes):
        raise ScriptError("shape.classes: a name stands twice")
    for place, fault in enumerate(script.faults):
        if fault.at > script.span:
            raise ScriptError(f"faults[{place}].at: {fault.at:g} s is beyond the end at {script.span:g} s")
        for field in ("planners", "proxies", "servers", "who", "source", "target"):
            names = getattr(fault, field, None)
            for name in names if isinstance(names, tuple) else ():
                if not machines((name,), shape):
                    raise ScriptError(f"faults[{place}].{field}: the shape has no {name!r}")
        if isinstance(fault, Unreadable) and not shape.relays:
            raise ScriptError(f"faults[{place}]: unreadable entries are for a shape with relays")
        if isinstance(fault, LoseZone) and fault.zone >= shape.zones:
            raise ScriptError(f"faults[{place}].zone: the shape has no zone {fault.zone}")
        if isinstance(fault, Strangers) and not members((fault.planner,), shape, "planner"):
            raise ScriptError(f"faults[{place}].planner: the shape has no {fault.planner!r}")
    return script


def load(path: Path) -> Script:
    """ScriptError in one line: the file, the place in it, what was expected."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ScriptError(f"{path}: {error.strerror or error}") from None
    try:
        return check(decode(data))
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError, ScriptError) as error:
        raise ScriptError(f"{path}: {error}") from None


def decode(data: bytes) -> Script:
    return msgspec.json.decode(data, type=Script)


def encode(script: Script) -> bytes:
    return msgspec.json.format(msgspec.json.encode(script), indent=2) + b"\n"


def words(script: Script) -> list[str]:
    """The script as a person would tell it, a line a fault."""
    shape = script.shape
    told = [
        f"seed {script.seed}: {script.span:g} s, {shape.planners} planners, {shape.proxies} proxies, "
        f"{shape.servers} servers in {shape.zones} zones, {f'{shape.relays} relays, ' if shape.relays else ''}"
        f"demand {shape.use:.0%} of capacity"
    ]
    for fault in sorted(script.faults, key=lambda f: f.at):
        fields = msgspec.structs.asdict(fault)
        kind = str(msgspec.to_builtins(fault)["kind"]).replace("_", " ")
        rest = "; ".join(f"{name.replace('_', ' ')} {plain(value)}" for name, value in fields.items() if name != "at")
        told.append(f"  at {fault.at:6.2f} s  {kind}: {rest}" if rest else f"  at {fault.at:6.2f} s  {kind}")
    return told


def plain(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(str, value))
    return f"{value:g}" if isinstance(value, float) else str(value)
