"""Effects of faults of servers and of the discovery service that lists them."""

from __future__ import annotations

from stackwheel.rules.violations import RELOAD_GRACE_MS
from stackwheel.trials import faults
from stackwheel.trials.fault_targets import planners_of, relays_of, servers_of
from stackwheel.trials.world import World

MAX_SEIZED_SHARE = 0.95


def crash(fault: faults.Crash, world: World) -> None:
    """Crash servers, which restart after the time that the fault states."""
    for server in servers_of(world, fault.servers):
        world.fleet.crash(server, fault.restart_after)


def drain(fault: faults.Drain, world: World) -> None:
    """Drain servers, and schedule their removal and restart."""
    for server in servers_of(world, fault.servers):
        world.fleet.drain(server, fault.removed_after, fault.restart_after)


def replace(fault: faults.Replace, world: World) -> None:
    """Replace servers one after the other, evenly over the span of the fault."""
    servers = servers_of(world, fault.servers)
    for index, server in enumerate(servers):
        delay = index * fault.span / max(1, len(servers))
        world.context.schedule_after(delay, world.fleet.replace, server.slot)


def fail_requests(fault: faults.Fail, world: World) -> None:
    """Let servers fail a share of their requests for the span of the fault."""
    for server in servers_of(world, fault.servers):
        server.failing_share = fault.share
        world.context.schedule_after(fault.span, setattr, server, "failing_share", 0.0)


def slow_down(fault: faults.Slow, world: World) -> None:
    """Take a share of the CPU of servers' machines for the span of the fault."""
    for server in servers_of(world, fault.servers):
        server.seized_share = min(MAX_SEIZED_SHARE, fault.share)
        world.context.schedule_after(fault.span, setattr, server, "seized_share", 0.0)


def disturb_discovery(fault: faults.DiscoveryFault, world: World) -> None:
    """Put discovery into a fault mode for the span of the fault."""
    world.discovery.set_fault(fault.mode, fault.delay)
    world.context.schedule_after(fault.span, end_discovery_fault, world, fault.mode)


def end_discovery_fault(world: World, mode: str) -> None:
    """End a fault mode of discovery, unless another one has replaced it."""
    if world.discovery.fault == mode:
        world.discovery.set_fault("", 0.0)
        for planner in world.planners:
            world.notifications.mark_reachable(planner.number)


def delay_watches(fault: faults.Lag, world: World) -> None:
    """Delay the changes that discovery's watches send to some relays, for the span of the fault."""
    delays = world.discovery.watch_delays
    for relay in relays_of(world, fault.machines):
        delays[relay.machine.name] = fault.delay
        world.context.schedule_after(fault.span, delays.pop, relay.machine.name, None)


def make_unreadable(fault: faults.Unreadable, world: World) -> None:
    """Make the entries of servers undecodable for the span of the fault."""
    names = [server.name for server in servers_of(world, fault.servers)]
    world.discovery.unreadable.update(dict.fromkeys(names))
    if world.relays is not None:
        world.relays.checks.discard_pending_changes(names)
    world.context.schedule_after(fault.span, make_readable, world, names)


def make_readable(world: World, names: list[str]) -> None:
    """Make the entries of servers decodable, and send them again."""
    for name in names:
        world.discovery.unreadable.pop(name, None)
    records = world.discovery.send_again(names)
    if world.relays is not None:
        world.relays.records_changed(records)


def send_older_state(fault: faults.OlderState, world: World) -> None:
    """Send watches an older state, with relays one that concerns the planners' cell, then the current one."""
    if world.relays is None:
        world.discovery.send_older_state(fault.restored_after)
    else:
        world.discovery.send_older_state(fault.restored_after, world.relays.is_in_cell)


def reload(fault: faults.Reload, world: World) -> None:
    """Move discovery to another port, or with relays the cells to other ports, and send SIGHUP to running planners.

    The rule checker applies no limits to these planners for `RELOAD_GRACE_MS` after the signal.
    """
    if world.relays is not None:
        world.relays.change_ports()
    else:
        host, port = world.discovery.address
        world.discovery.move((host, port + 1), fault.close_after)
    for planner in planners_of(world, fault.planners):
        if planner.running:
            world.checker.suspend_limits(planner.number, world.context.now_ms() + RELOAD_GRACE_MS)
            world.notifications.reachable_since[planner.number] = world.loop.now + RELOAD_GRACE_MS / 1000.0
            planner.reload()


def restart_generations(_: faults.RestartGenerations, world: World) -> None:
    """Let discovery restart its generation numbers."""
    first = 1 if world.relays is None else world.relays.first_generation_after_restart()
    world.discovery.restart_generations(first)
    world.notifications.generations_restarted()
