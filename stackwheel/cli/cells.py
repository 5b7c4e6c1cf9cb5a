"""`stackwheel cells`: create, check and show plans that divide a fleet into cells."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

import click
from rich.console import Console

from stackwheel.cells.check import Document, ListedServer, check_plan_against_fleet
from stackwheel.cells.demand import demand_from_servers
from stackwheel.cells.design import DEFAULT_FIRST_PORT, design
from stackwheel.cells.movement import compare_plans, measure_spread
from stackwheel.cells.plan import MAX_CELL_LIMIT, MAX_PORT, CellPlanError, Limits, Plan, Relay
from stackwheel.cells.plan_file import load_plan, load_regions, save_plan
from stackwheel.cli.cells_output import cell_document, cell_table, plan_document, plan_table
from stackwheel.cli.options import FILE_PATH, json_option
from stackwheel.errors import InvalidInputError
from stackwheel.interface import Availability


class RelayParameter(click.ParamType[Relay]):
    """Parameter type of a relay in the form `name=host`."""

    name = "name=host"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Relay:
        """Convert the text of an option to a relay."""
        if isinstance(value, Relay):
            return value
        name, equals, host = str(value).partition("=")
        if not (name and equals and host):
            self.fail(f"{value!r} does not have the form name=host", param, ctx)
        return Relay(name, host)


@dataclass(frozen=True, slots=True)
class PlanOptions:
    """Options of `stackwheel cells plan`."""

    servers_file: Path
    planners: int
    relays: tuple[Relay, ...]
    regions_file: Path
    former: Path | None
    max_servers: int | None
    max_planners: int | None
    first_port: int

    def limits(self, former_plan: Plan | None) -> Limits:
        """Return the limits of a cell from the options, the former plan or the defaults, in this order."""
        inherited = Limits() if former_plan is None else former_plan.limits
        return Limits(self.max_servers or inherited.servers, self.max_planners or inherited.planners)


@click.group()
def cells() -> None:
    """Create, check and show plans that divide a fleet into cells.

    A cell consists of the servers, planners and proxies that share tables.
    """


@cells.command()
@click.option(
    "--servers-file",
    type=FILE_PATH,
    required=True,
    help="File with the complete endpoint list, as the discovery service returns it.",
)
@click.option(
    "--planners",
    type=click.IntRange(1),
    required=True,
    help="Total number of planners, distributed in proportion to the servers.",
)
@click.option(
    "--relay", "relays", type=RelayParameter(), multiple=True, required=True, help="A relay; at least two are required."
)
@click.option(
    "--regions", "regions_file", type=FILE_PATH, required=True, help="JSON file with the region of each zone."
)
@click.option("--former", type=FILE_PATH, help="File with the current plan; the new one moves as little as possible.")
@click.option(
    "--most-servers",
    "max_servers",
    type=click.IntRange(1, MAX_CELL_LIMIT),
    help="Maximum number of servers per cell; by default that of the former plan, or 512.",
)
@click.option(
    "--most-planners",
    "max_planners",
    type=click.IntRange(1, MAX_CELL_LIMIT),
    help="Maximum number of planners per cell; by default that of the former plan, or 16.",
)
@click.option("--first-port", type=click.IntRange(1, MAX_PORT), default=DEFAULT_FIRST_PORT, show_default=True)
@click.option("--out", type=FILE_PATH, required=True, help="File for the new plan; replaced atomically.")
@json_option
def plan(out: Path, as_json: bool, **options: object) -> None:
    """Create a plan for an endpoint list; show its load distribution and what moves."""
    plan_options = PlanOptions(**options)  # type: ignore[arg-type]  # click has converted each to its type
    servers = load_servers(plan_options.servers_file)
    try:
        former_plan = None
        regions = load_regions(plan_options.regions_file)
        if plan_options.former is not None:
            former_plan = load_plan(plan_options.former)
        limits = plan_options.limits(former_plan)
        demand = demand_from_servers(servers, regions, plan_options.planners, str(plan_options.servers_file))
        new_plan = design(demand, limits, regions, plan_options.relays, former_plan, plan_options.first_port)
        save_plan(new_plan, out)
    except CellPlanError as error:
        raise click.ClickException(str(error)) from error
    spread = measure_spread(new_plan, servers)
    movement = None if former_plan is None else compare_plans(former_plan, new_plan, servers)
    if as_json:
        click.echo(json.dumps(plan_document(new_plan, spread, movement)))
    else:
        Console().print(plan_table(new_plan, spread, movement))


@cells.command()
@click.argument("path", type=FILE_PATH)
@click.option("--list", "servers_file", type=FILE_PATH, help="File with an endpoint list to check the plan against.")
@json_option
def check(path: Path, servers_file: Path | None, as_json: bool) -> int:
    """Check that a plan is valid and fits an endpoint list; exit 1 if it does not fit."""
    checked_plan = open_plan(path)
    lines: list[str] = []
    fleet = ""
    if servers_file is not None:
        servers = load_servers(servers_file)
        files = {Document.PLAN: path, Document.SERVERS: servers_file}
        findings = check_plan_against_fleet(checked_plan, servers)
        lines = [f"{files[finding.document]}: {finding.location}: {finding.reason}" for finding in findings]
        fleet = f" for a list of {len(servers)} servers"
    if as_json:
        click.echo(json.dumps({"ok": not lines, "cells": len(checked_plan.cells), "findings": lines}))
    else:
        for line in lines:
            click.echo(line)
        click.echo(f"{path}: {len(checked_plan.cells)} cells, {len(lines) or 'no'} errors{fleet}")
    return 1 if lines else 0


@cells.command()
@click.argument("path", type=FILE_PATH)
@click.option("--cell", "name", help="Show only the cell with this name.")
@json_option
def show(path: Path, name: str | None, as_json: bool) -> None:
    """Show the cells of a plan with the relays that serve them, in order of preference."""
    shown_plan = open_plan(path)
    selected = [cell for cell in shown_plan.cells if name is None or cell.name == name]
    if name is not None and not selected:
        raise click.ClickException(f"{path}: the plan has no cell named {name!r}")
    documents = [cell_document(shown_plan, cell) for cell in selected]
    if as_json:
        click.echo(json.dumps(documents))
        return
    Console().print(cell_table(shown_plan, selected))
    if name is not None:
        click.echo(f"discovery addresses of its planners: {documents[0]['discovery']}, in either order")


def open_plan(path: Path) -> Plan:
    """Load the plan in a file; raises ClickException if it cannot be read or is invalid."""
    try:
        return load_plan(path)
    except CellPlanError as error:
        raise click.ClickException(str(error)) from error


def load_servers(path: Path) -> list[ListedServer]:
    """Load the servers in an endpoint list, except removed ones; raises ClickException if the list is invalid."""
    from stackwheel.wire.discovery_protocol import read_endpoint_list

    errors: list[InvalidInputError] = []
    try:
        endpoint_list = read_endpoint_list(json.loads(path.read_bytes()), errors.append)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from error
    except (ValueError, RecursionError) as error:
        raise click.ClickException(f"{path}: invalid endpoint list: {error}") from error
    if errors:
        raise click.ClickException(f"{path}: {errors[0]}")
    if not endpoint_list.complete:
        raise click.ClickException(f"{path}: reset: false; expected a complete endpoint list, found changes")
    return [
        ListedServer(instance.name, instance.zone)
        for instance in endpoint_list.instances
        if instance.availability is not Availability.REMOVED
    ]
