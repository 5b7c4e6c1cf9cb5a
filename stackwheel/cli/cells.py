"""`stackwheel cells`: make, check and show the plan that divides a fleet into cells."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from stackwheel.cells.assignment import discovery_addresses, relays_for_cell
from stackwheel.cells.check import Document, ListedServer, check_plan_against_fleet
from stackwheel.cells.demand import demand_from_servers
from stackwheel.cells.design import FIRST_PORT, design
from stackwheel.cells.movement import LoadRange, Movement, Spread, compare_plans, measure_spread
from stackwheel.cells.plan import MAX_CELL_LIMIT, MAX_PORT, Cell, CellPlanError, Limits, Plan, Relay
from stackwheel.cells.plan_file import load_plan, load_regions, save_plan
from stackwheel.interface import Availability

file_path = click.Path(dir_okay=False, path_type=Path)
as_json_flag = click.option("--json", "as_json", is_flag=True, help="End with one JSON object.")


class RelayOption(click.ParamType[Relay]):
    """`name=host`."""

    name = "name=host"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Relay:
        if isinstance(value, Relay):
            return value
        name, equals, host = str(value).partition("=")
        if not (name and equals and host):
            self.fail(f"{value!r} is not name=host", param, ctx)
        return Relay(name, host)


@click.group()
def cells() -> None:
    """Cells: the servers, planners and proxies that share tables."""


@cells.command()
@click.option("--servers-file", type=file_path, required=True, help="The whole list, as discovery answers it.")
@click.option("--planners", type=click.IntRange(1), required=True, help="Planners in all, shared out by servers.")
@click.option("--relay", "relays", type=RelayOption(), multiple=True, required=True, help="At least two.")
@click.option("--regions", "regions_file", type=file_path, required=True, help="A JSON object: zone to region.")
@click.option("--former", type=file_path, help="The plan in force; as little as possible moves from it.")
@click.option(
    "--most-servers", type=click.IntRange(1, MAX_CELL_LIMIT), help="Of a cell; else the former plan's, or 512."
)
@click.option(
    "--most-planners", type=click.IntRange(1, MAX_CELL_LIMIT), help="Of a cell; else the former plan's, or 16."
)
@click.option("--first-port", type=click.IntRange(1, MAX_PORT), default=FIRST_PORT, show_default=True)
@click.option("--out", type=file_path, required=True, help="Replaced whole, or left as it is.")
@as_json_flag
def plan(
    servers_file: Path,
    planners: int,
    relays: tuple[Relay, ...],
    regions_file: Path,
    former: Path | None,
    most_servers: int | None,
    most_planners: int | None,
    first_port: int,
    out: Path,
    as_json: bool,
) -> None:
    """Make a plan for a list of servers, and tell how it spreads load and what it moves."""
    servers = load_servers(servers_file)
    try:
        regions = load_regions(regions_file)
        old = load_plan(former) if former is not None else None
        kept = old.limits if old is not None else Limits()
        limits = Limits(most_servers or kept.servers, most_planners or kept.planners)
        demand = demand_from_servers(servers, regions, planners, str(servers_file))
        made = design(demand, limits, regions, relays, old, first_port)
        save_plan(made, out)
    except CellPlanError as error:
        raise click.ClickException(str(error)) from None
    load = measure_spread(made, servers)
    moved = compare_plans(old, made, servers) if old is not None else None
    if as_json:
        figures = {
            "cells": len(made.cells),
            "spread": spread_figures(load),
            "movement": asdict(moved) if moved else None,
        }
        click.echo(json.dumps(figures))
    else:
        Console().print(figures_table(made, load, moved))


@cells.command()
@click.argument("path", type=file_path)
@click.option("--list", "servers_file", type=file_path, help="Check it against a list, as discovery answers it.")
@as_json_flag
def check(path: Path, servers_file: Path | None, as_json: bool) -> int:
    """Whether a plan can hold, and whether it fits a list; exit 1 where it doesn't fit."""
    found = open_plan(path)
    servers = load_servers(servers_file) if servers_file is not None else []
    findings = check_plan_against_fleet(found, servers) if servers_file is not None else ()
    documents = {Document.PLAN: str(path), Document.SERVERS: str(servers_file)}
    lines = [f"{documents[finding.document]}: {finding.place}: {finding.reason}" for finding in findings]
    if as_json:
        click.echo(json.dumps({"ok": not lines, "cells": len(found.cells), "findings": lines}))
    else:
        for line in lines:
            click.echo(line)
        against = f" for {len(servers)} servers" if servers_file is not None else ""
        click.echo(f"{path}: {len(found.cells)} cells, {len(lines) or 'no'} faults{against}")
    return 1 if lines else 0


@cells.command()
@click.argument("path", type=file_path)
@click.option("--cell", "name", help="One cell alone.")
@as_json_flag
def show(path: Path, name: str | None, as_json: bool) -> None:
    """The cells of a plan with the relays that serve them, the first choice first."""
    found = open_plan(path)
    chosen = [cell for cell in found.cells if name is None or cell.name == name]
    if name is not None and not chosen:
        raise click.ClickException(f"{path}: no cell is called {name!r}")
    if as_json:
        click.echo(json.dumps([cell_figures(found, cell) for cell in chosen]))
        return
    table = Table("cell", "service", "regions", "part", "port", "relays", box=None)
    for cell in chosen:
        names = ", ".join(relay.name for relay in relays_for_cell(cell.name, found.relays))
        regions = ", ".join(cell.regions) or "all"
        table.add_row(cell.name, cell.service, regions, f"{cell.part} of {cell.parts}", str(cell.port), names)
    Console().print(table)
    if name is not None:
        click.echo(f"discovery of its planners: {discovery_addresses(found, chosen[0])}, in this or the other order")


def open_plan(path: Path) -> Plan:
    try:
        return load_plan(path)
    except CellPlanError as error:
        raise click.ClickException(str(error)) from None


def load_servers(path: Path) -> list[ListedServer]:
    """The servers of a list that may still be asked; ClickException with the place where it can't be read whole."""
    from stackwheel.wire.discovery_client import read_listing

    faults: list[str] = []
    try:
        listing = read_listing(json.loads(path.read_bytes()), faults.append)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from None
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        reason = f"no {error}" if isinstance(error, KeyError) else str(error)
        raise click.ClickException(f"{path}: no list of servers: {reason}") from None
    if faults:
        raise click.ClickException(f"{path}: {faults[0]}")
    if not listing.complete:
        raise click.ClickException(f"{path}: reset: false, so it holds changes and not the whole list")
    return [
        ListedServer(instance.name, instance.zone)
        for instance in listing.instances
        if instance.availability is not Availability.REMOVED
    ]


def cell_figures(found: Plan, cell: Cell) -> dict[str, object]:
    return {
        "name": cell.name,
        "service": cell.service,
        "regions": cell.regions,
        "part": cell.part,
        "parts": cell.parts,
        "port": cell.port,
        "relays": [relay.name for relay in relays_for_cell(cell.name, found.relays)],
        "discovery": discovery_addresses(found, cell),
    }


def spread_figures(load: Spread) -> dict[str, object]:
    """The spread as the JSON output names its figures."""
    return {
        name: None if load_range is None else range_figures(load_range)
        for name, load_range in (
            ("servers_by_cell", load.servers_by_cell),
            ("servers_by_divided_cell", load.servers_by_divided_cell),
            ("cells_by_relay", load.cells_by_relay),
            ("servers_by_relay", load.servers_by_relay),
        )
    }


def range_figures(load_range: LoadRange) -> dict[str, float]:
    return {"least": load_range.minimum, "mean": load_range.mean, "most": load_range.maximum}


def figures_table(made: Plan, load: Spread, moved: Movement | None) -> Table:
    table = Table("figure", "least", "mean", "most", box=None)

    def add(what: str, figures: LoadRange | None) -> None:
        if figures is not None:
            table.add_row(what, str(figures.minimum), f"{figures.mean:.1f}", str(figures.maximum))

    add(f"servers by cell ({len(made.cells)} cells)", load.servers_by_cell)
    add("servers by cell that is a part", load.servers_by_divided_cell)
    add(f"cells by relay ({len(made.relays)} relays)", load.cells_by_relay)
    add("servers by relay", load.servers_by_relay)
    if moved is not None:
        table.add_row(f"servers moved: {moved.servers_moved} of {moved.servers}")
        table.add_row(f"replicas moved: {moved.replicas_moved} of {moved.replicas}")
        table.add_row(f"cells added: {moved.cells_added}, removed: {moved.cells_removed}")
    return table
