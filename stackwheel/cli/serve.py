"""`stackwheel serve`: the planner, as `python -m stackwheel` starts it."""

from __future__ import annotations

import click


@click.command()
def serve() -> int:
    """Run one planner, configured by the file that ROUTER_CONFIG names, until SIGTERM."""
    from stackwheel.service.process import main

    return main()
