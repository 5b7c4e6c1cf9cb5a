"""`stackwheel config`: check and show the operators' file."""

from __future__ import annotations

import json
from pathlib import Path

import click

from stackwheel.cli.options import FILE_PATH, json_option
from stackwheel.config_language.descriptions import format_scalar
from stackwheel.config_language.errors import OperatorsFileError
from stackwheel.config_language.load import load
from stackwheel.config_language.schema import SCHEMA
from stackwheel.config_language.tree import DEFAULT_ORIGIN

files_argument = click.argument("files", nargs=-1, type=FILE_PATH)


@click.group()
def config() -> None:
    """Check and show the operators' file, which has typed records in a CUE-like notation; JSON is also accepted."""


@config.command()
@files_argument
@json_option
def check(files: tuple[Path, ...], as_json: bool) -> int:
    """Check that files form a valid configuration; exit 1 with the location of the error if they do not."""
    try:
        operators_config = load(*files)
    except OperatorsFileError as error:
        click.echo(json.dumps({"ok": False, "reason": str(error)}) if as_json else str(error))
        return 1
    set_count = sum(origin != DEFAULT_ORIGIN for _, _, origin in operators_config.origins())
    click.echo(json.dumps({"ok": True, "given": set_count}) if as_json else f"valid; values set: {set_count}")
    return 0


@config.command()
@files_argument
@json_option
def show(files: tuple[Path, ...], as_json: bool) -> int:
    """Show the configuration that results from files, with the origin of each value."""
    try:
        operators_config = load(*files)
    except OperatorsFileError as error:
        click.echo(str(error), err=True)
        return 1
    if as_json:
        origins = {path: str(origin) for path, _, origin in operators_config.origins()}
        click.echo(json.dumps({"values": operators_config.plain_values(), "origins": origins}))
        return 0
    for path, value, origin in operators_config.origins():
        click.echo(f"{path}: {format_scalar(value)}    // {origin}")
    return 0


@config.command()
def schema() -> None:
    """Print the schema: all fields with their types, bounds and defaults."""
    click.echo(SCHEMA.rstrip())
