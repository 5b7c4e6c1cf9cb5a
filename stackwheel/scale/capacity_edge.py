"""Rows of the capacity model for planners, proxies, collectors and servers."""

from __future__ import annotations

from collections.abc import Iterator
from statistics import fmean

from stackwheel.scale import target_size as design
from stackwheel.scale.capacity import (
    CHOICE,
    COMPUTED,
    HEALTH_CHECK,
    MISSING,
    PEERS,
    PLANNER_BUDGET,
    PROXY_BUDGET,
    SCOPE,
    SHOWN_METRICS,
    UPDATES,
    WATCH,
    Cost,
    Model,
    Row,
)
from stackwheel.scale.points import MEAN_CELL
from stackwheel.scale.slopes import Choice

CELLS = {  # the state of a cell by its name, which single points and the page have
    "mean cell": "23 servers, 7 planners, 5 proxies",
    "part of the largest service": "51 servers, 16 planners, 5 proxies",
    "largest cell": "512 servers, 16 planners, 44 proxies",
}


def planner_rows(model: Model) -> Iterator[Row]:
    """Rows of a planner: with the full list, then in cells of several sizes."""
    yield from full_list_rows(model)
    for name, state in CELLS.items():
        yield from cell_rows(model, name, state)


def full_list_rows(model: Model) -> Iterator[Row]:
    """Rows of a planner that has the full list: mean, zone lost, region lost, start."""
    state = "48,000 servers, 85 zones, 5 proxies"
    sweep = model.result.sweep("planner", "list")
    fits = [sweep.fits[name] for name in SHOWN_METRICS]
    extrapolated = Cost(*(fit.at(design.SERVERS) if fit.is_slope() else None for fit in fits))
    factor = sweep.fits["core"].factor(design.SERVERS)
    mechanism = f"{MISSING} while a planner is given the whole list; {SCOPE}"
    yield measured_row("whole list, mean", state, model.mean_cost("whole list"), mechanism)
    yield Row("planner", "whole list, mean, by slope", state, extrapolated, "list sweep", mechanism, factor=factor)
    lost = model.highest_second("whole list, zone lost")
    yield highest_second_row("whole list, zone lost", f"{design.ZONE_SERVERS} entries at once", lost, mechanism)
    region = design.REGION_SERVERS * model.entry_bytes()
    yield bytes_row("whole list, region lost", f"{design.REGION_SERVERS:,} entries at once", region, mechanism)
    start = model.start_bytes("whole list")
    yield bytes_row("whole list, start or region healed", "the whole list anew", start, mechanism)


def cell_rows(model: Model, name: str, state: str) -> Iterator[Row]:
    """Rows of a planner in one kind of cell: mean, zone lost, region lost or start."""
    mechanism = f"{WATCH}, {PEERS}, {UPDATES}"
    yield measured_row(f"{name}, mean", state, model.mean_cost(name), mechanism)
    if name == "mean cell":
        with_66_proxies = model.mean_cost("mean cell, one request a proxy")
        yield measured_row(f"{name}, 66 proxies", "23 servers, 7 planners, 66 proxies", with_66_proxies, mechanism)
    lost = model.highest_second(f"{name}, zone lost")
    yield highest_second_row(f"{name}, zone lost", "half of its servers at once", lost, mechanism)
    start = model.start_bytes(name)
    yield bytes_row(f"{name}, region lost, healed, or start", "all of its entries at once", start, WATCH)


def measured_row(case: str, state: str, cost: Cost, mechanism: str) -> Row:
    """One row of a planner: the mean cost as measured."""
    return Row("planner", case, state, cost, "measured", mechanism, PLANNER_BUDGET)


def highest_second_row(case: str, state: str, cost: Cost, mechanism: str) -> Row:
    """One row of a planner: the highest second as measured."""
    return Row("planner", case, state, cost, "measured, highest second", mechanism, PLANNER_BUDGET)


def bytes_row(case: str, state: str, size: float, mechanism: str) -> Row:
    """One row of a planner: a second in which it receives `size` bytes of the list."""
    cost = Cost(control_in=size, control_out=0.0, messages_in=1.0)
    return Row("planner", case, state, cost, f"{COMPUTED}: entries' bytes", mechanism, PLANNER_BUDGET)


def proxy_rows(model: Model) -> Iterator[Row]:
    """Rows of a proxy: its stream to a planner of the mean cell, choices of a server, routes, tenants."""
    proxies = MEAN_CELL.proxies
    streams = [repeat.channels["streams"] for repeat in model.direct("mean cell")]
    cost = Cost(
        data_in=fmean(stream.bytes_out for stream in streams) / proxies,
        data_out=fmean(stream.bytes_in for stream in streams) / proxies,
        messages_in=fmean(stream.messages_out for stream in streams) / proxies,
        messages_out=fmean(stream.messages_in for stream in streams) / proxies,
    )
    yield Row("proxy", "mean", "tables of 23 lines", cost, "measured at the planner", UPDATES)
    for choice in model.result.choices:
        yield choice_row(choice)
    yield routes_row()
    yield tenants_row()


def routes_row() -> Row:
    """The row of a proxy's routes; nothing carries them yet."""
    routes = design.ROUTES / design.SERVICES
    lines = routes * design.SERVERS / design.SERVICES
    unscoped = design.ROUTES * design.SERVERS / design.SERVICES
    return Row(
        "proxy",
        "40,000 routes",
        f"{routes:.0f} routes, {lines:,.0f} lines of its service; {unscoped:,.0f} of all",
        Cost(),
        COMPUTED,
        f"routes are classes read at a start, `settings.py`; tables by route: {MISSING}",
    )


def tenants_row() -> Row:
    """The row of what a proxy has to know about tenants; nothing carries it yet."""
    tenants = design.TENANTS / design.SERVICES
    tenant_bytes = tenants * design.TENANT_BYTES
    all_tenants_bytes = design.TENANTS * design.TENANT_BYTES
    return Row(
        "proxy",
        "500,000 tenants",
        f"{tenants:.0f} tenants, {tenant_bytes / 1e3:.0f} KB of its service; {all_tenants_bytes / 1e6:.0f} MB of all",
        Cost(),
        COMPUTED,
        f"{MISSING}: no message names a tenant",
    )


def choice_row(choice: Choice) -> Row:
    """The row of the time that choosing a server adds to a request."""
    attempt = "first try" if choice.attempted == 0 else f"try {choice.attempted + 1}"
    return Row(
        "proxy",
        f"choice, {attempt}",
        f"a table of {choice.lines} lines",
        Cost(added_ms=choice.median_us / 1000.0),
        "measured, median of repeats",
        CHOICE,
        PROXY_BUDGET,
    )


def collector_rows(model: Model) -> Iterator[Row]:
    """The row of a collector; each zone has one, which sends load reports to the planners of its services."""
    reports = [repeat.channels["collectors"] for repeat in model.direct("mean cell")]
    zones = MEAN_CELL.zones  # the number of collectors that report to one planner
    planners = zones * design.PLANNERS / design.ZONES
    cost = Cost(
        data_out=fmean(report.bytes_in for report in reports) / zones * planners,
        messages_out=fmean(report.messages_in for report in reports) / zones * planners,
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
    """Rows of a planner that gets changes of configuration: those of all services, or of its own one."""
    mechanism = f"{MISSING}: a file read again on SIGHUP, `service/reload.py` `Reload.run`"
    rate = design.CONFIGURATION_CHANGES / design.IN_FORCE_SECONDS * design.CONFIGURATION_BYTES
    for case, size in (("all of them", rate), ("its service's alone", rate / design.SERVICES)):
        yield Row(
            "planner",
            f"12,000 changes of configuration in 5 s, {case}",
            f"{size / design.CONFIGURATION_BYTES:,.1f} changes a second",
            Cost(control_in=size, control_out=0.0),
            f"{COMPUTED}: {design.CONFIGURATION_BYTES} bytes a change",
            mechanism,
            PLANNER_BUDGET,
        )


def server_rows() -> Iterator[Row]:
    """The row of a server's health checks, at most; measured planners sent none, as load reports came in time."""
    health_checks = design.HEALTH_CHECKS_PER_REQUEST * design.REQUESTS / design.SERVERS
    cost = Cost(messages_in=health_checks, messages_out=health_checks)
    yield Row("server", "mean, at most", "no state for control", cost, f"{COMPUTED}: docs/fleet.md", HEALTH_CHECK)
