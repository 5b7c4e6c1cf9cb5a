"""`stackwheel relay`: runs a relay."""

from __future__ import annotations

from pathlib import Path

import click

from stackwheel.cli.options import FILE_PATH


@click.command()
@click.option(
    "--operators",
    required=True,
    type=FILE_PATH,
    help="The operators' file; its record `relay` configures the relay.",
)
def relay(operators: Path) -> int:
    """Serve the planners of cells their parts of the endpoint list until SIGTERM; SIGHUP reloads the cell plan."""
    from stackwheel.service.relay import main

    return main(operators)
