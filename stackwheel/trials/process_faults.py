"""Effects of faults of processes: killed, restarted or stalled planners, proxies and relays; lost zones."""

from __future__ import annotations

from stackwheel.trials import faults
from stackwheel.trials.fault_targets import planners_of, proxies_of, relays_of, servers_of
from stackwheel.trials.loop import Machine
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.world import World

MIN_RESTART_S = 0.01
MAX_STALL_WITHIN_LIMITS_S = 1.0
MIN_STALL_GAP_S = 0.1


def kill(fault: faults.Kill, world: World) -> None:
    """Kill planners and relays, and schedule their restart."""
    for planner in planners_of(world, fault.planners):
        kill_planner(world, planner, fault.restart_after, fault.resets_connections)
    for relay in relays_of(world, fault.planners):
        if relay.running:
            relay.kill(fault.resets_connections)
            world.context.schedule_after(max(MIN_RESTART_S, fault.restart_after), relay.start)


def kill_planner(world: World, planner: PlannerHost, restart_after: float, resets_connections: bool = True) -> None:
    """Kill a running planner and schedule its restart; without resets, its proxies detect the loss by timeout."""
    if not planner.machine.alive:
        return
    planner.kill(resets_connections)
    if not resets_connections:
        for proxy in world.proxies:
            proxy.planner_vanished(planner.number)
    world.context.schedule_after(max(MIN_RESTART_S, restart_after), planner.start)


def stall(fault: faults.Stall, world: World) -> None:
    """Schedule all stalls of a fault."""
    period = max(fault.period, fault.span + MIN_STALL_GAP_S)
    for repetition in range(fault.repetitions):
        world.context.schedule_after(repetition * period, stall_once, world, fault)


def stall_once(world: World, fault: faults.Stall) -> None:
    """Stall running planners, proxies and relays once for the span of the fault."""
    for planner in planners_of(world, fault.machines):
        if planner.machine.alive and not planner.machine.stalled:
            stall_planner(world, planner, fault.span)
    for proxy in proxies_of(world, fault.machines):
        if proxy.process.alive and not proxy.process.stalled:
            stall_proxy(world, proxy, fault.span, fault.stops_reading)
    for relay in relays_of(world, fault.machines):
        if relay.running and not relay.machine.stalled:
            stall_machine(world, relay.machine, fault.span)


def stall_machine(world: World, machine: Machine, span: float) -> None:
    """Stall a machine for `span` s."""
    world.loop.set_stalled(machine, True)
    world.context.schedule_after(span, world.loop.set_stalled, machine, False)


def stall_planner(world: World, planner: PlannerHost, span: float) -> None:
    """Stall a planner for `span` s.

    The rule checker applies no limits to it meanwhile if `span` exceeds `MAX_STALL_WITHIN_LIMITS_S`.
    """
    if span > MAX_STALL_WITHIN_LIMITS_S:
        world.checker.suspend_limits(planner.number, world.context.now_ms() + span * 1000.0)
    stall_machine(world, planner.machine, span)


def stall_proxy(world: World, proxy: Proxy, span: float, stops_reading: bool) -> None:
    """Stall a proxy's process for `span` s, and with `stops_reading` its kernel's reads from sockets as well.

    The rule checker applies no limits to the proxy meanwhile.
    """
    world.loop.set_stalled(proxy.process, True)
    world.loop.set_stalled(proxy.machine, stops_reading)
    world.checker.suspend_proxy_limits(proxy.number, world.context.now_ms() + span * 1000.0)
    world.context.schedule_after(span, resume_proxy, world, proxy, proxy.machine, proxy.process)


def resume_proxy(world: World, proxy: Proxy, machine: Machine, process: Machine) -> None:
    """Resume a stalled proxy; messages that it did not read meanwhile enter the update channel at once."""
    if machine.stalled and proxy.stream is not None:
        world.channels.allow_burst(proxy.stream.planner)
    world.loop.set_stalled(machine, False)
    world.loop.set_stalled(process, False)


def restart(fault: faults.Restart, world: World) -> None:
    """Restart proxies."""
    for proxy in proxies_of(world, fault.proxies):
        restart_proxy(world, proxy, fault.restart_after)


def restart_proxy(world: World, proxy: Proxy, restart_after: float) -> None:
    """Stop a running proxy and schedule its next incarnation."""
    if not proxy.machine.alive:
        return
    proxy.stop()
    world.context.schedule_after(max(MIN_RESTART_S, restart_after), proxy.start_new_incarnation)


def lose_zone(fault: faults.LoseZone, world: World) -> None:
    """Crash all servers of a zone; restart its proxies and kill its planners if the flags are set."""
    zone = (f"zone-{fault.zone}",)
    for server in servers_of(world, zone):
        world.fleet.crash(server, fault.restart_after)
    if fault.proxies:
        for proxy in proxies_of(world, zone):
            restart_proxy(world, proxy, fault.restart_after)
    if fault.planners:
        for planner in planners_of(world, zone):
            kill_planner(world, planner, fault.restart_after)
