"""The parts of a world that the names in a fault stand for."""

from __future__ import annotations

from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.relays import RelayHost
from stackwheel.trials.servers import Server
from stackwheel.trials.shape import NameList, machine_numbers
from stackwheel.trials.world import World


def planners_of(world: World, names: NameList) -> list[PlannerHost]:
    """The planners that names stand for."""
    return [world.planners[number] for number in machine_numbers(names, world.shape, "planner")]


def proxies_of(world: World, names: NameList) -> list[Proxy]:
    """The proxies that names stand for."""
    return [world.proxies[number] for number in machine_numbers(names, world.shape, "proxy")]


def servers_of(world: World, names: NameList) -> list[Server]:
    """The present servers of the slots that names stand for."""
    return [world.fleet.current_servers[slot] for slot in machine_numbers(names, world.shape, "server")]


def relays_of(world: World, names: NameList) -> list[RelayHost]:
    """The relays that names stand for."""
    if world.relays is None:
        return []
    return [world.relays.hosts[number] for number in machine_numbers(names, world.shape, "relay")]
