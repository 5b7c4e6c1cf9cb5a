"""`stackwheel config`: the operators' own file."""

from __future__ import annotations

import json
from pathlib import Path

import click

from stackwheel.config_language.load import Loaded, OperatorsError, load
from stackwheel.config_language.schema import SCHEMA
from stackwheel.config_language.unify import shown, values

paths = click.argument("files", nargs=-1, type=click.Path(dir_okay=False, path_type=Path))
as_json_flag = click.option("--json", "as_json", is_flag=True, help="End with one JSON object.")


@click.group()
def config() -> None:
    """The operators' own file: typed records in a CUE-like notation; JSON is valid in it."""


def loaded(files: tuple[Path, ...]) -> Loaded | str:
    try:
        return load(*files)
    except OperatorsError as error:
        return str(error)


@config.command()
@paths
@as_json_flag
def check(files: tuple[Path, ...], as_json: bool) -> int:
    """Whether files can be used together; exit 1 with the place where they can't."""
    found = loaded(files)
    if isinstance(found, str):
        click.echo(json.dumps({"ok": False, "reason": found}) if as_json else found)
        return 1
    given = sum(origin != "default" for _, _, origin in found.origins())
    click.echo(json.dumps({"ok": True, "given": given}) if as_json else f"sound; {given} values given")
    return 0


@config.command()
@paths
@as_json_flag
def show(files: tuple[Path, ...], as_json: bool) -> int:
    """What is in force with files, each value with its origin."""
    found = loaded(files)
    if isinstance(found, str):
        click.echo(found, err=True)
        return 1
    if as_json:
        click.echo(
            json.dumps({"values": values(found.tree), "origins": {path: origin for path, _, origin in found.origins()}})
        )
        return 0
    for path, value, origin in found.origins():
        click.echo(f"{path}: {shown(value)}    // {origin}")
    return 0


@config.command()
def schema() -> None:
    """All that can be said, with types, bounds and defaults."""
    click.echo(SCHEMA.rstrip())
