"""Entry point of the console script; reports what to install if the command line's libraries are missing."""

from __future__ import annotations

import sys

EXIT_USAGE = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit code.

    Args:
        arguments: arguments without the program's name; None for those of the process.
    """
    try:
        import click  # noqa: F401 - tests whether it is installed
        import rich  # noqa: F401 - tests whether it is installed
    except ImportError as error:
        print(f"stackwheel: the command line requires {error.name}: pip install 'stackwheel[cli]'", file=sys.stderr)
        return EXIT_USAGE
    from stackwheel.cli.root import run

    return run(arguments)
