"""`stackwheel cells`: make, check and show the plan that divides a fleet into cells."""

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
    """A relay as `name=host`."""

    name = "name=host"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Relay:
        """The relay of an option's text."""
        if isinstance(value, Relay):
            return value
        name, equals, host = str(value).partition("=")
        if not (name and equals and host):
            self.fail(f"{value!r} is not name=host", param, ctx)
        return Relay(name, host)


@dataclass(frozen=True, slots=True)
class PlanOptions:
    """What a plan is made of: the options of `cells plan`."""

    servers_file: Path
    planners: int
    relays: tuple[Relay, ...]
    regions_file: Path
    former: Path | None
    max_servers: int | None
    max_planners: int | None
    first_port: int

    def limits(self, former_plan: Plan | None) -> Limits:
        """The limits of a cell: those given, else the former plan's, else the defaults."""
        inherited = Limits() if former_plan is None else former_plan.limits
        return Limits(self.max_servers or inherited.servers, self.max_planners or inherited.planners)


@click.group()
def cells() -> None:
    """Cells: the servers, planners and proxies that share tables."""


@cells.command()
@click.option("--servers-file", type=FILE_PATH, required=True, help="The complete list, as discovery answers it.")
@click.option("--planners", type=click.IntRange(1), required=True, help="Planners in all, divided up by servers.")
@click.option("--relay", "relays", type=RelayParameter(), multiple=True, required=True, help="At least two.")
@click.option("--regions", "regions_file", type=FILE_PATH, required=True, help="A JSON object: zone to region.")
@click.option("--former", type=FILE_PATH, help="The plan in force; as little as possible moves from it.")
@click.option(
    "--most-servers",
    "max_servers",
    type=click.IntRange(1, MAX_CELL_LIMIT),
    help="Of a cell; else the former plan's, or 512.",
)
@click.option(
    "--most-planners",
    "max_planners",
    type=click.IntRange(1, MAX_CELL_LIMIT),
    help="Of a cell; else the former plan's, or 16.",
)
@click.option("--first-port", type=click.IntRange(1, MAX_PORT), default=DEFAULT_FIRST_PORT, show_default=True)
@click.option("--out", type=FILE_PATH, required=True, help="Replaced atomically, or left as it is.")
@json_option
def plan(out: Path, as_json: bool, **options: object) -> None:
    """Make a plan for a list of servers; show how it spreads load and what it moves."""
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
@click.option("--list", "servers_file", type=FILE_PATH, help="Check it against a list, as discovery answers it.")
@json_option
def check(path: Path, servers_file: Path | None, as_json: bool) -> int:
    """Check that a plan is valid and fits a list; exit 1 if it doesn't fit."""
    checked_plan = open_plan(path)
    lines: list[str] = []
    fleet = ""
    if servers_file is not None:
        servers = load_servers(servers_file)
        files = {Document.PLAN: path, Document.SERVERS: servers_file}
        findings = check_plan_against_fleet(checked_plan, servers)
        lines = [f"{files[finding.document]}: {finding.location}: {finding.reason}" for finding in findings]
        fleet = f" for {len(servers)} servers"
    if as_json:
        click.echo(json.dumps({"ok": not lines, "cells": len(checked_plan.cells), "findings": lines}))
    else:
        for line in lines:
            click.echo(line)
        click.echo(f"{path}: {len(checked_plan.cells)} cells, {len(lines) or 'no'} faults{fleet}")
    return 1 if lines else 0


@cells.command()
@click.argument("path", type=FILE_PATH)
@click.option("--cell", "name", help="Only this cell.")
@json_option
def show(path: Path, name: str | None, as_json: bool) -> None:
    """Show the cells of a plan with the relays that serve them, the first choice first."""
    shown_plan = open_plan(path)
    selected = [cell for cell in shown_plan.cells if name is None or cell.name == name]
    if name is not None and not selected:
        raise click.ClickException(f"{path}: no cell is called {name!r}")
    documents = [cell_document(shown_plan, cell) for cell in selected]
    if as_json:
        click.echo(json.dumps(documents))
        return
    Console().print(cell_table(shown_plan, selected))
    if name is not None:
        click.echo(f"discovery of its planners: {documents[0]['discovery']}, in this or the other order")


def open_plan(path: Path) -> Plan:
    """The plan in a file; ClickException if it can't be used."""
    try:
        return load_plan(path)
    except CellPlanError as error:
        raise click.ClickException(str(error)) from error


def load_servers(path: Path) -> list[ListedServer]:
    """The servers of a list that can still be used; ClickException with the place if it can't be read completely."""
    from stackwheel.wire.discovery_protocol import read_endpoint_list

    faults: list[InvalidInputError] = []
    try:
        endpoint_list = read_endpoint_list(json.loads(path.read_bytes()), faults.append)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from error
    except (ValueError, RecursionError) as error:
        raise click.ClickException(f"{path}: no list of servers: {error}") from error
    if faults:
        raise click.ClickException(f"{path}: {faults[0]}")
    if not endpoint_list.complete:
        raise click.ClickException(f"{path}: reset: false, so it holds changes and not the whole list")
    return [
        ListedServer(instance.name, instance.zone)
        for instance in endpoint_list.instances
        if instance.availability is not Availability.REMOVED
    ]
