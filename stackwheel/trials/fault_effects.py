"""Applies the faults of a script to a simulated world: a table of effects by kind of fault."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stackwheel.trials import endpoint_faults, faults, load_faults, network_faults, process_faults
from stackwheel.trials.script import describe_fault
from stackwheel.trials.world import World

EFFECTS: dict[type[faults.BaseFault], Callable[[Any, World], None]] = {
    faults.Kill: process_faults.kill,
    faults.Stall: process_faults.stall,
    faults.Restart: process_faults.restart,
    faults.LoseZone: process_faults.lose_zone,
    faults.Cut: network_faults.cut,
    faults.Reset: network_faults.reset_streams,
    faults.HalfOpen: network_faults.make_half_open,
    faults.SecondStream: network_faults.open_second_streams,
    faults.MidMessage: network_faults.reset_in_next_message,
    faults.Datagrams: network_faults.disturb_datagrams,
    faults.PathConditions: network_faults.change_path_conditions,
    faults.UnidentifiedClients: network_faults.connect_unidentified_clients,
    faults.Crash: endpoint_faults.crash,
    faults.Drain: endpoint_faults.drain,
    faults.Replace: endpoint_faults.replace,
    faults.Fail: endpoint_faults.fail_requests,
    faults.Slow: endpoint_faults.slow_down,
    faults.DiscoveryFault: endpoint_faults.disturb_discovery,
    faults.Lag: endpoint_faults.delay_watches,
    faults.Unreadable: endpoint_faults.make_unreadable,
    faults.OlderState: endpoint_faults.send_older_state,
    faults.Reload: endpoint_faults.reload,
    faults.RestartGenerations: endpoint_faults.restart_generations,
    faults.Demand: load_faults.change_demand,
    faults.Reports: load_faults.disturb_reports,
    faults.Pushes: load_faults.disturb_pushes,
    faults.Disks: load_faults.disturb_disks,
}


def begin_fault(world: World, fault: faults.Fault) -> None:
    """Record a fault in the trail of events and in the trace, and apply its effect."""
    context = world.context
    kind = faults.fault_kind(fault).replace("_", "")
    context.checker.record_event(context.now_ms(), f"fault {kind}")
    if context.trace is not None:
        context.trace(f"{context.loop.now:9.3f} fault: {describe_fault(fault).strip()}")
    EFFECTS[type(fault)](fault, world)
