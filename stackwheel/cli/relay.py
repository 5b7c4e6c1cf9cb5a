"""`stackwheel relay`: one relay process."""

from __future__ import annotations

from pathlib import Path

import click


@click.command()
@click.option(
    "--operators",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="The operators' file; its record `relay` says what to serve.",
)
def relay(operators: Path) -> int:
    """Follow the registry and serve cells their parts of its list, until SIGTERM; SIGHUP reads the plan again."""
    from stackwheel.service.relay import main

    return main(operators)
