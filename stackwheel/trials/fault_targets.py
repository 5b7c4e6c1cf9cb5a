"""Resolves the names in a fault to planners, proxies, servers and relays of a simulated world."""

from __future__ import annotations

from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.relays import RelayHost
from stackwheel.trials.servers import Server
from stackwheel.trials.shape import NameList, machine_numbers
from stackwheel.trials.world import World


def planners_of(world: World, names: NameList) -> list[PlannerHost]:
    """Return the planners that match the names."""
    return [world.planners[number] for number in machine_numbers(names, world.shape, "planner")]


def proxies_of(world: World, names: NameList) -> list[Proxy]:
    """Return the proxies that match the names."""
    return [world.proxies[number] for number in machine_numbers(names, world.shape, "proxy")]


def servers_of(world: World, names: NameList) -> list[Server]:
    """Return the current servers of the slots that match the names."""
    return [world.fleet.current_servers[slot] for slot in machine_numbers(names, world.shape, "server")]


def relays_of(world: World, names: NameList) -> list[RelayHost]:
    """Return the relays that match the names; none in a shape without relays."""
    if world.relays is None:
        return []
    return [world.relays.hosts[number] for number in machine_numbers(names, world.shape, "relay")]
