"""Rows of the table of roles in the capacity model, for planners, proxies, collectors and servers."""

from __future__ import annotations

from collections.abc import Iterator
from statistics import fmean

from stackwheel.scale import target_size as target
from stackwheel.scale.capacity import (
    CELL_MECHANISM,
    CHOICE_MECHANISM,
    COMPUTED_SOURCE,
    GOSSIP_MECHANISM,
    HEALTH_CHECK_MECHANISM,
    MISSING_MECHANISM,
    PLANNER_BUDGET,
    PROXY_BUDGET,
    SHOWN_METRICS,
    UPDATE_MECHANISM,
    WATCH_MECHANISM,
    Cost,
    Model,
    Row,
)
from stackwheel.scale.points import MEAN_CELL
from stackwheel.scale.slopes import Choice

CELL_STATES = {
    "mean cell": "23 servers, 7 planners, 5 proxies",
    "part of the largest service": "51 servers, 16 planners, 5 proxies",
    "largest cell": "512 servers, 16 planners, 44 proxies",
}
"""Descriptions of the size of a cell, by the name of the single point at which it is measured."""


def planner_rows(model: Model) -> Iterator[Row]:
    """Return the rows of a planner that watches the full list, then of planners in cells of several sizes."""
    yield from full_list_rows(model)
    for name, state in CELL_STATES.items():
        yield from cell_rows(model, name, state)


def full_list_rows(model: Model) -> Iterator[Row]:
    """Return the rows of a planner that watches the full list: mean, zone lost, region lost, start."""
    state = "48,000 servers, 85 zones, 5 proxies"
    sweep = model.result.sweep("planner", "list")
    fits = [sweep.fits[name] for name in SHOWN_METRICS]
    extrapolated_cost = Cost(*(fit.value_at(target.SERVERS) if fit.is_slope() else None for fit in fits))
    factor = sweep.fits["core"].extrapolation_factor(target.SERVERS)
    mechanism = f"{MISSING_MECHANISM} while a planner is given the whole list; {CELL_MECHANISM}"
    yield measured_row("whole list, mean", state, model.mean_cost("whole list"), mechanism)
    yield Row(
        "planner",
        "whole list, mean, by slope",
        state,
        extrapolated_cost,
        "list sweep",
        mechanism,
        extrapolation_factor=factor,
    )
    lost_zone_cost = model.highest_second("whole list, zone lost")
    yield highest_second_row(
        "whole list, zone lost", f"{target.SERVERS_PER_ZONE} entries at once", lost_zone_cost, mechanism
    )
    region_bytes = target.SERVERS_PER_REGION * model.mean_entry_bytes()
    yield bytes_row(
        "whole list, region lost", f"{target.SERVERS_PER_REGION:,} entries at once", region_bytes, mechanism
    )
    start_list_bytes = model.start_bytes("whole list")
    yield bytes_row("whole list, start or region healed", "the whole list anew", start_list_bytes, mechanism)


def cell_rows(model: Model, name: str, state: str) -> Iterator[Row]:
    """Return the rows of a planner in one kind of cell: mean, zone lost, region lost or start."""
    mechanism = f"{WATCH_MECHANISM}, {GOSSIP_MECHANISM}, {UPDATE_MECHANISM}"
    yield measured_row(f"{name}, mean", state, model.mean_cost(name), mechanism)
    if name == "mean cell":
        cost_with_66_proxies = model.mean_cost("mean cell, one request a proxy")
        yield measured_row(f"{name}, 66 proxies", "23 servers, 7 planners, 66 proxies", cost_with_66_proxies, mechanism)
    lost_zone_cost = model.highest_second(f"{name}, zone lost")
    yield highest_second_row(f"{name}, zone lost", "half of its servers at once", lost_zone_cost, mechanism)
    start_list_bytes = model.start_bytes(name)
    yield bytes_row(
        f"{name}, region lost, healed, or start", "all of its entries at once", start_list_bytes, WATCH_MECHANISM
    )


def measured_row(case: str, state: str, cost: Cost, mechanism: str) -> Row:
    """Return one row of a planner with the measured mean cost."""
    return Row("planner", case, state, cost, "measured", mechanism, PLANNER_BUDGET)


def highest_second_row(case: str, state: str, cost: Cost, mechanism: str) -> Row:
    """Return one row of a planner with the measured cost in the highest second."""
    return Row("planner", case, state, cost, "measured, highest second", mechanism, PLANNER_BUDGET)


def bytes_row(case: str, state: str, list_bytes: float, mechanism: str) -> Row:
    """Return one row of a planner that receives `list_bytes` bytes of the endpoint list in one second."""
    cost = Cost(control_bytes_in=list_bytes, control_bytes_out=0.0, messages_in=1.0)
    return Row("planner", case, state, cost, f"{COMPUTED_SOURCE}: entries' bytes", mechanism, PLANNER_BUDGET)


def proxy_rows(model: Model) -> Iterator[Row]:
    """Return the rows of a proxy: its stream to a planner of the mean cell, choices of a server, routes, tenants."""
    proxies = MEAN_CELL.proxies
    streams = [repeat.channels["streams"] for repeat in model.repeats_at("mean cell")]
    cost = Cost(
        data_bytes_in=fmean(stream.bytes_out for stream in streams) / proxies,
        data_bytes_out=fmean(stream.bytes_in for stream in streams) / proxies,
        messages_in=fmean(stream.messages_out for stream in streams) / proxies,
        messages_out=fmean(stream.messages_in for stream in streams) / proxies,
    )
    yield Row("proxy", "mean", "tables of 23 lines", cost, "measured at the planner", UPDATE_MECHANISM)
    for choice in model.result.choices:
        yield choice_row(choice)
    yield routes_row()
    yield tenants_row()


def routes_row() -> Row:
    """Return the row for the weight tables of a proxy's routes in the table of roles.

    A route corresponds to a request class. No mechanism distributes tables by route yet, so the row has no cost.
    """
    routes = target.ROUTES / target.SERVICES
    lines = routes * target.SERVERS / target.SERVICES
    fleet_lines = target.ROUTES * target.SERVERS / target.SERVICES
    return Row(
        "proxy",
        "40,000 routes",
        f"{routes:.0f} routes, {lines:,.0f} lines of its service; {fleet_lines:,.0f} of all",
        Cost(),
        COMPUTED_SOURCE,
        f"routes are classes read at a start, `settings.py`; tables by route: {MISSING_MECHANISM}",
    )


def tenants_row() -> Row:
    """Return the row for the tenant state of a proxy, without a cost because no mechanism distributes it yet."""
    tenants = target.TENANTS / target.SERVICES
    tenant_bytes = tenants * target.BYTES_PER_TENANT
    all_tenants_bytes = target.TENANTS * target.BYTES_PER_TENANT
    return Row(
        "proxy",
        "500,000 tenants",
        f"{tenants:.0f} tenants, {tenant_bytes / 1e3:.0f} KB of its service; {all_tenants_bytes / 1e6:.0f} MB of all",
        Cost(),
        COMPUTED_SOURCE,
        f"{MISSING_MECHANISM}: no message names a tenant",
    )


def choice_row(choice: Choice) -> Row:
    """Return the row for the latency that the choice of a server adds to a request of a proxy."""
    attempt = "first try" if choice.attempted == 0 else f"try {choice.attempted + 1}"
    return Row(
        "proxy",
        f"choice, {attempt}",
        f"a table of {choice.lines} lines",
        Cost(added_ms=choice.median_us / 1000.0),
        "measured, median of repeats",
        CHOICE_MECHANISM,
        PROXY_BUDGET,
    )


def collector_rows(model: Model) -> Iterator[Row]:
    """Return the row of a collector; each zone has one, which sends load reports to planners."""
    reports = [repeat.channels["collectors"] for repeat in model.repeats_at("mean cell")]
    zones = MEAN_CELL.zones  # equals the number of collectors that report to a planner
    planners = zones * target.PLANNERS / target.ZONES
    cost = Cost(
        data_bytes_out=fmean(report.bytes_in for report in reports) / zones * planners,
        messages_out=fmean(report.messages_in for report in reports) / zones * planners,
    )
    yield Row(
        "collector",
        "mean",
        f"{planners:.0f} planners with servers in its zone",
        cost,
        "mean cell's reports",
        f"{MISSING_MECHANISM}: which planners a collector connects to with cells; read by "
        "`wire/connection.py` `Connection.dispatch`",
    )


def configuration_rows() -> Iterator[Row]:
    """Return the rows of a planner that receives the configuration changes of all services, or of its own service."""
    mechanism = f"{MISSING_MECHANISM}: a file read again on SIGHUP, `service/reload.py` `Reload.run`"
    all_services_bytes_per_s = (
        target.CONFIGURATION_CHANGES_PER_DAY / target.CONFIGURATION_DEADLINE_S * target.BYTES_PER_CONFIGURATION_CHANGE
    )
    for case, bytes_per_s in (
        ("all of them", all_services_bytes_per_s),
        ("its service's alone", all_services_bytes_per_s / target.SERVICES),
    ):
        yield Row(
            "planner",
            f"12,000 changes of configuration in 5 s, {case}",
            f"{bytes_per_s / target.BYTES_PER_CONFIGURATION_CHANGE:,.1f} changes a second",
            Cost(control_bytes_in=bytes_per_s, control_bytes_out=0.0),
            f"{COMPUTED_SOURCE}: {target.BYTES_PER_CONFIGURATION_CHANGE} bytes a change",
            mechanism,
            PLANNER_BUDGET,
        )


def server_rows() -> Iterator[Row]:
    """Return the row for the maximum rate of health checks of a server; timely load reports make them unnecessary."""
    health_checks = target.HEALTH_CHECKS_PER_REQUEST * target.REQUESTS_PER_S / target.SERVERS
    cost = Cost(messages_in=health_checks, messages_out=health_checks)
    yield Row(
        "server",
        "mean, at most",
        "no state for control",
        cost,
        f"{COMPUTED_SOURCE}: docs/fleet.md",
        HEALTH_CHECK_MECHANISM,
    )
