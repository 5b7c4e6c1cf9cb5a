"""`python -m stackwheel`: one planner, configured by ROUTER_CONFIG; with arguments, the command line."""

from __future__ import annotations

import sys


def command() -> int:
    """Exit code of the planner, or of the command line if there are arguments."""
    if len(sys.argv) == 1:
        from stackwheel.service.process import main as run_planner

        return run_planner()
    from stackwheel.cli.entry import main as run_command_line

    return run_command_line()


if __name__ == "__main__":
    sys.exit(command())
