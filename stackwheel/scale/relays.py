"""Real relays of a run: a plan made for the drawn fleet, one operators' file each, and the processes."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path

from stackwheel.cells.assignment import CellIndex, discovery_addresses, relays_for_cell
from stackwheel.cells.demand import Demand
from stackwheel.cells.design import design
from stackwheel.cells.plan import Cell, CellPlanError, Limits, Plan, Relay
from stackwheel.cells.plan_file import save_plan
from stackwheel.scale.bounds import ScaleError
from stackwheel.scale.children import Child, Children, Role
from stackwheel.scale.fleet import DrawnPlanner, DrawnServer, Fleet
from stackwheel.scale.layout import Layout, Placed
from stackwheel.wire.discovery_protocol import INSTANCES_PATH
from stackwheel.wire.http import CallError, get

PLAN_FILE = "cells.json"
LOCK_PORT = 20_000  # below the first cell's; a run holds it at its network's first address
NETWORKS = 250  # 127.0.1.0 and the following: as many runs may be made at once
POLL_INTERVAL = 0.1  # s between looks whether a relay holds the list
ANSWER_WITHIN = 2_000.0  # ms


class Network:
    """Loopback addresses for a run's relays that no other run has; held until closed."""

    def __init__(self) -> None:
        for number in range(1, NETWORKS + 1):
            try:
                self.lock = socket.create_server((f"127.0.{number}.1", LOCK_PORT))
            except OSError:
                continue
            self.number = number
            return
        raise ScaleError(f"port {LOCK_PORT} is taken at all of 127.0.1.1 to 127.0.{NETWORKS}.1")

    def host(self, relay: int) -> str:
        """The address of a relay, counted from 0."""
        return f"127.0.{self.number}.{relay + 1}"

    def close(self) -> None:
        """Give the addresses back."""
        self.lock.close()


def design_plan(fleet: Fleet, hosts: Sequence[str]) -> Plan:
    """The plan for a fleet, made as an operator makes it; ScaleError where none can hold it."""
    relays = [Relay(f"relay-{number}", host) for number, host in enumerate(hosts)]
    try:
        return design(demand_of(fleet), Limits(), fleet.regions, relays)
    except CellPlanError as error:
        raise ScaleError(f"no plan of cells holds this fleet: {error}") from None


def demand_of(fleet: Fleet) -> list[Demand]:
    """What each service has in each region, with the planners where they were drawn."""
    names: defaultdict[tuple[str, str], list[str]] = defaultdict(list)
    for server in fleet.servers:
        names[place_of(fleet, server)].append(server.name)
    planners = Counter(place_of(fleet, planner) for planner in fleet.planners)
    return [
        Demand(service, region, len(found), planners[service, region], tuple(sorted(found)))
        for (service, region), found in sorted(names.items())
    ]


def place_of(fleet: Fleet, one: DrawnServer | DrawnPlanner) -> tuple[str, str]:
    """The service and region of a server or planner."""
    return one.service, fleet.regions[one.zone]


def relay_layout(fleet: Fleet, plan: Plan) -> Layout:
    """Every planner follows the two relays of its cell."""
    index = CellIndex(plan)
    cells = cells_of_planners(fleet, index)
    placed = tuple(
        Placed(number, planner, cells[planner.name].name, discovery_addresses(plan, cells[planner.name], planner.name))
        for number, planner in enumerate(fleet.planners)
    )

    def cell_of_server(name: str, zone: str) -> str | None:
        found = index.cell_of(name, zone)
        return found.name if found is not None else None

    return Layout(placed, cell_of_server)


def cells_of_planners(fleet: Fleet, index: CellIndex) -> dict[str, Cell]:
    """Each planner's cell: of its service, or of its service in its region where the plan cuts it so."""
    groups: defaultdict[tuple[str, str | None], list[str]] = defaultdict(list)
    for planner in fleet.planners:
        service, region = place_of(fleet, planner)
        groups[service, None if (service, None) in index.groups else region].append(planner.name)
    found: dict[str, Cell] = {}
    for (service, scope), names in groups.items():
        found |= index.cells_of_planners(names, service, scope)
    return found


async def start_relays(children: Children, folder: Path, plan: Plan, registry: str) -> list[Child]:
    """All relays of a plan, once each of them holds the list."""
    save_plan(plan, folder / PLAN_FILE)
    return list(await asyncio.gather(*(start_relay(children, folder, plan, relay, registry) for relay in plan.relays)))


async def start_relay(children: Children, folder: Path, plan: Plan, relay: Relay, registry: str) -> Child:
    """One relay, as an operator starts it: `stackwheel relay --operators FILE`."""
    operators = folder / f"{relay.name}.cue"
    operators.write_text(
        f'relay: {{on: true, name: "{relay.name}", upstream: "{registry}", plan: "{PLAN_FILE}"}}\n', encoding="utf-8"
    )
    child = await children.start_program(Role.RELAY, relay.name, ("relay", "--operators", str(operators)), {})
    served = next((cell for cell in plan.cells if relay in relays_for_cell(cell.name, plan.relays)), None)
    while served is not None and child.process.returncode is None:
        try:
            await get(f"{relay.host}:{served.port}", INSTANCES_PATH, ANSWER_WITHIN, ANSWER_WITHIN)
        except CallError:
            await asyncio.sleep(POLL_INTERVAL)
        else:
            break
    return child
