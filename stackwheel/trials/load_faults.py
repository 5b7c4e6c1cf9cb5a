"""Effects of faults of demand, reports, pushed files and disks."""

from __future__ import annotations

from stackwheel.trials import faults
from stackwheel.trials.disks import DEFAULT_DELAY_S, SimulatedDisk
from stackwheel.trials.fault_targets import planners_of, proxies_of
from stackwheel.trials.file_exchange import PushFault
from stackwheel.trials.world import World

DISK_RECOVERY_MS = 1000.0


def change_demand(fault: faults.Demand, world: World) -> None:
    """Multiply the demand of proxies by a factor for the span of the fault."""
    for proxy in proxies_of(world, fault.proxies):
        proxy.demand_factor = fault.factor
        world.context.schedule_after(fault.span, setattr, proxy, "demand_factor", 1.0)
    world.clients.rates_changed()
    world.context.schedule_after(fault.span, world.clients.rates_changed)


def disturb_reports(fault: faults.Reports, world: World) -> None:
    """Delay and malform reports, and reset the collectors' connections if the flag is set."""
    world.reports.delay = fault.delay
    world.reports.malformed_share = fault.malformed
    world.context.schedule_after(fault.span, setattr, world.reports, "delay", 0.0)
    world.context.schedule_after(fault.span, setattr, world.reports, "malformed_share", 0.0)
    if fault.resets_connections:
        for collector in world.collectors:
            if collector.transport is not None:
                collector.transport.reset()


def disturb_pushes(fault: faults.Pushes, world: World) -> None:
    """Disturb the pushes of files for the span of the fault."""
    if world.files is not None:
        push_fault = PushFault(fault.max_delay, fault.duplicated, fault.torn, fault.stale, fault.lost)
        world.files.set_fault(push_fault, fault.span)


def disturb_disks(fault: faults.Disks, world: World) -> None:
    """Make disks full, missing or slow.

    The rule checker applies no limits to the planners and proxies concerned until `DISK_RECOVERY_MS` after the fault,
    because files that cannot be written or read do not take effect.
    """
    if world.files is None:
        return
    planners = planners_of(world, fault.machines)
    proxies = proxies_of(world, fault.machines)
    machines = [*(planner.machine for planner in planners), *(proxy.machine for proxy in proxies)]
    for machine in machines:
        disturb_disk(fault, world, world.files.disks[machine.name])
    until_ms = world.context.now_ms() + fault.span * 1000.0 + DISK_RECOVERY_MS
    for planner in planners:
        world.checker.suspend_limits(planner.number, until_ms)
    for proxy in proxies:
        world.checker.suspend_proxy_limits(proxy.number, until_ms)


def disturb_disk(fault: faults.Disks, world: World, disk: SimulatedDisk) -> None:
    """Make one disk full, missing or slow for the span of the fault."""
    if fault.mode == "slow":
        disk.delay = fault.delay
        world.context.schedule_after(fault.span, setattr, disk, "delay", DEFAULT_DELAY_S)
        return
    attribute = "missing" if fault.mode == "gone" else "full"
    setattr(disk, attribute, True)
    world.context.schedule_after(fault.span, setattr, disk, attribute, False)
