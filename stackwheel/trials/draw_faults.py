"""Draws random faults: one function for each kind, and tables of their weights.

Arguments are evaluated in the order of the random draws; another order changes the script of every seed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from stackwheel.trials import faults
from stackwheel.trials.drawing import Drawing
from stackwheel.trials.faults import Fault
from stackwheel.trials.shape import NameList


def draw_kill(drawing: Drawing) -> Fault:
    """Draw planners that are killed."""
    return faults.Kill(
        drawing.time_of_fault(),
        drawing.planners(),
        restart_after=drawing.number(0.3, 6.0),
        resets_connections=drawing.chance(0.8),
    )


def draw_stall(drawing: Drawing) -> Fault:
    """Draw planners or proxies that are stalled: once for several seconds, or several times briefly."""
    machines = drawing.planners() if drawing.chance(0.5) else drawing.proxies(0.8)
    if drawing.chance(0.3):
        return faults.Stall(
            drawing.time_of_fault(),
            machines,
            drawing.number(3.0, 10.0),
            stops_reading=drawing.chance(0.5),
        )
    return faults.Stall(
        drawing.time_of_fault(),
        machines,
        drawing.number(0.5, 1.7),
        repetitions=drawing.random.randint(2, 6),
        period=drawing.number(2.0, 4.0),
    )


def draw_cut(drawing: Drawing) -> Fault:
    """Draw a cut between two groups of machines, after drawing all candidates for the pair of groups."""
    proxies_and_all_planners = (drawing.proxies(0.6), ("planners",))
    proxies_and_some_planners = (drawing.proxies(0.6), drawing.planners())
    planners_and_discovery = (drawing.planners(), ("discovery",))
    all_pairs_of_planners = (("planners",), ("planners",))
    zone_and_planners = ((drawing.zone(),), drawing.planners())
    zone = drawing.zone()
    other_zones = tuple(f"zone-{n}" for n in range(drawing.shape.zones) if f"zone-{n}" != zone)
    zone_and_other_zones = ((zone,), other_zones or ("planners",))
    source, target = drawing.random.choice(
        (
            proxies_and_all_planners,
            proxies_and_some_planners,
            planners_and_discovery,
            all_pairs_of_planners,
            zone_and_planners,
            zone_and_other_zones,
        )
    )
    return finish_cut(drawing, source, target)


def finish_cut(drawing: Drawing, source: NameList, target: NameList) -> Fault:
    """Draw the direction, time and span of a cut between two groups."""
    is_reversed = drawing.chance(0.5)
    return faults.Cut(
        drawing.time_of_fault(),
        target if is_reversed else source,
        source if is_reversed else target,
        drawing.number(1.0, 17.0),
        unidirectional=drawing.chance(0.3),
    )


def draw_reset(drawing: Drawing) -> Fault:
    """Draw proxies whose streams are reset."""
    return faults.Reset(drawing.time_of_fault(), drawing.proxies(1.0))


def draw_half_open(drawing: Drawing) -> Fault:
    """Draw proxies whose streams become half open."""
    return faults.HalfOpen(drawing.time_of_fault(), drawing.proxies(0.5), noticed_after=drawing.number(0.2, 2.7))


def draw_second_stream(drawing: Drawing) -> Fault:
    """Draw proxies that open a second stream."""
    return faults.SecondStream(drawing.time_of_fault(), drawing.proxies(0.5), delay=drawing.number(0.1, 3.0))


def draw_mid_message(drawing: Drawing) -> Fault:
    """Draw proxies that reset their stream in the middle of a message."""
    return faults.MidMessage(drawing.time_of_fault(), drawing.proxies(0.5))


def draw_restart(drawing: Drawing) -> Fault:
    """Draw proxies that restart."""
    return faults.Restart(drawing.time_of_fault(), drawing.proxies(0.6), restart_after=drawing.number(0.1, 3.0))


def draw_crash(drawing: Drawing) -> Fault:
    """Draw servers that crash; some never restart."""
    return faults.Crash(
        drawing.time_of_fault(),
        drawing.servers(0.3),
        restart_after=drawing.number(3.0, 10.0) * drawing.chance(0.9),
    )


def draw_drain(drawing: Drawing) -> Fault:
    """Draw servers that drain; in half of the draws they restart."""
    return faults.Drain(
        drawing.time_of_fault(),
        drawing.servers(0.4),
        removed_after=drawing.number(2.0, 6.0),
        restart_after=drawing.number(1.0, 6.0) * drawing.chance(0.5),
    )


def draw_replace(drawing: Drawing) -> Fault:
    """Draw servers that are replaced one by one."""
    return faults.Replace(drawing.time_of_fault(), drawing.servers(0.9), drawing.number(4.0, 14.0))


def draw_fail(drawing: Drawing) -> Fault:
    """Draw servers that fail a share of their requests."""
    return faults.Fail(
        drawing.time_of_fault(), drawing.servers(0.3), drawing.number(4.0, 12.0), share=drawing.number(0.3, 0.9)
    )


def draw_slow(drawing: Drawing) -> Fault:
    """Draw servers that lose a share of their CPU."""
    return faults.Slow(
        drawing.time_of_fault(), drawing.servers(0.4), drawing.number(4.0, 12.0), share=drawing.number(0.3, 0.75)
    )


def draw_lose_zone(drawing: Drawing) -> Fault:
    """Draw a zone whose servers crash, at times with its proxies or planners."""
    return faults.LoseZone(
        drawing.time_of_fault(),
        drawing.random.randrange(drawing.shape.zones),
        restart_after=drawing.number(3.0, 10.0),
        proxies=drawing.chance(0.4),
        planners=drawing.chance(0.3),
    )


def draw_discovery_fault(drawing: Drawing) -> Fault:
    """Draw a fault mode of discovery."""
    mode = drawing.random.choice(("refuse", "503", "silence", "late"))
    return faults.DiscoveryFault(
        drawing.time_of_fault(),
        drawing.number(2.0, 12.0),
        mode=mode,  # type: ignore[arg-type]  # mypy infers str, not the literals
        delay=drawing.number(0.5, 6.0),
    )


def draw_older_state(drawing: Drawing) -> Fault:
    """Draw an older state that discovery sends to its watches."""
    return faults.OlderState(drawing.time_of_fault(), restored_after=drawing.number(0.05, 8.0))


def draw_reload(drawing: Drawing) -> Fault:
    """Draw a move of discovery to another address, with a reload of all planners."""
    return faults.Reload(drawing.time_of_fault(), ("planners",), close_after=drawing.number(0.5, 2.0))


def draw_relay_reload(drawing: Drawing) -> Fault:
    """Draw a cell plan with other ports, with a reload of all planners."""
    return faults.Reload(drawing.time_of_fault(), ("planners",))


def draw_restart_generations(drawing: Drawing) -> Fault:
    """Draw a restart of discovery's generation numbers."""
    return faults.RestartGenerations(drawing.time_of_fault())


def draw_demand(drawing: Drawing) -> Fault:
    """Draw proxies whose demand is multiplied by a factor."""
    return faults.Demand(
        drawing.time_of_fault(), drawing.proxies(0.4), drawing.number(4.0, 12.0), factor=drawing.number(0.2, 3.0)
    )


def draw_reports(drawing: Drawing) -> Fault:
    """Draw reports that are delayed or malformed."""
    return faults.Reports(
        drawing.time_of_fault(),
        drawing.number(3.0, 10.0),
        delay=drawing.number(0.2, 3.0),
        malformed=drawing.number(0.0, 0.3),
        resets_connections=drawing.chance(0.3),
    )


def draw_datagrams(drawing: Drawing) -> Fault:
    """Draw datagrams that are lost, duplicated or reordered."""
    return faults.Datagrams(
        drawing.time_of_fault(),
        drawing.number(3.0, 15.0),
        lost=drawing.number(0.1, 1.0),
        duplicated=drawing.number(0.0, 0.3),
        reordered=drawing.number(0.0, 0.5),
    )


def draw_path_conditions(drawing: Drawing) -> Fault:
    """Draw slow network paths that fragment writes."""
    return faults.PathConditions(
        drawing.time_of_fault(),
        drawing.number(2.0, 10.0),
        latency_factor=drawing.number(1.0, 50.0),
        fragmented=drawing.number(0.0, 1.0),
        transit_factor=drawing.number(1.0, 2.0),
    )


def draw_unidentified_clients(drawing: Drawing) -> Fault:
    """Draw clients that send an invalid payload to a planner."""
    return faults.UnidentifiedClients(
        drawing.time_of_fault(),
        drawing.random.randint(1, 20),
        f"planner-{drawing.random.randrange(drawing.shape.planners)}",
        payload=drawing.random.choice(("nothing", "half", "http", "noise", "ping", "false_join")),
    )


def draw_pushes(drawing: Drawing) -> Fault:
    """Draw disturbances of the pushes of files."""
    return faults.Pushes(
        drawing.time_of_fault(),
        drawing.number(2.0, 8.0),
        max_delay=drawing.number(0.0, 4.0),
        lost=drawing.number(0.0, 0.3) * drawing.chance(0.5),
        duplicated=drawing.number(0.0, 0.5),
        torn=drawing.number(0.0, 0.5),
        stale=drawing.number(0.0, 0.6),
    )


def draw_disks(drawing: Drawing) -> Fault:
    """Draw planners or proxies whose disks are full, missing or slow."""
    return faults.Disks(
        drawing.time_of_fault(),
        drawing.planners() if drawing.chance(0.6) else drawing.proxies(0.5),
        drawing.number(1.0, 6.0),
        mode=drawing.random.choice(("full", "gone", "slow")),
        delay=drawing.number(0.2, 1.5),
    )


def draw_relay_kill(drawing: Drawing) -> Fault:
    """Draw relays that are killed."""
    return faults.Kill(
        drawing.time_of_fault(),
        drawing.relays(),
        restart_after=drawing.number(0.1, 9.0),
        resets_connections=drawing.chance(0.7),
    )


def draw_relay_cut(drawing: Drawing) -> Fault:
    """Draw a cut between relays and discovery, planners, or both."""
    others: tuple[NameList, ...] = (("discovery",), drawing.planners(), ("discovery", "planners"))
    source = drawing.relays()
    target = drawing.random.choice(others)
    return finish_cut(drawing, source, target)


def draw_relay_stall(drawing: Drawing) -> Fault:
    """Draw relays that are stalled: once for several seconds, or several times briefly."""
    if drawing.chance(0.4):
        return faults.Stall(drawing.time_of_fault(), drawing.relays(), drawing.number(2.0, 10.0))
    return faults.Stall(
        drawing.time_of_fault(),
        drawing.relays(),
        drawing.number(0.3, 1.9),
        repetitions=drawing.random.randint(2, 6),
        period=drawing.number(2.0, 4.0),
    )


def draw_lag(drawing: Drawing) -> Fault:
    """Draw relays to which discovery sends changes late."""
    return faults.Lag(
        drawing.time_of_fault(), drawing.relays(), drawing.number(2.0, 12.0), delay=drawing.number(0.2, 5.0)
    )


def draw_unreadable(drawing: Drawing) -> Fault:
    """Draw servers whose entries are undecodable."""
    return faults.Unreadable(drawing.time_of_fault(), drawing.servers(0.5), drawing.number(1.0, 9.0))


class FaultWeight(NamedTuple):
    """A function that draws a kind of fault, and its weight relative to the others of its table."""

    draw_fault: Callable[[Drawing], Fault]
    weight: float


COMMON_FAULTS: tuple[FaultWeight, ...] = (
    FaultWeight(draw_kill, 4),
    FaultWeight(draw_stall, 3),
    FaultWeight(draw_cut, 5),
    FaultWeight(draw_reset, 2),
    FaultWeight(draw_half_open, 2),
    FaultWeight(draw_second_stream, 2),
    FaultWeight(draw_mid_message, 1),
    FaultWeight(draw_restart, 2),
    FaultWeight(draw_crash, 3),
    FaultWeight(draw_drain, 5),
    FaultWeight(draw_replace, 3),
    FaultWeight(draw_fail, 2),
    FaultWeight(draw_slow, 2),
    FaultWeight(draw_lose_zone, 2),
    FaultWeight(draw_discovery_fault, 4),
    FaultWeight(draw_older_state, 2),
    FaultWeight(draw_reload, 2),
    FaultWeight(draw_restart_generations, 1),
    FaultWeight(draw_demand, 2),
    FaultWeight(draw_reports, 2),
    FaultWeight(draw_datagrams, 1),
    FaultWeight(draw_path_conditions, 2),
    FaultWeight(draw_unidentified_clients, 1),
)
FILE_FAULTS: tuple[FaultWeight, ...] = (
    FaultWeight(draw_pushes, 10),
    FaultWeight(draw_disks, 4),
)
RELAY_FAULTS: tuple[FaultWeight, ...] = (
    FaultWeight(draw_relay_kill, 8),
    FaultWeight(draw_relay_cut, 10),
    FaultWeight(draw_relay_stall, 5),
    FaultWeight(draw_lag, 7),
    FaultWeight(draw_unreadable, 2),
    FaultWeight(draw_older_state, 3),
    FaultWeight(draw_restart_generations, 3),
    FaultWeight(draw_relay_reload, 2),
    FaultWeight(draw_discovery_fault, 4),
    FaultWeight(draw_drain, 8),
)
