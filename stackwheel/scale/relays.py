"""Real relays of a run: the cell plan for the generated fleet, the relays' configuration files and their processes."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from stackwheel.cells.assignment import CellIndex, discovery_addresses, relays_for_cell
from stackwheel.cells.demand import Demand
from stackwheel.cells.design import design
from stackwheel.cells.plan import Cell, CellPlanError, Limits, Plan, Relay
from stackwheel.cells.plan_file import save_plan
from stackwheel.scale.bounds import ScaleError
from stackwheel.scale.children import Child, Children, Role
from stackwheel.scale.fleet import DrawnPlanner, DrawnServer, Fleet
from stackwheel.scale.layout import Layout, PlacedPlanner
from stackwheel.wire.discovery_protocol import INSTANCES_PATH
from stackwheel.wire.http import CallError, get

PLAN_FILE_NAME = "cells.json"
# A run reserves its network by binding this port at the network's first address. It is below the ports of cells.
LOCK_PORT = 20_000
MAX_NETWORKS = 250  # Networks from 127.0.1.0 on; each concurrent run uses one.
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_MS = 2_000.0


class LoopbackNetwork:
    """Loopback addresses for the relays of a run, reserved for this run until `close`."""

    def __init__(self) -> None:
        for number in range(1, MAX_NETWORKS + 1):
            try:
                self.lock_socket = socket.create_server((f"127.0.{number}.1", LOCK_PORT))
            except OSError:
                continue
            self.number = number
            return
        raise ScaleError(
            f"no loopback network is free for the relays: port {LOCK_PORT} is in use at all addresses "
            f"from 127.0.1.1 to 127.0.{MAX_NETWORKS}.1"
        )

    def host(self, relay: int) -> str:
        """Return the address of a relay. `relay`: index of the relay, from 0."""
        return f"127.0.{self.number}.{relay + 1}"

    def close(self) -> None:
        """Release the addresses."""
        self.lock_socket.close()


def design_plan(fleet: Fleet, hosts: Sequence[str]) -> Plan:
    """Design the cell plan for a fleet in the same way as `stackwheel cells`.

    Args:
        fleet: servers and planners to divide into cells.
        hosts: address of each relay.

    Raises:
        ScaleError: no plan is possible for this fleet.
    """
    relays = [Relay(f"relay-{number}", host) for number, host in enumerate(hosts)]
    try:
        return design(cell_demands(fleet), Limits(), fleet.regions, relays)
    except CellPlanError as error:
        raise ScaleError(f"cannot design a cell plan for this fleet: {error}") from error


def cell_demands(fleet: Fleet) -> list[Demand]:
    """Return the demand on cells: the servers and planners of each service in each region."""
    names: defaultdict[ServiceRegion, list[str]] = defaultdict(list)
    for server in fleet.servers:
        names[service_region(fleet, server)].append(server.name)
    planners = Counter(service_region(fleet, planner) for planner in fleet.planners)
    return [
        Demand(key.service, key.region, len(servers), planners[key], tuple(sorted(servers)))
        for key, servers in sorted(names.items())
    ]


class ServiceRegion(NamedTuple):
    """A service in one of its regions."""

    service: str
    region: str


def service_region(fleet: Fleet, member: DrawnServer | DrawnPlanner) -> ServiceRegion:
    """Return the service and region of a server or planner."""
    return ServiceRegion(member.service, fleet.regions[member.zone])


def relay_layout(fleet: Fleet, plan: Plan) -> Layout:
    """Return the layout of a run with relays, in which every planner follows the two relays of its cell."""
    index = CellIndex(plan)
    cells = cells_of_planners(fleet, index)
    placed = tuple(
        PlacedPlanner(
            number, planner, cells[planner.name].name, discovery_addresses(plan, cells[planner.name], planner.name)
        )
        for number, planner in enumerate(fleet.planners)
    )

    def cell_of_server(name: str, zone: str) -> str | None:
        """Return the name of a server's cell, or None for a server without a cell."""
        cell = index.cell_of(name, zone)
        return cell.name if cell is not None else None

    return Layout(placed, cell_of_server)


def cells_of_planners(fleet: Fleet, index: CellIndex) -> dict[str, Cell]:
    """Return the cell of each planner, by planner name.

    It is a cell of the planner's service, restricted to the planner's region if the plan separates the regions.
    """
    groups: defaultdict[tuple[str, str | None], list[str]] = defaultdict(list)
    for planner in fleet.planners:
        service, region = service_region(fleet, planner)
        groups[service, None if (service, None) in index.groups else region].append(planner.name)
    cells: dict[str, Cell] = {}
    for (service, scope), names in groups.items():
        cells |= index.cells_of_planners(names, service, scope)
    return cells


async def start_relays(children: Children, folder: Path, plan: Plan, registry: str) -> list[Child]:
    """Start all relays of a plan and wait until each of them serves the endpoint list."""
    save_plan(plan, folder / PLAN_FILE_NAME)
    return list(await asyncio.gather(*(start_relay(children, folder, plan, relay, registry) for relay in plan.relays)))


async def start_relay(children: Children, folder: Path, plan: Plan, relay: Relay, registry: str) -> Child:
    """Start one relay with `stackwheel relay --operators FILE` and wait until it serves the endpoint list.

    Args:
        children: processes of the run.
        folder: folder for the plan file and the relay's configuration file.
        plan: cell plan.
        relay: relay to start.
        registry: address of the registry.
    """
    operators = folder / f"{relay.name}.cue"
    operators.write_text(
        f'relay: {{on: true, name: "{relay.name}", upstream: "{registry}", plan: "{PLAN_FILE_NAME}"}}\n',
        encoding="utf-8",
    )
    child = await children.start_program(Role.RELAY, relay.name, ("relay", "--operators", str(operators)), {})
    served = next((cell for cell in plan.cells if relay in relays_for_cell(cell.name, plan.relays)), None)
    while served is not None and child.process.returncode is None:
        try:
            await get(f"{relay.host}:{served.port}", INSTANCES_PATH, CALL_TIMEOUT_MS, CALL_TIMEOUT_MS)
        except CallError:
            await asyncio.sleep(POLL_INTERVAL_S)
        else:
            break
    return child
