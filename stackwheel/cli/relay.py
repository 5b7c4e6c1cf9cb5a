"""`stackwheel relay`: one relay process."""

from __future__ import annotations

from pathlib import Path

import click

from stackwheel.cli.options import FILE_PATH


@click.command()
@click.option(
    "--operators",
    required=True,
    type=FILE_PATH,
    help="The operators' file; its record `relay` says what to serve.",
)
def relay(operators: Path) -> int:
    """Follow the discovery service and serve cells their parts of its list until SIGTERM; SIGHUP reloads the plan."""
    from stackwheel.service.relay import main

    return main(operators)
