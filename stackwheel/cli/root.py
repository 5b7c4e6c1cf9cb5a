"""The command `stackwheel` and its groups; a group's module is imported when one of its commands is called."""

from __future__ import annotations

import importlib
import sys

import click

GROUPS = {  # name: module and attribute, extra it needs, help
    "serve": ("stackwheel.cli.serve:serve", "cli", "Run the planner that ROUTER_CONFIG describes."),
    "config": ("stackwheel.cli.config:config", "config", "Check and show the operators' own file."),
    "cells": (
        "stackwheel.cli.cells:cells",
        "relay",
        "Divide a fleet into cells, check and show the plan.",
    ),
    "files": ("stackwheel.cli.files:files", "files", "Look at table files and compare them."),
    "relay": ("stackwheel.cli.relay:relay", "relay", "Serve cells of planners their parts of the registry's list."),
    "trial": ("stackwheel.cli.trial:trial", "trials", "Run the service on a virtual clock against scripted faults."),
}


class Lazy(click.Group):
    """Knows its groups by name; what they import is loaded when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(GROUPS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in GROUPS:
            return None
        place, extra, _ = GROUPS[cmd_name]
        module, _, attribute = place.partition(":")
        try:
            found: click.Command = getattr(importlib.import_module(module), attribute)
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("stackwheel"):
                raise
            raise click.UsageError(f"{cmd_name} needs {error.name}: pip install 'stackwheel[{extra}]'") from None
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, about) for name, (_, _, about) in GROUPS.items()])


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="stackwheel")
def stackwheel() -> None:
    """Central planner that publishes shared weight tables to a layer of plain proxies."""


def run(arguments: list[str] | None = None) -> int:
    """The exit code: 0, 1 where a check found something, 2 on bad usage, 130 on Ctrl-C."""
    try:
        found = stackwheel.main(args=arguments, prog_name="stackwheel", standalone_mode=False)
    except click.ClickException as error:
        print(f"stackwheel: {error.format_message()}", file=sys.stderr)
        return 2
    except click.Abort:
        return 130
    return found if isinstance(found, int) else 0
