"""`python -m stackwheel`: one planner, configured by ROUTER_CONFIG; with words, the command line."""

from __future__ import annotations

import sys


def command() -> int:
    """Exit code of the planner, or of the command line if there are arguments."""
    if len(sys.argv) == 1:
        from stackwheel.service.process import main as run_planner

        return run_planner()
    from stackwheel.cli.entry import main as command_line

    return command_line()


if __name__ == "__main__":
    sys.exit(command())
