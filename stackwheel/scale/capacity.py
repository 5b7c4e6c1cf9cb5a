"""Each role's cost at the design size, worked out from a result file of slopes."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from statistics import fmean

from stackwheel.scale import design_size as design
from stackwheel.scale.slopes import (
    Choice,
    Repeat,
    Result,
    ResultError,
    Usage,
    mean,
    mean_usage,
)

SHOWN = ("core", "rss_mb", "control_bytes_in", "control_bytes_out", "data_bytes_in", "data_bytes_out")
MISSING = "*missing*"
NOT_MEASURED = "computed"
WATCH = "`wire/discovery.py` `Discovery.watch`"
ORDERS = "`wire/links.py` `Links.deliver`"
PEERS = "`balance.py` `Planner.tell_peers`"
CHOICE = "`forwarder/holdings.py` `choose`"
PROBE = "`wire/probes.py` `probe`"


@dataclass(frozen=True, slots=True)
class Budget:
    """What a row is held against; None where nothing is stated."""

    core: float | None = None
    memory_mb: float | None = None
    control_bytes: float | None = None  # a second, in and out together
    added_ms: float | None = None


PLANNER_BUDGET = Budget(design.CORE_BUDGET, design.MEMORY_BUDGET_MB, design.BYTES_BUDGET)
PROXY_BUDGET = Budget(added_ms=design.PROXY_ADDED_MS)


@dataclass(frozen=True, slots=True)
class Cost:
    """What one of a role costs; bytes and messages a second. None: not measured here."""

    core: float | None = None
    memory_mb: float | None = None
    control_in: float | None = None
    control_out: float | None = None
    data_in: float | None = None
    data_out: float | None = None
    messages_in: float | None = None
    messages_out: float | None = None
    added_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table."""

    role: str
    case: str
    state: str
    cost: Cost
    source: str
    mechanism: str
    budget: Budget = Budget()
    factor: float = 1.0  # beyond the largest measured size

    def needs(self) -> dict[str, float]:
        """Need over budget, by what is budgeted."""
        cost, budget = self.cost, self.budget
        control = None if cost.control_in is None else cost.control_in + (cost.control_out or 0.0)
        pairs = {
            "core": (cost.core, budget.core),
            "memory": (cost.memory_mb, budget.memory_mb),
            "bytes": (control, budget.control_bytes),
            "added time": (cost.added_ms, budget.added_ms),
        }
        return {name: need / most for name, (need, most) in pairs.items() if need is not None and most is not None}

    def worst(self) -> tuple[str, float] | None:
        """The budget that is needed most of."""
        needs = self.needs()
        return max(needs.items(), key=lambda item: item[1]) if needs else None


def cost_of(usage: Usage) -> Cost:
    """A measured usage as a row's cost."""
    return Cost(
        usage.core,
        usage.rss_mb,
        usage.control_bytes_in,
        usage.control_bytes_out,
        usage.data_bytes_in,
        usage.data_bytes_out,
        usage.control_messages_in + usage.data_messages_in,
        usage.control_messages_out + usage.data_messages_out,
    )


@dataclass(frozen=True, slots=True)
class Model:
    """A result, and what is worked out from it."""

    result: Result
    sizes: list[design.ServiceSize]

    def direct(self, name: str) -> list[Repeat]:
        """The repeats of a point measured as such."""
        if not self.result.direct.get(name):
            raise ResultError(f"no measured point {name!r}")
        return self.result.direct[name]

    def entry_bytes(self) -> float:
        """Of one server in the list, from the largest list that was sent whole."""
        repeats = self.direct("whole list")
        return fmean(one.start_list_bytes / one.size for one in repeats)

    def usual(self, name: str) -> Cost:
        """The mean of a measured point."""
        return cost_of(mean_usage(self.direct(name)))

    def highest_second(self, name: str) -> Cost:
        """The mean, over repeats, of each metric's highest second."""
        return cost_of(mean([one.peak for one in self.direct(name)]))

    def start_bytes(self, name: str) -> float:
        """Of the whole list or part, as a planner that starts is sent it."""
        return fmean(one.start_list_bytes for one in self.direct(name))


def planner_rows(model: Model) -> Iterator[Row]:
    """Without cells, then with them; the mean, the largest, the worst second."""
    whole = "48,000 servers, 85 zones, 5 proxies"
    found = model.result.sweep("planner", "list")
    extrapolated = Cost(
        *(found.fits[name].at(design.SERVERS) for name in SHOWN),
    )
    factor = found.fits["core"].factor(design.SERVERS)
    carried = f"scope: {MISSING} for a planner that is given the whole list; watched by {WATCH}"
    yield Row("planner", "whole list, mean", whole, model.usual("whole list"), "measured", carried, PLANNER_BUDGET)
    yield Row("planner", "whole list, mean, by slope", whole, extrapolated, "list sweep", carried, factor=factor)
    lost = model.highest_second("whole list, zone lost")
    yield Row(
        "planner",
        "whole list, zone lost",
        f"{design.ZONE_SERVERS} entries at once",
        lost,
        "measured, highest second",
        carried,
        PLANNER_BUDGET,
    )
    region = design.REGION_SERVERS * model.entry_bytes()
    yield bytes_row("whole list, region lost", f"{design.REGION_SERVERS:,} entries at once", region, carried)
    yield bytes_row(
        "whole list, start or region healed", "the whole list anew", model.start_bytes("whole list"), carried
    )
    for name, state in CELLS.items():
        yield from cell_rows(model, name, state)


CELLS = {
    "mean cell": "23 servers, 7 planners, 5 proxies",
    "part of the largest service": "51 servers, 16 planners, 5 proxies",
    "largest cell": "512 servers, 16 planners, 44 proxies",
}


def cell_rows(model: Model, name: str, state: str) -> Iterator[Row]:
    """One kind of cell: usual, zone lost, region lost or start."""
    carried = f"{WATCH}, {PEERS}, {ORDERS}"
    yield Row("planner", f"{name}, mean", state, model.usual(name), "measured", carried, PLANNER_BUDGET)
    if name == "mean cell":
        crowded = model.usual("mean cell, one request a proxy")
        crowd = "23 servers, 7 planners, 66 proxies"
        yield Row("planner", f"{name}, 66 proxies", crowd, crowded, "measured", carried, PLANNER_BUDGET)
    lost = model.highest_second(f"{name}, zone lost")
    half = "half of its servers at once"
    yield Row("planner", f"{name}, zone lost", half, lost, "measured, highest second", carried, PLANNER_BUDGET)
    part = model.start_bytes(name)
    yield bytes_row(f"{name}, region lost, healed, or start", "all of its entries at once", part, WATCH)


def bytes_row(case: str, state: str, size: float, carried: str) -> Row:
    """A second in which so many bytes of the list come."""
    cost = Cost(control_in=size, control_out=0.0, messages_in=1.0)
    return Row("planner", case, state, cost, f"{NOT_MEASURED}: entries' bytes", carried, PLANNER_BUDGET)


def proxy_rows(model: Model) -> Iterator[Row]:
    """From the streams of the mean cell, as the other end of what a planner sends and is sent."""
    proxies = 5
    streams = [one.channels["streams"] for one in model.direct("mean cell")]
    cost = Cost(
        data_in=fmean(one.bytes_out for one in streams) / proxies,
        data_out=fmean(one.bytes_in for one in streams) / proxies,
        messages_in=fmean(one.messages_out for one in streams) / proxies,
        messages_out=fmean(one.messages_in for one in streams) / proxies,
    )
    yield Row("proxy", "mean", "tables of 23 lines", cost, "measured at the planner", ORDERS)
    for choice in model.result.choices:
        yield choice_row(choice)
    routes = design.ROUTES / design.SERVICES
    lines = routes * design.SERVERS / design.SERVICES
    unscoped = design.ROUTES * design.SERVERS / design.SERVICES
    yield Row(
        "proxy",
        "40,000 routes",
        f"{routes:.0f} routes, {lines:,.0f} lines of its service; {unscoped:,.0f} of all",
        Cost(),
        NOT_MEASURED,
        f"routes are classes read at a start, `settings.py`; tables by route: {MISSING}",
    )
    tenants = design.TENANTS / design.SERVICES
    held = tenants * design.TENANT_BYTES
    everyone = design.TENANTS * design.TENANT_BYTES
    yield Row(
        "proxy",
        "500,000 tenants",
        f"{tenants:.0f} tenants, {held / 1e3:.0f} KB of its service; {everyone / 1e6:.0f} MB of all",
        Cost(),
        NOT_MEASURED,
        f"{MISSING}: no message names a tenant",
    )


def choice_row(choice: Choice) -> Row:
    """The time that a choice adds to a request."""
    which = "first try" if choice.without == 0 else f"try {choice.without + 1}"
    return Row(
        "proxy",
        f"choice, {which}",
        f"a table of {choice.lines} lines",
        Cost(added_ms=choice.median_us / 1000.0),
        "measured, median of repeats",
        CHOICE,
        PROXY_BUDGET,
    )


def collector_rows(model: Model) -> Iterator[Row]:
    """One a zone; it passes each planner what its service's requests met."""
    reports = [one.channels["collectors"] for one in model.direct("mean cell")]
    zones = 2  # of the mean cell, so many collectors report to its planner
    planners = zones * design.PLANNERS / design.ZONES
    cost = Cost(
        data_out=fmean(one.bytes_in for one in reports) / zones * planners,
        messages_out=fmean(one.messages_in for one in reports) / zones * planners,
    )
    yield Row(
        "collector",
        "mean",
        f"{planners:.0f} planners with servers in its zone",
        cost,
        "mean cell's reports",
        f"whom a collector connects to: {MISSING} with cells; read by `wire/peer.py` `Peer.take`",
    )


def discovery_rows(model: Model) -> Iterator[Row]:
    """The registry's side of the list, without cells: every planner watches it."""
    whole, entry = model.start_bytes("whole list"), model.entry_bytes()
    largest = model.sizes[0]
    beats = design.PLANNERS / design.BEAT_SECONDS
    yield registry_row(
        "all planners watch, mean",
        f"{design.PLANNERS:,} watches, {design.LIST_CHANGES:.2f} changes a second",
        design.PLANNERS * design.LIST_CHANGES * entry + beats * design.BEAT_BYTES,
        design.PLANNERS * design.LIST_CHANGES + beats,
    )
    lost = design.PLANNERS * design.ZONE_SERVERS * entry
    yield registry_row("all planners watch, zone lost", "in one second", lost, float(design.PLANNERS))
    region = design.PLANNERS * design.REGION_SERVERS * entry
    yield registry_row("all planners watch, region lost", "in one second", region, float(design.PLANNERS))
    healed = design.PLANNERS / design.REGIONS
    yield registry_row("all planners watch, region healed", f"{healed:.0f} planners ask anew", healed * whole, healed)
    yield registry_row(
        "all planners watch, largest service restarted",
        f"{largest.planners} planners ask anew",
        largest.planners * whole,
        float(largest.planners),
    )
    relays = design.CONTROL_MACHINES
    yield registry_row(
        "17 relays watch, mean",
        f"{relays} watches",
        relays * (design.LIST_CHANGES * entry + design.BEAT_BYTES / design.BEAT_SECONDS),
        relays * (design.LIST_CHANGES + 1 / design.BEAT_SECONDS),
        RELAY,
    )
    yield registry_row(
        "17 relays watch, zone lost", "in one second", relays * design.ZONE_SERVERS * entry, float(relays), RELAY
    )


RELAY = f"scoped lists: {MISSING}"


def registry_row(case: str, state: str, size: float, messages: float, mechanism: str = f"fan-out: {MISSING}") -> Row:
    """What discovery writes."""
    cost = Cost(control_out=size, messages_out=messages)
    return Row("discovery", case, state, cost, f"{NOT_MEASURED}: entries' bytes", mechanism)


def control_rows(model: Model) -> Iterator[Row]:
    """One of the 17 machines as a relay: it holds the whole list and serves its part of the cells."""
    entry, whole = model.entry_bytes(), model.start_bytes("whole list")
    machines, watchers = design.CONTROL_MACHINES, design.watchers_of_a_change(model.sizes)
    watches, cells = design.PLANNERS / machines, sum(one.cells for one in model.sizes)
    told = design.LIST_CHANGES * watchers / machines
    state = f"{design.SERVERS:,} entries, {2 * cells / machines:.0f} of {cells:,} cells, {watches:.0f} watches"
    beats = watches / design.BEAT_SECONDS

    def row(case: str, state: str, size_in: float, size_out: float, messages: float) -> Row:
        cost = Cost(control_in=size_in, control_out=size_out, messages_out=messages)
        return Row("control machine", case, state, cost, f"{NOT_MEASURED}: entries' bytes", RELAY)

    yield row("mean", state, design.LIST_CHANGES * entry, told * entry + beats * design.BEAT_BYTES, told + beats)
    for case, servers in (("zone lost", design.ZONE_SERVERS), ("region lost", design.REGION_SERVERS)):
        sent = servers * entry * watchers / machines
        yield row(case, f"{servers:,} entries at once", servers * entry, sent, watches)
    yield row(
        "region healed",
        "list read anew, parts of its own region",
        whole,
        watches / design.REGIONS * 23 * entry,
        watches / design.REGIONS,
    )
    largest = model.sizes[0]
    part = largest.servers / largest.cells * entry
    each = largest.planners / machines
    yield row("largest service restarted", f"{each:.0f} planners ask anew", 0.0, each * part, each)
    changes = design.CONFIGURATION_CHANGES / design.IN_FORCE_SECONDS * design.CONFIGURATION_BYTES
    yield Row(
        "control machine",
        "12,000 changes of configuration in 5 s",
        f"{design.CONFIGURATION_CHANGES / design.IN_FORCE_SECONDS:,.0f} a second to {watches:.0f} planners",
        Cost(control_in=changes, control_out=changes / design.SERVICES * watches),
        f"{NOT_MEASURED}: {design.CONFIGURATION_BYTES} bytes a change",
        f"{MISSING}: a file read again on SIGHUP, `service/reload.py` `Reload.run`",
    )


def configuration_rows() -> Iterator[Row]:
    """A change of configuration at a planner: of its own service alone, or of all."""
    mechanism = f"{MISSING}: a file read again on SIGHUP, `service/reload.py` `Reload.run`"
    rate = design.CONFIGURATION_CHANGES / design.IN_FORCE_SECONDS * design.CONFIGURATION_BYTES
    for case, size in (("all of them", rate), ("its service's alone", rate / design.SERVICES)):
        yield Row(
            "planner",
            f"12,000 changes of configuration in 5 s, {case}",
            f"{size / design.CONFIGURATION_BYTES:,.1f} changes a second",
            Cost(control_in=size, control_out=0.0),
            f"{NOT_MEASURED}: {design.CONFIGURATION_BYTES} bytes a change",
            mechanism,
            PLANNER_BUDGET,
        )


def server_rows() -> Iterator[Row]:
    """Probes at most; the measured planners sent none, as reports came each cycle."""
    probes = design.PROBES_A_REQUEST * design.REQUESTS / design.SERVERS
    cost = Cost(messages_in=probes, messages_out=probes)
    yield Row("server", "mean, at most", "no state for control", cost, f"{NOT_MEASURED}: docs/fleet.md", PROBE)


def rows_of(result: Result) -> list[Row]:
    """All rows; ResultError where the result lacks what they need."""
    model = Model(result, design.service_sizes())
    return [
        *planner_rows(model),
        *configuration_rows(),
        *proxy_rows(model),
        *collector_rows(model),
        *discovery_rows(model),
        *control_rows(model),
        *server_rows(),
    ]


def over_budget(rows: Sequence[Row]) -> list[tuple[Row, str, float]]:
    """Rows that need more than their budget, the worst first."""
    found = [(row, *worst) for row in rows if (worst := row.worst()) is not None and worst[1] > 1.0]
    return sorted(found, key=lambda item: -item[2])
