"""The command `stackwheel` and its groups, whose modules are imported when one of their commands is called."""

from __future__ import annotations

import importlib
import sys
from typing import NamedTuple

import click

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


class GroupEntry(NamedTuple):
    """A group of commands, or a single command, that is imported on use.

    Attributes:
        module: name of the module.
        attribute: attribute of the module that holds the click command.
        extra: extra of the package that installs the libraries of the module.
        help: description in the list of commands.
    """

    module: str
    attribute: str
    extra: str
    help: str


GROUPS = {
    "serve": GroupEntry("stackwheel.cli.serve", "serve", "cli", "Run the planner that ROUTER_CONFIG describes."),
    "config": GroupEntry("stackwheel.cli.config", "config", "config", "Check and show the operators' file."),
    "cells": GroupEntry(
        "stackwheel.cli.cells", "cells", "relay", "Create, check and show plans that divide a fleet into cells."
    ),
    "files": GroupEntry(
        "stackwheel.cli.files", "files", "files", "Check, show, compare, create and follow table files."
    ),
    "relay": GroupEntry(
        "stackwheel.cli.relay", "relay", "relay", "Serve the planners of cells their parts of the endpoint list."
    ),
    "trial": GroupEntry(
        "stackwheel.cli.trial", "trial", "trials", "Run the service on a virtual clock with scripted faults."
    ),
    "scale": GroupEntry(
        "stackwheel.cli.scale",
        "scale",
        "scale",
        "Run the discovery service, planners and relays at the size of a fleet.",
    ),
}


class LazyGroup(click.Group):
    """A group whose subcommands are imported when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands and groups."""
        return [*GROUPS, *super().list_commands(ctx)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import the command with a name; raises UsageError if a library that it requires is not installed."""
        if cmd_name not in GROUPS:
            return super().get_command(ctx, cmd_name)
        entry = GROUPS[cmd_name]
        try:
            module = importlib.import_module(entry.module)
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("stackwheel"):
                raise
            install_command = f"pip install 'stackwheel[{entry.extra}]'"
            raise click.UsageError(f"{cmd_name} requires {error.name}: {install_command}") from error
        command: click.Command = getattr(module, entry.attribute)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, GROUPS[name].help) for name in self.list_commands(ctx)])


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="stackwheel")
def stackwheel() -> None:
    """Central planner that computes weight tables for proxies and publishes them."""


def run(arguments: list[str] | None = None) -> int:
    """Run a command and return the exit code: 0, 1 if a check failed, 2 on incorrect usage, 130 on Ctrl-C."""
    try:
        exit_code = stackwheel.main(args=arguments, prog_name="stackwheel", standalone_mode=False)
    except click.ClickException as error:
        print(f"stackwheel: {error.format_message()}", file=sys.stderr)
        return EXIT_USAGE
    except click.Abort:
        return EXIT_INTERRUPTED
    return exit_code if isinstance(exit_code, int) else EXIT_OK
