"""`stackwheel serve`: runs the planner, like `python -m stackwheel` without arguments."""

from __future__ import annotations

import click


@click.command()
def serve() -> int:
    """Run a planner with the configuration file that ROUTER_CONFIG names, until SIGTERM."""
    from stackwheel.service.process import main

    return main()
