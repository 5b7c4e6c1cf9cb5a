"""Rows of the capacity model for the discovery service and the control machines, which run relays."""

from __future__ import annotations

from collections.abc import Iterator

from stackwheel.scale import target_size as target
from stackwheel.scale.capacity import (
    COMPUTED_SOURCE,
    MISSING_MECHANISM,
    REGISTRY_BUDGET,
    RELAY_BUDGET,
    RELAY_MECHANISM,
    Cost,
    Model,
    Row,
)


def discovery_rows(model: Model) -> Iterator[Row]:
    """Return the rows of the discovery service: watched by all planners, or, with cells, only by the relays."""
    full_list_bytes = model.start_bytes("whole list")
    entry_bytes = model.mean_entry_bytes()
    largest = model.sizes[0]
    heartbeats = target.PLANNERS / target.HEARTBEAT_INTERVAL_S
    yield registry_row(
        "all planners watch, mean",
        f"{target.PLANNERS:,} watches, {target.LIST_CHANGES_PER_S:.2f} changes a second",
        target.PLANNERS * target.LIST_CHANGES_PER_S * entry_bytes + heartbeats * target.BYTES_PER_HEARTBEAT,
        target.PLANNERS * target.LIST_CHANGES_PER_S + heartbeats,
    )
    zone_bytes = target.PLANNERS * target.SERVERS_PER_ZONE * entry_bytes
    yield registry_row("all planners watch, zone lost", "in one second", zone_bytes, float(target.PLANNERS))
    region_bytes = target.PLANNERS * target.SERVERS_PER_REGION * entry_bytes
    yield registry_row("all planners watch, region lost", "in one second", region_bytes, float(target.PLANNERS))
    region_planners = target.PLANNERS / target.REGIONS
    yield registry_row(
        "all planners watch, region healed",
        f"{region_planners:.0f} planners ask anew",
        region_planners * full_list_bytes,
        region_planners,
    )
    yield registry_row(
        "all planners watch, largest service restarted",
        f"{largest.planners} planners ask anew",
        largest.planners * full_list_bytes,
        float(largest.planners),
    )
    relays = target.CONTROL_MACHINES
    yield registry_row(
        "17 relays watch, mean",
        f"{relays} watches",
        relays * (target.LIST_CHANGES_PER_S * entry_bytes + target.BYTES_PER_HEARTBEAT / target.HEARTBEAT_INTERVAL_S),
        relays * (target.LIST_CHANGES_PER_S + 1 / target.HEARTBEAT_INTERVAL_S),
        RELAY_MECHANISM,
    )
    yield registry_row(
        "17 relays watch, zone lost",
        "in one second",
        relays * target.SERVERS_PER_ZONE * entry_bytes,
        float(relays),
        RELAY_MECHANISM,
    )


def registry_row(
    case: str,
    state: str,
    bytes_per_s: float,
    messages_per_s: float,
    mechanism: str = f"{MISSING_MECHANISM} without relays",
) -> Row:
    """Return one row of the discovery service.

    Args:
        case: name of the case.
        state: sizes and events of the case.
        bytes_per_s: bytes that the service sends per second.
        messages_per_s: messages that the service sends per second.
        mechanism: the code that handles the load.
    """
    cost = Cost(control_bytes_out=bytes_per_s, messages_out=messages_per_s)
    return Row("discovery", case, state, cost, f"{COMPUTED_SOURCE}: entries' bytes", mechanism, REGISTRY_BUDGET)


def control_rows(model: Model) -> Iterator[Row]:
    """Return the rows of a control machine: a relay that watches the full list and serves its share of the cells."""
    entry_bytes = model.mean_entry_bytes()
    full_list_bytes = model.start_bytes("whole list")
    machines = target.CONTROL_MACHINES
    watchers = target.mean_watchers_per_change(model.sizes)
    watches = target.PLANNERS / machines
    cells = sum(service.cells for service in model.sizes)
    state = f"{target.SERVERS:,} entries, {2 * cells / machines:.0f} of {cells:,} cells, {watches:.0f} watches"
    yield relay_row(model, "mean", state, watches, target.LIST_CHANGES_PER_S)
    watches_after_loss = target.PLANNERS / (machines - 1)
    yield relay_row(
        model,
        "mean, one of 17 lost",
        f"{watches_after_loss:.0f} watches",
        watches_after_loss,
        target.LIST_CHANGES_PER_S,
    )
    for case, servers in (("zone lost", target.SERVERS_PER_ZONE), ("region lost", target.SERVERS_PER_REGION)):
        yield relay_row(model, case, f"{servers:,} entries in one second", watches, float(servers))
    region_watches = watches / target.REGIONS
    cell_list_bytes = watchers / target.PLANNERS_PER_SERVER * entry_bytes
    healed_cost = Cost(
        control_bytes_in=full_list_bytes,
        control_bytes_out=region_watches * cell_list_bytes,
        messages_out=region_watches,
    )
    yield computed_row("region healed", f"the list read anew, {region_watches:.0f} planners ask anew", healed_cost)
    largest = model.sizes[0]
    planners = largest.planners / machines
    restart_cost = Cost(
        control_bytes_in=0.0,
        control_bytes_out=planners * largest.servers / largest.cells * entry_bytes,
        messages_out=planners,
    )
    yield computed_row("largest service restarted", f"{planners:.0f} planners ask anew in one second", restart_cost)
    yield configuration_row(watches)


def computed_row(case: str, state: str, cost: Cost) -> Row:
    """Return one row of a control machine of which only bytes and messages are known."""
    return Row(
        "control machine", case, state, cost, f"{COMPUTED_SOURCE}: entries' bytes", RELAY_MECHANISM, RELAY_BUDGET
    )


def relay_row(model: Model, case: str, state: str, watches: float, changes: float) -> Row:
    """Return one row of a control machine: CPU time and memory from the slopes, bytes from the mean entry size.

    Args:
        model: the capacity model.
        case: name of the case.
        state: sizes and events of the case.
        watches: number of watches that the relay serves.
        changes: changes of the endpoint list per second.
    """
    entry_bytes = model.mean_entry_bytes()
    watchers = target.mean_watchers_per_change(model.sizes)
    notifications = changes * watchers / target.CONTROL_MACHINES
    heartbeats = watches / target.HEARTBEAT_INTERVAL_S
    cost = Cost(
        core=relay_cost(model, "core", watches, changes),
        memory_mb=relay_cost(model, "rss_mb", watches, 0.0),
        control_bytes_in=changes * entry_bytes,
        control_bytes_out=notifications * entry_bytes + heartbeats * target.BYTES_PER_HEARTBEAT,
        messages_in=changes,
        messages_out=notifications + heartbeats,
    )
    sweeps = {"watchers": watches, "servers": float(target.SERVERS), "changes": changes}
    factor = max(
        model.result.sweep("relay", name).fits["core"].extrapolation_factor(size) for name, size in sweeps.items()
    )
    source = "relay sweeps; bytes computed"
    return Row("control machine", case, state, cost, source, RELAY_MECHANISM, RELAY_BUDGET, factor)


def relay_cost(model: Model, metric: str, watches: float, changes: float) -> float:
    """Return the cost of a relay in one metric: the cost of its watches, plus that of the full list and the changes.

    The sweep over watches was measured with a short list and without changes.
    """
    sweeps = {name: model.result.sweep("relay", name) for name in ("watchers", "servers", "changes")}
    fits = {name: sweep.fits[metric] for name, sweep in sweeps.items()}
    server_cost = fits["servers"].value_at(target.SERVERS) - fits["servers"].value_at(
        sweeps["watchers"].fixed["servers"]
    )
    sizes = [repeat.size for repeat in sweeps["changes"].repeats]
    cost_per_change = (fits["changes"].value_at(max(sizes)) - fits["changes"].value_at(min(sizes))) / (
        max(sizes) - min(sizes)
    )
    return fits["watchers"].value_at(watches) + max(0.0, server_cost) + max(0.0, cost_per_change) * changes


def configuration_row(watches: float) -> Row:
    """Return the row of a control machine that distributes all configuration changes of a day within the deadline."""
    changes_per_s = target.CONFIGURATION_CHANGES_PER_DAY / target.CONFIGURATION_DEADLINE_S
    bytes_per_s = changes_per_s * target.BYTES_PER_CONFIGURATION_CHANGE
    return Row(
        "control machine",
        "12,000 changes of configuration in 5 s",
        f"{changes_per_s:,.0f} a second to {watches:.0f} planners, each its service's",
        Cost(control_bytes_in=bytes_per_s, control_bytes_out=bytes_per_s / target.SERVICES * watches),
        f"{COMPUTED_SOURCE}: {target.BYTES_PER_CONFIGURATION_CHANGE} bytes a change",
        f"{MISSING_MECHANISM}: a file read again on SIGHUP, `service/reload.py` `Reload.run`",
        RELAY_BUDGET,
    )
