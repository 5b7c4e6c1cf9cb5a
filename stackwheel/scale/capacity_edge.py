"""Rows of the capacity model for planners, proxies, collectors and servers."""

from __future__ import annotations

from collections.abc import Iterator
from statistics import fmean

from stackwheel.scale import target_size as design
from stackwheel.scale.capacity import (
    CHOICE,
    MISSING,
    NOT_MEASURED,
    ORDERS,
    PEERS,
    PLANNER_BUDGET,
    PROBE,
    PROXY_BUDGET,
    SCOPE,
    SHOWN,
    WATCH,
    Cost,
    Model,
    Row,
)
from stackwheel.scale.points import MEAN_CELL
from stackwheel.scale.slopes import Choice

CELLS = {
    "mean cell": "23 servers, 7 planners, 5 proxies",
    "part of the largest service": "51 servers, 16 planners, 5 proxies",
    "largest cell": "512 servers, 16 planners, 44 proxies",
}


def planner_rows(model: Model) -> Iterator[Row]:
    """Without cells, then with them; the mean, the largest, the worst second."""
    full_list_state = "48,000 servers, 85 zones, 5 proxies"
    found = model.result.sweep("planner", "list")
    fits = [found.fits[name] for name in SHOWN]
    extrapolated = Cost(*(fit.at(design.SERVERS) if fit.holds() else None for fit in fits))
    factor = found.fits["core"].factor(design.SERVERS)
    carried = f"{MISSING} while a planner is given the whole list; {SCOPE}"
    yield Row(
        "planner",
        "whole list, mean",
        full_list_state,
        model.mean_cost("whole list"),
        "measured",
        carried,
        PLANNER_BUDGET,
    )
    yield Row(
        "planner", "whole list, mean, by slope", full_list_state, extrapolated, "list sweep", carried, factor=factor
    )
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


def cell_rows(model: Model, name: str, state: str) -> Iterator[Row]:
    """One kind of cell: usual, zone lost, region lost or start."""
    carried = f"{WATCH}, {PEERS}, {ORDERS}"
    yield Row("planner", f"{name}, mean", state, model.mean_cost(name), "measured", carried, PLANNER_BUDGET)
    if name == "mean cell":
        with_66_proxies = model.mean_cost("mean cell, one request a proxy")
        state_66_proxies = "23 servers, 7 planners, 66 proxies"
        yield Row(
            "planner", f"{name}, 66 proxies", state_66_proxies, with_66_proxies, "measured", carried, PLANNER_BUDGET
        )
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
    proxies = MEAN_CELL.proxies
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
    tenant_bytes = tenants * design.TENANT_BYTES
    everyone = design.TENANTS * design.TENANT_BYTES
    yield Row(
        "proxy",
        "500,000 tenants",
        f"{tenants:.0f} tenants, {tenant_bytes / 1e3:.0f} KB of its service; {everyone / 1e6:.0f} MB of all",
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
    zones = MEAN_CELL.zones  # so many collectors report to its planner
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
        f"{MISSING}: which planners a collector connects to with cells; read by "
        "`wire/connection.py` `Connection.dispatch`",
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
