"""Scripts from seeds. What is likely stands in the tables below; a seed leaves most kinds out, so that others
go deep (swarm testing), and rare overlaps are made common on purpose."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from stackwheel.trials import script as s

SPAN = (22.0, 34.0)  # s
QUIET_AT_START, QUIET_AT_END = 3.0, 6.0  # s without a new fault
KINDS_MOST = 5  # of fault kinds in one script
FAULTS = (2, 10)  # how many
SHAPES: dict[str, tuple[tuple[object, float], ...]] = {  # value and weight
    "planners": ((1, 1), (2, 5), (3, 3), (4, 1)),
    "zones": ((1, 1), (2, 4), (3, 3), (4, 2)),
    "proxies": ((4, 1), (8, 4), (12, 2), (20, 1)),
    "servers": ((4, 1), (8, 4), (12, 2), (20, 1)),
    "use": ((0.3, 2), (0.5, 4), (0.7, 3), (0.95, 1)),
    "cap": ((0, 1), (12, 3), (20, 2)),
    "channel_rate": ((200.0, 1), (300.0, 2), (1000.0, 2), (3000.0, 3)),  # small fleets, crowded as large ones
    "transit": ((80.0, 2), (150.0, 3), (300.0, 1)),
    "unserved_max": ((5000.0, 1), (7000.0, 3)),
    "drain_grace": ((2000.0, 1), (3000.0, 3), (4000.0, 1)),
    "only_draining_binds": ((False, 4), (True, 1)),
    "cold": ((8000.0, 1), (17000.0, 3), (25000.0, 1)),
    "cold_share": ((0.1, 1), (0.22, 3)),
    "fall_multiple": ((2.0, 1), (2.5, 2), (3.0, 2), (4.0, 1)),
    "overload_for": ((2000.0, 2), (3000.0, 3)),
    "pick": (("two", 4), ("weighted", 2), ("round", 1)),
    "admission": (("share", 3), ("rate", 1), ("off", 1)),
    "strikes": ((0, 3), (8, 1)),
    "on_request": ((True, 3), (False, 1)),
    "peers": ((True, 3), (False, 1)),
    "probes": ((True, 2), (False, 1)),
    "reports": ((True, 2), (False, 1)),
    "client_retries": ((0, 1), (2, 2)),
}
BACKLOG_SECONDS = (1.5, 2.0, 2.0, 2.0)  # of the channel's rate that may wait
CLASSES: tuple[tuple[tuple[s.Class, ...], float], ...] = (
    ((s.Class("read", 0.7, 120.0), s.Class("write", 0.3, 240.0, 1000.0, 3000.0, 5.0, "once")), 4),
    (
        (
            s.Class("look", 0.5, 120.0),
            s.Class("save", 0.3, 200.0, 1000.0, 3000.0, 3.0, "by_key", "zone"),
            s.Class("book", 0.2, 240.0, 1000.0, 3000.0, 5.0, "once"),
        ),
        3,
    ),
    ((s.Class("near", 0.4, 120.0, zone_bound=True), s.Class("any", 0.6, 160.0)), 1),
    ((s.Class("only", 1.0, 160.0, 400.0, 1500.0, 1.0, "once"),), 1),
)


class Drawing:
    """Names and times for the faults of one script."""

    def __init__(self, chance: random.Random, shape: s.Shape, span: float) -> None:
        self.chance, self.shape, self.span = chance, shape, span

    def when(self) -> float:
        return self.round(self.chance.uniform(QUIET_AT_START, max(QUIET_AT_START, self.span - QUIET_AT_END)))

    def time(self, low: float, high: float) -> float:
        return self.round(self.chance.uniform(low, high))

    @staticmethod
    def round(value: float) -> float:
        return round(value, 2)

    def some(self, kind: str, count: int, share: float) -> s.Names:
        """Between one and a share of the machines of a kind; at times a whole zone."""
        if kind != "planner" and self.chance.random() < 0.2:
            return (f"zone-{self.chance.randrange(self.shape.zones)}",)
        many = self.chance.randint(1, max(1, round(share * count)))
        return tuple(f"{kind}-{n}" for n in sorted(self.chance.sample(range(count), many)))

    def servers(self, share: float) -> s.Names:
        found = self.some("server", self.shape.servers, share)
        if found[0].startswith("zone"):  # `zone-n` would name its proxies too
            return tuple(f"server-{n}" for n in s.members(found, self.shape, "server"))
        return found

    def proxies(self, share: float) -> s.Names:
        found = self.some("proxy", self.shape.proxies, share)
        if found[0].startswith("zone"):
            return tuple(f"proxy-{n}" for n in s.members(found, self.shape, "proxy")) or ("proxy-0",)
        return found

    def relays(self) -> s.Names:
        """One of the two more often than both."""
        return ("relays",) if self.chance.random() < 0.2 else (f"relay-{self.chance.randrange(self.shape.relays)}",)

    def planners(self) -> s.Names:
        everyone = self.chance.random() < 0.15
        return ("planners",) if everyone else self.some("planner", self.shape.planners, 0.5)


def cut(d: Drawing) -> s.Fault:
    ways: tuple[tuple[s.Names, s.Names], ...] = (
        (d.proxies(0.6), ("planners",)),
        (d.proxies(0.6), d.planners()),
        (d.planners(), ("discovery",)),
        (("planners",), ("planners",)),
        ((f"zone-{d.chance.randrange(d.shape.zones)}",), d.planners()),
        (
            zone := (f"zone-{d.chance.randrange(d.shape.zones)}",),
            tuple(f"zone-{n}" for n in range(d.shape.zones) if f"zone-{n}" not in zone) or ("planners",),
        ),
    )
    source, target = d.chance.choice(ways)
    if d.chance.random() < 0.5:
        source, target = target, source
    return s.Cut(d.when(), source, target, d.time(1.0, 17.0), d.chance.random() < 0.3)


def discovery(d: Drawing) -> s.Fault:
    how = d.chance.choice(("refuse", "503", "silence", "late"))
    return s.Discovery(d.when(), d.time(2.0, 12.0), how, d.time(0.5, 6.0))  # type: ignore[arg-type]


def stall(d: Drawing) -> s.Fault:
    who = d.planners() if d.chance.random() < 0.5 else d.proxies(0.8)
    if d.chance.random() < 0.3:
        return s.Stall(d.when(), who, d.time(3.0, 10.0), deaf=d.chance.random() < 0.5)
    return s.Stall(d.when(), who, d.time(0.5, 1.7), d.chance.randint(2, 6), d.time(2.0, 4.0))


def lose_zone(d: Drawing) -> s.Fault:
    return s.LoseZone(
        d.when(), d.chance.randrange(d.shape.zones), d.time(3.0, 10.0), d.chance.random() < 0.4, d.chance.random() < 0.3
    )


KINDS: tuple[tuple[Callable[[Drawing], s.Fault], float], ...] = (
    (lambda d: s.Kill(d.when(), d.planners(), d.time(0.3, 6.0), d.chance.random() < 0.8), 4),
    (stall, 3),
    (cut, 5),
    (lambda d: s.Reset(d.when(), d.proxies(1.0)), 2),
    (lambda d: s.HalfOpen(d.when(), d.proxies(0.5), d.time(0.2, 2.7)), 2),
    (lambda d: s.Doubled(d.when(), d.proxies(0.5), d.time(0.1, 3.0)), 2),
    (lambda d: s.MidMessage(d.when(), d.proxies(0.5)), 1),
    (lambda d: s.Restart(d.when(), d.proxies(0.6), d.time(0.1, 3.0)), 2),
    (lambda d: s.Die(d.when(), d.servers(0.3), d.time(3.0, 10.0) * (d.chance.random() < 0.9)), 3),
    (lambda d: s.Drain(d.when(), d.servers(0.4), d.time(2.0, 6.0), d.time(1.0, 6.0) * (d.chance.random() < 0.5)), 5),
    (lambda d: s.Replace(d.when(), d.servers(0.9), d.time(4.0, 14.0)), 3),
    (lambda d: s.Fail(d.when(), d.servers(0.3), d.time(4.0, 12.0), d.time(0.3, 0.9)), 2),
    (lambda d: s.Slow(d.when(), d.servers(0.4), d.time(4.0, 12.0), d.time(0.3, 0.75)), 2),
    (lose_zone, 2),
    (discovery, 4),
    (lambda d: s.Older(d.when(), d.time(0.05, 8.0)), 2),
    (lambda d: s.Reload(d.when(), ("planners",), d.time(0.5, 2.0)), 2),
    (lambda d: s.Renumber(d.when()), 1),
    (lambda d: s.Demand(d.when(), d.proxies(0.4), d.time(4.0, 12.0), d.time(0.2, 3.0)), 2),
    (lambda d: s.Reports(d.when(), d.time(3.0, 10.0), d.time(0.2, 3.0), d.time(0.0, 0.3), d.chance.random() < 0.3), 2),
    (lambda d: s.Datagrams(d.when(), d.time(3.0, 15.0), d.time(0.1, 1.0), d.time(0.0, 0.3), d.time(0.0, 0.5)), 1),
    (lambda d: s.Way(d.when(), d.time(2.0, 10.0), d.time(1.0, 50.0), d.time(0.0, 1.0), d.time(1.0, 2.0)), 2),
    (
        lambda d: s.Strangers(
            d.when(),
            d.chance.randint(1, 20),
            f"planner-{d.chance.randrange(d.shape.planners)}",
            d.chance.choice(("nothing", "half", "http", "noise", "ping", "false_join")),
        ),
        1,
    ),
)


def draw_shape(chance: random.Random) -> s.Shape:
    def one_of(choices: tuple[tuple[object, float], ...]) -> object:
        return chance.choices([value for value, _ in choices], [weight for _, weight in choices])[0]

    fields: dict[str, object] = {name: one_of(choices) for name, choices in SHAPES.items()}
    fields["classes"] = one_of(CLASSES)
    fields["backlog"] = round(float(str(fields["channel_rate"])) * chance.choice(BACKLOG_SECONDS))
    return s.Shape(**fields)  # type: ignore[arg-type]


FILE_KINDS: tuple[tuple[Callable[[Drawing], s.Fault], float], ...] = (
    (
        lambda d: s.Pushes(
            d.when(),
            d.time(2.0, 8.0),
            d.time(0.0, 4.0),
            d.time(0.0, 0.3) * (d.chance.random() < 0.5),
            d.time(0.0, 0.5),
            d.time(0.0, 0.5),
            d.time(0.0, 0.6),
        ),
        10,
    ),
    (
        lambda d: s.Disks(
            d.when(),
            d.planners() if d.chance.random() < 0.6 else d.proxies(0.5),
            d.time(1.0, 6.0),
            d.chance.choice(("full", "gone", "slow")),
            d.time(0.2, 1.5),
        ),
        4,
    ),
)


def relay_cut(d: Drawing) -> s.Fault:
    """Relays lose the registry, planners, or each of both."""
    others: tuple[s.Names, ...] = (("discovery",), d.planners(), ("discovery", "planners"))
    source, target = d.relays(), d.chance.choice(others)
    if d.chance.random() < 0.5:
        source, target = target, source
    return s.Cut(d.when(), source, target, d.time(1.0, 17.0), d.chance.random() < 0.3)


def relay_stall(d: Drawing) -> s.Fault:
    if d.chance.random() < 0.4:
        return s.Stall(d.when(), d.relays(), d.time(2.0, 10.0))
    return s.Stall(d.when(), d.relays(), d.time(0.3, 1.9), d.chance.randint(2, 6), d.time(2.0, 4.0))


RELAY_KINDS: tuple[tuple[Callable[[Drawing], s.Fault], float], ...] = (
    (lambda d: s.Kill(d.when(), d.relays(), d.time(0.1, 9.0), d.chance.random() < 0.7), 8),
    (relay_cut, 10),
    (relay_stall, 5),
    (lambda d: s.Lag(d.when(), d.relays(), d.time(2.0, 12.0), d.time(0.2, 5.0)), 7),
    (lambda d: s.Unreadable(d.when(), d.servers(0.5), d.time(1.0, 9.0)), 2),
    (lambda d: s.Older(d.when(), d.time(0.05, 8.0)), 3),
    (lambda d: s.Renumber(d.when()), 3),
    (lambda d: s.Reload(d.when(), ("planners",)), 2),
    (discovery, 4),
    (lambda d: s.Drain(d.when(), d.servers(0.4), d.time(2.0, 6.0), d.time(1.0, 6.0) * (d.chance.random() < 0.5)), 8),
)


def draw(seed: int, files: bool = False, relays: bool = False) -> s.Script:
    """The script of a seed: the same one everywhere, always; with files in the place of streams, or relays between
    discovery and planners, if so asked."""
    chance = random.Random(f"script {seed}{' files' if files else ''}{' relays' if relays else ''}")
    shape = draw_shape(chance)
    if files:
        shape = msgspec.structs.replace(shape, files=True)
    if relays:
        shape = msgspec.structs.replace(shape, relays=2)
    span = round(chance.uniform(*SPAN), 1)
    drawing = Drawing(chance, shape, span)
    table = KINDS + (FILE_KINDS if files else ()) + (RELAY_KINDS if relays else ())
    kinds = [make for make, _ in table]
    weights = [weight for _, weight in table]
    chosen = chance.choices(kinds, weights, k=chance.randint(1, KINDS_MOST))
    faults = [chance.choice(chosen)(drawing) for _ in range(chance.randint(*FAULTS))]
    return s.Script(seed, span, shape, tuple(sorted(faults, key=lambda fault: fault.at)))
