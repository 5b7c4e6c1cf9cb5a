"""Rows of the capacity model for discovery and the control machines, which run relays."""

from __future__ import annotations

from collections.abc import Iterator

from stackwheel.scale import target_size as design
from stackwheel.scale.capacity import (
    COMPUTED,
    MISSING,
    REGISTRY_BUDGET,
    RELAY,
    RELAY_BUDGET,
    Cost,
    Model,
    Row,
)


def discovery_rows(model: Model) -> Iterator[Row]:
    """Rows of discovery: all planners watch it, or, with cells, the relays alone."""
    full_list_bytes = model.start_bytes("whole list")
    entry = model.entry_bytes()
    largest = model.sizes[0]
    heartbeats = design.PLANNERS / design.HEARTBEAT_SECONDS
    yield registry_row(
        "all planners watch, mean",
        f"{design.PLANNERS:,} watches, {design.LIST_CHANGES:.2f} changes a second",
        design.PLANNERS * design.LIST_CHANGES * entry + heartbeats * design.HEARTBEAT_BYTES,
        design.PLANNERS * design.LIST_CHANGES + heartbeats,
    )
    lost = design.PLANNERS * design.ZONE_SERVERS * entry
    yield registry_row("all planners watch, zone lost", "in one second", lost, float(design.PLANNERS))
    region = design.PLANNERS * design.REGION_SERVERS * entry
    yield registry_row("all planners watch, region lost", "in one second", region, float(design.PLANNERS))
    healed = design.PLANNERS / design.REGIONS
    yield registry_row(
        "all planners watch, region healed", f"{healed:.0f} planners ask anew", healed * full_list_bytes, healed
    )
    yield registry_row(
        "all planners watch, largest service restarted",
        f"{largest.planners} planners ask anew",
        largest.planners * full_list_bytes,
        float(largest.planners),
    )
    relays = design.CONTROL_MACHINES
    yield registry_row(
        "17 relays watch, mean",
        f"{relays} watches",
        relays * (design.LIST_CHANGES * entry + design.HEARTBEAT_BYTES / design.HEARTBEAT_SECONDS),
        relays * (design.LIST_CHANGES + 1 / design.HEARTBEAT_SECONDS),
        RELAY,
    )
    yield registry_row(
        "17 relays watch, zone lost", "in one second", relays * design.ZONE_SERVERS * entry, float(relays), RELAY
    )


def registry_row(
    case: str, state: str, size: float, messages: float, mechanism: str = f"{MISSING} without relays"
) -> Row:
    """One row of discovery, by what it sends. `size`, `messages`: bytes and messages per second."""
    cost = Cost(control_out=size, messages_out=messages)
    return Row("discovery", case, state, cost, f"{COMPUTED}: entries' bytes", mechanism, REGISTRY_BUDGET)


def control_rows(model: Model) -> Iterator[Row]:
    """Rows of a control machine: a relay that has the full list and serves its share of the cells."""
    entry = model.entry_bytes()
    full_list_bytes = model.start_bytes("whole list")
    machines = design.CONTROL_MACHINES
    watchers = design.watchers_of_a_change(model.sizes)
    watches = design.PLANNERS / machines
    cells = sum(service.cells for service in model.sizes)
    state = f"{design.SERVERS:,} entries, {2 * cells / machines:.0f} of {cells:,} cells, {watches:.0f} watches"
    yield relay_row(model, "mean", state, watches, design.LIST_CHANGES)
    more = design.PLANNERS / (machines - 1)
    yield relay_row(model, "mean, one of 17 lost", f"{more:.0f} watches", more, design.LIST_CHANGES)
    for case, servers in (("zone lost", design.ZONE_SERVERS), ("region lost", design.REGION_SERVERS)):
        yield relay_row(model, case, f"{servers:,} entries in one second", watches, float(servers))
    regional = watches / design.REGIONS
    cell_list_bytes = watchers / design.PLANNERS_PER_SERVER * entry
    healed = Cost(control_in=full_list_bytes, control_out=regional * cell_list_bytes, messages_out=regional)
    yield computed_row("region healed", f"the list read anew, {regional:.0f} planners ask anew", healed)
    largest = model.sizes[0]
    planners = largest.planners / machines
    restarted = Cost(
        control_in=0.0, control_out=planners * largest.servers / largest.cells * entry, messages_out=planners
    )
    yield computed_row("largest service restarted", f"{planners:.0f} planners ask anew in one second", restarted)
    yield configuration_row(watches)


def computed_row(case: str, state: str, cost: Cost) -> Row:
    """One row of a control machine in which only bytes and messages are known."""
    return Row("control machine", case, state, cost, f"{COMPUTED}: entries' bytes", RELAY, RELAY_BUDGET)


def relay_row(model: Model, case: str, state: str, watches: float, changes: float) -> Row:
    """One row of a control machine: processor time and memory by the slopes, bytes by the size of an entry.

    Args:
        model: that it is computed from.
        case: of the row.
        state: of the row.
        watches: that the relay serves.
        changes: of the list per second.
    """
    entry = model.entry_bytes()
    watchers = design.watchers_of_a_change(model.sizes)
    notifications = changes * watchers / design.CONTROL_MACHINES
    heartbeats = watches / design.HEARTBEAT_SECONDS
    cost = Cost(
        core=relay_need(model, "core", watches, changes),
        memory_mb=relay_need(model, "rss_mb", watches, 0.0),
        control_in=changes * entry,
        control_out=notifications * entry + heartbeats * design.HEARTBEAT_BYTES,
        messages_in=changes,
        messages_out=notifications + heartbeats,
    )
    sweeps = {"watchers": watches, "servers": float(design.SERVERS), "changes": changes}
    factor = max(model.result.sweep("relay", name).fits["core"].factor(size) for name, size in sweeps.items())
    source = "relay sweeps; bytes computed"
    return Row("control machine", case, state, cost, source, RELAY, RELAY_BUDGET, factor)


def relay_need(model: Model, metric: str, watches: float, changes: float) -> float:
    """A relay's cost in one metric: by its watches, and what the full list and the changes add to that.

    The sweep over watches was made with a short list and without changes.
    """
    sweeps = {name: model.result.sweep("relay", name) for name in ("watchers", "servers", "changes")}
    fits = {name: sweep.fits[metric] for name, sweep in sweeps.items()}
    server_need = fits["servers"].at(design.SERVERS) - fits["servers"].at(sweeps["watchers"].fixed["servers"])
    sizes = [repeat.size for repeat in sweeps["changes"].repeats]
    rise = (fits["changes"].at(max(sizes)) - fits["changes"].at(min(sizes))) / (max(sizes) - min(sizes))
    return fits["watchers"].at(watches) + max(0.0, server_need) + max(0.0, rise) * changes


def configuration_row(watches: float) -> Row:
    """The row of 12,000 changes of configuration that a control machine distributes within the allowed time."""
    rate = design.CONFIGURATION_CHANGES / design.IN_FORCE_SECONDS
    size = rate * design.CONFIGURATION_BYTES
    return Row(
        "control machine",
        "12,000 changes of configuration in 5 s",
        f"{rate:,.0f} a second to {watches:.0f} planners, each its service's",
        Cost(control_in=size, control_out=size / design.SERVICES * watches),
        f"{COMPUTED}: {design.CONFIGURATION_BYTES} bytes a change",
        f"{MISSING}: a file read again on SIGHUP, `service/reload.py` `Reload.run`",
        RELAY_BUDGET,
    )
