"""Entry point of `python -m stackwheel`: without arguments it runs a planner, otherwise the command line."""

from __future__ import annotations

import sys


def command() -> int:
    """Run the planner, or the command line if there are arguments, and return the exit code."""
    if len(sys.argv) == 1:
        from stackwheel.service.process import main as run_planner

        return run_planner()
    from stackwheel.cli.entry import main as run_command_line

    return run_command_line()


if __name__ == "__main__":
    sys.exit(command())
