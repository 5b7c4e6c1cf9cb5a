"""Faults of processes: killed, restarted or stalled planners, proxies and relays; lost zones."""

from __future__ import annotations

from stackwheel.trials import faults
from stackwheel.trials.fault_targets import planners_of, proxies_of, relays_of, servers_of
from stackwheel.trials.loop import Machine
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.world import World

MIN_RESTART_S = 0.01  # from a process's end to the start of the next one
STALL_ALLOWED_S = 1.0  # that a planner may stand still within its limits
STALL_PAUSE_S = 0.1  # at least, between two stalls of one fault


def kill(fault: faults.Kill, world: World) -> None:
    """Kill planners and relays; they start again after a while."""
    for planner in planners_of(world, fault.planners):
        kill_planner(world, planner, fault.restart_after, fault.resets_connections)
    for relay in relays_of(world, fault.planners):
        if relay.running:
            relay.kill(fault.resets_connections)
            world.context.later(max(MIN_RESTART_S, fault.restart_after), relay.start)


def kill_planner(world: World, planner: PlannerHost, restart_after: float, resets_connections: bool = True) -> None:
    """Kill a planner that runs; without resets its proxies find that out by themselves."""
    if not planner.machine.alive:
        return
    planner.kill(resets_connections)
    if not resets_connections:
        for proxy in world.proxies:
            proxy.planner_vanished(planner.number)
    world.context.later(max(MIN_RESTART_S, restart_after), planner.start)


def stall(fault: faults.Stall, world: World) -> None:
    """Stall processes, as often as the fault says."""
    period = max(fault.period, fault.span + STALL_PAUSE_S)
    for repetition in range(fault.repetitions):
        world.context.later(repetition * period, stall_once, world, fault)


def stall_once(world: World, fault: faults.Stall) -> None:
    """Stall planners, proxies and relays for the span of the fault."""
    loop = world.loop
    checker = world.checker
    until_ms = world.context.now_ms() + fault.span * 1000.0
    for planner in planners_of(world, fault.machines):
        if planner.machine.alive and not planner.machine.stalled:
            loop.set_stalled(planner.machine, True)
            if fault.span > STALL_ALLOWED_S:
                checker.hold_off(planner.number, until_ms)
            world.context.later(fault.span, loop.set_stalled, planner.machine, False)
    for proxy in proxies_of(world, fault.machines):
        if proxy.process.alive and not proxy.process.stalled:
            loop.set_stalled(proxy.process, True)
            loop.set_stalled(proxy.machine, fault.stops_reading)
            checker.hold_off_proxy(proxy.number, until_ms)
            world.context.later(fault.span, wake_proxy, world, proxy, proxy.machine, proxy.process)
    for relay in relays_of(world, fault.machines):
        if relay.running and not relay.machine.stalled:
            loop.set_stalled(relay.machine, True)
            world.context.later(fault.span, loop.set_stalled, relay.machine, False)


def wake_proxy(world: World, proxy: Proxy, machine: Machine, process: Machine) -> None:
    """Wake a proxy; what it did not read enters the channel at once."""
    if machine.stalled and proxy.stream is not None:
        world.channels.allow_burst(proxy.stream.planner)
    world.loop.set_stalled(machine, False)
    world.loop.set_stalled(process, False)


def restart(fault: faults.Restart, world: World) -> None:
    """Restart proxies."""
    for proxy in proxies_of(world, fault.proxies):
        restart_proxy(world, proxy, fault.restart_after)


def restart_proxy(world: World, proxy: Proxy, restart_after: float) -> None:
    """End a proxy that runs; it starts again after a while."""
    if not proxy.machine.alive:
        return
    proxy.stop()
    world.context.later(max(MIN_RESTART_S, restart_after), proxy.start_new_incarnation)


def lose_zone(fault: faults.LoseZone, world: World) -> None:
    """Crash all servers of a zone, and its proxies and planners if so asked."""
    zone = (f"zone-{fault.zone}",)
    for server in servers_of(world, zone):
        world.fleet.crash(server, fault.restart_after)
    if fault.proxies:
        for proxy in proxies_of(world, zone):
            restart_proxy(world, proxy, fault.restart_after)
    if fault.planners:
        for planner in planners_of(world, zone):
            kill_planner(world, planner, fault.restart_after)
