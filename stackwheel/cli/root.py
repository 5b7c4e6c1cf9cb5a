"""The command `stackwheel` and its groups; a group's module is imported when one of its commands is called."""

from __future__ import annotations

import importlib
import sys
from typing import NamedTuple

import click

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


class GroupEntry(NamedTuple):
    """A group of commands, or a single one, before it is imported."""

    module: str
    attribute: str  # of the module: the click command
    extra: str  # of the package: installs what the module imports
    help: str


GROUPS = {
    "serve": GroupEntry("stackwheel.cli.serve", "serve", "cli", "Run the planner that ROUTER_CONFIG describes."),
    "config": GroupEntry("stackwheel.cli.config", "config", "config", "Check and show the operators' file."),
    "cells": GroupEntry(
        "stackwheel.cli.cells", "cells", "relay", "Divide a fleet into cells, check and show the plan."
    ),
    "files": GroupEntry("stackwheel.cli.files", "files", "files", "Check, show and compare table files."),
    "relay": GroupEntry(
        "stackwheel.cli.relay", "relay", "relay", "Serve cells of planners their parts of the endpoint list."
    ),
    "trial": GroupEntry(
        "stackwheel.cli.trial", "trial", "trials", "Run the service on a virtual clock against scripted faults."
    ),
    "scale": GroupEntry(
        "stackwheel.cli.scale", "scale", "scale", "Run discovery, planners and relays at the fleet's size."
    ),
}


class LazyGroup(click.Group):
    """Knows its groups by name; what they import is loaded when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of the groups."""
        return [*GROUPS, *super().list_commands(ctx)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import the command of a name; UsageError if a library that it needs is not installed."""
        if cmd_name not in GROUPS:
            return super().get_command(ctx, cmd_name)
        entry = GROUPS[cmd_name]
        try:
            module = importlib.import_module(entry.module)
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("stackwheel"):
                raise
            advice = f"pip install 'stackwheel[{entry.extra}]'"
            raise click.UsageError(f"{cmd_name} needs {error.name}: {advice}") from error
        command: click.Command = getattr(module, entry.attribute)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of groups without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, GROUPS[name].help) for name in self.list_commands(ctx)])


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="stackwheel")
def stackwheel() -> None:
    """Central planner that publishes shared weight tables to a layer of plain proxies."""


def run(arguments: list[str] | None = None) -> int:
    """Run a command; the exit code: 0, 1 if a check found something, 2 on bad usage, 130 on Ctrl-C."""
    try:
        exit_code = stackwheel.main(args=arguments, prog_name="stackwheel", standalone_mode=False)
    except click.ClickException as error:
        print(f"stackwheel: {error.format_message()}", file=sys.stderr)
        return EXIT_USAGE
    except click.Abort:
        return EXIT_INTERRUPTED
    return exit_code if isinstance(exit_code, int) else EXIT_OK
